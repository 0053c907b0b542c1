/// Requests that arrive before and during a graceful stop, through their whole lifecycle.
#include "stopping_dispatcher.h"

#include <map>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(planned_stop_requests_test, stopping_dispatcher)

BOOST_AUTO_TEST_CASE(stream_with_enough_time_is_accepted) {
  learn_run_times("/fixed/x");
  begin_stop();
  advance_time(seconds(1));
  const auto calls = all<start_call>().size();
  send_request(10, "/fixed/x");
  BOOST_TEST(all<start_call>().size() == calls + 1);
  BOOST_TEST(subject.counts().accepted_while_stopping == 1U);
}

BOOST_AUTO_TEST_CASE(stream_without_enough_time_is_refused) {
  learn_run_times("/fixed/x");
  begin_stop();
  advance_time(milliseconds(5'200));
  const auto calls = all<start_call>().size();
  send_request(10, "/fixed/x");
  BOOST_TEST(all<start_call>().size() == calls);
  BOOST_TEST(last<respond>().client == 10U);
  BOOST_TEST(last<respond>().status == 503);
  BOOST_TEST(subject.counts().refused_while_stopping == 1U);
  BOOST_TEST(subject.active_requests() == 0);
}

BOOST_AUTO_TEST_CASE(stream_whose_stages_end_too_late_is_not_sent) {
  learn_run_times("/staged/x", {1, 0});
  send_request(10, "/staged/x", {1, 0});
  const auto calls = all<start_call>().size();
  advance_time(milliseconds(20));
  begin_stop();
  advance_time(milliseconds(5'500));
  BOOST_TEST(subject.active_requests() == 1U);
  complete_stage_call();
  advance_time(milliseconds(10));
  BOOST_TEST(all<start_call>().size() == calls);
  BOOST_TEST(last<respond>().client == 10U);
  BOOST_TEST(last<respond>().status == 503);
}

BOOST_AUTO_TEST_CASE(broken_stream_without_enough_time_is_not_retried) {
  learn_run_times("/stream/x");
  send_request(10, "/stream/x");
  const auto call = last<start_call>().call;
  deliver(stream_opened{call, good_head()});
  send_next_event(call);
  begin_stop();
  for (int steps = 0; steps < 11; ++steps) {
    advance_time(milliseconds(500));
    send_next_event(call);
  }
  const auto calls = all<start_call>().size();
  deliver(stream_closed{call, false});
  BOOST_TEST(all<start_call>().size() == calls);
  BOOST_TEST(!last<end_stream>().complete);
  BOOST_TEST(subject.active_requests() == 0);
}

BOOST_AUTO_TEST_CASE(short_requests_are_accepted_longer_than_streams) {
  constexpr base::caller_id completed_requests = 4;
  for (base::caller_id client = 1; client <= completed_requests; ++client) {
    send_request(client, "/safe/x");
    advance_time(milliseconds(50));
    deliver(call_answered{last<start_call>().call, good_head(), "body"});
  }
  begin_stop();
  advance_time(milliseconds(3'400));
  send_request(10, "/safe/x");
  deliver(call_answered{last<start_call>().call, good_head(), "body"});
  BOOST_TEST(last<respond>().status == 200);
  advance_time(milliseconds(200));
  send_request(11, "/safe/x");
  BOOST_TEST(last<respond>().status == 503);
}

/// Guards against requests that may run only once and are cut at the end of a stop, since they were
/// passed on in the hope that they would be as short as earlier ones.
BOOST_AUTO_TEST_CASE(of_single_runs_asked_for_all_through_a_stop_none_is_cut) {
  for (const auto allowed : {milliseconds(1'500), milliseconds(15'000)}) {
    stopping_dispatcher node;
    node.time_allowed = allowed;
    for (base::caller_id client = 1; client <= 8; ++client) {
      node.send_request(client, "/unsafe/x");
      node.advance_time(milliseconds(50));
      node.deliver(call_answered{node.last<start_call>().call, node.good_head(), "body"});
    }
    node.begin_stop();
    base::caller_id client = 100;
    while (node.now - node.stop_began_at < stop_duration) {
      // The replica is slower now, and answers none of them in time.
      const auto calls = node.all<start_call>().size();
      const auto answers = node.all<respond>().size();
      node.send_request(++client, "/unsafe/x");
      const bool was_sent = node.all<start_call>().size() > calls;
      const bool is_sure_to_end = node.now + allowed <= node.stop_began_at + stop_duration;
      BOOST_TEST((!was_sent || is_sure_to_end));
      if (!is_sure_to_end) {
        BOOST_REQUIRE(node.all<respond>().size() == answers + 1);
        BOOST_TEST(node.last<respond>().status == 503);
      }
      node.advance_time(milliseconds(100));
    }
    node.subject.abort_all_requests(node.now);
    BOOST_TEST(node.subject.counts().aborted_at_stop == 0U);
  }
}

BOOST_AUTO_TEST_CASE(of_streams_asked_for_all_through_a_stop_none_is_cut) {
  // A client requests streams of random lengths every 100 ms until the end of the stop.
  for (unsigned seed = 1; seed <= 20; ++seed) {
    stopping_dispatcher node;
    node.learn_run_times("/fixed/x");
    node.begin_stop();
    base::seeded_random random(seed);
    std::map<base::call_id, base::time_point> ends_by_call;
    base::caller_id client = 100;
    while (node.now - node.stop_began_at < stop_duration) {
      const auto calls = node.all<start_call>().size();
      node.send_request(++client, "/fixed/x");
      if (node.all<start_call>().size() > calls) {
        const auto call = node.last<start_call>().call;
        node.deliver(stream_opened{call, node.good_head()});
        node.send_next_event(call);
        ends_by_call[call] = node.now + milliseconds(500 + random.below(1'500));
      }
      node.advance_time(milliseconds(100));
      std::erase_if(ends_by_call, [&](const auto& entry) {
        const bool has_ended = entry.second <= node.now;
        node.send_next_event(entry.first);
        if (has_ended) {
          node.deliver(stream_closed{entry.first, true});
        }
        return has_ended;
      });
    }
    node.subject.abort_all_requests(node.now);
    BOOST_TEST(node.subject.counts().aborted_at_stop == 0U);
    BOOST_TEST(node.subject.counts().accepted_while_stopping > 0U);
    BOOST_TEST(node.subject.counts().refused_while_stopping > 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
