/// Nodes that have a job for a suspect, such as adding up the exits under it: every node finds them
/// by rendezvous hashing of the digest of the suspect over all live nodes. No I/O.
#pragma once

#include "base/ids.h"
#include "fleet_view/peer_directory.h"
#include "quarantine/suspect.h"

#include <cstddef>
#include <map>
#include <vector>

namespace spurrack::quarantine {

/// This node and its peers, ranked for each suspect. Not thread-safe.
class suspect_nodes {
 public:
  explicit suspect_nodes(base::node_id self);

  /// Replaces the peers with the live nodes except this one.
  void set_peers(const std::vector<serving::fleet_peer>& alive);
  /// @return the nodes that rank highest for a suspect, the first one first, at most `count`; this
  ///         node may be among them.
  [[nodiscard]] std::vector<base::node_id> ranked(const suspect_digest& digest,
                                                  std::size_t count) const;
  [[nodiscard]] const base::node_id& self() const { return self_; }
  /// @return addresses of the peers; this node is not among them.
  [[nodiscard]] const std::map<base::node_id, base::network_address>& addresses() const {
    return addresses_;
  }

 private:
  base::node_id self_;
  /// This node and its peers.
  std::vector<base::node_id> nodes_;
  std::map<base::node_id, base::network_address> addresses_;
};

} // namespace spurrack::quarantine
