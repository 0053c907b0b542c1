/// Detects whether a replica exited while it ran a request. A call that ended without a complete
/// answer is called a lost call: a partitioned link, a connection reset, a replica that aborts
/// answers and a replica that exited look the same at first. So the replica is probed by opening a
/// connection, its published record is watched, and its lost calls are kept until it is known
/// whether the replica exited. No I/O.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "quarantine/crash_registry.h"
#include "quarantine/suspect.h"
#include "serving/events.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace spurrack::quarantine {

/// A call that ended without a complete answer, and the exit of its replica that may be the reason.
struct lost_call {
  /// What may have crashed the replica: the request, and the shared parts of its prompt.
  std::vector<suspect> suspects;
  /// Assumed exit of the called incarnation. The time of the exit is set to the time at which the
  /// call ended.
  exit_observation exit;
  /// Time at which the call began, also if it may not have reached the replica.
  base::time_point started_at{};
  /// Whether this node ended the call itself, without a sign that the replica exited. Such a call
  /// is dropped once the replica is heard some time later.
  bool is_abandoned = false;
};

/// Time after a lost call within which a refused probe shows that the replica exited, if the paths
/// of this node are shown to work. Later, the state of the paths shows nothing about the time of
/// the refusal.
inline constexpr base::duration path_check_time = std::chrono::milliseconds(1000);

/// Keeps lost calls (calls that ended without a complete answer) of replicas of which it is not
/// known yet whether they exited. Not thread-safe.
class crash_detector {
 public:
  /// Records a call that ended without a complete answer. Precondition: the replica was not
  /// draining.
  /// @param wants_probe whether the replica is to be probed unless that is done already.
  /// @return whether the caller must probe the replica now.
  bool note_lost_call(const base::replica_id& replica, const lost_call& call, bool wants_probe,
                      base::time_point now);
  /// Drops the abandoned calls of a replica that was heard now, if they ended some time ago.
  void note_heard(const base::replica_id& replica, base::time_point now);
  /// Records a call whose answer ended with its connection, may be whole, and was followed by a
  /// connection that the replica accepted: the replica went on, or was started again at once. If
  /// too many are kept for the replica, the oldest is dropped.
  void note_accepted_end(const lost_call& call);
  /// Returns and clears the accepted ends of a replica that is known to have exited at some time:
  /// it has restarted, or is no longer published.
  std::vector<lost_call> take_accepted_ends(const base::replica_id& replica);
  /// Returns and clears the accepted ends whose process is seen to go on, because the replica sends
  /// something for a call that began before them.
  /// @param heard_call_started_at time at which that call began.
  /// @param ended_by latest time of an end of which the bytes show something.
  std::vector<lost_call> take_survived_ends(const base::replica_id& replica,
                                            base::time_point heard_call_started_at,
                                            base::time_point ended_by);
  /// Returns and clears the accepted ends that are so old that the list of replicas would show an
  /// exit by now.
  /// @param list_confirmed_at time at which the list of replicas was last known to be current.
  std::vector<lost_call> take_listed_ends(base::time_point list_confirmed_at);
  /// @return replicas with accepted ends.
  [[nodiscard]] std::vector<base::replica_id> replicas_with_accepted_ends() const;
  /// @return lost calls of a replica; they are kept.
  [[nodiscard]] std::vector<lost_call> lost_calls_of(const base::replica_id& replica) const;
  /// Returns and clears the lost calls of a replica. Called when the replica is known to have
  /// exited: it refuses connections, has restarted, or is no longer published.
  std::vector<lost_call> take_lost_calls(const base::replica_id& replica);
  /// Returns and clears the lost calls at the incarnation that exited at `exited_at`, if they ended
  /// shortly before or after that time.
  std::vector<lost_call> take_calls_lost_to(replica_exit exit, base::time_point exited_at);
  /// Records that the replica accepted the connection of a probe. So the replica still runs, or it
  /// has restarted; its record in the published list will show a restart.
  void note_connected(const base::replica_id& replica, base::time_point now);
  /// Records that a probe failed without showing whether the replica runs.
  void note_probe_failed(const base::replica_id& replica);
  /// Records that the replica refused the connection of a probe. Either the replica exited, or this
  /// node itself is partitioned: the caller must find out which.
  void note_refused(const base::replica_id& replica, base::time_point now);
  /// Lost calls of a replica that refused a probe.
  struct refused_replica {
    base::replica_id replica;
    base::time_point last_lost_call_at;
  };
  /// @return replicas that refused a probe, if their last lost call is less than `path_check_time`
  ///         ago.
  [[nodiscard]] std::vector<refused_replica> refused_replicas(base::time_point now) const;
  /// @return whether a replica refused a probe and is not known yet to have exited.
  [[nodiscard]] bool has_refused_replicas(base::time_point now) const {
    return now < path_checks_end_at_;
  }
  /// Drops all lost calls of a replica if the last of them is so old that an exit of the replica
  /// would have been detected by now.
  /// @param list_confirmed_at time at which the list of replicas was last known to be current.
  /// @return number of dropped calls of each such replica.
  std::map<base::replica_id, std::size_t> drop_expired(base::time_point list_confirmed_at,
                                                       base::time_point now);
  /// @return replicas with lost calls.
  [[nodiscard]] std::vector<base::replica_id> watched_replicas() const;

 private:
  struct watched_replica {
    std::vector<lost_call> calls;
    /// Whether a probe has been requested and its result is not known yet.
    bool is_probe_pending = false;
    /// Whether the replica refused the connection of the last probe.
    bool is_refused = false;
    /// Time at which the replica last accepted a probe.
    std::optional<base::time_point> connected_at;
    base::time_point last_lost_call_at;
  };
  std::map<base::replica_id, watched_replica> replicas_;
  /// By replica, accepted ends, the oldest first; no replica has an empty list.
  std::map<base::replica_id, std::vector<lost_call>> accepted_ends_;
  /// Time from which no replica that refused a probe can be confirmed any more.
  base::time_point path_checks_end_at_;
};

} // namespace spurrack::quarantine
