/// Requests before, during and after the begin of a planned stop, through their whole life.
#include "serving_fixture.h"

#include <map>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds stop_time{7'300};

/// A dispatcher that has served some streams, which last two seconds from their first event.
struct stopping_dispatcher : dispatcher_driver {
  stopping_dispatcher() { time_allowed = seconds(15); }

  /// @param pieces of the stages, of which the first has one where there are any.
  void learn(const std::string& path, const std::vector<std::uint32_t>& pieces = {}) {
    constexpr base::caller_id streams = 4;
    for (base::caller_id client = 1; client <= streams; ++client) {
      arrive(client, path, pieces);
      if (!pieces.empty()) {
        pass(milliseconds(20));
        finish_stage();
      }
      stream_of_last_call(milliseconds(200), seconds(2));
    }
  }

  /// The latest call of a stage makes its one piece.
  void finish_stage() {
    stage_call_ended made;
    made.call = last<start_stage_call>().call;
    made.how = stage_call_ended::result::answered;
    made.pieces = {{piece_fault::none, "10.0.0.1:80/h"}};
    happen(made);
  }

  void stream_of_last_call(base::duration to_first_event, base::duration events) {
    const auto call = last<start_call>().call;
    pass(to_first_event);
    happen(stream_opened{call, good_head()});
    next_event(call);
    // Events come more often than a stall is suspected.
    for (base::duration passed{}; passed < events; passed += milliseconds(500)) {
      pass(milliseconds(500));
      next_event(call);
    }
    happen(stream_closed{call, true});
  }

  /// The next event of the stream of a call.
  void next_event(base::call_id call) {
    const auto id = std::to_string(++events_of[call]);
    happen(stream_bytes{call, "id: " + id + "\ndata: a\n\n"});
  }

  void stop() {
    stop_began = now;
    subject.begin_stop(now, now + stop_time);
  }

  base::time_point stop_began;
  std::map<base::call_id, unsigned> events_of;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(planned_stop_requests_test, stopping_dispatcher)

BOOST_AUTO_TEST_CASE(a_stream_that_arrives_with_time_enough_is_served) {
  learn("/fixed/x");
  stop();
  pass(seconds(1));
  const auto calls = all<start_call>().size();
  arrive(10, "/fixed/x");
  BOOST_TEST(all<start_call>().size() == calls + 1);
  BOOST_TEST(subject.counts().taken_while_stopping == 1U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_arrives_too_late_is_refused_at_once) {
  learn("/fixed/x");
  stop();
  pass(milliseconds(5'200));
  const auto calls = all<start_call>().size();
  arrive(10, "/fixed/x");
  BOOST_TEST(all<start_call>().size() == calls);
  BOOST_TEST(last<respond>().client == 10U);
  BOOST_TEST(last<respond>().status == 503);
  BOOST_TEST(subject.counts().refused_while_stopping == 1U);
  BOOST_TEST(subject.active() == 0);
}

BOOST_AUTO_TEST_CASE(a_stream_whose_stages_took_too_long_is_not_sent_any_more) {
  learn("/staged/x", {1, 0});
  arrive(10, "/staged/x", {1, 0});
  const auto calls = all<start_call>().size();
  pass(milliseconds(20));
  stop();
  pass(milliseconds(5'500));
  BOOST_TEST(subject.active() == 1U);
  finish_stage();
  pass(milliseconds(10));
  BOOST_TEST(all<start_call>().size() == calls);
  BOOST_TEST(last<respond>().client == 10U);
  BOOST_TEST(last<respond>().status == 503);
}

BOOST_AUTO_TEST_CASE(a_stream_that_breaks_when_the_time_is_short_is_not_begun_anew) {
  learn("/stream/x");
  arrive(10, "/stream/x");
  const auto call = last<start_call>().call;
  happen(stream_opened{call, good_head()});
  next_event(call);
  stop();
  for (int steps = 0; steps < 11; ++steps) {
    pass(milliseconds(500));
    next_event(call);
  }
  const auto calls = all<start_call>().size();
  happen(stream_closed{call, false});
  BOOST_TEST(all<start_call>().size() == calls);
  BOOST_TEST(!last<end_stream>().complete);
  BOOST_TEST(subject.active() == 0);
}

BOOST_AUTO_TEST_CASE(short_requests_are_served_until_the_end_of_the_stop) {
  constexpr base::caller_id seen_before = 4;
  for (base::caller_id client = 1; client <= seen_before; ++client) {
    arrive(client, "/unsafe/x");
    pass(milliseconds(50));
    happen(call_answered{last<start_call>().call, good_head(), "body"});
  }
  stop();
  pass(milliseconds(6'500));
  arrive(10, "/unsafe/x");
  happen(call_answered{last<start_call>().call, good_head(), "body"});
  BOOST_TEST(last<respond>().status == 200);
  pass(milliseconds(700));
  arrive(11, "/unsafe/x");
  BOOST_TEST(last<respond>().status == 503);
}

BOOST_AUTO_TEST_CASE(of_streams_asked_for_all_through_a_stop_none_is_cut) {
  // A crowd that asks as long as the process is there, for streams of drawn lengths.
  for (unsigned seed = 1; seed <= 20; ++seed) {
    stopping_dispatcher node;
    node.learn("/fixed/x");
    node.stop();
    base::seeded_random drawn(seed);
    std::map<base::call_id, base::time_point> ends;
    base::caller_id client = 100;
    while (node.now - node.stop_began < stop_time) {
      const auto calls = node.all<start_call>().size();
      node.arrive(++client, "/fixed/x");
      if (node.all<start_call>().size() > calls) {
        const auto call = node.last<start_call>().call;
        node.happen(stream_opened{call, node.good_head()});
        node.next_event(call);
        ends[call] = node.now + milliseconds(500 + drawn.below(1'500));
      }
      node.pass(milliseconds(100));
      std::erase_if(ends, [&](const auto& running) {
        const bool is_over = running.second <= node.now;
        node.next_event(running.first);
        if (is_over) {
          node.happen(stream_closed{running.first, true});
        }
        return is_over;
      });
    }
    node.subject.give_up_all(node.now);
    BOOST_TEST(node.subject.counts().given_up_at_stop == 0U);
    BOOST_TEST(node.subject.counts().taken_while_stopping > 0U);
    BOOST_TEST(node.subject.counts().refused_while_stopping > 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
