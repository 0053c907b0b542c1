#include "base/due_times.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace spurrack;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(due_times_test)

BOOST_AUTO_TEST_CASE(what_is_due_is_taken_out_in_order) {
  const base::time_point start{std::chrono::hours(1)};
  base::due_times<std::string> times;
  BOOST_TEST(!times.next().has_value());
  times.set("late", start + milliseconds(30));
  times.set("soon", start + milliseconds(10));
  times.set("moved", start + milliseconds(5));
  times.set("moved", start + milliseconds(20));
  times.set("cleared", start);
  times.clear("cleared");
  times.clear("never held");
  BOOST_TEST((*times.next() == start + milliseconds(10)));
  const auto due = times.take_due(start + milliseconds(20));
  BOOST_REQUIRE(due.size() == 2);
  BOOST_TEST(due[0] == "soon");
  BOOST_TEST(due[1] == "moved");
  BOOST_TEST(times.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
