#include "engines/sending_rate.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::serving;

BOOST_AUTO_TEST_SUITE(sending_rate_test)

BOOST_AUTO_TEST_CASE(a_steady_rate_is_estimated_after_the_first_seconds) {
  sending_rate rate;
  base::time_point now{std::chrono::hours(1)};
  BOOST_TEST(rate.tokens_per_second(now) == 0.0);
  for (int second = 0; second < 120; ++second) {
    rate.note(1'000, now);
    now += std::chrono::seconds(1);
    if (second >= 10) {
      BOOST_TEST(rate.tokens_per_second(now) > 850.0);
      BOOST_TEST(rate.tokens_per_second(now) < 1'150.0);
    }
  }
}

BOOST_AUTO_TEST_CASE(old_sends_are_forgotten) {
  sending_rate rate;
  base::time_point now{std::chrono::hours(1)};
  rate.note(1'000'000, now);
  now += std::chrono::minutes(5);
  BOOST_TEST(rate.tokens_per_second(now) < 10.0);
}

BOOST_AUTO_TEST_SUITE_END()
