/// Brittle replicas: replicas that crash if they must reject more requests within a second than
/// they announce. Counts the requests of all nodes that such replicas rejected for want of room, so
/// that a crash can be recognized as an overrun. No I/O.
///
/// Each node tells the others the rejections of its own calls, and each report is counted by its
/// receivers only: the counts of all nodes add up.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace spurrack::self_reports {

/// Rejections of the calls of one node by a brittle replica.
struct replica_rejections {
  base::replica_id replica;
  /// Number of rejections within a second that the replica bears.
  std::uint32_t max_rejections = 0;
  std::uint32_t count = 0;
  /// Time of the last of these rejections, by the clock of this node.
  base::time_point last_at;
};

/// Statements and rejections of brittle replicas. Not thread-safe.
class brittle_registry {
 public:
  /// Records that an answer announces the replica as brittle.
  void note_announced(const base::replica_id& replica, std::uint32_t max_rejections,
                      base::time_point now);
  /// Records that the replica rejected a call of this node for want of room. Has no effect if the
  /// replica has not announced that it is brittle.
  void note_rejected(const base::replica_id& replica, base::time_point now);
  /// Adds the rejections of calls of another node.
  void merge(const replica_rejections& received, base::time_point now);
  /// @return whether the replica rejected more requests of all nodes within the second before
  ///         `exited_at` than it bears.
  [[nodiscard]] bool was_overrun(const base::replica_id& replica, base::time_point exited_at) const;
  /// @return the rejections of this node's calls that were not taken yet, to be sent to all nodes.
  [[nodiscard]] std::vector<replica_rejections> take_unsent();
  [[nodiscard]] bool has_unsent() const { return has_unsent_; }
  [[nodiscard]] bool empty() const { return replicas_.empty(); }
  /// Drops what is too old for any decision.
  void drop_expired(base::time_point now);

 private:
  struct rejection {
    base::time_point at;
    std::uint32_t count = 0;
  };
  struct brittle_replica {
    std::uint32_t max_rejections = 0;
    base::time_point announced_at;
    std::deque<rejection> rejections;
    /// Rejections of this node's calls that other nodes were not told yet.
    std::uint32_t unsent = 0;
    base::time_point last_unsent_at;
  };
  std::map<base::replica_id, brittle_replica> replicas_;
  bool has_unsent_ = false;
};

} // namespace spurrack::self_reports
