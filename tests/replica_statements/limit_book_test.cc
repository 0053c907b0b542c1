/// Tests of the registry of announced limits: answers and messages may arrive in any order.
#include "self_reports/limit_registry.h"

#include "base/random.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace spurrack;
using namespace spurrack::self_reports;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::replica_id replica("r");
constexpr incarnation_fingerprint incarnation = 7;
const base::time_point start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(limit_book_test)

BOOST_AUTO_TEST_CASE(an_answer_without_a_limit_creates_no_record) {
  limit_registry registry;
  BOOST_TEST(!registry.record_answer(replica, incarnation, {std::nullopt, start}, start));
  BOOST_TEST(registry.empty());
}

BOOST_AUTO_TEST_CASE(a_late_answer_from_before_does_not_lift_a_limit) {
  limit_registry registry;
  registry.record_answer(replica, incarnation, {2.0, start}, start + seconds(1));
  BOOST_TEST(!registry.record_answer(
      replica, incarnation, {std::nullopt, start + milliseconds(900)}, start + seconds(3)));
  BOOST_TEST(registry.limit_of(replica).value_or(0) == 2.0);
  BOOST_TEST(registry.record_answer(replica, incarnation, {std::nullopt, start + seconds(2)},
                                    start + seconds(3)));
  BOOST_TEST(!registry.limit_of(replica));
}

BOOST_AUTO_TEST_CASE(a_stricter_limit_applies_at_once_and_a_looser_limit_only_from_a_later_call) {
  limit_registry registry;
  registry.record_answer(replica, incarnation, {2.0, start}, start + seconds(1));
  BOOST_TEST(registry.record_answer(replica, incarnation, {1.0, start}, start + seconds(1)));
  BOOST_TEST(!registry.record_answer(replica, incarnation, {4.0, start}, start + seconds(2)));
  BOOST_TEST(registry.limit_of(replica).value_or(0) == 1.0);
  BOOST_TEST(
      registry.record_answer(replica, incarnation, {4.0, start + seconds(2)}, start + seconds(3)));
  BOOST_TEST(registry.limit_of(replica).value_or(0) == 4.0);
}

BOOST_AUTO_TEST_CASE(records_in_any_order_merge_to_the_same_limit) {
  std::vector<limit_record> records;
  const std::vector<std::optional<double>> limits{3.0, 1.0, std::nullopt, 6.0, 2.0};
  for (std::size_t index = 0; index < limits.size(); ++index) {
    records.push_back({incarnation, limits[index], index + 1, start + seconds(index)});
  }
  base::seeded_random random(3);
  for (int round = 0; round < 200; ++round) {
    limit_registry registry;
    registry.merge(replica, records.front());
    auto remaining = records;
    remaining.push_back(records[random.below(records.size())]);
    while (!remaining.empty()) {
      registry.merge(replica, base::take_random(remaining, random));
    }
    BOOST_TEST(registry.limit_of(replica).value_or(0) == 2.0);
  }
}

BOOST_AUTO_TEST_CASE(of_two_changes_at_the_same_version_the_stricter_limit_wins) {
  for (const bool lifted_first : {true, false}) {
    const limit_record lifted{incarnation, std::nullopt, 2, start};
    const limit_record announced{incarnation, 5.0, 2, start};
    limit_registry registry;
    registry.merge(replica, {incarnation, 1.0, 1, start});
    registry.merge(replica, lifted_first ? lifted : announced);
    registry.merge(replica, lifted_first ? announced : lifted);
    BOOST_TEST(registry.limit_of(replica).value_or(0) == 5.0);
  }
}

BOOST_AUTO_TEST_CASE(a_later_answer_at_this_node_overrides_an_older_report_of_a_higher_version) {
  limit_registry registry;
  registry.record_answer(replica, incarnation, {1.0, start}, start + seconds(5));
  BOOST_TEST(registry.merge(replica, {incarnation, std::nullopt, 9, start}));
  BOOST_TEST(registry.limit_of(replica).value_or(0) == 1.0);
  BOOST_TEST(registry.find(replica)->version == 10U);
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_replaces_the_limit_of_the_earlier_incarnation) {
  limit_registry registry;
  registry.record_answer(replica, incarnation, {1.0, start}, start);
  BOOST_TEST(registry.record_answer(replica, incarnation + 1, {3.0, start}, start));
  BOOST_TEST(registry.limit_of(replica).value_or(0) == 3.0);
  BOOST_TEST(registry.find(replica)->version == 1U);
}

BOOST_AUTO_TEST_CASE(a_lifted_limit_is_dropped_after_its_lifetime) {
  limit_registry registry;
  registry.record_answer(replica, incarnation, {1.0, start}, start);
  registry.record_answer(replica, incarnation, {std::nullopt, start + seconds(1)},
                         start + seconds(1));
  registry.drop_lifted(start + seconds(5));
  BOOST_TEST(!registry.empty());
  registry.drop_lifted(start + seconds(12));
  BOOST_TEST(registry.empty());
}

BOOST_AUTO_TEST_SUITE_END()
