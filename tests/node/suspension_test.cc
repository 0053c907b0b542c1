/// Behaviour of a node after its machine was suspended. During the suspension the steady clock,
/// which drives the timers of the event loop, stops, while the boot clock, which all decisions use,
/// advances. Therefore no timer fires when the machine resumes: the node first processes the input
/// that waits in sockets. Guards against a node that notices the suspension only after this input
/// and takes the time of the suspension for a failure of replicas.
#include "node_driver.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace spurrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::duration suspension_duration = seconds(30);

/// Node with two active requests.
struct suspended_node : node_driver {
  suspended_node() {
    advance_time(seconds(2));
    deliver_request(1, "/stream/", now, seconds(20));
    deliver_request(2, "/safe/", now, seconds(200));
    BOOST_REQUIRE(calls().size() == 2U);
  }

  static serving::answer_head good_head() { return serving::dispatcher_driver::good_head(); }

  /// Suspends the machine: advances only the boot clock.
  void suspend() {
    now += suspension_duration;
    commands.clear();
  }

  [[nodiscard]] std::vector<serving::start_call> calls() const {
    return serving_commands<serving::start_call>();
  }

  /// @return whether the event log contains the suspension immediately after its first
  ///         `events_before` events.
  [[nodiscard]] bool has_suspension_record_after(std::size_t events_before) const {
    const auto& entries = subject.events().entries();
    return entries.size() > events_before &&
           entries[events_before].kind == base::event_kind::node_resumed_after_pause;
  }

  /// @return number of messages in which this node requests all crash records of a peer.
  [[nodiscard]] std::size_t crash_record_queries() const {
    std::size_t queries = 0;
    for (const auto& command : commands) {
      const auto* message = std::get_if<wire::outgoing>(&command);
      queries += message != nullptr && message->message.crash_news().wants_all() ? 1 : 0;
    }
    return queries;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(suspension, suspended_node)

BOOST_AUTO_TEST_CASE(the_suspension_is_recorded_before_a_request_is_processed) {
  suspend();
  const auto before = subject.events().entries().size();
  deliver_request(3, "/safe/", now, seconds(5));
  BOOST_TEST(has_suspension_record_after(before));
}

BOOST_AUTO_TEST_CASE(a_request_that_expired_in_its_socket_during_a_suspension_is_not_run) {
  const auto arrived_at = now;
  suspend();
  deliver_request(3, "/safe/", arrived_at, seconds(5));
  BOOST_TEST(calls().empty());
  const auto answers = serving_commands<serving::respond>();
  BOOST_TEST(std::any_of(answers.begin(), answers.end(),
                         [](const auto& answer) { return answer.client == 3U; }));
}

BOOST_AUTO_TEST_CASE(replicas_are_not_unresponsive_after_a_suspension) {
  suspend();
  deliver(node::time_passed{});
  // The call of request 2, whose deadline has not passed, continues at its replica.
  BOOST_TEST(calls().empty());
  for (const auto& [id, state] : subject.serving()->replicas().all()) {
    BOOST_TEST((state.unresponsive_at == base::time_point{}));
  }
  deliver(serving::event(serving::call_answered{2, good_head(), "body"}));
  const auto answers = serving_commands<serving::respond>();
  BOOST_TEST(std::any_of(answers.begin(), answers.end(), [](const auto& answer) {
    return answer.client == 2U && answer.status == 200U;
  }));
}

BOOST_AUTO_TEST_CASE(the_suspension_is_recorded_before_bytes_of_a_stream_are_processed) {
  suspend();
  const auto before = subject.events().entries().size();
  deliver(serving::event(serving::stream_bytes{1, "id: 1\ndata: x\n\n"}));
  BOOST_TEST(has_suspension_record_after(before));
}

BOOST_AUTO_TEST_CASE(
    a_request_whose_deadline_passed_during_a_suspension_ends_with_the_first_event) {
  suspend();
  deliver(node::time_passed{});
  const auto answers = serving_commands<serving::respond>();
  BOOST_TEST(std::any_of(answers.begin(), answers.end(),
                         [](const auto& answer) { return answer.client == 1U; }));
  BOOST_TEST(std::none_of(answers.begin(), answers.end(),
                          [](const auto& answer) { return answer.client == 2U; }));
}

BOOST_AUTO_TEST_CASE(the_suspension_is_recorded_before_a_peer_message_is_processed) {
  suspend();
  const auto before = subject.events().entries().size();
  node::peer_message message;
  message.message.set_sender("other");
  message.message.set_sender_zone("a");
  message.message.set_sender_address("other:1");
  auto& evidence = *message.message.mutable_replica_news()->add_evidence();
  evidence.set_replica("plain-a");
  evidence.set_sign(wire::SIGN_SILENT);
  evidence.set_calls(1);
  deliver(message);
  BOOST_TEST(has_suspension_record_after(before));
}

BOOST_AUTO_TEST_CASE(
    a_call_that_breaks_after_a_suspension_is_no_crash_if_its_replica_accepts_connections) {
  suspend();
  deliver(serving::event(serving::call_failed{2, serving::call_failure::may_have_run}));
  BOOST_TEST(subject.serving()->crashes().empty());
  deliver(serving::event(
      serving::replica_probed{base::replica_id("plain-a"), serving::probe_result::connected}));
  deliver(serving::event(
      serving::replica_probed{base::replica_id("plain-b"), serving::probe_result::connected}));
  BOOST_TEST(subject.serving()->crashes().empty());
}

BOOST_AUTO_TEST_CASE(crash_records_of_peers_are_requested_after_a_suspension) {
  node::peer_message message;
  message.message.set_sender("other");
  message.message.set_sender_zone("a");
  message.message.set_sender_address("other:1");
  message.message.set_sender_incarnation(7);
  message.message.mutable_ping()->set_sequence(1);
  deliver(message);
  advance_time(seconds(2));
  suspend();
  deliver(message);
  advance_time(milliseconds(100));
  BOOST_TEST(crash_record_queries() > 0U);
}

BOOST_AUTO_TEST_CASE(the_next_wakeup_is_at_most_one_periodic_interval_away) {
  // The event loop sleeps at most until the next wake-up. Therefore, when the steady clock
  // continues after a suspension of any duration, the timers that are due fire within one periodic
  // interval.
  for (int step = 0; step < 100; ++step) {
    now += milliseconds(7);
    deliver(node::time_passed{});
    BOOST_TEST((subject.next_wakeup() - now <= milliseconds(100)));
  }
}

BOOST_AUTO_TEST_SUITE_END()
