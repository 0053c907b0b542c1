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
    send_request(1, path);
    auto call = last<start_call>();
    deliver(stream_opened{call.call, good_head()});
    deliver(stream_bytes{call.call, "id: 1\ndata: x\n\nid: 2\nda"});
    return call;
  }
  void close_window() { deliver(client_window{1, false}); }
  void open_window() { deliver(client_window{1, true}); }

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
  advance_time(milliseconds(1'000));
  open_window();
  BOOST_TEST(last<resume_call>().call == call.call);
  deliver(stream_bytes{call.call, "ta: y\n\n"});
  deliver(stream_closed{call.call, true});
  BOOST_TEST(forwarded_bytes() == "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
  BOOST_TEST(last<end_stream>().complete);
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(subject.counts().slow_clients == 0U);
}

BOOST_AUTO_TEST_CASE(paused_stream_does_not_count_as_stalled) {
  // Without an event identifier the stream cannot be resumed, so it is neither suspended nor
  // retried; a probe shows that it counts as stalled.
  send_request(1, "/stream/x");
  const auto call = last<start_call>();
  deliver(stream_opened{call.call, good_head()});
  deliver(stream_bytes{call.call, "data: x\n\n"});
  close_window();
  // Bytes that the replica had sent before the pause must not restart the stall timeout.
  deliver(stream_bytes{call.call, "data: y\n\n"});
  advance_time(seconds(10));
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(all<cancel_call>().empty());
  BOOST_TEST(all<probe_replica>().empty());
  // The stall timeout applies again after the client reads on.
  open_window();
  advance_time(seconds(3));
  BOOST_TEST(!all<probe_replica>().empty());
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(all<cancel_call>().empty());
}

BOOST_AUTO_TEST_CASE(stall_timeout_moves_a_stream_after_its_client_reads_on) {
  const auto call = begin("/stream/x");
  close_window();
  deliver(stream_bytes{call.call, "ta: y\n\n"});
  advance_time(milliseconds(1'400));
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(all<cancel_call>().empty());
  open_window();
  advance_time(seconds(3));
  BOOST_REQUIRE(all<start_call>().size() == 2U);
  BOOST_TEST(last<start_call>().resume_after.value() == 2U);
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_is_let_go_and_taken_up_at_the_last_event) {
  const auto first = begin("/stream/x");
  close_window();
  advance_time(milliseconds(1'600));
  BOOST_TEST(last<cancel_call>().call == first.call);
  BOOST_TEST(subject.counts().streams_suspended == 1U);
  advance_time(seconds(8));
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(all<end_stream>().empty());
  open_window();
  BOOST_REQUIRE(all<start_call>().size() == 2U);
  const auto second = last<start_call>();
  BOOST_REQUIRE(second.resume_after.has_value());
  BOOST_TEST(*second.resume_after == 1U);
  deliver(stream_opened{second.call, good_head()});
  deliver(stream_bytes{second.call, "id: 2\ndata: y\n\n"});
  deliver(stream_closed{second.call, true});
  // The partial event of the first run is not mixed into the second run.
  BOOST_TEST(forwarded_bytes() == "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
  BOOST_TEST(all<open_stream>().size() == 1U);
  BOOST_TEST(last<end_stream>().complete);
  BOOST_TEST(subject.counts().suspended_streams_resumed == 1U);
  BOOST_TEST(subject.active_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_may_run_once_is_buffered_and_never_sent_twice) {
  const auto call = begin("/fixed/x");
  close_window();
  advance_time(milliseconds(1'600));
  BOOST_TEST(last<read_ahead>().client == 1U);
  BOOST_TEST(all<cancel_call>().empty());
  // Memory may become free later, so buffering is requested again while the window stays closed.
  advance_time(milliseconds(1'600));
  BOOST_TEST(all<read_ahead>().size() == 2U);
  open_window();
  BOOST_TEST(last<resume_call>().call == call.call);
  advance_time(seconds(5));
  BOOST_TEST(all<read_ahead>().size() == 2U);
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(subject.counts().slow_clients == 1U);
}

BOOST_AUTO_TEST_CASE(stream_without_attempt_left_is_buffered) {
  begin("/stream/x");
  close_window();
  advance_time(milliseconds(1'600));
  open_window();
  const auto second = last<start_call>();
  deliver(stream_opened{second.call, good_head()});
  deliver(stream_bytes{second.call, "id: 2\ndata: y\n\n"});
  close_window();
  advance_time(milliseconds(1'600));
  BOOST_TEST(last<read_ahead>().client == 1U);
  BOOST_TEST(all<start_call>().size() == 2U);
  BOOST_TEST(subject.counts().streams_suspended == 1U);
}

BOOST_AUTO_TEST_CASE(a_client_that_leaves_while_let_go_gets_nothing_sent) {
  begin("/stream/x");
  close_window();
  advance_time(milliseconds(1'600));
  deliver(client_disconnected{1, disconnect_reason::unread});
  open_window();
  advance_time(seconds(3));
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(subject.active_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(disconnect_while_paused_cancels_call) {
  const auto call = begin("/fixed/x");
  close_window();
  deliver(client_disconnected{1});
  BOOST_TEST(last<cancel_call>().call == call.call);
  BOOST_TEST(subject.active_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(one_let_go_past_its_deadline_ends_as_not_whole) {
  time_allowed = seconds(5);
  begin("/stream/x");
  close_window();
  advance_time(seconds(6));
  BOOST_TEST(!last<end_stream>().complete);
  BOOST_TEST(subject.active_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(stream_that_breaks_while_paused_is_resumed_paused) {
  const auto first = begin("/stream/x");
  close_window();
  deliver(stream_closed{first.call, false});
  const auto second = last<start_call>();
  BOOST_TEST(second.call != first.call);
  BOOST_TEST(last<pause_call>().call == second.call);
  open_window();
  BOOST_TEST(last<resume_call>().call == second.call);
}

BOOST_AUTO_TEST_CASE(bytes_of_an_event_that_is_not_whole_are_counted_and_returned) {
  const auto budget = std::make_shared<flow::byte_budget>(1'000);
  subject.set_byte_budget(budget);
  const auto call = begin("/stream/x");
  BOOST_TEST(budget->held(flow::byte_holder::partial_events) == 8U);
  deliver(stream_bytes{call.call, "ta: y\n\n"});
  BOOST_TEST(budget->held() == 0U);
  deliver(stream_bytes{call.call, "id: 3\nda"});
  deliver(client_disconnected{1});
  BOOST_TEST(budget->held() == 0U);
}

BOOST_AUTO_TEST_CASE(event_beyond_memory_ends_stream_as_incomplete) {
  const auto budget = std::make_shared<flow::byte_budget>(1'000);
  subject.set_byte_budget(budget);
  const auto call = begin("/fixed/x");
  deliver(stream_bytes{call.call, std::string(2'000, 'x')});
  BOOST_TEST(!last<end_stream>().complete);
  BOOST_TEST(last<cancel_call>().call == call.call);
  BOOST_TEST(budget->held() == 0U);
}

BOOST_AUTO_TEST_CASE(answer_that_waits_for_memory_does_not_count_as_stalled) {
  for (const std::string path : {"/safe/x", "/unsafe/x"}) {
    const base::caller_id client = path == "/safe/x" ? 91 : 92;
    send_request(client, path);
    const auto call = last<start_call>();
    const auto calls_before = all<start_call>().size();
    deliver(answer_paused{call.call});
    advance_time(std::chrono::seconds(3));
    BOOST_TEST(all<start_call>().size() == calls_before);
    deliver(call_answered{call.call, good_head(), "body"});
    BOOST_TEST(last<respond>().client == client);
    BOOST_TEST(last<respond>().status == 200U);
  }
}

BOOST_AUTO_TEST_CASE(answer_that_stalls_after_resumption_is_retried) {
  send_request(1, "/safe/x");
  const auto call = last<start_call>();
  deliver(answer_paused{call.call});
  advance_time(seconds(3));
  BOOST_TEST(all<start_call>().size() == 1U);
  deliver(answer_resumed{call.call});
  advance_time(milliseconds(600));
  BOOST_TEST(all<start_call>().size() == 1U);
  // The remainder of the answer does not arrive, so the call is retried at another replica.
  advance_time(milliseconds(400));
  BOOST_TEST(all<start_call>().size() == 2U);
  BOOST_TEST(last<cancel_call>().call == call.call);
}

BOOST_AUTO_TEST_CASE(answer_dropped_for_memory_is_no_replica_failure) {
  send_request(1, "/safe/x");
  const auto first = last<start_call>();
  deliver(call_failed{first.call, call_failure::no_memory});
  // The request may be retried, even at the same replica.
  BOOST_REQUIRE(all<start_call>().size() == 2U);
  deliver(call_failed{last<start_call>().call, call_failure::no_memory});
  BOOST_TEST(last<respond>().status == 502U);
  BOOST_TEST(subject.replicas().find(first.target.replica)->failure_share == 0);
}

BOOST_AUTO_TEST_SUITE_END()
