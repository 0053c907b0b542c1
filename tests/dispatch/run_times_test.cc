/// Estimates of the times of a run, which is one execution of a request at a replica, from recent
/// runs.
#include "dispatch/run_times.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;

namespace {

/// Factor by which the estimate exceeds the longest run that is not an outlier.
constexpr double headroom_factor = 1.1;

double total_seconds(const run_time& run) {
  return base::to_seconds(run.time_to_first_event + run.streaming_time);
}

} // namespace

BOOST_AUTO_TEST_SUITE(run_times_test)

BOOST_AUTO_TEST_CASE(route_with_few_runs_uses_times_of_its_service) {
  run_times subject;
  const auto default_seconds = total_seconds(subject.upper_estimate("route", "service", 10));
  for (int run = 0; run < 3; ++run) {
    subject.note_run("route", "service", 10, {milliseconds(100), milliseconds(500)});
  }
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 10)) == default_seconds);
  subject.note_run("sibling", "service", 10, {milliseconds(100), milliseconds(900)});
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 10)) == headroom_factor * 1.2,
             boost::test_tools::tolerance(0.001));
  subject.note_run("route", "service", 10, {milliseconds(100), milliseconds(500)});
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 10)) == headroom_factor * 0.6,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "elsewhere", 10)) ==
                 headroom_factor * 0.6,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(total_seconds(subject.upper_estimate("other", "elsewhere", 10)) == default_seconds);
}

BOOST_AUTO_TEST_CASE(route_with_few_runs_and_unknown_tokens_uses_default) {
  run_times subject;
  const auto default_seconds = total_seconds(subject.upper_estimate("route", "service", 0));
  for (int run = 0; run < 8; ++run) {
    subject.note_run("short", "service", 0, {milliseconds(100), milliseconds(200)});
  }
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 0)) == default_seconds);
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 300)) ==
             total_seconds(subject.upper_estimate("route", "other", 300)));
}

BOOST_AUTO_TEST_CASE(default_estimate_grows_with_tokens) {
  const run_times subject;
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 1000)) >
             2 * total_seconds(subject.upper_estimate("route", "service", 300)));
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 0)) > 1.0);
}

BOOST_AUTO_TEST_CASE(estimate_scales_with_tokens) {
  run_times subject;
  for (int run = 0; run < 8; ++run) {
    subject.note_run("route", "service", 100, {milliseconds(200), milliseconds(1000)});
  }
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 100)) ==
                 headroom_factor * 1.2,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 300)) ==
                 headroom_factor * 3.2,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(allowance_for_spread_shrinks_with_number_of_runs) {
  run_times subject;
  const auto note = [&](int milliseconds_of_run) {
    subject.note_run("route", "service", 0, {{}, milliseconds(milliseconds_of_run)});
  };
  for (const int run : {3000, 4500, 3500, 4000}) {
    note(run);
  }
  // The longest of the four runs lasted 4.5 seconds, and the spread is 1.5 seconds. The allowance
  // for four runs is half of the spread, because streams like these last up to six seconds.
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 0)) == headroom_factor * 5.25,
             boost::test_tools::tolerance(0.001));
  for (int round = 0; round < 3; ++round) {
    for (const int run : {3000, 4500, 3500, 4500}) {
      note(run);
    }
  }
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 0)) ==
                 headroom_factor * 4.875,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(longest_of_sixteen_runs_is_ignored) {
  run_times subject;
  for (int run = 1; run <= 16; ++run) {
    subject.note_run("route", "service", 0, {milliseconds(100 * run), {}});
  }
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 0)) == headroom_factor * 1.85,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(oldest_runs_are_dropped) {
  run_times subject;
  for (int run = 0; run < 8; ++run) {
    subject.note_run("route", "service", 0, {milliseconds(5000), {}});
  }
  for (int run = 0; run < 32; ++run) {
    subject.note_run("route", "service", 0, {milliseconds(100), {}});
  }
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 0)) == headroom_factor * 0.1,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(estimate_is_not_scaled_if_tokens_of_runs_or_request_are_unknown) {
  run_times subject;
  for (int run = 0; run < 8; ++run) {
    subject.note_run("stated", "engine", 100, {milliseconds(200), milliseconds(1000)});
    subject.note_run("unstated", "other", 0, {milliseconds(200), milliseconds(1000)});
  }
  BOOST_TEST(total_seconds(subject.upper_estimate("stated", "engine", 0)) == headroom_factor * 1.2,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(total_seconds(subject.upper_estimate("unstated", "other", 500)) ==
                 headroom_factor * 1.2,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(runs_with_unknown_tokens_do_not_affect_time_per_token) {
  run_times subject;
  for (int run = 0; run < 8; ++run) {
    subject.note_run("route", "service", 100, {milliseconds(200), milliseconds(1000)});
    subject.note_run("route", "service", 0, {milliseconds(200), milliseconds(1000)});
  }
  BOOST_TEST(total_seconds(subject.upper_estimate("route", "service", 300)) ==
                 headroom_factor * 3.2,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_SUITE_END()
