/// Tests of the registry of requests under which replicas crashed: quarantine states, merging,
/// expiry and eviction.
#include "quarantine/crash_registry.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace spurrack;
using namespace spurrack::quarantine;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const base::time_point start{hours(1)};

suspect_digest digest(unsigned number) {
  std::array<std::uint8_t, suspect_digest::byte_count> bytes{};
  bytes[0] = static_cast<std::uint8_t>(number % 256);
  bytes[1] = static_cast<std::uint8_t>(number / 256);
  return suspect_digest(bytes);
}

/// Records exits with the given ids under a request. The time of each exit is its id, in seconds
/// after `start`.
void note_exits(crash_registry& registry, unsigned request,
                std::initializer_list<replica_exit> exits) {
  for (const auto exit : exits) {
    const base::time_point at = start + seconds(exit);
    registry.note_exit({digest(request)}, {exit, at}, at);
  }
}

/// @return a record of one request as another node sends it. The time of each exit is its id, in
///         seconds after `start`.
crash_record record_of(unsigned request, const std::vector<replica_exit>& exits) {
  crash_record record;
  record.digest = digest(request);
  for (const auto exit : exits) {
    record.exits.push_back({exit, start + seconds(exit)});
  }
  return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_ledger_test)

BOOST_AUTO_TEST_CASE(more_exits_restrict_a_request_to_a_single_attempt_and_then_quarantine_it) {
  crash_registry registry;
  const auto now = start + seconds(10);
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::unrestricted));
  note_exits(registry, 1, {1});
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::unrestricted));
  note_exits(registry, 1, {2});
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::single_attempt));
  note_exits(registry, 1, {3, 4});
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
}

BOOST_AUTO_TEST_CASE(an_exit_reported_by_several_nodes_counts_once) {
  crash_registry registry;
  note_exits(registry, 1, {1, 1, 1, 1});
  registry.merge(record_of(1, {1}), start + seconds(5));
  BOOST_TEST(registry.counted_exits_of(digest(1)) == 1U);
}

BOOST_AUTO_TEST_CASE(records_merge_to_the_same_result_in_any_order) {
  std::vector<crash_record> records{record_of(1, {1, 2}), record_of(1, {2, 3}), record_of(1, {4}),
                                    record_of(1, {1})};
  records[3].survived_at = start + milliseconds(1500);
  std::mt19937 order(7);
  for (int round = 0; round < 20; ++round) {
    std::shuffle(records.begin(), records.end(), order);
    crash_registry registry;
    for (const auto& record : records) {
      registry.merge(record, start + seconds(10));
    }
    BOOST_TEST(registry.counted_exits_of(digest(1)) == 3U);
  }
}

BOOST_AUTO_TEST_CASE(a_surviving_run_clears_earlier_exits_and_refutes_late_reports) {
  crash_registry registry;
  note_exits(registry, 1, {1, 2, 3, 4});
  BOOST_TEST(registry.note_survived(digest(1), start + seconds(5)));
  BOOST_TEST((registry.quarantine_state_of(digest(1), start + seconds(6)) ==
              quarantine_state::unrestricted));
  const auto change = registry.merge(record_of(1, {1, 2, 3, 4}), start + seconds(6));
  BOOST_TEST(change.is_refuted);
  BOOST_TEST(!change.has_new_information);
  BOOST_TEST(registry.counted_exits_of(digest(1)) == 0U);
}

BOOST_AUTO_TEST_CASE(exits_explained_by_a_request_with_more_exits_do_not_count) {
  crash_registry registry;
  note_exits(registry, 1, {1, 2, 3, 4, 5});
  note_exits(registry, 2, {1, 2, 3, 4});
  const auto now = start + seconds(10);
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
  BOOST_TEST((registry.quarantine_state_of(digest(2), now) == quarantine_state::unrestricted));
}

BOOST_AUTO_TEST_CASE(two_requests_with_equal_exits_get_single_attempts_until_one_has_more_exits) {
  crash_registry registry;
  note_exits(registry, 1, {1, 2, 3, 4});
  note_exits(registry, 2, {1, 2, 3, 4});
  const auto now = start + seconds(10);
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::single_attempt));
  BOOST_TEST((registry.quarantine_state_of(digest(2), now) == quarantine_state::single_attempt));
  note_exits(registry, 1, {5});
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
  BOOST_TEST((registry.quarantine_state_of(digest(2), now) == quarantine_state::unrestricted));
}

BOOST_AUTO_TEST_CASE(a_second_crashing_request_is_quarantined_although_it_shares_an_exit) {
  crash_registry registry;
  note_exits(registry, 1, {1, 2, 3, 4, 5});
  note_exits(registry, 2, {1, 6, 7, 8});
  BOOST_TEST((registry.quarantine_state_of(digest(2), start + seconds(10)) ==
              quarantine_state::quarantined));
}

