/// What becomes of second chances during a planned stop: repeats, loans, streams that wait for a
/// slow reader.
#include "stopping_dispatcher.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct short_of_time : stopping_dispatcher {
  /// Runs of a route that answers as a whole.
  void learn_answers(const std::string& path, base::duration lasting) {
    constexpr base::caller_id answers = 4;
    for (base::caller_id client = 1; client <= answers; ++client) {
      arrive(client, path);
      pass(lasting);
      happen(call_answered{last<start_call>().call, good_head(), "body"});
    }
  }

  /// A stream that has passed its first event on when the stop begins.
  base::call_id stream_before_stop(const std::string& path) {
    learn(path);
    arrive(10, path);
    const auto call = last<start_call>().call;
    happen(stream_opened{call, good_head()});
    next_event(call);
    stop();
    return call;
  }

  /// The stream goes on for a time.
  void go_on(base::call_id call, base::duration span) {
    for (base::duration passed{}; passed < span; passed += milliseconds(500)) {
      pass(milliseconds(500));
      next_event(call);
    }
  }

  void told_silent(const base::replica_id& replica) {
    wire::replica_news news;
    auto& said = *news.add_evidence();
    said.set_replica(replica.text());
    said.set_sign(wire::SIGN_SILENT);
    subject.handle_peer(base::node_id("other"), news, now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(planned_stop_repeats_test, short_of_time)

BOOST_AUTO_TEST_CASE(a_failed_answer_that_cannot_be_asked_for_again_is_passed_on) {
  learn_answers("/safe/x", milliseconds(400));
  subject.begin_stop(now, now + seconds(1));
  pass(milliseconds(400));
  arrive(10, "/safe/x");
  pass(milliseconds(300));
  const auto calls = all<start_call>().size();
  happen(call_answered{last<start_call>().call, good_head(500), "failed"});
  BOOST_TEST(all<start_call>().size() == calls);
  BOOST_TEST(last<respond>().status == 500);
  BOOST_TEST(last<respond>().body == "failed");
  BOOST_TEST(subject.active() == 0);
  // Nor is anything taken from the share of repeats for what is not sent.
  BOOST_TEST(subject.counts().repeats == 0U);
}

BOOST_AUTO_TEST_CASE(a_stream_whose_client_pauses_is_not_let_go_while_stopping) {
  const auto call = stream_before_stop("/stream/x");
  // Now there would be time to take it up again, but it ends only when the client reads on.
  go_on(call, seconds(2));
  happen(client_window{10, false});
  pass(milliseconds(1'600));
  BOOST_TEST(subject.counts().streams_let_go == 0U);
  BOOST_TEST(last<widen_window>().client == 10U);
  happen(client_window{10, true});
  next_event(call);
  happen(stream_closed{call, true});
  BOOST_TEST(last<end_stream>().complete);
}

BOOST_AUTO_TEST_CASE(a_stream_that_breaks_off_is_taken_up_where_there_is_time_for_its_rest) {
  learn("/stream/x");
  arrive(10, "/stream/x");
  const auto call = last<start_call>().call;
  happen(stream_opened{call, good_head()});
  next_event(call);
  go_on(call, milliseconds(1'500));
  // Less than a whole run needs, more than a first event and half a second.
  subject.begin_stop(now, now + milliseconds(1'800));
  const auto calls = all<start_call>().size();
  happen(stream_closed{call, false});
  BOOST_REQUIRE(all<start_call>().size() == calls + 1);
  BOOST_TEST(last<start_call>().resume_after.has_value());
}

BOOST_AUTO_TEST_CASE(a_stop_ends_no_stream_for_the_silence_of_its_replica) {
  subject.set_peers(
      {{base::node_id("other"), base::zone_id("a"), base::network_address("other:1"), 1}}, 1);
  const auto call = stream_before_stop("/stream/x");
  const auto replica = last<start_call>().target.replica;
  go_on(call, milliseconds(4'500));
  const auto calls = all<start_call>().size();
  // Two and a half times the longest pause in time.
  pass(milliseconds(1'260));
  told_silent(replica);
  pass(milliseconds(1'000));
  BOOST_TEST(all<start_call>().size() == calls);
  BOOST_TEST(subject.active() == 1U);
  next_event(call);
  happen(stream_closed{call, true});
  BOOST_TEST(last<end_stream>().complete);
}

BOOST_AUTO_TEST_CASE(the_rest_of_a_stream_that_a_client_resumes_is_no_whole_run) {
  // Streams of two seconds, and their last tenths that clients ask for again.
  learn("/fixed/x");
  constexpr base::caller_id resumed = 40;
  for (base::caller_id client = 11; client < 11 + resumed; ++client) {
    auto content = content_for(client, "/fixed/x");
    content->resume_after = 5;
    happen(request_arrived{client, content, now});
    const auto call = last<start_call>().call;
    happen(stream_opened{call, good_head()});
    happen(stream_bytes{call, "id: 6\ndata: a\n\n"});
    happen(stream_closed{call, true});
  }
  // Too short for two seconds, and long enough for the rest of one.
  subject.begin_stop(now, now + milliseconds(1'500));
  const auto calls = all<start_call>().size();
  arrive(100, "/fixed/x");
  BOOST_TEST(all<start_call>().size() == calls);
  BOOST_TEST(last<respond>().status == 503);
}

BOOST_AUTO_TEST_SUITE_END()
