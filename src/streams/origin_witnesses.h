/// Choice of the nodes that keep the origin of a stream. Every node can find them from the key of
/// the stream, whichever node began it. No I/O.
#pragma once

#include "base/ids.h"
#include "fleet_view/peer_directory.h"
#include "streams/stream_origin.h"

#include <cstddef>
#include <map>
#include <vector>

namespace spurrack::streams {

/// Ranks zones, and the nodes of each zone, by rendezvous hashing. The node that begins a stream
/// chooses three witnesses, as far as there are as many other nodes: the first node of its own
/// zone, for clients that resume in a zone which is cut off, and the first nodes of the two zones
/// that rank highest, for clients that resume after its zone failed. Of its zone and the zones that
/// rank highest, the node that is asked to resume a stream queries the nodes which can be among the
/// witnesses. Both cost a hash for each zone and for each node of these zones. Not thread-safe.
class origin_witnesses {
 public:
  explicit origin_witnesses(serving::fleet_peer self) : self_(std::move(self)) {}

  [[nodiscard]] const base::node_id& self() const { return self_.node; }
  /// Replaces the other nodes that are alive.
  void set_peers(const std::vector<serving::fleet_peer>& alive);
  /// @return addresses of the nodes that keep the origin of a stream which this node begins.
  [[nodiscard]] std::vector<base::network_address> keepers_of(const stream_key& stream) const;

  /// Node that may know the origin of a stream.
  struct queried_node {
    base::network_address address;
    base::zone_id zone;
  };
  [[nodiscard]] std::vector<queried_node> queried_for(const stream_key& stream) const;

 private:
  struct zone_peers {
    /// This zone's nodes without this node.
    std::vector<base::node_id> nodes;
    std::map<base::node_id, base::network_address> addresses;
  };
  /// @return zones in the order of their rank.
  [[nodiscard]] std::vector<base::zone_id> ranked_zones(const stream_key& stream) const;
  /// @return the nodes of a zone that rank highest, at most `count`, without this node.
  [[nodiscard]] std::vector<base::network_address>
  top_nodes(const stream_key& stream, const base::zone_id& zone, std::size_t count) const;

  serving::fleet_peer self_;
  std::vector<base::zone_id> zones_;
  std::map<base::zone_id, zone_peers> peers_;
};

} // namespace spurrack::streams
