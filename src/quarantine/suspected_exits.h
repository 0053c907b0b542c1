/// Exits that are suspected and not proven: a replica fell silent while it ran a request, and
/// nothing has been heard of it since. A suspected exit ends as proven, because the list of
/// replicas or a refused connection shows the exit, or as disproved, because the same process is
/// heard again. No I/O.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "replicas/replica_incarnations.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace spurrack::quarantine {

using serving::replica_exit;

/// Identifies an exit within one node: incarnation that exited, and number of its process.
using exit_key = std::pair<replica_exit, std::uint32_t>;

/// A replica that fell silent during a call, as observed by this node or reported by another one.
struct suspected_exit {
  /// Identifier of the exit of the called incarnation, the same on all nodes.
  replica_exit exit = 0;
  base::replica_id replica{};
  /// Time at which the call began.
  base::time_point call_started_at{};
  /// Time at which the node that made the call last heard the replica.
  base::time_point silent_since{};
  /// Time at which that node suspected the exit.
  base::time_point noted_at{};
};

/// A sign of life that disproves suspected exits.
struct disproved_exit {
  replica_exit exit = 0;
  /// Time at which the call began whose bytes are the sign; the epoch if the list of replicas is
  /// it.
  base::time_point call_started_at{};
  base::time_point heard_at{};

  /// @return whether the sign is later than the suspicion and comes from the same process: from a
  ///         call that is too old for a process that was started after the exit.
  [[nodiscard]] bool disproves(const suspected_exit& suspicion) const;
};

/// Index of suspected exits, and of those that were disproved. Not thread-safe.
class suspected_exits {
 public:
  /// Adds a suspected exit unless it is known, or was disproved after it was noted.
  /// @return key of the exit, of the known one if there is one; std::nullopt if it was disproved.
  std::optional<exit_key> add(const suspected_exit& suspicion);
  /// Ends the suspicions that a sign of life disproves, and ignores further reports of them.
  /// @return keys of the ended suspicions.
  std::vector<exit_key> disprove(const disproved_exit& disproved);
  /// Ends the suspicions of an incarnation because its exit is proven.
  /// @param exited_at time of the exit, which proves no later silence of a process that was started
  ///        again; std::nullopt if the exit proves all of them.
  std::vector<std::pair<exit_key, suspected_exit>> take(replica_exit exit,
                                                        std::optional<base::time_point> exited_at);
  /// Ends the suspicions that were noted more than `max_age` ago.
  std::vector<exit_key> take_expired(base::time_point now);
  /// @return whether a sign of life disproves any suspicion.
  [[nodiscard]] bool is_disproved_by(const disproved_exit& sign) const;
  /// @return up to `most` signs of life, the latest first.
  [[nodiscard]] std::vector<disproved_exit> latest_disproved(std::size_t most) const;
  [[nodiscard]] const std::map<exit_key, suspected_exit>& all() const { return suspected_; }
  [[nodiscard]] bool empty() const { return suspected_.empty(); }

 private:
  std::map<exit_key, suspected_exit> suspected_;
  /// Latest sign of life of each incarnation that seemed to have exited.
  std::map<replica_exit, disproved_exit> disproved_;
};

} // namespace spurrack::quarantine
