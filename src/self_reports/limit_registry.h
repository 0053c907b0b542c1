/// Rate limits that replicas announce for the requests of all nodes together, as this node knows
/// them. No I/O.
///
/// Nodes send each other the limits that they receive; these messages may arrive late, twice or out
/// of order. A record carries a version that increases with each change that a node receives from
/// the replica itself, so that an older record never replaces a newer record. If two nodes receive
/// different changes at the same version, the stricter limit wins.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace spurrack::self_reports {

/// Distinguishes the incarnations (processes) of a replica; 0 if the incarnation is unknown.
using incarnation_fingerprint = std::uint32_t;

/// Limit of one incarnation of a replica.
struct limit_record {
  incarnation_fingerprint incarnation = 0;
  /// Requests per second from all nodes together; std::nullopt if the replica lifted its limit.
  std::optional<double> per_second;
  /// Increases with each change of the limit.
  std::uint64_t version = 0;
  /// Time at which any node received the latest answer with this limit, or without a limit if the
  /// replica lifted it.
  base::time_point last_reported_at;
};

/// Limit that an answer of a replica announces.
struct limit_announcement {
  /// Requests per second; std::nullopt if the answer announces no limit.
  std::optional<double> per_second;
  /// Time at which the call began; the replica wrote the answer later.
  base::time_point call_started_at;
};

/// The latest limit record of each replica. Not thread-safe.
class limit_registry {
 public:
  /// Records the limit that an answer announces, or that the answer announces no limit. An answer
  /// loosens or lifts the known limit only if its call began after the known limit was last
  /// reported: otherwise the replica may have set the known limit after it wrote the answer.
  /// @return whether the record changed.
  bool record_answer(const base::replica_id& replica, incarnation_fingerprint incarnation,
                     const limit_announcement& announcement, base::time_point now);
  /// Merges a record that another node sent.
  /// @return whether the merged record must be sent to other nodes, because they possibly do not
  ///         know it yet.
  bool merge(const base::replica_id& replica, const limit_record& received);
  void forget(const base::replica_id& replica) { records_.erase(replica); }
  /// Drops the records of lifted limits if the latest answer without a limit is so old that all
  /// nodes know that the limit is lifted.
  void drop_lifted(base::time_point now);

  /// @return the record of a replica, also if the replica lifted its limit recently; null if the
  ///         replica announced no limit or lifted its limit long ago.
  [[nodiscard]] const limit_record* find(const base::replica_id& replica) const;
  /// @return the limit in effect; std::nullopt if there is none.
  [[nodiscard]] std::optional<double> limit_of(const base::replica_id& replica) const;
  [[nodiscard]] const std::map<base::replica_id, limit_record>& all() const { return records_; }
  [[nodiscard]] bool empty() const { return records_.empty(); }

 private:
  std::map<base::replica_id, limit_record> records_;
};

} // namespace spurrack::self_reports
