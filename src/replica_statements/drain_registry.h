/// Replicas that said in an answer that they leave. No I/O.
///
/// A process that leaves does not come back: what it said holds whatever the published list says of
/// it, and is remembered for a while after the list names it no longer, because a store that was
/// away or came back from an older copy may name it once more.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>

namespace spurrack::replica_statements {

/// Tells processes of a replica apart: a hash of its id, its start and its address, never 0.
using process_fingerprint = std::uint32_t;

/// One process of a replica that leaves.
struct drain_announcement {
  /// When a node heard it from the replica first, as far as this node knows.
  base::time_point announced_at;
  /// Who said so: the replica itself, or another node.
  std::string source;
  /// Latest time at which the replica was published as this process, or this node learned of it.
  base::time_point last_seen_at;
};

/// Not thread-safe.
class drain_registry {
 public:
  struct key {
    base::replica_id replica;
    process_fingerprint process = 0;
    auto operator<=>(const key&) const = default;
  };

  /// @return whether this node did not know it.
  bool note_drain(const key& draining, base::time_point announced_at, const std::string& source,
                  base::time_point now);
  /// A replica is published as this process.
  void note_published(const key& published, base::time_point now);
  /// Forgets what was neither published nor heard for long.
  void drop_expired(base::time_point now);

  /// Asked for each replica of a service at each choice: nearly all are told apart by their mark.
  [[nodiscard]] bool includes(const key& process) const {
    return fingerprints_.contains(process.process) && known_.contains(process);
  }
  [[nodiscard]] bool empty() const { return known_.empty(); }
  [[nodiscard]] const std::map<key, drain_announcement>& all() const { return known_; }

 private:
  std::map<key, drain_announcement> known_;
  /// Marks of those.
  std::unordered_set<process_fingerprint> fingerprints_;
};

} // namespace spurrack::replica_statements
