/// What other nodes' calls have shown of replicas of late. No decision is taken here.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace spurrack::serving {

/// What calls to a replica show.
enum class replica_health : std::uint8_t {
  healthy,      ///< Heard since another node found it lost.
  unresponsive, ///< Calls to it make no progress, and nothing else is heard of it.
  unreachable,  ///< Connections to it fail.
  failing,      ///< It answers with failures, or its answers break off.
};

/// @return whether a sign says that nothing is heard of a replica.
[[nodiscard]] inline bool means_down(replica_health health) {
  return health == replica_health::unresponsive || health == replica_health::unreachable;
}

/// Calls of late, fading with time.
class call_tally {
 public:
  void note(bool is_good, base::time_point now);
  [[nodiscard]] double good(base::time_point now) const { return good_ * kept_part(now); }
  [[nodiscard]] double bad(base::time_point now) const { return bad_ * kept_part(now); }

 private:
  [[nodiscard]] double kept_part(base::time_point now) const;
  double good_ = 0;
  double bad_ = 0;
  base::time_point noted_at_;
};

/// What one node reports of a replica.
struct replica_health_report {
  replica_health health = replica_health::healthy;
  /// Its calls of late that went well, and those that did not.
  double good_calls = 0;
  double bad_calls = 0;
  /// When it was seen, by the clock of this node.
  base::time_point seen_at;
  /// The replica asked that node for a pause until then.
  base::time_point backoff_ends_at{};
};

/// How long a node's report that a replica is lost counts: longer troubles are reported again.
inline constexpr base::duration down_report_lifetime = std::chrono::milliseconds(3000);
/// How long a node's report of failures counts: two half-lives of a tally.
inline constexpr base::duration failure_report_lifetime = std::chrono::milliseconds(10000);

/// Keeps the latest report of each node on each replica. Not thread-safe.
class replica_evidence {
 public:
  void record_report(const base::replica_id& replica, const base::node_id& witness,
                     const replica_health_report& said);
  void forget(const base::replica_id& replica) { said_.erase(replica); }
  /// @return nodes that found the replica silent or unreachable, not before `since`.
  [[nodiscard]] std::size_t count_down_reporters(const base::replica_id& replica,
                                                 base::time_point since,
                                                 base::time_point now) const;
  /// Nodes that a replica asked for a pause which lasts, and when the last of these pauses ends.
  struct reported_backoffs {
    std::size_t nodes = 0;
    base::time_point until;
  };
  [[nodiscard]] reported_backoffs backoffs(const base::replica_id& replica,
                                           base::time_point now) const;
  /// @return part of the calls that failed, those of this node among them, 0 to 1; little where
  ///         there were few calls.
  [[nodiscard]] double failure_share(const base::replica_id& replica, const call_tally& own,
                                     base::time_point now) const;

 private:
  std::map<base::replica_id, std::map<base::node_id, replica_health_report>> said_;
};

} // namespace spurrack::serving
