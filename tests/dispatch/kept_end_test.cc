/// Guards against an answer that is kept because its replica marked no end, and is then told with
/// more than it claims, or although another run has shown that it was broken off.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;

namespace {

const std::string first_event = "id: 1\ndata: x\n\n";
const std::string half_event = "id: 2\ndata: ha";
constexpr base::caller_id client = 1;

struct kept_end_fixture : dispatcher_driver {
  kept_end_fixture() : dispatcher_driver(settings_with_one_retry()) {}

  /// A budget for one retry per second, which the first open end or lost run takes.
  static serving_settings settings_with_one_retry() {
    serving_settings settings;
    settings.retry.ratio = 0;
    settings.retry.allowance = 1.25;
    settings.retry.window = std::chrono::seconds(1);
    return settings;
  }

  /// Lets the replica of a call end its answer by closing the connection, and go on.
  void end_by_connection(const start_call& call) {
    deliver(stream_closed{.call = call.call, .complete = true, .ends_with_connection = true});
    show_that_replica_goes_on(call);
  }

  void answer_by_connection(const start_call& call, const std::string& body) {
    call_answered answered{call.call, good_head(), body};
    answered.ends_with_connection = true;
    deliver(answered);
    show_that_replica_goes_on(call);
  }

  void show_that_replica_goes_on(const start_call& call) {
    const auto began_at = now;
    advance_time(milliseconds(2));
    deliver(replica_probed{call.target.replica, probe_result::connected, began_at});
  }

  void open(const start_call& call, bool ends_with_connection) {
    deliver(stream_opened{call.call, good_head(), ends_with_connection});
  }

  /// Begins a stream without framing whose replica closes the connection after the first event.
  /// @return the call of the second run.
  start_call keep_end_of_stream() {
    send_request(client, "/stream/");
    const auto call = last<start_call>();
    open(call, true);
    deliver(stream_bytes{call.call, first_event});
    end_by_connection(call);
    BOOST_REQUIRE(all<start_call>().size() == 2U);
    return last<start_call>();
  }

  /// Gets an answer without framing. @return the call of the second run.
  start_call keep_answer(const std::string& body) {
    send_request(client, "/safe/");
    answer_by_connection(last<start_call>(), body);
    BOOST_REQUIRE(all<start_call>().size() == 2U);
    return last<start_call>();
  }

  /// Takes a stream up after its first event, as its client does.
  start_call take_up() {
    send_request(client, "/stream/");
    const auto begun = last<start_call>();
    open(begun, false);
    deliver(stream_bytes{begun.call, first_event});
    deliver(client_disconnected{client});
    commands.clear();
    const auto content = content_for(client + 1, "/stream/");
    content->resume_after = 1;
    content->first_attempt = base::request_id("r" + std::to_string(client));
    deliver(request_arrived{client + 1, content, now});
    return last<start_call>();
  }

