#include "engines/sending_rate.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::serving;

BOOST_AUTO_TEST_SUITE(sending_rate_test)

BOOST_AUTO_TEST_CASE(a_steady_rate_is_known_from_the_first_seconds_on) {
  sending_rate subject;
  base::time_point now{std::chrono::hours(1)};
  BOOST_TEST(subject.tokens_per_second(now) == 0.0);
  for (int second = 0; second < 120; ++second) {
    subject.note(1'000, now);
    now += std::chrono::seconds(1);
    if (second >= 10) {
      BOOST_TEST(subject.tokens_per_second(now) > 850.0);
      BOOST_TEST(subject.tokens_per_second(now) < 1'150.0);
    }
  }
}

BOOST_AUTO_TEST_CASE(what_was_sent_long_ago_is_forgotten) {
  sending_rate subject;
  base::time_point now{std::chrono::hours(1)};
  subject.note(1'000'000, now);
  now += std::chrono::minutes(5);
  BOOST_TEST(subject.tokens_per_second(now) < 10.0);
}

BOOST_AUTO_TEST_SUITE_END()
