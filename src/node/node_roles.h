/// What a node does for others beside its own requests, so that operators of a large fleet can tell
/// apart what each of these costs.
#pragma once

#include "base/time.h"
#include "node/node.h"

#include <cstddef>
#include <cstdint>

namespace spurrack::node {

struct node_roles {
  /// It watches the store's configuration, or its replicas, for other nodes.
  bool watches_configuration = false;
  bool watches_replicas = false;
  /// It tells other zones of its own, and its own of the others.
  bool is_relay = false;
  /// Shards of stage replicas for which it gathers pieces.
  std::size_t shards = 0;
  /// Engines whose account it holds.
  std::size_t engine_accounts = 0;
};

[[nodiscard]] node_roles roles_of(const node& subject, base::time_point now);

} // namespace spurrack::node
