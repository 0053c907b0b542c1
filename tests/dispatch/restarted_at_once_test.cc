/// Guards against a request that crashes its replicas and is cleared of the exits by the very runs
/// that crashed them: its answers have no framing, and a supervisor starts each replica again
/// within milliseconds, so that the new process accepts a connection and answers other requests.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;

namespace {

const std::string first_event = "id: 1\ndata: x\n\n";
constexpr milliseconds list_time{6'000};

/// A node with one replica, `llm-a`, that marks no end of its answers.
struct restarted_at_once_fixture : dispatcher_driver {
  restarted_at_once_fixture() {
    published.remove_replica("llm-b");
    publish_incarnation();
  }

  /// Publishes the process of `llm-a` that runs now.
  void publish_incarnation() {
    published.add_incarnation("llm-a", "llm", "a", "10.3.0.1:80", ++started_at);
    subject.update(published.content, now);
  }

  start_call begin_stream(const std::string& digest_path = "/fixed/") {
    send_request(++clients, digest_path);
    auto call = last<start_call>();
    deliver(stream_opened{call.call, good_head()});
    deliver(stream_bytes{call.call, first_event});
    return call;
  }

  void end_by_connection(const start_call& call) {
    deliver(stream_closed{.call = call.call, .complete = true, .ends_with_connection = true});
  }

  /// Lets the probe that follows an end find that the address accepts connections.
  void accept_probe() {
    const auto began_at = now;
    advance_time(milliseconds(2));
    deliver(replica_probed{base::replica_id("llm-a"), probe_result::connected, began_at});
  }

  /// Runs a request that crashes its replica; the next process accepts connections at once and is
  /// published later.
  void run_crashing_request() {
    end_by_connection(begin_stream());
    accept_probe();
    advance_time(milliseconds(300));
    publish_incarnation();
    advance_time(milliseconds(5));
  }

  /// @return number of exits recorded under the request with the most.
  [[nodiscard]] std::size_t recorded_exits() const {
    std::size_t most = 0;
    for (const auto& [digest, record] : subject.crashes().all()) {
      most = std::max(most, record.exits.size());
    }
    return most;
  }

  std::uint64_t started_at = 1'000;
  base::caller_id clients = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(restarted_at_once_test, restarted_at_once_fixture)

/// Guards against an exit that is counted under no request because the next process of the replica
/// accepted a connection.
BOOST_AUTO_TEST_CASE(an_exit_counts_if_the_next_process_accepts_a_connection_at_once) {
  run_crashing_request();
  BOOST_TEST(recorded_exits() == 1U);
}

/// Guards against an exit that is forgotten because the published entry of its replica was removed
/// and not replaced under the same id.
BOOST_AUTO_TEST_CASE(an_exit_counts_if_the_next_process_has_another_id) {
  end_by_connection(begin_stream());
  accept_probe();
  published.remove_replica("llm-a");
  published.add_replica("llm-c", "llm", "a");
  subject.update(published.content, now);
  advance_time(milliseconds(5));
  BOOST_TEST(recorded_exits() == 1U);
}

/// Guards against exits that a run clears which may have crashed its replica itself.
BOOST_AUTO_TEST_CASE(a_connection_after_an_end_does_not_clear_earlier_exits) {
  run_crashing_request();
  end_by_connection(begin_stream());
  accept_probe();
  BOOST_TEST(recorded_exits() == 1U);
}

/// Guards against a crashing request that never reaches the limit of exits.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_replicas_started_again_at_once_is_held_back) {
  const quarantine_limits limits;
  for (std::size_t number = 0; number < limits.quarantine_with_unrelated_exits; ++number) {
    run_crashing_request();
  }
  const auto calls = all<start_call>().size();
  send_request(++clients, "/fixed/");
  BOOST_TEST(all<start_call>().size() == calls);
}

/// Guards against a run that is cleared by an answer to a call that began after its end.
BOOST_AUTO_TEST_CASE(an_answer_to_a_later_call_does_not_clear_earlier_exits) {
  run_crashing_request();
  end_by_connection(begin_stream());
  const auto later = begin_stream("/stream/");
  advance_time(milliseconds(60));
  deliver(stream_bytes{later.call, "id: 2\ndata: y\n\n"});
  advance_time(milliseconds(200));
  deliver(stream_bytes{later.call, "id: 3\ndata: z\n\n"});
  BOOST_TEST(recorded_exits() == 1U);
}

/// Guards against a harmless request that stays suspected although its replica went on.
BOOST_AUTO_TEST_CASE(an_earlier_call_that_goes_on_clears_the_request_of_an_end) {
  run_crashing_request();
  const auto earlier = begin_stream("/stream/");
  advance_time(milliseconds(200));
  end_by_connection(begin_stream());
  accept_probe();
  BOOST_TEST(recorded_exits() == 1U);
  advance_time(milliseconds(150));
  deliver(stream_bytes{earlier.call, "id: 2\ndata: y\n\n"});
  BOOST_TEST(recorded_exits() == 0U);
  publish_incarnation();
  advance_time(milliseconds(5));
  BOOST_TEST(all<end_stream>().size() >= 2U);
}

/// Guards against a harmless request that stays suspected although a later list shows its replica
/// in the same incarnation.
BOOST_AUTO_TEST_CASE(a_later_list_with_the_same_incarnation_clears_the_request_of_an_end) {
  run_crashing_request();
  end_by_connection(begin_stream());
  accept_probe();
  BOOST_TEST(recorded_exits() == 1U);
  advance_time(list_time);
  BOOST_TEST(recorded_exits() == 0U);
}

/// Guards against an exit that is cleared because an earlier run of the request turns out later to
/// have survived.
BOOST_AUTO_TEST_CASE(a_run_that_survived_does_not_clear_an_exit_after_it) {
  end_by_connection(begin_stream());
  accept_probe();
  advance_time(milliseconds(3'000));
  const auto crashed = begin_stream();
  deliver(stream_closed{.call = crashed.call, .complete = false});
  const auto began_at = now;
  advance_time(milliseconds(2));
  deliver(replica_probed{base::replica_id("llm-a"), probe_result::refused, began_at});
  deliver(replica_probed{base::replica_id("plain-a"), probe_result::connected, now});
  BOOST_TEST(recorded_exits() == 1U);
  advance_time(milliseconds(3'500));
  BOOST_TEST(recorded_exits() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
