/// Current incarnation of each replica. An incarnation is one process of the replica, from its
/// start to its exit, and is identified by its start time. A replica that restarts under its id has
/// lost its state, so that observations of its earlier incarnation no longer apply. Only detects
/// restarts; the callers act on them.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/serving_records.h"

#include <cstdint>
#include <map>
#include <optional>

namespace spurrack::serving {

/// Identifies the exit of one incarnation of a replica (the end of its process, by a crash or
/// otherwise): a hash of the replica's id and start time, equal on all nodes.
using replica_exit = std::uint64_t;
[[nodiscard]] replica_exit exit_id_of(const model::replica& record);

/// Restart of a replica that keeps its id.
struct replica_restart {
  base::replica_id replica;
  /// Address of the earlier incarnation.
  base::network_address earlier_address;
  /// Exit of the earlier incarnation.
  replica_exit earlier_exit = 0;
};

/// Replica that is published no longer.
struct removed_replica {
  base::replica_id replica;
  replica_exit exit = 0;
  /// Whether its last record announced a planned end.
  bool was_draining = false;
};

/// Latest published incarnation of each replica. Not thread-safe.
class replica_incarnations {
 public:
  /// Records the published record of a replica.
  /// @return the restart if the replica was known in another incarnation, else std::nullopt. A
  ///         record that names no incarnation counts as a record of the incarnation that was
  ///         published last.
  std::optional<replica_restart> note_published(const model::replica& record);
  /// Records that a replica is no longer published. Its incarnation is kept for five minutes,
  /// because most replicas that crash are removed from the published list before they restart.
  void note_unpublished(const base::replica_id& replica, base::time_point now);
  /// Removes replicas that have been unpublished for five minutes.
  void forget_unpublished(base::time_point now);
  /// @return the number of replicas whose incarnation is stored.
  [[nodiscard]] std::size_t size() const { return replicas_.size(); }

 private:
  struct known_incarnation {
    model::replica_incarnation incarnation;
    base::network_address address;
    /// Time since which the replica is no longer published; std::nullopt while it is published.
    std::optional<base::time_point> unpublished_at;
  };
  std::map<base::replica_id, known_incarnation> replicas_;
};

/// @return a short fingerprint of a replica's incarnation for messages between nodes: equal for
///         equal incarnations, 0 if the record has no incarnation.
[[nodiscard]] std::uint32_t incarnation_fingerprint_of(const model::replica& record);

/// @return a fingerprint of the process of a replica for messages between nodes, never 0. It
///         changes if the replica restarts under its id or gets another address.
[[nodiscard]] std::uint32_t process_fingerprint_of(const model::replica& record);

} // namespace spurrack::serving
