#include "dispatch/retry_after.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(retry_after_test)

BOOST_AUTO_TEST_CASE(simultaneous_refusals_get_spread_retry_after_times) {
  base::seeded_random random(1);
  std::set<base::duration> retry_after_times;
  for (int client = 0; client < 100; ++client) {
    const auto wait = jittered_retry_after(milliseconds(300), seconds(10), random);
    BOOST_TEST((wait >= milliseconds(300) && wait <= milliseconds(450)));
    retry_after_times.insert(wait);
  }
  BOOST_TEST(retry_after_times.size() > 90U);
}

BOOST_AUTO_TEST_CASE(never_more_than_a_third_of_the_time_left) {
  base::seeded_random random(1);
  for (int time_left_ms = 0; time_left_ms < 2000; ++time_left_ms) {
    const auto wait = jittered_retry_after(milliseconds(300), milliseconds(time_left_ms), random);
    BOOST_TEST((wait * 3 <= milliseconds(time_left_ms)));
  }
}

BOOST_AUTO_TEST_CASE(who_has_no_time_left_is_told_nothing) {
  base::seeded_random random(1);
  BOOST_TEST((jittered_retry_after(milliseconds(300), {}, random) == base::duration{}));
  BOOST_TEST((jittered_retry_after(milliseconds(300), -seconds(1), random) == base::duration{}));
}

BOOST_AUTO_TEST_SUITE_END()
