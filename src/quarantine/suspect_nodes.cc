#include "quarantine/suspect_nodes.h"

#include "base/hashing.h"

#include <utility>

namespace spurrack::quarantine {

suspect_nodes::suspect_nodes(base::node_id self) : self_(std::move(self)), nodes_{self_} {}

void suspect_nodes::set_peers(const std::vector<serving::fleet_peer>& alive) {
  nodes_.assign({self_});
  addresses_.clear();
  for (const auto& peer : alive) {
    nodes_.push_back(peer.node);
    addresses_[peer.node] = peer.address;
  }
}

std::vector<base::node_id> suspect_nodes::ranked(const suspect_digest& digest,
                                                 std::size_t count) const {
  return base::rendezvous_top(digest.bytes(), nodes_, count);
}

} // namespace spurrack::quarantine
