#include "base/due_times.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace spurrack;
using std::chrono::milliseconds;

namespace {

/// Key that counts its comparisons.
struct counted_key {
  int number = 0;
  static inline std::size_t comparisons = 0;
  bool operator==(const counted_key& other) const {
    ++comparisons;
    return number == other.number;
  }
  bool operator<(const counted_key& other) const {
    ++comparisons;
    return number < other.number;
  }
};

} // namespace

template <>
struct std::hash<counted_key> {
  std::size_t operator()(const counted_key& key) const { return std::hash<int>()(key.number); }
};

BOOST_AUTO_TEST_SUITE(due_times_test)

BOOST_AUTO_TEST_CASE(operations_cost_logarithmic_comparisons) {
  const base::time_point start{std::chrono::hours(1)};
  constexpr int key_count = 100'000;
  constexpr int operation_count = 1'000;
  base::due_times<counted_key> times;
  for (int number = 0; number < key_count; ++number) {
    // All keys get the same due time, so that every lookup by due time must compare keys.
    times.set({number}, start + milliseconds(1));
  }
  counted_key::comparisons = 0;
  for (int operation = 0; operation < operation_count; ++operation) {
    times.set({operation}, start);
    BOOST_TEST(times.next().has_value());
    BOOST_TEST(times.take_due(start).size() == 1U);
  }
  // Each operation takes three lookups in a tree of 17 levels, with up to two comparisons for each
  // level, and a few comparisons in hash lookups.
  BOOST_TEST(counted_key::comparisons / operation_count < 3 * 17 * 2 + 20U);
}

BOOST_AUTO_TEST_CASE(due_keys_are_taken_in_order) {
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
