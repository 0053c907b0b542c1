/// Health reports of other nodes on replicas (health evidence). Only stores them and answers
/// queries; `replica_table` decides.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace spurrack::serving {

/// Health of a replica as the calls of one node show it.
enum class replica_health : std::uint8_t {
  healthy,      ///< The replica sent something recently and is therefore not down.
  unresponsive, ///< Calls make no progress and the replica sends nothing on any call.
  unreachable,  ///< Connections to the replica fail.
  failing,      ///< The replica answers with failures, or its answers break off.
};

/// @return whether a node that reports `health` considers the replica down.
[[nodiscard]] inline bool means_down(replica_health health) {
  return health == replica_health::unresponsive || health == replica_health::unreachable;
}

/// Exponentially decaying counts of successful and failed calls.
class call_tally {
 public:
  void note(bool is_good, base::time_point now);
  [[nodiscard]] double good(base::time_point now) const { return good_ * decay_factor(now); }
  [[nodiscard]] double bad(base::time_point now) const { return bad_ * decay_factor(now); }

 private:
  [[nodiscard]] double decay_factor(base::time_point now) const;
  double good_ = 0;
  double bad_ = 0;
  base::time_point noted_at_;
};

/// Report of one node on the health of a replica.
struct replica_health_report {
  replica_health health = replica_health::healthy;
  /// Decaying count of the reporter's successful calls.
  double good_calls = 0;
  /// Decaying count of the reporter's failed calls.
  double bad_calls = 0;
  /// Time of the observation, by the clock of this node.
  base::time_point seen_at;
  /// End of the backoff that the replica requested from the reporter; the epoch if the replica
  /// requested no backoff from the reporter.
  base::time_point backoff_ends_at{};
};

/// Lifetime of a report that a replica is down. A fault that lasts longer is reported again.
inline constexpr base::duration down_report_lifetime = std::chrono::milliseconds(3000);
/// Lifetime of the call counts in a health report: two half-lives of a `call_tally`.
inline constexpr base::duration failure_report_lifetime = std::chrono::milliseconds(10000);

/// Stores the latest report of each reporter on each replica. Not thread-safe.
class replica_evidence {
 public:
  void record_report(const base::replica_id& replica, const base::node_id& reporter,
                     const replica_health_report& report);
  void forget(const base::replica_id& replica) { reports_.erase(replica); }
  /// Discards the reports of a node.
  /// @return the replicas on which it had reported.
  std::vector<base::replica_id> discard_reports_of(const base::node_id& reporter);
  /// @return the number of nodes whose latest report says that the replica is down. Reports that
  ///         were observed before `since` or have expired do not count.
  [[nodiscard]] std::size_t count_down_reporters(const base::replica_id& replica,
                                                 base::time_point since,
                                                 base::time_point now) const;
  /// Backoffs still in effect that a replica requested from other nodes.
  struct reported_backoffs {
    /// Number of nodes from which the replica requested a backoff that is still in effect.
    std::size_t nodes = 0;
    /// Time at which the last of these backoffs ends; the epoch if no backoff is in effect.
    base::time_point last_ends_at;
  };
  [[nodiscard]] reported_backoffs reported_backoffs_of(const base::replica_id& replica,
                                                       base::time_point now) const;
  /// @param own counts of this node's calls to the replica.
  /// @return the share of failed calls to the replica, 0 to 1, among the calls of this node and the
  ///         calls in reports of other nodes. The share stays small while there are few calls.
  [[nodiscard]] double failure_share(const base::replica_id& replica, const call_tally& own,
                                     base::time_point now) const;

 private:
  std::map<base::replica_id, std::map<base::node_id, replica_health_report>> reports_;
};

} // namespace spurrack::serving
