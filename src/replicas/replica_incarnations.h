/// Which life each replica is in. A replica that starts again under its id knows nothing of before,
/// so that nothing that was seen of it holds any longer. No decision is taken here.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/serving_records.h"

#include <cstdint>
#include <map>
#include <optional>

namespace spurrack::serving {

/// A replica that began another life under its id.
struct replica_restart {
  base::replica_id replica;
  /// Where its earlier life was reached.
  base::network_address earlier_address;
};

/// Not thread-safe.
class replica_incarnations {
 public:
  /// Takes over what is published of a replica.
  /// @return the restart where it was known in another life. A replica that does not tell its life
  ///         is taken to go on with the one that was told last.
  std::optional<replica_restart> note_published(const model::replica& record);
  /// A replica is published no longer. Its life is remembered for a while, because most replicas
  /// that crash are gone from the list before they start again.
  void note_gone(const base::replica_id& replica, base::time_point now);
  /// Forgets what has been gone for long.
  void forget_gone(base::time_point now);
  [[nodiscard]] std::size_t size() const { return known_.size(); }

 private:
  struct known_incarnation {
    model::replica_incarnation life;
    base::network_address address;
    std::optional<base::time_point> gone_at;
  };
  std::map<base::replica_id, known_incarnation> known_;
};

/// Names the end of one life of a replica: a hash of its id and its start, equal on all nodes.
using replica_end = std::uint64_t;
[[nodiscard]] replica_end exit_id_of(const model::replica& record);

/// @return a short mark of a replica's life for messages between nodes: equal for equal lives, 0
///         where the replica does not tell its life.
[[nodiscard]] std::uint32_t incarnation_fingerprint_of(const model::replica& record);

/// @return a mark of the process of a replica for messages between nodes, never 0: it differs for
///         another start under the same id, and for another address.
[[nodiscard]] std::uint32_t process_fingerprint_of(const model::replica& record);

} // namespace spurrack::serving
