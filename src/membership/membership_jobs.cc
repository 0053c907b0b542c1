/// Jobs of a zone or of a region: work that a few nodes do for all, chosen by rendezvous hashing.
#include "base/hashing.h"
#include "membership/membership.h"

#include <algorithm>
#include <iterator>

namespace spurrack::membership {

bool membership::has_zone_job(std::string_view job, std::size_t count) const {
  return zone_job_rank(job, count).has_value();
}

std::optional<std::size_t> membership::zone_job_rank(std::string_view job,
                                                     std::size_t count) const {
  const auto job_nodes = base::rendezvous_top(job, live_zone_nodes(), count);
  const auto own_node = std::find(job_nodes.begin(), job_nodes.end(), self_.node);
  if (own_node == job_nodes.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(own_node - job_nodes.begin());
}

std::vector<base::zone_id> membership::region_job_zones(std::string_view job, std::size_t zones,
                                                        base::time_point now) const {
  std::vector<base::zone_id> reachable{self_.zone};
  for (const auto& [zone, nodes] : live().remote) {
    if (!regions_.are_in_different_regions(self_.zone, zone) && zones_.is_reachable(zone, now)) {
      reachable.push_back(zone);
    }
  }
  return base::rendezvous_top(job, reachable, zones);
}

std::optional<std::size_t> membership::region_job_rank(std::string_view job, std::size_t zones,
                                                       std::size_t count,
                                                       base::time_point now) const {
  const auto chosen_zones = region_job_zones(job, zones, now);
  const auto own_zone = std::find(chosen_zones.begin(), chosen_zones.end(), self_.zone);
  if (own_zone == chosen_zones.end()) {
    return std::nullopt;
  }
  const auto rank_in_zone = zone_job_rank(job, count);
  if (!rank_in_zone) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(own_zone - chosen_zones.begin()) * count + *rank_in_zone;
}

std::vector<base::node_id> membership::live_nodes_of(const base::zone_id& zone) const {
  if (zone == self_.zone) {
    return live_zone_nodes();
  }
  std::vector<base::node_id> nodes;
  if (const auto found = live().remote.find(zone); found != live().remote.end()) {
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(nodes),
                 [&](const auto& node) { return members_.at(node).state != wire::DEAD; });
  }
  return nodes;
}

std::vector<base::network_address> membership::other_region_job_nodes(std::string_view job,
                                                                      std::size_t zones,
                                                                      std::size_t count,
                                                                      base::time_point now) const {
  std::vector<base::network_address> addresses;
  for (const auto& zone : region_job_zones(job, zones, now)) {
    for (const auto& node : base::rendezvous_top(job, live_nodes_of(zone), count)) {
      if (node != self_.node) {
        addresses.push_back(members_.at(node).address);
      }
    }
  }
  return addresses;
}

membership::turn_position membership::position_besides_job(std::string_view subject,
                                                           std::string_view job, std::size_t zones,
                                                           std::size_t count,
                                                           base::time_point now) const {
  const auto job_zones = region_job_zones(job, zones, now);
  const auto job_nodes_of = [&](const base::zone_id& zone) {
    const bool does_job = std::find(job_zones.begin(), job_zones.end(), zone) != job_zones.end();
    return does_job ? base::rendezvous_top(job, live_nodes_of(zone), count)
                    : std::vector<base::node_id>{};
  };
  auto own_zone_nodes = live_zone_nodes();
  for (const auto& node : job_nodes_of(self_.zone)) {
    std::erase_if(own_zone_nodes,
                  [&](const auto& other) { return other == node && other != self_.node; });
  }
  const auto ranked = base::rendezvous_top(subject, own_zone_nodes, own_zone_nodes.size());
  turn_position position;
  position.zone_nodes = ranked.size();
  position.zone_rank = static_cast<std::size_t>(
      std::find(ranked.begin(), ranked.end(), self_.node) - ranked.begin());
  for (const auto& [zone, nodes] : live().remote) {
    const bool is_of_region = !regions_.are_in_different_regions(self_.zone, zone);
    if (is_of_region && nodes.size() > job_nodes_of(zone).size()) {
      ++position.zones;
      position.zone_index += zone < self_.zone ? 1 : 0;
    }
  }
  return position;
}

membership::region_size membership::own_region_size() const {
  region_size size{1, live_zone_nodes().size()};
  for (const auto& [zone, nodes] : live().remote) {
    if (!regions_.are_in_different_regions(self_.zone, zone)) {
      ++size.zones;
      size.nodes += nodes.size();
    }
  }
  return size;
}

} // namespace spurrack::membership
