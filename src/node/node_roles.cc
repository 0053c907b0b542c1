#include "node/node_roles.h"

#include <algorithm>

namespace spurrack::node {

node_roles roles_of(const node& subject, base::time_point now) {
  node_roles roles;
  roles.watches_configuration = subject.should_read_service(source_kind::configuration, now);
  roles.watches_replicas = subject.should_read_service(source_kind::machine_list, now);
  roles.is_relay = subject.members().is_relay();
  if (const auto* serving = subject.serving()) {
    const auto& shards = serving->stages().shards().shards();
    roles.shards = static_cast<std::size_t>(
        std::count_if(shards.begin(), shards.end(), [&](const serving::shard& shard) {
          return shard.batcher == subject.settings().self.node;
        }));
    roles.engine_accounts = serving->engine_accounts();
  }
  return roles;
}

} // namespace spurrack::node
