/// Roles of a node: kinds of work that it does for other nodes, besides processing its own
/// requests. The roles let operators of a large fleet distinguish the cost of each kind of work.
#pragma once

#include "base/time.h"
#include "node/node.h"

#include <cstddef>
#include <cstdint>

namespace spurrack::node {

/// Roles that a node has at one time.
struct node_roles {
  /// Whether the node reads the configuration, and whether it reads the list of replicas, from the
  /// platform service. Most nodes receive both from peers.
  bool watches_configuration = false;
  bool watches_replicas = false;
  /// Whether the node sends digests about its zone to other zones.
  bool is_relay = false;
  /// Number of shards (groups of replicas of one service) for which the node is the batcher, which
  /// batches the pieces of all nodes into calls to the replicas of the shard.
  std::size_t shards = 0;
  /// Number of engines (replicas that generate tokens) for which the node is the accounting node,
  /// which adds up what all nodes send to the engine.
  std::size_t engine_accounts = 0;
};

[[nodiscard]] node_roles roles_of(const node& subject, base::time_point now);

} // namespace spurrack::node
