/// Guards against a node that counts a time in which it learned of no change of the list of
/// replicas as time in which it knew the list.
#include "replicas/list_coverage.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using spurrack::serving::list_coverage;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::time_point start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(list_coverage_test)

BOOST_AUTO_TEST_CASE(a_list_that_was_never_confirmed_is_not_current) {
  const list_coverage coverage;
  BOOST_TEST(!coverage.is_current(start));
  BOOST_TEST(!coverage.unbroken_since().has_value());
}

BOOST_AUTO_TEST_CASE(short_intervals_between_confirmations_leave_no_gap) {
  list_coverage coverage;
  for (auto at = start; at <= start + seconds(60); at += list_coverage::max_gap) {
    coverage.confirm(at);
  }
  BOOST_TEST((coverage.unbroken_since() == start));
}

BOOST_AUTO_TEST_CASE(a_longer_interval_is_a_gap) {
  list_coverage coverage;
  coverage.confirm(start);
  const base::time_point after_gap = start + list_coverage::max_gap + milliseconds(1);
  BOOST_TEST(!coverage.is_current(after_gap));
  coverage.confirm(after_gap);
  BOOST_TEST((coverage.unbroken_since() == after_gap));
  BOOST_TEST(coverage.is_current(after_gap));
}

/// Another node may tell of a confirmation that this node has heard of already.
BOOST_AUTO_TEST_CASE(an_earlier_confirmation_changes_nothing) {
  list_coverage coverage;
  coverage.confirm(start);
  coverage.confirm(start - seconds(60));
  BOOST_TEST((coverage.unbroken_since() == start));
  BOOST_TEST((coverage.confirmed_at() == start));
}

BOOST_AUTO_TEST_SUITE_END()