BOOST_AUTO_TEST_CASE(unrelated_exits_raise_the_number_of_exits_required_for_quarantine) {
  crash_registry registry;
  const base::time_point earlier = start + seconds(2);
  registry.merge_exits({{21, earlier}, {22, earlier}, {23, earlier}, {24, earlier}}, earlier);
  note_exits(registry, 1, {1, 2, 3, 4});
  const base::time_point now = start + seconds(10);
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::single_attempt));
  note_exits(registry, 1, {5});
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
}

BOOST_AUTO_TEST_CASE(later_exits_of_other_replicas_do_not_end_a_quarantine) {
  crash_registry registry;
  note_exits(registry, 1, {1, 2, 3, 4});
  const base::time_point now = start + seconds(10);
  registry.merge_exits({{21, now}, {22, now}, {23, now}, {24, now}}, now);
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
}

BOOST_AUTO_TEST_CASE(two_exits_within_one_published_incarnation_count_twice) {
  crash_registry registry;
  const auto exit_at = [](std::uint64_t started, std::uint64_t ended) {
    return exit_observation{7, start + seconds(ended), {}, start + seconds(started)};
  };
  registry.note_exit({digest(1)}, exit_at(1, 2), start + seconds(2));
  registry.note_exit({digest(1)}, exit_at(1, 2), start + seconds(2));
  BOOST_TEST(registry.counted_exits_of(digest(1)) == 1U);
  registry.note_exit({digest(1)}, exit_at(4, 5), start + seconds(5));
  BOOST_TEST(registry.counted_exits_of(digest(1)) == 2U);
  // An exit whose time is unknown may be either of them.
  registry.note_exit({digest(1)}, {7, start + seconds(9)}, start + seconds(9));
  BOOST_TEST(registry.counted_exits_of(digest(1)) == 2U);
}

BOOST_AUTO_TEST_CASE(an_exit_of_an_overrun_replica_counts_for_no_request) {
  crash_registry registry;
  note_exits(registry, 1, {1, 2, 3, 4});
  BOOST_TEST(registry.mark_overrun({3, 0}));
  BOOST_TEST(registry.counted_exits_of(digest(1)) == 3U);
  registry.merge(record_of(1, {3}), start + seconds(6));
  BOOST_TEST(registry.counted_exits_of(digest(1)) == 3U);
}

BOOST_AUTO_TEST_CASE(a_withdrawn_exit_is_removed_and_not_merged_again) {
  crash_registry registry;
  note_exits(registry, 1, {1, 2, 3, 4});
  const auto now = start + seconds(10);
  BOOST_TEST(registry.withdraw(3, now));
  BOOST_TEST(!registry.withdraw(3, now));
  registry.merge(record_of(1, {3}), now);
  BOOST_TEST(registry.counted_exits_of(digest(1)) == 3U);
}

/// Guards against ignoring an exit because an earlier exit of the same incarnation was withdrawn. A
/// replica was missing from the published list of replicas for some time, so that an exit was
/// recorded, and then answered again in the same incarnation. Its real exit later was recorded
/// under no request, so that a crashing request crashed six replicas instead of at most five.
BOOST_AUTO_TEST_CASE(a_later_exit_of_a_withdrawn_incarnation_counts) {
  crash_registry registry;
  note_exits(registry, 1, {1, 2, 3});
  registry.withdraw(3, start + seconds(10));
  const base::time_point later = start + seconds(20);
  registry.note_exit({digest(2)}, {3, later}, later);
  BOOST_TEST(registry.counted_exits_of(digest(2)) == 1U);
  registry.merge_exits({{3, later}}, later);
  BOOST_TEST(registry.latest_exits(8, later).front().exit == 3U);
}

BOOST_AUTO_TEST_CASE(quarantine_lasts_while_the_request_arrives_and_then_allows_a_single_attempt) {
  crash_registry registry;
  note_exits(registry, 1, {1, 2, 3, 4});
  base::time_point now = start + minutes(59);
  registry.expire(now);
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
  registry.note_refused(digest(1), now);
  now += minutes(59);
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
  now += minutes(2);
  registry.expire(now);
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::single_attempt));
  registry.note_exit({digest(1)}, {50, now}, now);
  registry.note_exit({digest(1)}, {51, now}, now);
  now += hours(23);
  registry.expire(now);
  BOOST_TEST((registry.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
}

BOOST_AUTO_TEST_CASE(a_record_with_one_exit_expires_within_11_minutes) {
  crash_registry registry;
  note_exits(registry, 1, {1});
  registry.expire(start + minutes(11));
  BOOST_TEST(registry.empty());
}

BOOST_AUTO_TEST_CASE(a_flood_of_requests_with_one_exit_evicts_no_request_with_more_exits) {
  crash_registry registry;
  note_exits(registry, 1, {1, 2, 3, 4});
  note_exits(registry, 2, {1, 2});
  for (unsigned number = 3; number < 3 + 2 * crash_registry::max_records; ++number) {
    const base::time_point at = start + seconds(10);
    registry.note_exit({digest(number)}, {1000 + number, at}, at);
  }
  BOOST_TEST(registry.all().size() == crash_registry::max_records);
  BOOST_TEST(registry.find(digest(1))->exits.size() == 4U);
  BOOST_TEST(registry.find(digest(2))->exits.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
