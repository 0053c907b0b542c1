/// How long runs last, as learned from recent ones.
#include "dispatch/run_times.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;

namespace {

/// What is expected beyond the longest run that counts.
constexpr double headroom_factor = 1.1;

double seconds(const run_time& run) {
  return base::to_seconds(run.time_to_first_event + run.streaming_time);
}

} // namespace

BOOST_AUTO_TEST_SUITE(run_times_test)

BOOST_AUTO_TEST_CASE(a_route_with_few_runs_is_taken_for_like_others_of_its_service) {
  run_times subject;
  const auto usual = seconds(subject.upper_estimate("route", "service", 10));
  for (int run = 0; run < 3; ++run) {
    subject.note_run("route", "service", 10, {milliseconds(100), milliseconds(500)});
  }
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 10)) == usual);
  subject.note_run("sibling", "service", 10, {milliseconds(100), milliseconds(900)});
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 10)) == headroom_factor * 1.2,
             boost::test_tools::tolerance(0.001));
  subject.note_run("route", "service", 10, {milliseconds(100), milliseconds(500)});
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 10)) == headroom_factor * 0.6,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(seconds(subject.upper_estimate("route", "elsewhere", 10)) == headroom_factor * 0.6,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(seconds(subject.upper_estimate("other", "elsewhere", 10)) == usual);
}

BOOST_AUTO_TEST_CASE(without_tokens_a_new_route_is_not_taken_for_short_like_others_of_its_service) {
  run_times subject;
  const auto usual = seconds(subject.upper_estimate("route", "service", 0));
  for (int run = 0; run < 8; ++run) {
    subject.note_run("short", "service", 0, {milliseconds(100), milliseconds(200)});
  }
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 0)) == usual);
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 300)) ==
             seconds(subject.upper_estimate("route", "other", 300)));
}

BOOST_AUTO_TEST_CASE(while_nothing_is_known_longer_answers_are_expected_to_last_longer) {
  const run_times subject;
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 1000)) >
             2 * seconds(subject.upper_estimate("route", "service", 300)));
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 0)) > 1.0);
}

BOOST_AUTO_TEST_CASE(streams_last_by_the_tokens_asked_for) {
  run_times subject;
  for (int run = 0; run < 8; ++run) {
    subject.note_run("route", "service", 100, {milliseconds(200), milliseconds(1000)});
  }
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 100)) == headroom_factor * 1.2,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 300)) == headroom_factor * 3.2,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(the_fewer_runs_that_differ_are_known_the_more_is_expected_beyond_them) {
  run_times subject;
  const auto note = [&](int milliseconds_of_run) {
    subject.note_run("route", "service", 0, {{}, milliseconds(milliseconds_of_run)});
  };
  for (const int run : {3000, 4500, 3500, 4000}) {
    note(run);
  }
  // Longer than any, by half of how far they differ: such streams last up to six seconds.
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 0)) == headroom_factor * 5.25,
             boost::test_tools::tolerance(0.001));
  for (int repeat = 0; repeat < 3; ++repeat) {
    for (const int run : {3000, 4500, 3500, 4500}) {
      note(run);
    }
  }
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 0)) == headroom_factor * 4.875,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(of_sixteen_runs_one_may_be_longer) {
  run_times subject;
  for (int run = 1; run <= 16; ++run) {
    subject.note_run("route", "service", 0, {milliseconds(100 * run), {}});
  }
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 0)) == headroom_factor * 1.85,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(what_load_did_long_ago_is_forgotten) {
  run_times subject;
  for (int run = 0; run < 8; ++run) {
    subject.note_run("route", "service", 0, {milliseconds(5000), {}});
  }
  for (int run = 0; run < 32; ++run) {
    subject.note_run("route", "service", 0, {milliseconds(100), {}});
  }
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 0)) == headroom_factor * 0.1,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(
    whether_a_client_says_how_many_tokens_it_wants_makes_no_run_longer_or_shorter) {
  run_times subject;
  for (int run = 0; run < 8; ++run) {
    subject.note_run("stated", "engine", 100, {milliseconds(200), milliseconds(1000)});
    subject.note_run("unstated", "other", 0, {milliseconds(200), milliseconds(1000)});
  }
  BOOST_TEST(seconds(subject.upper_estimate("stated", "engine", 0)) == headroom_factor * 1.2,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(seconds(subject.upper_estimate("unstated", "other", 500)) == headroom_factor * 1.2,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(runs_that_did_not_say_their_tokens_do_not_change_the_time_of_a_token) {
  run_times subject;
  for (int run = 0; run < 8; ++run) {
    subject.note_run("route", "service", 100, {milliseconds(200), milliseconds(1000)});
    subject.note_run("route", "service", 0, {milliseconds(200), milliseconds(1000)});
  }
  BOOST_TEST(seconds(subject.upper_estimate("route", "service", 300)) == headroom_factor * 3.2,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_SUITE_END()
