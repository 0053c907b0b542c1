/// Judges whether this node itself, and not the replicas, is cut off: whether it can open
/// connections to replicas at all. As in Lifeguard's local health for SWIM (Dadgar et al., 2017), a
/// node that meets failures doubts itself first. No I/O.
///
/// A failure of a call raises doubt, until a new connection to some replica is established. While
/// in doubt, the node probes replicas of different zones and services, a few at a time. If a whole
/// round fails, the node suspects that it is cut off. It is partitioned if, besides, another node
/// still hears from one of the replicas: a service or a zone that is down for all is no partition.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <optional>
#include <set>
#include <vector>

namespace spurrack::serving {

/// State of this node's paths to replicas.
enum class path_state : std::uint8_t {
  working,     ///< No failure since the last connection, or none at all.
  in_doubt,    ///< A call failed, and no new connection has been established since.
  suspected,   ///< Besides, a whole round of probes failed.
  partitioned, ///< Besides, another node hears from a replica that this node does not reach.
};

/// Not thread-safe.
class path_monitor {
 public:
  /// Records that a connection to a replica failed, or that a call at it ended without an answer or
  /// makes no progress.
  void note_failure(base::time_point now);
  /// Records the result of a probe, by whatever part of this node it was started.
  void note_probed(const base::replica_id& replica, bool has_connected, base::time_point now);
  /// Records that another node heard from a replica at `heard_at`.
  void note_heard_by_peer(base::time_point heard_at);

  [[nodiscard]] path_state state() const { return state_; }
  /// @return whether replicas are to be probed now.
  [[nodiscard]] bool is_round_due(base::time_point now) const;
  /// Begins a round of probes.
  /// @param replicas replicas that are probed; must not be empty.
  void begin_round(const std::vector<base::replica_id>& replicas, base::time_point now);
  /// @return replicas that the present rounds have probed; others are probed next.
  [[nodiscard]] const std::vector<base::replica_id>& probed() const { return probed_; }
  /// Lets the next round begin with any replica again, after all have been probed.
  void restart_rounds() { probed_.clear(); }
  /// @return time of the next round; std::nullopt if the paths work.
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;

 private:
  void update_state();

  path_state state_ = path_state::working;
  /// Time of the first failure after the last established connection.
  base::time_point doubted_since_;
  base::time_point last_connected_at_;
  base::time_point next_round_at_;
  base::time_point last_heard_by_peer_at_;
  std::set<base::replica_id> under_way_;
  std::vector<base::replica_id> probed_;
  /// Number of failed probes since the doubt began.
  std::size_t failed_probes_ = 0;
};

} // namespace spurrack::serving
