/// Roles of a node: kinds of work that a node does for other nodes, besides processing its own
/// requests. The roles let operators of a large fleet distinguish the cost of each kind of work.
#pragma once

#include "base/time.h"
#include "node/node.h"

#include <cstddef>
#include <cstdint>

namespace spurrack::node {

/// Roles that a node has at one time.
struct node_roles {
  /// Whether the node reads the configuration from the platform service; most nodes receive the
  /// configuration from peers.
  bool watches_configuration = false;
  /// Whether the node reads the list of replicas from the platform service; most nodes receive the
  /// list from peers.
  bool watches_replicas = false;
  /// Whether the node sends digests about its zone to other zones.
  bool is_relay = false;
  /// Number of shards (groups of replicas of one service) for which the node is the batcher. The
  /// batcher collects the pieces of all nodes and forms the calls to the replicas of the shard.
  std::size_t shards = 0;
  /// Number of engines for which the node is the accounting node. The accounting node keeps track
  /// of the prompts that all nodes have sent to the engine.
  std::size_t engine_accounts = 0;
};

/// @return the current roles of a node.
[[nodiscard]] node_roles roles_of(const node& subject, base::time_point now);

} // namespace spurrack::node
