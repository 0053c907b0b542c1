/// What replicas name as the requests a second that they take from all nodes together, as this node
/// knows it. No I/O.
///
/// Nodes tell each other what they heard, late, twice or in another order. A record carries a
/// version that rises with each change which some node heard from the replica itself, so that old
/// news loses whenever it comes; of two changes that were heard at once the stricter one holds.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace spurrack::replica_statements {

/// Tells lives of a replica apart; 0 where it is not known.
using incarnation_fingerprint = std::uint32_t;

/// What is known of one life of a replica.
struct limit_record {
  incarnation_fingerprint incarnation = 0;
  /// Requests a second from all nodes together; nothing: it names no limit any more.
  std::optional<double> per_second;
  std::uint64_t version = 0;
  /// The latest answer that said so, at any node.
  base::time_point last_reported_at;
};

/// What an answer of a replica says.
struct limit_announcement {
  /// Nothing: the answer names no limit.
  std::optional<double> per_second;
  /// When its call began: the answer was given later than that.
  base::time_point call_started_at;
};

/// Not thread-safe.
class limit_registry {
 public:
  /// Takes in what an answer says. A limit that stood when the call began may have been named after
  /// the answer was given: such an answer does not loosen it.
  /// @return whether this changes what is known.
  bool record_answer(const base::replica_id& replica, incarnation_fingerprint incarnation,
                     const limit_announcement& announcement, base::time_point now);
  /// Takes in what another node told.
  /// @return whether others may not know it yet.
  bool merge(const base::replica_id& replica, const limit_record& received);
  void forget(const base::replica_id& replica) { records_.erase(replica); }
  /// Forgets limits that were lifted long enough ago for everybody to know.
  void drop_lifted(base::time_point now);

  /// @return null where the replica has named no limit of late.
  [[nodiscard]] const limit_record* find(const base::replica_id& replica) const;
  /// @return the limit in force; nothing where there is none.
  [[nodiscard]] std::optional<double> limit_of(const base::replica_id& replica) const;
  [[nodiscard]] const std::map<base::replica_id, limit_record>& all() const { return records_; }
  [[nodiscard]] bool empty() const { return records_.empty(); }

 private:
  std::map<base::replica_id, limit_record> records_;
};

} // namespace spurrack::replica_statements
