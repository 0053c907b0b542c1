/// How long runs last, as learned from recent ones.
#include "dispatch/run_times.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;

namespace {

double seconds(const run_time& run) {
  return base::to_seconds(run.to_first_event + run.events);
}

} // namespace

BOOST_AUTO_TEST_SUITE(run_times_test)

BOOST_AUTO_TEST_CASE(a_route_with_few_runs_is_taken_for_like_others_of_its_service) {
  run_times subject;
  const auto usual = seconds(subject.upper("route", "service", 10));
  for (int run = 0; run < 3; ++run) {
    subject.note("route", "service", 10, {milliseconds(100), milliseconds(500)});
  }
  BOOST_TEST(seconds(subject.upper("route", "service", 10)) == usual);
  subject.note("sibling", "service", 10, {milliseconds(100), milliseconds(900)});
  BOOST_TEST(seconds(subject.upper("route", "service", 10)) == 1.0,
             boost::test_tools::tolerance(0.001));
  subject.note("route", "service", 10, {milliseconds(100), milliseconds(500)});
  BOOST_TEST(seconds(subject.upper("route", "service", 10)) == 0.6,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(seconds(subject.upper("route", "elsewhere", 10)) == 0.6,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(seconds(subject.upper("other", "elsewhere", 10)) == usual);
}

BOOST_AUTO_TEST_CASE(while_nothing_is_known_longer_answers_are_expected_to_last_longer) {
  const run_times subject;
  BOOST_TEST(seconds(subject.upper("route", "service", 1000)) >
             2 * seconds(subject.upper("route", "service", 300)));
  BOOST_TEST(seconds(subject.upper("route", "service", 0)) > 1.0);
}

BOOST_AUTO_TEST_CASE(streams_last_by_the_tokens_asked_for) {
  run_times subject;
  for (int run = 0; run < 8; ++run) {
    subject.note("route", "service", 100, {milliseconds(200), milliseconds(1000)});
  }
  BOOST_TEST(seconds(subject.upper("route", "service", 100)) == 1.2,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(seconds(subject.upper("route", "service", 300)) == 3.2,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(of_sixteen_runs_one_may_be_longer) {
  run_times subject;
  for (int run = 1; run <= 16; ++run) {
    subject.note("route", "service", 0, {milliseconds(100 * run), {}});
  }
  BOOST_TEST(seconds(subject.upper("route", "service", 0)) == 1.5,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(what_load_did_long_ago_is_forgotten) {
  run_times subject;
  for (int run = 0; run < 8; ++run) {
    subject.note("route", "service", 0, {milliseconds(5000), {}});
  }
  for (int run = 0; run < 32; ++run) {
    subject.note("route", "service", 0, {milliseconds(100), {}});
  }
  BOOST_TEST(seconds(subject.upper("route", "service", 0)) == 0.1,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_SUITE_END()
