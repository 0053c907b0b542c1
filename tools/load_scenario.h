/// Simulates the fleet of each user of the project, at its present size, under load, to compare
/// balancing policies. The load is open-loop: callers send requests at a given rate, whether or not
/// earlier requests have been answered. An engine is a back end that generates tokens.
#pragma once

#include "routing/balancing_policy.h"
#include "simulation/fleet_simulation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace spurrack::experiment {

/// Balancing policy to compare, with or without the prediction of missed deadlines at admission.
struct policy_variant {
  std::string name;
  routing::policy_kind policy = routing::policy_kind::adaptive;
  /// Whether admission refuses a request that is expected to miss its deadline.
  bool refuse_expected_late = true;
};

/// Fault that is injected into the simulated fleet at the start of the measured time.
enum class scenario_fault : std::uint8_t {
  none,
  slow_replica,
  hanging_replica,
  crashed_replica,
  zone_partition
};

/// Load and fault of one simulation run.
struct scenario {
  std::string name;
  /// Rate at which callers send requests, as a multiple of `user_profile::capacity`.
  double offered_load = 0.7;
  /// Rate of requests during the burst, which is the middle third of the measured time, as a
  /// multiple of `user_profile::capacity`; 0 for no burst.
  double burst_load = 0;
  /// Name of the pipeline template of all requests during the burst; empty if the burst uses the
  /// usual mix of templates.
  std::string burst_template;
  scenario_fault fault = scenario_fault::none;
};

/// Simulated fleet of a user of the project, and the mix of the requests that the user sends.
struct user_profile {
  std::string name;
  std::vector<simulation::node_profile> nodes;
  std::vector<simulation::backend_profile> backends;
  /// YAML value of each published record (pipeline template or tenant), by key.
  std::map<std::string, std::string> records;
  /// Fraction of the requests for each pipeline template and from each tenant. The fractions of
  /// each list add up to 1.
  std::vector<std::pair<std::string, double>> template_shares;
  std::vector<std::pair<std::string, double>> tenant_shares;
  /// Number of requests per second, in the usual mix of templates, that saturates the busiest pool
  /// of back ends.
  double capacity = 0;
};

/// Result of one simulation run, over the requests that callers send after the warm-up. Times are
/// in seconds.
struct measurement {
  /// Number of requests sent per second.
  double offered_rate = 0;
  /// Fraction of the sent requests that completed within their deadline.
  double in_time_fraction = 0;
  /// Number of requests that completed within their deadline, divided by the smaller of the number
  /// of sent requests and the number that `user_profile::capacity` allows in the measured time.
  double goodput = 0;
  /// Fraction of the sent requests that completed within their deadline, counting only the requests
  /// of the tenant that sends the fewest requests.
  double smallest_tenant_in_time_fraction = 0;
  /// Fraction of the time of back ends that was spent on calls whose result no completed request
  /// used. The time of an aborted call begins at its dispatch, so it includes the time in the
  /// network and in the queue of the back end.
  double wasted_time_fraction = 0;
  /// 99th percentile of the time from sending a request to its refusal.
  double refusal_p99_seconds = 0;
  /// Percentiles of the time from sending a completed request to its answer.
  double latency_p50_seconds = 0;
  double latency_p95_seconds = 0;
  double latency_p99_seconds = 0;
  /// 95th percentile of the time from sending a request to the arrival of its first token at the
  /// caller, over all requests whose stream of tokens began.
  double first_token_p95_seconds = 0;
  std::uint64_t requests = 0;
};

user_profile remittance_house();
user_profile cold_chain_association();
std::vector<scenario> all_scenarios();
std::vector<policy_variant> all_variants();

/// Runs a scenario on a simulated fleet of a user. Two runs with the same arguments give the same
/// result.
measurement run_scenario(const user_profile& user, const scenario& load_scenario,
                         const policy_variant& variant, std::uint64_t seed);

} // namespace spurrack::experiment
