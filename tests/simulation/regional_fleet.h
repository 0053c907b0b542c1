/// Simulated fleets of six zones in three regions, with network links of unequal rates and ten
/// replicas per node: the shape of a deployment in which traffic between regions is expensive.
#pragma once

#include "serving_fleet.h"

#include <map>
#include <string>

namespace spurrack::simulation {

inline constexpr int regional_zone_count = 6;
inline constexpr int regional_region_count = 3;
inline constexpr int regional_replicas_per_node = 10;
/// In each zone, one node out of this many has a strong processor and a fast link.
inline constexpr int nodes_per_strong_node = 8;
inline constexpr double fast_link_bytes_per_second = 25e6;   // 200 Mbit/s
inline constexpr double slow_link_bytes_per_second = 1.25e6; // 10 Mbit/s
/// Number of bytes of a replica's entry in an answer of the store: a document of 300 bytes in
/// base64, the key of the entry, and numbers such as the revision.
inline constexpr double store_entry_bytes = 500;
inline constexpr double store_link_bytes_per_second = 125e6; // 1,000 Mbit/s

inline std::string regional_zone(int index) {
  return "z" + std::to_string(index % regional_zone_count);
}

inline std::string region_of_zone(const std::string& zone) {
  return "r" + std::to_string((zone.back() - '0') % regional_region_count);
}

/// Service of the regional fleet.
struct regional_service {
  const char* name;
  /// Percentage of the fleet's replicas that belong to this service.
  int percentage;
  /// Whether the replicas execute pieces of stages instead of requests.
  bool has_pieces;
};
/// Two services whose replicas execute requests (the second service has few replicas), and three
/// services whose replicas execute pieces.
inline constexpr regional_service regional_services[] = {{"chat", 60, false},
                                                         {"bookings", 4, false},
                                                         {"assets", 13, true},
                                                         {"roster", 10, true},
                                                         {"ledger", 13, true}};

inline std::string regional_configuration() {
  wire::published_configuration configuration;
  configuration.set_version(1);
  for (const auto& described : regional_services) {
    auto& service = *configuration.add_services();
    service.set_name(described.name);
    if (described.has_pieces) {
      auto& pieces = *service.mutable_pieces();
      pieces.set_slots(2);
      pieces.set_queue(4);
      pieces.set_batch(8);
      pieces.set_call_milliseconds(20);
      pieces.set_item_milliseconds(2);
      pieces.set_result_megabytes(16);
      pieces.set_handle_seconds(10);
    }
  }
  return configuration.SerializeAsString();
}

inline std::string regional_replica(int number) {
  constexpr int hundred = 100;
  int remainder = (number / regional_zone_count) % hundred;
  const auto* service = &regional_services[0];
  for (const auto& described : regional_services) {
    service = &described;
    if (remainder < described.percentage) {
      break;
    }
    remainder -= described.percentage;
  }
  wire::published_replica record;
  record.set_id("i-" + std::to_string(number));
  record.set_service(service->name);
  record.set_address("10.64." + std::to_string(number / 200) + "." + std::to_string(number % 200) +
                     ":8363");
  record.set_zone(regional_zone(number));
  record.set_version("v1");
  record.set_slots(24);
  return record.SerializeAsString();
}

/// @return settings of a fleet of `nodes` nodes. Three nodes with slow links are the seeds, whose
///         addresses every node knows at its start.
inline simulation_settings regional_fleet_settings(int nodes) {
  auto settings = serving_fleet_settings(0);
  std::map<base::zone_id, base::region_id> regions;
  for (int index = 0; index < regional_zone_count; ++index) {
    const auto zone = regional_zone(index);
    regions[base::zone_id(zone)] = base::region_id(region_of_zone(zone));
  }
  settings.node.serving->regions = model::zone_regions(std::move(regions));
  for (int index = 0; index < nodes; ++index) {
    const bool is_strong = index / regional_zone_count % nodes_per_strong_node == 0;
    settings.nodes.push_back({"node-" + std::to_string(index), regional_zone(index),
                              is_strong ? fast_link_bytes_per_second : slow_link_bytes_per_second,
                              is_strong ? 0.5 : 0.12});
  }
  for (int index = 0; index < 3; ++index) {
    settings.seeds.push_back("node-" + std::to_string(regional_zone_count + index * 7));
  }
  settings.should_publish_node_list = false;
  for (int number = 0; number < nodes * regional_replicas_per_node; ++number) {
    settings.records[std::string(model::replica_prefix) + "i-" + std::to_string(number)] =
        regional_replica(number);
  }
  settings.records[std::string(model::configuration_key)] = regional_configuration();
  settings.network.delay = std::chrono::microseconds(1400);
  settings.network.region_delay = std::chrono::milliseconds(12);
  settings.store.bytes_per_second = store_link_bytes_per_second;
  settings.store.bytes_per_entry = store_entry_bytes;
  return settings;
}

} // namespace spurrack::simulation
