#include "streams/origin_witnesses.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace spurrack::streams {
namespace {

/// Number of nodes that keep the origin of a stream besides the node that began it.
constexpr std::size_t witness_count = 3;
/// Number of zones that rank highest and are queried. Two of them hold witnesses in zones other
/// than that of the node that began the stream.
constexpr std::size_t queried_zones = 3;

/// @return number of nodes of each zone that are queried. In a fleet of few zones, more of the
///         witnesses are in one zone. Two more nodes than there can be witnesses are queried: the
///         node that began the stream, which is no witness, may rank higher, and so may a node that
///         has started since.
std::size_t queried_nodes_per_zone(std::size_t zones) {
  return witness_count + 3 - std::min(zones, queried_zones);
}

} // namespace

void origin_witnesses::set_peers(const std::vector<serving::fleet_peer>& alive) {
  peers_.clear();
  peers_[self_.zone];
  for (const auto& peer : alive) {
    auto& in_zone = peers_[peer.zone];
    in_zone.nodes.push_back(peer.node);
    in_zone.addresses[peer.node] = peer.address;
  }
  zones_.clear();
  for (const auto& [zone, in_zone] : peers_) {
    zones_.push_back(zone);
  }
}

std::vector<base::zone_id> origin_witnesses::ranked_zones(const stream_key& stream) const {
  return base::rendezvous_top(stream.bytes(), zones_, queried_zones);
}

std::vector<base::network_address> origin_witnesses::top_nodes(const stream_key& stream,
                                                               const base::zone_id& zone,
                                                               std::size_t count) const {
  std::vector<base::network_address> addresses;
  const auto found = peers_.find(zone);
  if (found == peers_.end()) {
    return addresses;
  }
  for (const auto& node : base::rendezvous_top(stream.bytes(), found->second.nodes, count)) {
    addresses.push_back(found->second.addresses.at(node));
  }
  return addresses;
}

std::vector<base::network_address> origin_witnesses::keepers_of(const stream_key& stream) const {
  std::vector<base::zone_id> zones{self_.zone};
  for (const auto& zone : ranked_zones(stream)) {
    if (zone != self_.zone) {
      zones.push_back(zone);
    }
  }
  zones.resize(std::min(zones.size(), witness_count));
  std::vector<std::vector<base::network_address>> nodes_by_zone;
  nodes_by_zone.reserve(zones.size());
  for (const auto& zone : zones) {
    nodes_by_zone.push_back(top_nodes(stream, zone, witness_count));
  }
  std::vector<base::network_address> keepers;
  // First one node of each zone, then a second one, until there are enough.
  for (std::size_t rank = 0; rank < witness_count; ++rank) {
    for (const auto& nodes : nodes_by_zone) {
      if (nodes.size() > rank && keepers.size() < witness_count) {
        keepers.push_back(nodes[rank]);
      }
    }
  }
  return keepers;
}

std::vector<origin_witnesses::queried_node>
origin_witnesses::queried_for(const stream_key& stream) const {
  auto zones = ranked_zones(stream);
  if (std::find(zones.begin(), zones.end(), self_.zone) == zones.end()) {
    zones.push_back(self_.zone);
  }
  std::vector<queried_node> queried;
  for (const auto& zone : zones) {
    for (auto& address : top_nodes(stream, zone, queried_nodes_per_zone(zones_.size()))) {
      queried.push_back({std::move(address), zone});
    }
  }
  return queried;
}

} // namespace spurrack::streams
