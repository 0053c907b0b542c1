/// Retries, resumed streams and streams of slow clients during a graceful stop.
#include "stopping_dispatcher.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct stop_retries_driver : stopping_dispatcher {
  /// Completes calls of a route without streams, so that the dispatcher learns their time.
  void learn_call_times(const std::string& path, base::duration call_time) {
    constexpr base::caller_id calls = 4;
    for (base::caller_id client = 1; client <= calls; ++client) {
      send_request(client, path);
      advance_time(call_time);
      deliver(call_answered{last<start_call>().call, good_head(), "body"});
    }
  }

  /// Begins a stop after the first event of a stream.
  /// @return call of the stream.
  base::call_id stream_before_stop(const std::string& path) {
    learn_run_times(path);
    send_request(10, path);
    const auto call = last<start_call>().call;
    deliver(stream_opened{call, good_head()});
    send_next_event(call);
    begin_stop();
    return call;
  }

  /// Sends an event of the stream every 500 ms for the given time.
  void continue_stream(base::call_id call, base::duration span) {
    for (base::duration elapsed{}; elapsed < span; elapsed += milliseconds(500)) {
      advance_time(milliseconds(500));
      send_next_event(call);
    }
  }

  void report_unresponsive(const base::replica_id& replica) {
    wire::replica_news message;
    auto& entry = *message.add_evidence();
    entry.set_replica(replica.text());
    entry.set_sign(wire::SIGN_SILENT);
    subject.handle_peer(base::node_id("other"), message, now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(planned_stop_retries_test, stop_retries_driver)

BOOST_AUTO_TEST_CASE(failed_answer_without_time_for_retry_is_forwarded) {
  learn_call_times("/safe/x", milliseconds(400));
  subject.begin_stop(now, now + seconds(1));
  advance_time(milliseconds(400));
  send_request(10, "/safe/x");
  advance_time(milliseconds(300));
  const auto calls = all<start_call>().size();
  deliver(call_answered{last<start_call>().call, good_head(500), "failed"});
  BOOST_TEST(all<start_call>().size() == calls);
  BOOST_TEST(last<respond>().status == 500);
  BOOST_TEST(last<respond>().body == "failed");
  BOOST_TEST(subject.active_requests() == 0);
  // A retry that is not sent does not use retry budget.
  BOOST_TEST(subject.counts().retries == 0U);
}

BOOST_AUTO_TEST_CASE(paused_stream_is_buffered_while_stopping) {
  const auto call = stream_before_stop("/stream/x");
  // The stop leaves time to resume the stream now, but nobody knows when the client reads on.
  continue_stream(call, seconds(2));
  deliver(client_window{10, false});
  advance_time(milliseconds(1'600));
  BOOST_TEST(subject.counts().streams_suspended == 0U);
  BOOST_TEST(last<read_ahead>().client == 10U);
  deliver(client_window{10, true});
  send_next_event(call);
  deliver(stream_closed{call, true});
  BOOST_TEST(last<end_stream>().complete);
}

BOOST_AUTO_TEST_CASE(broken_stream_is_resumed_if_remainder_can_end_before_stop_ends) {
  learn_run_times("/stream/x");
  send_request(10, "/stream/x");
  const auto call = last<start_call>().call;
  deliver(stream_opened{call, good_head()});
  send_next_event(call);
  continue_stream(call, milliseconds(1'500));
  // The stop leaves less time than a whole run of the stream takes, but more than a first event and
  // half a second of further events take.
  subject.begin_stop(now, now + milliseconds(1'800));
  const auto calls = all<start_call>().size();
  deliver(stream_closed{call, false});
  BOOST_REQUIRE(all<start_call>().size() == calls + 1);
  BOOST_TEST(last<start_call>().resume_after.has_value());
}

BOOST_AUTO_TEST_CASE(unresponsive_replica_breaks_off_no_stream_while_stopping) {
  subject.set_peers(
      {{base::node_id("other"), base::zone_id("a"), base::network_address("other:1"), 1}}, 1);
  const auto call = stream_before_stop("/stream/x");
  const auto replica = last<start_call>().target.replica;
  continue_stream(call, milliseconds(4'500));
  const auto calls = all<start_call>().size();
  // The stall timeout: two and a half times the target gap between events.
  advance_time(milliseconds(1'260));
  report_unresponsive(replica);
  advance_time(milliseconds(1'000));
  BOOST_TEST(all<start_call>().size() == calls);
  BOOST_TEST(subject.active_requests() == 1U);
  send_next_event(call);
  deliver(stream_closed{call, true});
  BOOST_TEST(last<end_stream>().complete);
}

BOOST_AUTO_TEST_CASE(stream_resumed_by_client_is_not_recorded_as_whole_run) {
  // Whole streams of two seconds, and then requests that resume such streams near their end.
  learn_run_times("/fixed/x");
  constexpr base::caller_id resumed_streams = 40;
  for (base::caller_id client = 11; client < 11 + resumed_streams; ++client) {
    auto content = content_for(client, "/fixed/x");
    content->resume_after = 5;
    deliver(request_arrived{client, content, now});
    const auto call = last<start_call>().call;
    deliver(stream_opened{call, good_head()});
    deliver(stream_bytes{call, "id: 6\ndata: a\n\n"});
    deliver(stream_closed{call, true});
  }
  // The stop leaves too little time for a whole stream of two seconds, but enough for the remainder
  // of a resumed stream.
  subject.begin_stop(now, now + milliseconds(1'500));
  const auto calls = all<start_call>().size();
  send_request(100, "/fixed/x");
  BOOST_TEST(all<start_call>().size() == calls);
  BOOST_TEST(last<respond>().status == 503);
}

BOOST_AUTO_TEST_SUITE_END()
