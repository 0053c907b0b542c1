#include "stage_work/drain_rate.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using serving::drain_rate;

BOOST_AUTO_TEST_SUITE(drain_rate_test)

BOOST_AUTO_TEST_CASE(rate_counts_dispatched_items_while_more_wait) {
  drain_rate subject;
  base::time_point now{std::chrono::hours(1)};
  for (int turn = 0; turn < 20; ++turn) {
    subject.note_dispatched(10, 50, now);
    now += std::chrono::milliseconds(100);
  }
  BOOST_REQUIRE(subject.per_second(now).has_value());
  BOOST_TEST(*subject.per_second(now) == 100.0, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(no_rate_for_an_empty_queue) {
  drain_rate subject;
  base::time_point now{std::chrono::hours(1)};
  for (int turn = 0; turn < 20; ++turn) {
    subject.note_dispatched(10, 0, now);
    now += std::chrono::milliseconds(100);
  }
  BOOST_TEST(!subject.per_second(now).has_value());
}

// Guards against a window that goes on after the last waiting items were cancelled: the next
// dispatch would be measured over the time in which nothing waited.
BOOST_AUTO_TEST_CASE(time_after_a_queue_emptied_without_a_dispatch_is_not_measured) {
  drain_rate subject;
  base::time_point now{std::chrono::hours(1)};
  subject.note_dispatched(10, 50, now);
  subject.note_emptied();
  now += std::chrono::seconds(8);
  subject.note_dispatched(10, 50, now);
  BOOST_TEST(!subject.per_second(now).has_value());
  now += std::chrono::milliseconds(500);
  subject.note_dispatched(10, 50, now);
  BOOST_REQUIRE(subject.per_second(now).has_value());
  BOOST_TEST(*subject.per_second(now) == 20.0, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(old_rate_expires) {
  drain_rate subject;
  base::time_point now{std::chrono::hours(1)};
  for (int turn = 0; turn < 10; ++turn) {
    subject.note_dispatched(10, 50, now);
    now += std::chrono::milliseconds(100);
  }
  BOOST_TEST(!subject.per_second(now + std::chrono::seconds(2)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
