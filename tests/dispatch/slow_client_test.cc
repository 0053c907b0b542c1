/// Streams of clients that read more slowly than their replica answers.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct slow_client_driver : dispatcher_driver {
  slow_client_driver() { time_allowed = seconds(60); }

  /// Begins a stream and delivers its first event.
  start_call begin(const std::string& path) {
    arrive(1, path);
    auto call = last<start_call>();
    happen(stream_opened{call.call, good_head()});
    happen(stream_bytes{call.call, "id: 1\ndata: x\n\nid: 2\nda"});
    return call;
  }
  void close_window() { happen(client_window{1, false}); }
  void open_window() { happen(client_window{1, true}); }

  std::string forwarded_bytes() const {
    std::string bytes;
    for (const auto& data : all<stream_data>()) {
      bytes += data.bytes;
    }
    return bytes;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(slow_client_test, slow_client_driver)

BOOST_AUTO_TEST_CASE(short_pause_only_pauses_reading) {
  const auto call = begin("/stream/x");
  close_window();
  BOOST_TEST(last<pause_call>().call == call.call);
  pass(milliseconds(1'000));
  open_window();
  BOOST_TEST(last<resume_call>().call == call.call);
  happen(stream_bytes{call.call, "ta: y\n\n"});
  happen(stream_closed{call.call, true});
  BOOST_TEST(forwarded_bytes() == "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
  BOOST_TEST(last<end_stream>().complete);
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(subject.counts().slow_clients == 0U);
}

BOOST_AUTO_TEST_CASE(paused_stream_does_not_count_as_stalled) {
  // Without an event identifier the stream cannot be resumed, so it is neither suspended nor
  // retried.
  arrive(1, "/stream/x");
  const auto call = last<start_call>();
  happen(stream_opened{call.call, good_head()});
  happen(stream_bytes{call.call, "data: x\n\n"});
  close_window();
  // Bytes that the replica had sent before the pause must not restart the stall timeout.
  happen(stream_bytes{call.call, "data: y\n\n"});
  pass(seconds(10));
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(all<cancel_call>().empty());
  // The stall timeout applies again after the client reads on.
  open_window();
  pass(seconds(3));
  BOOST_TEST(all<start_call>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_is_let_go_and_taken_up_at_the_last_event) {
  const auto first = begin("/stream/x");
  close_window();
  pass(milliseconds(1'600));
  BOOST_TEST(last<cancel_call>().call == first.call);
  BOOST_TEST(subject.counts().streams_suspended == 1U);
  pass(seconds(8));
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(all<end_stream>().empty());
  open_window();
  BOOST_REQUIRE(all<start_call>().size() == 2U);
  const auto second = last<start_call>();
  BOOST_REQUIRE(second.resume_after.has_value());
  BOOST_TEST(*second.resume_after == 1U);
  happen(stream_opened{second.call, good_head()});
  happen(stream_bytes{second.call, "id: 2\ndata: y\n\n"});
  happen(stream_closed{second.call, true});
  // The partial event of the first run is not mixed into the second run.
  BOOST_TEST(forwarded_bytes() == "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
  BOOST_TEST(all<open_stream>().size() == 1U);
  BOOST_TEST(last<end_stream>().complete);
  BOOST_TEST(subject.counts().suspended_streams_resumed == 1U);
  BOOST_TEST(subject.active() == 0U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_may_run_once_is_buffered_and_never_sent_twice) {
  const auto call = begin("/fixed/x");
  close_window();
  pass(milliseconds(1'600));
  BOOST_TEST(last<read_ahead>().client == 1U);
  BOOST_TEST(all<cancel_call>().empty());
  // Memory may become free later, so buffering is requested again while the window stays closed.
  pass(milliseconds(1'600));
  BOOST_TEST(all<read_ahead>().size() == 2U);
  open_window();
  BOOST_TEST(last<resume_call>().call == call.call);
  pass(seconds(5));
  BOOST_TEST(all<read_ahead>().size() == 2U);
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(subject.counts().slow_clients == 1U);
}

BOOST_AUTO_TEST_CASE(stream_without_attempt_left_is_buffered) {
  begin("/stream/x");
  close_window();
  pass(milliseconds(1'600));
  open_window();
  const auto second = last<start_call>();
  happen(stream_opened{second.call, good_head()});
  happen(stream_bytes{second.call, "id: 2\ndata: y\n\n"});
  close_window();
  pass(milliseconds(1'600));
  BOOST_TEST(last<read_ahead>().client == 1U);
  BOOST_TEST(all<start_call>().size() == 2U);
  BOOST_TEST(subject.counts().streams_suspended == 1U);
}

BOOST_AUTO_TEST_CASE(a_client_that_leaves_while_let_go_gets_nothing_sent) {
  begin("/stream/x");
  close_window();
  pass(milliseconds(1'600));
  happen(client_disconnected{1, disconnect_reason::unread});
  open_window();
  pass(seconds(3));
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(subject.active() == 0U);
}

BOOST_AUTO_TEST_CASE(disconnect_while_paused_cancels_call) {
  const auto call = begin("/fixed/x");
  close_window();
  happen(client_disconnected{1});
  BOOST_TEST(last<cancel_call>().call == call.call);
  BOOST_TEST(subject.active() == 0U);
}

BOOST_AUTO_TEST_CASE(one_let_go_past_its_deadline_ends_as_not_whole) {
  time_allowed = seconds(5);
  begin("/stream/x");
  close_window();
  pass(seconds(6));
  BOOST_TEST(!last<end_stream>().complete);
  BOOST_TEST(subject.active() == 0U);
}

BOOST_AUTO_TEST_CASE(stream_that_breaks_while_paused_is_resumed_paused) {
  const auto first = begin("/stream/x");
  close_window();
  happen(stream_closed{first.call, false});
  const auto second = last<start_call>();
  BOOST_TEST(second.call != first.call);
  BOOST_TEST(last<pause_call>().call == second.call);
  open_window();
  BOOST_TEST(last<resume_call>().call == second.call);
}

BOOST_AUTO_TEST_CASE(bytes_of_an_event_that_is_not_whole_are_counted_and_returned) {
  const auto budget = std::make_shared<flow::byte_budget>(1'000);
  subject.set_budget(budget);
  const auto call = begin("/stream/x");
  BOOST_TEST(budget->held(flow::byte_holder::partial_events) == 8U);
  happen(stream_bytes{call.call, "ta: y\n\n"});
  BOOST_TEST(budget->held() == 0U);
  happen(stream_bytes{call.call, "id: 3\nda"});
  happen(client_disconnected{1});
  BOOST_TEST(budget->held() == 0U);
}

BOOST_AUTO_TEST_CASE(event_beyond_memory_ends_stream_as_incomplete) {
  const auto budget = std::make_shared<flow::byte_budget>(1'000);
  subject.set_budget(budget);
  const auto call = begin("/fixed/x");
  happen(stream_bytes{call.call, std::string(2'000, 'x')});
  BOOST_TEST(!last<end_stream>().complete);
  BOOST_TEST(last<cancel_call>().call == call.call);
  BOOST_TEST(budget->held() == 0U);
}

BOOST_AUTO_TEST_CASE(answer_that_waits_for_memory_does_not_count_as_stalled) {
  for (const std::string path : {"/safe/x", "/unsafe/x"}) {
    const base::caller_id client = path == "/safe/x" ? 91 : 92;
    arrive(client, path);
    const auto call = last<start_call>();
    const auto calls_before = all<start_call>().size();
    happen(answer_paused{call.call});
    pass(std::chrono::seconds(3));
    BOOST_TEST(all<start_call>().size() == calls_before);
    happen(call_answered{call.call, good_head(), "body"});
    BOOST_TEST(last<respond>().client == client);
    BOOST_TEST(last<respond>().status == 200U);
  }
}

BOOST_AUTO_TEST_CASE(answer_that_stalls_after_resumption_is_retried) {
  arrive(1, "/safe/x");
  const auto call = last<start_call>();
  happen(answer_paused{call.call});
  pass(seconds(3));
  BOOST_TEST(all<start_call>().size() == 1U);
  happen(answer_resumed{call.call});
  pass(milliseconds(600));
  BOOST_TEST(all<start_call>().size() == 1U);
  // The remainder of the answer does not arrive, so the call is retried at another replica.
  pass(milliseconds(400));
  BOOST_TEST(all<start_call>().size() == 2U);
  BOOST_TEST(last<cancel_call>().call == call.call);
}

BOOST_AUTO_TEST_CASE(answer_dropped_for_memory_is_no_replica_failure) {
  arrive(1, "/safe/x");
  const auto first = last<start_call>();
  happen(call_failed{first.call, call_failure::no_memory});
  // The request may be retried, even at the same replica.
  BOOST_REQUIRE(all<start_call>().size() == 2U);
  happen(call_failed{last<start_call>().call, call_failure::no_memory});
  BOOST_TEST(last<respond>().status == 502U);
  BOOST_TEST(subject.replicas().find(first.target.replica)->failure_share == 0);
}

BOOST_AUTO_TEST_SUITE_END()
