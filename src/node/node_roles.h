/// Roles of a node: work that it does for other nodes besides processing its own requests. Lets
/// operators of a large fleet distinguish the cost of each role.
#pragma once

#include "base/time.h"
#include "node/node.h"

#include <cstddef>
#include <cstdint>

namespace spurrack::node {

/// Roles that a node has at one time.
struct node_roles {
  /// Whether the node reads the configuration from its platform service; most nodes receive it from
  /// peers.
  bool watches_configuration = false;
  /// Whether the node reads the replicas from their platform service; most nodes receive them from
  /// peers.
  bool watches_replicas = false;
  /// Whether the node sends digests about its zone to other zones.
  bool is_relay = false;
  /// Number of shards of stage replicas for which the node is the batcher: it collects the pieces
  /// of all nodes and forms the calls to the replicas.
  std::size_t shards = 0;
  /// Number of engines for which the node is the accounting node: it keeps track of the prompts
  /// that all nodes have sent to the engine.
  std::size_t engine_accounts = 0;
};

/// @return the current roles of a node.
[[nodiscard]] node_roles roles_of(const node& subject, base::time_point now);

} // namespace spurrack::node
