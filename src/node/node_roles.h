/// Work that a node does for other nodes besides its own requests. Lets operators of a large fleet
/// distinguish the costs of each role.
#pragma once

#include "base/time.h"
#include "node/node.h"

#include <cstddef>
#include <cstdint>

namespace spurrack::node {

/// Roles of a node at one time.
struct node_roles {
  /// Whether the node reads the configuration or the replicas from the store; most nodes receive
  /// them from peers.
  bool watches_configuration = false;
  bool watches_replicas = false;
  /// Whether the node exchanges digests of its zone with other zones.
  bool is_relay = false;
  /// Number of shards of stage replicas for which the node batches pieces.
  std::size_t shards = 0;
  /// Number of engines for which the node is the accounting node.
  std::size_t engine_accounts = 0;
};

/// @return the current roles of a node.
[[nodiscard]] node_roles roles_of(const node& subject, base::time_point now);

} // namespace spurrack::node
