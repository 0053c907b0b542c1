/// One run of a small fleet under load with faults drawn from a seed, promises checked throughout.
#pragma once

#include "base/safety_switches.h"
#include "simulation/invariant_checker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spurrack::simulation {

/// Kinds of faults. A run draws one or two of them, unless told which.
enum class fault_kind : std::uint8_t {
  message_loss,
  zone_cut,
  zone_cut_from_platform,
  node_freeze,
  freeze_before_effect,
  node_kill,
  node_stop,
  backend_crash,
  bad_answers,
  platform_down,
  platform_stale,
  platform_restored,
  operators_race,
  backend_leaving,
  node_list_changes,
};
inline constexpr std::size_t fault_kind_count = 15;

std::string_view name_of(fault_kind kind);

struct run_options {
  std::uint64_t seed = 1;
  base::safety_switches switches;
  /// Drawn from the seed where empty.
  std::vector<fault_kind> faults;
  base::duration length = std::chrono::seconds(15);
};

struct run_report {
  std::uint64_t seed = 0;
  std::vector<fault_kind> faults;
  std::vector<violation> violations;
  std::size_t requests = 0;
  std::size_t completed = 0;
  std::size_t effects = 0;
  /// Time line of the first violation's request, or of the whole fleet's last events.
  std::string timeline;
};

/// Stands for the SHA-256 of the example tenant's token; the simulation has no door.
inline constexpr const char* example_token_hash =
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

/// @return three zones with two nodes each, their back ends, the templates `answer` (repeatable)
/// and
///         `payout` (with an effect), and one tenant; lives of keys are seconds.
simulation_settings example_settings(const run_options& options);

run_report run_with_faults(const run_options& options);

} // namespace spurrack::simulation
