/// Runs a small simulated fleet under load with seeded random faults and checks its invariants.
#pragma once

#include "base/safety_switches.h"
#include "simulation/invariant_checker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spurrack::simulation {

/// Kinds of faults of a simulated fleet. A run injects the kinds that its options name, or else one
/// or two kinds that are drawn at random.
enum class fault_kind : std::uint8_t {
  message_loss,
  zone_cut,
  zone_cut_from_platform,
  node_freeze,
  freeze_before_effect, ///< Suspends a node before it sends its next non-repeatable call.
  node_kill,
  node_stop,
  backend_crash,
  bad_answers,
  platform_down,
  platform_stale,
  platform_restored, ///< Sets the platform back to an earlier revision.
  operators_race,    ///< Publishes three changes in a row, the last of them invalid.
  backend_leaving,
  node_list_changes,
};
inline constexpr std::size_t fault_kind_count = 15;

std::string_view name_of(fault_kind kind);

/// Options of one simulation run.
struct run_options {
  std::uint64_t seed = 1;
  base::safety_switches switches;
  /// Kinds of faults to inject. If empty, one or two kinds are drawn at random from the seed.
  std::vector<fault_kind> faults;
  /// Time for which the fleet is under load and faults are injected. Does not include the start of
  /// the fleet and the settling at the end.
  base::duration load_duration = std::chrono::seconds(15);
};

/// Result of one simulation run.
struct run_report {
  std::uint64_t seed = 0;
  std::vector<fault_kind> faults;
  std::vector<violation> violations;
  std::size_t requests = 0;
  std::size_t completed = 0;
  /// Number of executions of non-repeatable calls.
  std::size_t effects = 0;
  /// Timeline of the events that concern the request of the first violation. If that violation
  /// concerns no request: the most recent events of the fleet that concern no request. Empty if
  /// there is no violation.
  std::string timeline;
};

/// Placeholder for the SHA-256 hash of the example tenant's token; the simulation has no listener
/// that computes hashes.
inline constexpr const char* example_token_hash =
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

/// @return settings of a fleet of three zones with two nodes each, their back ends, the templates
///         `answer` (repeatable) and `payout` (with a non-repeatable call), and one tenant.
///         Idempotency keys and tickets expire within seconds.
simulation_settings example_settings(const run_options& options);

/// Runs one simulation with random faults and checks its invariants.
run_report run_with_faults(const run_options& options);

} // namespace spurrack::simulation
