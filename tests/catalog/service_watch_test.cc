#include "catalog/service_watch.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::catalog;

namespace {

constexpr base::time_point start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(service_watch_test)

BOOST_AUTO_TEST_CASE(a_burst_of_changes_takes_few_calls) {
  service_watch subject;
  auto now = start;
  std::size_t calls = 0;
  base::revision revision = 1;
  // The service has a change every 10 ms and answers at once.
  for (; now < start + std::chrono::seconds(1); now += std::chrono::milliseconds(10)) {
    if (subject.next_read(true, now)) {
      ++calls;
      subject.on_answer(++revision, true, now);
    }
  }
  BOOST_TEST(calls <= 6U);
}

BOOST_AUTO_TEST_CASE(after_an_answer_without_changes_the_watch_goes_on_at_once) {
  service_watch subject;
  BOOST_TEST(subject.next_read(true, start).has_value());
  subject.on_answer(7, false, start);
  const auto after = subject.next_read(true, start);
  BOOST_REQUIRE(after.has_value());
  BOOST_TEST(*after == 7U);
}

BOOST_AUTO_TEST_CASE(a_service_that_does_not_answer_is_asked_ever_more_rarely) {
  service_watch subject;
  auto now = start;
  std::size_t calls = 0;
  for (; now < start + std::chrono::seconds(4); now += std::chrono::milliseconds(10)) {
    if (subject.next_read(true, now)) {
      ++calls;
      subject.on_failure(now);
    }
  }
  BOOST_TEST(calls == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
