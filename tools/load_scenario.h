/// Open-loop load on a simulated fleet at today's sizes, for comparing policies side by side.
#pragma once

#include "routing/balancing_policy.h"
#include "simulation/fleet_simulation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace spurrack::experiment {

/// What is tried: a policy, with or without prediction at admission.
struct policy_variant {
  std::string name;
  routing::policy_kind policy = routing::policy_kind::adaptive;
  bool predict = true;
};

enum class scenario_fault : std::uint8_t {
  none,
  slow_replica,
  hanging_replica,
  crashed_replica,
  zone_partition
};

/// One load on one user's fleet.
struct scenario {
  std::string name;
  /// Offered load as a multiple of the capacity of the busiest pool.
  double offered_load = 0.7;
  /// Load in the middle third of the run, as a multiple of the capacity of the stage hit.
  double burst_load = 0;
  /// Template that the burst uses; empty: the usual mix.
  std::string burst_template;
  scenario_fault fault = scenario_fault::none;
};

/// A user's fleet: places, pools, templates with their share of the requests.
struct user_profile {
  std::string name;
  std::vector<simulation::node_profile> nodes;
  std::vector<simulation::backend_profile> backends;
  std::map<std::string, std::string> records;
  /// Template and tenant shares, each adding up to 1.
  std::vector<std::pair<std::string, double>> template_shares;
  std::vector<std::pair<std::string, double>> tenant_shares;
  /// Requests a second at which the busiest pool is full, for the usual mix.
  double capacity = 0;
};

/// What one run gave. Times in seconds.
struct measurement {
  double offered_rate = 0;
  /// Completed within the deadline, of all sent.
  double attainment = 0;
  /// Completed within the deadline, as a share of what the capacity allows.
  double goodput = 0;
  double smallest_tenant_attainment = 0;
  /// Back-end time whose result no completed request used, as a share of all; a given-up call
  /// counts from its dispatch, the network and the back end's queue included.
  double wasted_share = 0;
  double refusal_p99 = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  /// From the send to the first token at the caller; of all streams that began.
  double first_token_p95 = 0;
  std::uint64_t requests = 0;
};

user_profile remittance_house();
user_profile cold_chain_association();
std::vector<scenario> all_scenarios();
std::vector<policy_variant> all_variants();

measurement run_scenario(const user_profile& user, const scenario& load_scenario,
                         const policy_variant& variant, std::uint64_t seed);

} // namespace spurrack::experiment
