/// Open-loop load on simulated fleets of the users' present sizes, to compare balancing policies.
/// An engine is a back end that generates tokens.
#pragma once

#include "routing/balancing_policy.h"
#include "simulation/fleet_simulation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace spurrack::experiment {

/// Balancing policy to compare, with or without prediction at admission.
struct policy_variant {
  std::string name;
  routing::policy_kind policy = routing::policy_kind::adaptive;
  /// Whether admission refuses requests that are expected to miss their deadline.
  bool predict = true;
};

/// Fault that is injected at the start of the measurement.
enum class scenario_fault : std::uint8_t {
  none,
  slow_replica,
  hanging_replica,
  crashed_replica,
  zone_partition
};

/// Load and fault of a run.
struct scenario {
  std::string name;
  /// Offered load as a multiple of `user_profile::capacity`.
  double offered_load = 0.7;
  /// Offered load in the middle third of the measurement, as a multiple of
  /// `user_profile::capacity`; 0 for no burst.
  double burst_load = 0;
  /// Template of the requests during the burst; empty for the usual mix.
  std::string burst_template;
  scenario_fault fault = scenario_fault::none;
};

/// Fleet of a user of the project: nodes, back ends, records, and the mix of the requests.
struct user_profile {
  std::string name;
  std::vector<simulation::node_profile> nodes;
  std::vector<simulation::backend_profile> backends;
  std::map<std::string, std::string> records;
  /// Share of the requests by template and by tenant; the shares of each list add up to 1.
  std::vector<std::pair<std::string, double>> template_shares;
  std::vector<std::pair<std::string, double>> tenant_shares;
  /// Requests per second that saturate the busiest pool, for the usual mix.
  double capacity = 0;
};

/// Result of a run, over the requests that are sent after the warm-up. Times are in seconds.
struct measurement {
  /// Requests sent per second.
  double offered_rate = 0;
  /// Fraction of the sent requests that completed within their deadline.
  double attainment = 0;
  /// Number of requests that completed within their deadline, divided by the number that the
  /// capacity allows or by the number sent, whichever is smaller.
  double goodput = 0;
  /// `attainment` of the tenant with the smallest share of the requests.
  double smallest_tenant_attainment = 0;
  /// Fraction of the back-end time that was spent on calls whose result no completed request used.
  /// The time of an aborted call counts from its dispatch and includes the network and the queue of
  /// the back end.
  double wasted_share = 0;
  /// Time from sending a request to its refusal; 99th percentile.
  double refusal_p99 = 0;
  /// Percentiles of the latency of completed requests.
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  /// Time from sending a request to its first token at the caller, over all streams that began;
  /// 95th percentile.
  double first_token_p95 = 0;
  std::uint64_t requests = 0;
};

user_profile remittance_house();
user_profile cold_chain_association();
std::vector<scenario> all_scenarios();
std::vector<policy_variant> all_variants();

/// Runs a scenario on a user's simulated fleet. Runs with the same arguments give the same result.
measurement run_scenario(const user_profile& user, const scenario& load_scenario,
                         const policy_variant& variant, std::uint64_t seed);

} // namespace spurrack::experiment
