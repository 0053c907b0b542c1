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
using process_mark = std::uint32_t;

/// One process of a replica that leaves.
struct departure {
  /// When a node heard it from the replica first, as far as this node knows.
  base::time_point since;
  /// Who said so: the replica itself, or another node.
  std::string source;
  /// Latest time at which the replica was published as this process, or this node learned of it.
  base::time_point seen_at;
};

/// Not thread-safe.
class departure_book {
 public:
  struct key {
    base::replica_id replica;
    process_mark process = 0;
    auto operator<=>(const key&) const = default;
  };

  /// @return whether this node did not know it.
  bool note(const key& leaving, base::time_point since, const std::string& source,
            base::time_point now);
  /// A replica is published as this process.
  void note_published(const key& published, base::time_point now);
  /// Forgets what was neither published nor heard for long.
  void forget_old(base::time_point now);

  /// Asked for each replica of a service at each choice: nearly all are told apart by their mark.
  [[nodiscard]] bool includes(const key& process) const {
    return marks_.contains(process.process) && known_.contains(process);
  }
  [[nodiscard]] bool empty() const { return known_.empty(); }
  [[nodiscard]] const std::map<key, departure>& all() const { return known_; }

 private:
  std::map<key, departure> known_;
  /// Marks of those.
  std::unordered_set<process_mark> marks_;
};

} // namespace spurrack::replica_statements
