/// Simulated fleets whose nodes serve published routes, with the timing settings of user
/// deployments.
#pragma once

#include "model/serving_record_parser.h"
#include "simulation/fleet_simulation.h"
#include "wire/published.pb.h"

#include <string>

namespace spurrack::simulation {

/// Number of zones, which are named `z0`, `z1` and so on.
inline constexpr int serving_zone_count = 4;

/// @return settings of a fleet of `nodes` nodes that are spread evenly over the zones. The
///         published configuration has no routes.
inline simulation_settings serving_fleet_settings(int nodes) {
  simulation_settings settings;
  for (int index = 0; index < nodes; ++index) {
    settings.nodes.push_back(
        {"node-" + std::to_string(index), "z" + std::to_string(index % serving_zone_count)});
  }
  wire::published_configuration configuration;
  configuration.set_version(1);
  settings.records[std::string(model::configuration_key)] = configuration.SerializeAsString();
  settings.node.serving.emplace();
  settings.node.resync_timeout = std::chrono::milliseconds(300);
  auto& timing = settings.node.membership_timing;
  timing.probe_period = std::chrono::milliseconds(300);
  timing.acknowledgement_timeout = std::chrono::milliseconds(100);
  timing.suspicion_timeout = std::chrono::milliseconds(1000);
  timing.relay_period = std::chrono::milliseconds(300);
  return settings;
}

} // namespace spurrack::simulation
