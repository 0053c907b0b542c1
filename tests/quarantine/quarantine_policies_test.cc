/// Ways to stop a request that ends replicas, on the same drawn fleets: what each costs in
/// replicas, in time and in harmless requests. docs/design/quarantine.md tells what follows.
#include "crash_fleet.h"

#include <boost/test/unit_test.hpp>

#include <iomanip>
#include <sstream>

using namespace spurrack;
using namespace spurrack::quarantine;

namespace {

constexpr std::uint64_t seed_count = 20;

/// Sums over all seeds.
struct policy_outcome {
  std::size_t ends = 0;
  std::size_t most_ends = 0;
  std::size_t late_sends = 0;
  double seconds_to_last_end = 0;
  /// Harmless requests that were refused as held back or by a pause, on days with a guilty request
  /// and on days on which replicas end for other reasons.
  std::size_t refused_beside = 0;
  std::size_t refused_without = 0;
  std::size_t harmless = 0;
};

std::size_t refused_harmless(const crash_fleet& fleet) {
  std::size_t refused = 0;
  for (const auto& [body, count] : fleet.counts) {
    if (!fleet.guilty.contains(body)) {
      refused +=
          fleet.settings.route_pause > base::duration::zero() ? count.refused : count.held_back;
    }
  }
  return refused;
}

void add_guilty_day(crash_fleet_settings drawn, bool shares, policy_outcome& sum) {
  crash_fleet fleet(drawn);
  if (!shares) {
    fleet.older_build = {0, 1, 2, 3, 4, 5};
  }
  fleet.guilty = {"guilty"};
  fleet.innocents_a_second = 20;
  fleet.comes_again = true;
  fleet.keep_asking("/stream/", "guilty", seconds(20));
  const auto& ends = fleet.ends_under["guilty"];
  sum.ends += ends.size();
  sum.most_ends = std::max(sum.most_ends, ends.size());
  sum.late_sends = std::max(sum.late_sends, fleet.sends_after_third_end("guilty", seconds(3)));
  sum.seconds_to_last_end += ends.empty() ? 0 : base::to_seconds(ends.back() - ends.front());
  sum.refused_beside += refused_harmless(fleet);
  sum.harmless += fleet.counts.size() - 1;
}

void add_crash_day(crash_fleet_settings drawn, bool shares, policy_outcome& sum) {
  crash_fleet fleet(drawn);
  if (!shares) {
    fleet.older_build = {0, 1, 2, 3, 4, 5};
  }
  fleet.innocents_a_second = 20;
  fleet.comes_again = true;
  for (unsigned round = 0; round < 20; ++round) {
    fleet.crash(fleet.some_replica());
    fleet.run(seconds(1));
  }
  sum.refused_without += refused_harmless(fleet);
}

policy_outcome play(const std::string& name, crash_fleet_settings drawn, bool shares = true) {
  policy_outcome sum;
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    drawn.seed = seed;
    add_guilty_day(drawn, shares, sum);
    add_crash_day(drawn, shares, sum);
  }
  std::ostringstream row;
  row << std::setw(28) << std::left << name << " ends " << std::fixed << std::setprecision(1)
      << static_cast<double>(sum.ends) / seed_count << " (most " << sum.most_ends
      << "), late sends at most " << sum.late_sends << ", last end after "
      << sum.seconds_to_last_end / seed_count << " s, harmless refused beside it "
      << sum.refused_beside << " of " << sum.harmless << ", without one " << sum.refused_without;
  BOOST_TEST_MESSAGE(row.str());
  return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine_policies_test)

BOOST_AUTO_TEST_CASE(a_shared_count_by_digest_costs_least) {
  constexpr std::size_t never = 1'000;
  crash_fleet_settings drawn;
  drawn.limits = {never, never, never};
  const auto nothing = play("nothing", drawn);
  drawn.limits = {1, never, never};
  const auto one_at_a_time = play("one replica a try, no count", drawn);
  drawn.limits = {};
  drawn.limits.single_attempt = never;
  drawn.route_pause = seconds(10);
  drawn.limits.quarantine = drawn.limits.quarantine_with_unrelated_exits = never;
  const auto pause = play("pause of the route, 10 s", drawn);
  drawn.route_pause = {};
  drawn.limits = {};
  const auto alone = play("count, each node alone", drawn, false);
  drawn.limits = {2, 3, 3};
  const auto at_three = play("count of all, 3 ends", drawn);
  drawn.limits = {};
  const auto in_force = play("count of all, 4 or 5 ends", drawn);

  for (const auto& other : {nothing, one_at_a_time, alone}) {
    BOOST_TEST(in_force.ends < other.ends);
  }
  BOOST_TEST(in_force.refused_beside + in_force.refused_without <
             pause.refused_beside + pause.refused_without);
  BOOST_TEST(in_force.refused_without <= at_three.refused_without);
  BOOST_TEST(in_force.most_ends <= 5U);
}

BOOST_AUTO_TEST_SUITE_END()
