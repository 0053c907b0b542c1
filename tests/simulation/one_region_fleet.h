/// Simulated fleets whose nodes are spread over several zones of one region, and configurations
/// that tests publish to these fleets.
#pragma once

#include "serving_fleet.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace spurrack::simulation {

/// @return zone of the node with this number. Each zone has a node, and the numbers of nodes of the
///         zones are unequal: of `nodes` nodes, those that exceed one per zone are in zone 0 or 1.
inline std::string uneven_zone_of(int number, int zones) {
  return "z" + std::to_string(number < zones ? number : number % std::min(zones, 2));
}

inline std::string even_zone_of(int number, int zones) {
  return "z" + std::to_string(number % zones);
}

/// @param is_even whether the zones have equal numbers of nodes.
inline simulation_settings one_region_settings(int nodes, int zones, bool is_even,
                                               std::uint64_t seed) {
  auto settings = serving_fleet_settings(0);
  std::map<base::zone_id, base::region_id> regions;
  for (int zone = 0; zone < zones; ++zone) {
    regions[base::zone_id("z" + std::to_string(zone))] = base::region_id("r");
  }
  settings.seed = seed;
  settings.node.serving->regions = model::zone_regions(std::move(regions));
  for (int index = 0; index < nodes; ++index) {
    settings.nodes.push_back({"node-" + std::to_string(index),
                              is_even ? even_zone_of(index, zones) : uneven_zone_of(index, zones)});
  }
  for (int index = 0; index < std::min(nodes, 3); ++index) {
    settings.seeds.push_back("node-" + std::to_string(index));
  }
  settings.should_publish_node_list = false;
  settings.node.service_timing.max_hold_time = std::chrono::seconds(15);
  settings.node.service_timing.max_retry_interval = std::chrono::milliseconds(500);
  settings.node.service_timing.max_read_interval = std::chrono::milliseconds(400);
  return settings;
}

/// @return a configuration with `routes` routes of some 100 bytes each.
inline std::string configuration_of(std::uint64_t version, int routes = 0) {
  wire::published_configuration configuration;
  configuration.set_version(version);
  if (routes > 0) {
    configuration.add_services()->set_name("service");
  }
  for (int index = 0; index < routes; ++index) {
    auto& route = *configuration.add_routes();
    route.set_name("route-" + std::to_string(index));
    route.set_host("host-" + std::to_string(index * 7919 % 1000) + ".example");
    route.set_path_prefix("/path-" + std::to_string(index) + "/");
    auto& service = *route.add_services();
    service.set_service("service");
    service.set_weight(1);
  }
  return configuration.SerializeAsString();
}

inline bool has_version(const fleet_simulation& fleet, const std::string& name,
                        std::uint64_t version) {
  const auto configuration = fleet.node(name).published_catalog().serving();
  return configuration != nullptr && configuration->version >= version;
}

} // namespace spurrack::simulation
