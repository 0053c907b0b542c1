/// What a node knows of requests under which replicas ended.
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

request_digest digest(unsigned number) {
  std::array<std::uint8_t, request_digest::byte_count> bytes{};
  bytes[0] = static_cast<std::uint8_t>(number % 256);
  bytes[1] = static_cast<std::uint8_t>(number / 256);
  return request_digest(bytes);
}

/// Lays the ends with the given numbers to a request, one a second.
void note(crash_registry& ledger, unsigned request, std::initializer_list<replica_exit> ends) {
  for (const auto end : ends) {
    const base::time_point at = start + seconds(end);
    ledger.note_exit(digest(request), {end, at}, at);
  }
}

crash_record record_of(unsigned request, const std::vector<replica_exit>& ends) {
  crash_record record;
  record.digest = digest(request);
  for (const auto end : ends) {
    record.exits.push_back({end, start + seconds(end)});
  }
  return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_ledger_test)

BOOST_AUTO_TEST_CASE(a_request_is_free_then_sent_once_a_try_then_held_back) {
  crash_registry ledger;
  const auto now = start + seconds(10);
  BOOST_TEST((ledger.quarantine_state_of(digest(1), now) == quarantine_state::unrestricted));
  note(ledger, 1, {1});
  BOOST_TEST((ledger.quarantine_state_of(digest(1), now) == quarantine_state::unrestricted));
  note(ledger, 1, {2});
  BOOST_TEST((ledger.quarantine_state_of(digest(1), now) == quarantine_state::single_attempt));
  note(ledger, 1, {3, 4});
  BOOST_TEST((ledger.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
}

BOOST_AUTO_TEST_CASE(an_end_that_several_nodes_saw_counts_once) {
  crash_registry ledger;
  note(ledger, 1, {1, 1, 1, 1});
  ledger.merge(record_of(1, {1}), start + seconds(5));
  BOOST_TEST(ledger.counted_exits_of(digest(1)) == 1U);
}

BOOST_AUTO_TEST_CASE(what_nodes_know_merges_to_the_same_in_any_order) {
  std::vector<crash_record> told{record_of(1, {1, 2}), record_of(1, {2, 3}), record_of(1, {4}),
                                 record_of(1, {1})};
  told[3].survived_at = start + milliseconds(1500);
  std::mt19937 order(7);
  for (int round = 0; round < 20; ++round) {
    std::shuffle(told.begin(), told.end(), order);
    crash_registry ledger;
    for (const auto& one : told) {
      ledger.merge(one, start + seconds(10));
    }
    BOOST_TEST(ledger.counted_exits_of(digest(1)) == 3U);
  }
}

BOOST_AUTO_TEST_CASE(a_run_that_ends_well_clears_all_ends_before_it_also_told_later) {
  crash_registry ledger;
  note(ledger, 1, {1, 2, 3, 4});
  BOOST_TEST(ledger.note_survived(digest(1), start + seconds(5)));
  BOOST_TEST((ledger.quarantine_state_of(digest(1), start + seconds(6)) ==
              quarantine_state::unrestricted));
  const auto change = ledger.merge(record_of(1, {1, 2, 3, 4}), start + seconds(6));
  BOOST_TEST(change.is_refuted);
  BOOST_TEST(!change.has_new_information);
  BOOST_TEST(ledger.counted_exits_of(digest(1)) == 0U);
}

BOOST_AUTO_TEST_CASE(ends_shared_with_one_that_is_known_for_more_do_not_count) {
  crash_registry ledger;
  note(ledger, 1, {1, 2, 3, 4, 5});
  note(ledger, 2, {1, 2, 3, 4});
  const auto now = start + seconds(10);
  BOOST_TEST((ledger.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
  BOOST_TEST((ledger.quarantine_state_of(digest(2), now) == quarantine_state::unrestricted));
}

BOOST_AUTO_TEST_CASE(two_with_the_same_ends_are_tried_until_they_differ) {
  crash_registry ledger;
  note(ledger, 1, {1, 2, 3, 4});
  note(ledger, 2, {1, 2, 3, 4});
  const auto now = start + seconds(10);
  BOOST_TEST((ledger.quarantine_state_of(digest(1), now) == quarantine_state::single_attempt));
  BOOST_TEST((ledger.quarantine_state_of(digest(2), now) == quarantine_state::single_attempt));
  note(ledger, 1, {5});
  BOOST_TEST((ledger.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
  BOOST_TEST((ledger.quarantine_state_of(digest(2), now) == quarantine_state::unrestricted));
}

BOOST_AUTO_TEST_CASE(a_second_guilty_one_is_found_although_it_shared_an_end_with_the_first) {
  crash_registry ledger;
  note(ledger, 1, {1, 2, 3, 4, 5});
  note(ledger, 2, {1, 6, 7, 8});
  BOOST_TEST((ledger.quarantine_state_of(digest(2), start + seconds(10)) ==
              quarantine_state::quarantined));
}

BOOST_AUTO_TEST_CASE(where_as_many_end_without_it_more_is_needed) {
  crash_registry ledger;
  note(ledger, 1, {1, 2, 3, 4});
  const base::time_point now = start + seconds(10);
  ledger.merge_exits({{21, now}, {22, now}, {23, now}, {24, now}}, now);
  BOOST_TEST((ledger.quarantine_state_of(digest(1), now) == quarantine_state::single_attempt));
  note(ledger, 1, {5});
  BOOST_TEST((ledger.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
}

BOOST_AUTO_TEST_CASE(an_end_that_was_none_is_withdrawn_and_not_taken_in_again) {
  crash_registry ledger;
  note(ledger, 1, {1, 2, 3, 4});
  const auto now = start + seconds(10);
  BOOST_TEST(ledger.withdraw(3, now));
  BOOST_TEST(!ledger.withdraw(3, now));
  ledger.merge(record_of(1, {3}), now);
  BOOST_TEST(ledger.counted_exits_of(digest(1)) == 3U);
}

/// Seen: a replica was published no longer for a while and heard again in the same life; when it
/// did end later, nothing was laid to any request, and a sixth replica ended under a guilty one.
BOOST_AUTO_TEST_CASE(a_life_that_seemed_over_once_may_end_later) {
  crash_registry ledger;
  note(ledger, 1, {1, 2, 3});
  ledger.withdraw(3, start + seconds(10));
  const base::time_point later = start + seconds(20);
  ledger.note_exit(digest(2), {3, later}, later);
  BOOST_TEST(ledger.counted_exits_of(digest(2)) == 1U);
  ledger.merge_exits({{3, later}}, later);
  BOOST_TEST(ledger.latest_exits(8, later).front().exit == 3U);
}

BOOST_AUTO_TEST_CASE(it_is_held_back_for_as_long_as_it_comes_and_tried_once_after) {
  crash_registry ledger;
  note(ledger, 1, {1, 2, 3, 4});
  base::time_point now = start + minutes(59);
  ledger.expire(now);
  BOOST_TEST((ledger.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
  ledger.note_refused(digest(1), now);
  now += minutes(59);
  BOOST_TEST((ledger.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
  now += minutes(2);
  ledger.expire(now);
  BOOST_TEST((ledger.quarantine_state_of(digest(1), now) == quarantine_state::single_attempt));
  ledger.note_exit(digest(1), {50, now}, now);
  ledger.note_exit(digest(1), {51, now}, now);
  now += hours(23);
  ledger.expire(now);
  BOOST_TEST((ledger.quarantine_state_of(digest(1), now) == quarantine_state::quarantined));
}

BOOST_AUTO_TEST_CASE(one_end_is_forgotten_after_minutes) {
  crash_registry ledger;
  note(ledger, 1, {1});
  ledger.expire(start + minutes(11));
  BOOST_TEST(ledger.empty());
}

BOOST_AUTO_TEST_CASE(a_flood_of_requests_with_one_end_pushes_out_none_with_more) {
  crash_registry ledger;
  note(ledger, 1, {1, 2, 3, 4});
  note(ledger, 2, {1, 2});
  for (unsigned number = 3; number < 3 + 2 * crash_registry::max_records; ++number) {
    const base::time_point at = start + seconds(10);
    ledger.note_exit(digest(number), {1000 + number, at}, at);
  }
  BOOST_TEST(ledger.all().size() == crash_registry::max_records);
  BOOST_TEST(ledger.find(digest(1))->exits.size() == 4U);
  BOOST_TEST(ledger.find(digest(2))->exits.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
