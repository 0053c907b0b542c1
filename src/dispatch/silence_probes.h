/// Probes of replicas that are silent: a new connection tells a replica whose process has ended,
/// which refuses it, from one that is silent for another reason.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "serving/events.h"

#include <optional>
#include <unordered_map>

namespace spurrack::serving {

/// Decides when a silent replica is probed, and judges the results. Holds one entry for each
/// replica that was probed recently. Not thread-safe.
class silence_probes {
 public:
  /// @return whether a probe of a silent replica is due; if so, the caller must start it.
  bool begin_if_due(const base::replica_id& replica, base::time_point now);
  /// Records the result of a probe, by whatever part of this node it was started.
  /// @return time since which the replica refuses connections, if the results show that its process
  ///         has ended: it refused at least two. A replica that has too many connections may refuse
  ///         a single one.
  std::optional<base::time_point> note(const replica_probed& probe, base::time_point now);
  /// Records that the replica sent something on an open connection.
  void note_heard(const base::replica_id& replica);
  /// @param silent_since time at which the replica was last heard.
  /// @return whether a probe that began later has been without any answer for so long that a
  /// replica
  ///         whose machine runs would have answered.
  [[nodiscard]] bool is_unanswered(const base::replica_id& replica, base::time_point silent_since,
                                   base::time_point now) const;
  /// Time within which a replica whose machine runs answers a new connection: twice the longest
  /// round trip between regions.
  static constexpr base::duration answer_time = std::chrono::milliseconds(100);

 private:
  struct probe_record {
    base::time_point next_probe_at;
    /// Start of the first of the refused probes in a row; the epoch if the latest was not refused.
    base::time_point refused_since;
    /// Start of the first of the unanswered probes in a row; the epoch if the latest was answered.
    base::time_point unanswered_since;
  };
  void drop_expired(base::time_point now);

  std::unordered_map<base::replica_id, probe_record> records_;
};

} // namespace spurrack::serving
