/// Compares policies against requests that crash replicas, on the same random fleets: by the exits
/// of replicas, the time to the last exit, and the number of harmless requests that are refused.
/// docs/design/quarantine.md discusses the results.
#include "crash_fleet.h"

#include <boost/test/unit_test.hpp>

#include <iomanip>
#include <sstream>

using namespace spurrack;
using namespace spurrack::quarantine;

namespace {

constexpr std::uint64_t seed_count = 20;

/// Results of one policy: sums over all seeds, except for the maxima.
struct policy_outcome {
  std::size_t exits = 0;
  /// Maximum number of exits under the crashing request in the fleet of one seed.
  std::size_t max_exits = 0;
  /// Maximum, over the fleets of all seeds, of the number of times that the crashing request
  /// reached a replica later than 3 s after the third exit.
  std::size_t late_sends = 0;
  /// Time from the first to the last exit under the crashing request, summed over all seeds.
  double seconds_to_last_exit = 0;
  /// Harmless requests that the policy refused in fleets with a crashing request.
  std::size_t refused_beside_crashing_request = 0;
  /// Requests that the policy refused in fleets in which replicas crash for other reasons.
  std::size_t refused_without_crashing_request = 0;
  /// Harmless requests sent in fleets with a crashing request.
  std::size_t harmless_requests = 0;
};

/// @return number of harmless requests that the policy of the fleet refused: requests in quarantine
///         or, with `route_pause`, all requests during the pause.
std::size_t count_refused_harmless(const crash_fleet& fleet) {
  std::size_t refused = 0;
  for (const auto& [body, count] : fleet.counts) {
    if (!fleet.crashing_bodies.contains(body)) {
      refused +=
          fleet.settings.route_pause > base::duration::zero() ? count.refused : count.quarantined;
    }
  }
  return refused;
}

void add_fleet_with_crashing_request(crash_fleet_settings settings, bool shares_reports,
                                     policy_outcome& totals) {
  crash_fleet fleet(settings);
  if (!shares_reports) {
    fleet.nodes_of_older_build = {0, 1, 2, 3, 4, 5};
  }
  fleet.crashing_bodies = {"guilty"};
  fleet.harmless_per_second = 20;
  fleet.clients_retry = true;
  fleet.send_repeatedly("/stream/", "guilty", seconds(20));
  const auto& exits = fleet.exits_under["guilty"];
  totals.exits += exits.size();
  totals.max_exits = std::max(totals.max_exits, exits.size());
  totals.late_sends =
      std::max(totals.late_sends, fleet.sends_after_third_exit("guilty", seconds(3)));
  totals.seconds_to_last_exit += exits.empty() ? 0 : base::to_seconds(exits.back() - exits.front());
  totals.refused_beside_crashing_request += count_refused_harmless(fleet);
  totals.harmless_requests += fleet.counts.size() - 1;
}

void add_fleet_with_unrelated_crashes(crash_fleet_settings settings, bool shares_reports,
                                      policy_outcome& totals) {
  crash_fleet fleet(settings);
  if (!shares_reports) {
    fleet.nodes_of_older_build = {0, 1, 2, 3, 4, 5};
  }
  fleet.harmless_per_second = 20;
  fleet.clients_retry = true;
  for (unsigned round = 0; round < 20; ++round) {
    fleet.crash(fleet.random_replica());
    fleet.run(seconds(1));
  }
  totals.refused_without_crashing_request += count_refused_harmless(fleet);
}

policy_outcome run_policy(const std::string& name, crash_fleet_settings settings,
                          bool shares_reports = true) {
  policy_outcome totals;
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    settings.seed = seed;
    add_fleet_with_crashing_request(settings, shares_reports, totals);
    add_fleet_with_unrelated_crashes(settings, shares_reports, totals);
  }
  std::ostringstream row;
  row << std::setw(28) << std::left << name << " exits " << std::fixed << std::setprecision(1)
      << static_cast<double>(totals.exits) / seed_count << " (most " << totals.max_exits
      << "), late sends at most " << totals.late_sends << ", last exit after "
      << totals.seconds_to_last_exit / seed_count
      << " s, harmless requests refused with a crashing request "
      << totals.refused_beside_crashing_request << " of " << totals.harmless_requests
      << ", without it " << totals.refused_without_crashing_request;
  BOOST_TEST_MESSAGE(row.str());
  return totals;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine_policies_test)

BOOST_AUTO_TEST_CASE(a_shared_exit_count_costs_the_fewest_exits_and_refusals) {
  constexpr std::size_t never = 1'000;
  crash_fleet_settings settings;
  settings.limits = {never, never, never};
  const auto no_policy = run_policy("nothing", settings);
  settings.limits = {1, never, never};
  const auto single_attempt_only = run_policy("single attempts, no count", settings);
  settings.limits = {};
  settings.limits.single_attempt = never;
  settings.route_pause = seconds(10);
  settings.limits.quarantine = settings.limits.quarantine_with_unrelated_exits = never;
  const auto route_pause_only = run_policy("pause of the route, 10 s", settings);
  settings.route_pause = {};
  settings.limits = {};
  const auto per_node_count = run_policy("count of each node alone", settings, false);
  settings.limits = {2, 3, 3};
  const auto limit_of_three = run_policy("count of all, 3 exits", settings);
  settings.limits = {};
  const auto current_policy = run_policy("count of all, 4 or 5 exits", settings);

  for (const auto& other : {no_policy, single_attempt_only, per_node_count}) {
    BOOST_TEST(current_policy.exits < other.exits);
  }
  BOOST_TEST(current_policy.refused_beside_crashing_request +
                 current_policy.refused_without_crashing_request <
             route_pause_only.refused_beside_crashing_request +
                 route_pause_only.refused_without_crashing_request);
  BOOST_TEST(current_policy.refused_without_crashing_request <=
             limit_of_three.refused_without_crashing_request);
  BOOST_TEST(current_policy.max_exits <= 5U);
}

BOOST_AUTO_TEST_SUITE_END()