  [[nodiscard]] bool is_told_as_ended() const {
    const auto ends = all<end_stream>();
    return !ends.empty() && ends.back().complete;
  }
  [[nodiscard]] bool is_broken_off() const {
    const auto ends = all<end_stream>();
    return !ends.empty() && !ends.back().complete;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(kept_end_test, kept_end_fixture)

/// Guards against an empty stream that is told with a last chunk: the end of the first run is told
/// in the framing of the second.
BOOST_AUTO_TEST_CASE(an_empty_run_of_a_taken_up_stream_is_lost_and_not_framed_by_the_next_run) {
  const auto call = take_up();
  open(call, true);
  end_by_connection(call);
  const auto again = last<start_call>();
  BOOST_REQUIRE(again.call != call.call);
  open(again, false);
  advance_time(std::chrono::seconds(2));
  BOOST_TEST(all<end_stream>().empty());
  deliver(call_failed{again.call});
  BOOST_TEST(!is_told_as_ended());
}

/// Guards against a success without any event that no replica claimed.
BOOST_AUTO_TEST_CASE(two_empty_runs_of_a_taken_up_stream_are_a_failure) {
  auto call = take_up();
  for (int run = 0; run < 2; ++run) {
    call = last<start_call>();
    open(call, true);
    end_by_connection(call);
  }
  BOOST_TEST(all<open_stream>().empty());
  BOOST_REQUIRE(all<respond>().size() == 1U);
  BOOST_TEST(last<respond>().status == 502U);
}

/// Guards against a stream that ends in order although half an event showed that it goes on.
BOOST_AUTO_TEST_CASE(a_stream_is_broken_off_if_an_empty_run_follows_half_an_event) {
  send_request(client, "/stream/");
  const auto call = last<start_call>();
  open(call, true);
  deliver(stream_bytes{call.call, first_event + half_event});
  end_by_connection(call);
  const auto again = last<start_call>();
  BOOST_REQUIRE(again.call != call.call);
  open(again, true);
  end_by_connection(again);
  BOOST_TEST(is_broken_off());
}

/// Guards against a stream that is broken off after its last event because the run that was to
/// bring the rest is empty: its replica may have nothing more.
BOOST_AUTO_TEST_CASE(a_begun_stream_stays_open_if_an_empty_run_follows_whole_events) {
  send_request(client, "/stream/");
  const auto call = last<start_call>();
  open(call, true);
  deliver(stream_bytes{call.call, first_event});
  deliver(stream_closed{.call = call.call, .complete = false});
  const auto again = last<start_call>();
  BOOST_REQUIRE(again.call != call.call);
  open(again, true);
  end_by_connection(again);
  BOOST_TEST(is_told_as_ended());
  BOOST_TEST(last<open_stream>().ends_with_connection);
}

/// Guards against the end of a first run that is told although a second run has begun an event
/// after it.
BOOST_AUTO_TEST_CASE(a_stream_is_not_ended_after_another_run_began_a_further_event) {
  const auto again = keep_end_of_stream();
  open(again, true);
  deliver(stream_bytes{again.call, half_event});
  advance_time(std::chrono::seconds(2));
  BOOST_TEST(all<end_stream>().empty());
  deliver(call_failed{again.call});
  BOOST_TEST(is_broken_off());
}

/// A comment of another run says nothing of the events.
BOOST_AUTO_TEST_CASE(a_comment_of_another_run_does_not_show_that_the_stream_goes_on) {
  const auto again = keep_end_of_stream();
  open(again, true);
  deliver(stream_bytes{again.call, ": waiting\n\n: wai"});
  deliver(call_failed{again.call});
  BOOST_TEST(is_told_as_ended());
  BOOST_TEST(last<open_stream>().ends_with_connection);
}

/// Guards against half an event of one run that is joined with the first event of the next run.
BOOST_AUTO_TEST_CASE(half_an_event_is_dropped_before_a_run_that_waited_for_a_replica) {
  send_request(client + 1, "/stream/");
  deliver(call_failed{last<start_call>().call, call_failure::may_have_run});
  send_request(client, "/stream/");
  const auto call = last<start_call>();
  open(call, false);
  deliver(stream_bytes{call.call, first_event + half_event});
  deliver(stream_closed{.call = call.call, .complete = false, .has_timed_out = true});
  const auto calls = all<start_call>().size();
  advance_time(std::chrono::seconds(2));
  BOOST_REQUIRE(all<start_call>().size() > calls);
  const auto again = last<start_call>();
  open(again, false);
  const std::string second_event = "id: 2\ndata: y\n\n";
  deliver(stream_bytes{again.call, second_event});
  BOOST_TEST(last<stream_data>().bytes == second_event);
}

/// Guards against a part of an answer that replaces the answer.
BOOST_AUTO_TEST_CASE(the_longer_of_two_answers_is_kept_if_one_is_the_begin_of_the_other) {
  for (const auto& [first, second] :
       {std::pair("0123456789", "012"), std::pair("012", "0123456789")}) {
    kept_end_fixture node;
    node.answer_by_connection(node.keep_answer(first), second);
    BOOST_REQUIRE(node.all<respond>().size() == 1U);
    BOOST_TEST(node.last<respond>().body == "0123456789");
    BOOST_TEST(node.last<respond>().ends_with_connection);
  }
}

/// Guards against a failure in the place of an answer that was there.
BOOST_AUTO_TEST_CASE(a_failure_of_another_run_does_not_replace_what_was_kept) {
  kept_end_fixture node;
  node.deliver(call_answered{node.keep_answer("body").call, good_head(404), "no such thing"});
  BOOST_REQUIRE(node.all<respond>().size() == 1U);
  BOOST_TEST(node.last<respond>().body == "body");
  BOOST_TEST(node.last<respond>().ends_with_connection);

  deliver(call_answered{keep_end_of_stream().call, good_head(404), "no such thing"});
  BOOST_TEST(is_told_as_ended());
  BOOST_TEST(last<open_stream>().ends_with_connection);
}

/// Guards against a kept answer that reaches its client only when the client has given up; the
/// target latency of the route is one second.
BOOST_AUTO_TEST_CASE(a_kept_answer_does_not_wait_for_a_silent_run_until_the_deadline) {
  const auto again = keep_answer("body");
  const auto kept_at = now;
  while (all<respond>().empty() && now - kept_at < *time_allowed) {
    advance_time(milliseconds(5));
  }
  BOOST_REQUIRE(all<respond>().size() == 1U);
  BOOST_TEST(last<respond>().body == "body");
  BOOST_TEST(base::to_milliseconds(now - kept_at) <= 1'100);
  BOOST_TEST(last<cancel_call>().call == again.call);
}

/// Guards against an end that is told while the bytes of the other run wait unread, because the
/// client reads slowly.
BOOST_AUTO_TEST_CASE(a_kept_end_waits_while_the_other_run_is_not_read) {
  send_request(client, "/stream/");
  const auto call = last<start_call>();
  open(call, true);
  deliver(stream_bytes{call.call, first_event});
  deliver(stream_closed{.call = call.call, .complete = true, .ends_with_connection = true});
  deliver(client_window{client, false});
  show_that_replica_goes_on(call);
  BOOST_REQUIRE(all<start_call>().size() == 2U);
  advance_time(milliseconds(1'200));
  BOOST_TEST(all<end_stream>().empty());
}

BOOST_AUTO_TEST_SUITE_END()
