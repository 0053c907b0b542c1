/// Calls that ended without a whole answer, until it is known whether their replica ended. A cut
/// link, a connection that was reset and a replica that breaks answers off look the same at first;
/// the replica is asked for a connection, and what is published of it is watched. No I/O.
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

/// A request whose call ended with its replica.
struct lost_call {
  request_digest digest;
  exit_observation exit;
};

/// Not thread-safe.
class crash_detector {
 public:
  /// A call ended without a whole answer at a replica that was to serve on.
  /// @return whether the replica is to be asked for a connection now.
  bool note_lost_call(const base::replica_id& replica, const lost_call& call, base::time_point now);
  /// The replica refuses connections, is another process by now, or is published no longer.
  /// @return the requests that it ended under.
  std::vector<lost_call> take_lost_calls(const base::replica_id& replica);
  /// The replica took a connection: it lives, or has started again, which is published soon.
  void note_connected(const base::replica_id& replica, base::time_point now);
  /// The replica could not be asked.
  void note_probe_failed(const base::replica_id& replica);
  /// Forgets calls of which nothing more will be learned.
  void drop_expired(base::time_point now);
  /// @return replicas with calls whose end is not explained yet.
  [[nodiscard]] std::vector<base::replica_id> watched_replicas() const;

 private:
  struct watched_replica {
    std::vector<lost_call> calls;
    bool is_probe_pending = false;
    /// It took a connection then.
    std::optional<base::time_point> connected_at;
    base::time_point last_update_at;
  };
  std::map<base::replica_id, watched_replica> replicas_;
};

} // namespace spurrack::quarantine
