/// Keeps calls that ended without a complete answer until it is known whether their replica exited.
/// A partitioned link, a connection reset and a replica that aborts answers look the same at first,
/// so the replica is probed with a connection and its published record is watched. No I/O.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "quarantine/crash_registry.h"
#include "quarantine/request_digest.h"
#include "serving/events.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace spurrack::quarantine {

/// A call that ended without a complete answer, with the exit of its replica that may explain it.
struct lost_call {
  request_digest digest;
  exit_observation exit;
};

/// Not thread-safe.
class crash_detector {
 public:
  /// Records a call that ended without a complete answer at a replica that was not draining.
  /// @return whether the caller must probe the replica now.
  bool note_lost_call(const base::replica_id& replica, const lost_call& call, base::time_point now);
  /// Returns and clears the lost calls of a replica that exited: it refuses connections, has
  /// restarted, or is no longer published.
  std::vector<lost_call> take_lost_calls(const base::replica_id& replica);
  /// Records that the replica accepted a connection: it runs, or has restarted, which its published
  /// record shows soon.
  void note_connected(const base::replica_id& replica, base::time_point now);
  /// Records that a probe failed without a result.
  void note_probe_failed(const base::replica_id& replica);
  /// Drops lost calls that can no longer be explained by an exit.
  void drop_expired(base::time_point now);
  /// @return replicas with lost calls that are not explained yet.
  [[nodiscard]] std::vector<base::replica_id> watched_replicas() const;

 private:
  struct watched_replica {
    std::vector<lost_call> calls;
    bool is_probe_pending = false;
    /// Time at which the replica last accepted a probe.
    std::optional<base::time_point> connected_at;
    base::time_point last_lost_call_at;
  };
  std::map<base::replica_id, watched_replica> replicas_;
};

} // namespace spurrack::quarantine
