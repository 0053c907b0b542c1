/// Registry of the requests under which replicas crashed, as far as this node knows, and of the
/// quarantine state of each such request. A request is identified by its digest, so that it is
/// recognized when a client sends it again. No I/O, no decision about any single call.
///
/// Without the registry every node would send a request that crashes its replica to other replicas,
/// as often as the route allows: 80 replicas exited in 20 s under a request that arrived three
/// times a second, and each exit broke up to ten other requests. With the registry three to five
/// replicas exit.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "quarantine/request_digest.h"
#include "replicas/replica_incarnations.h"
#include "serving/settings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace spurrack::quarantine {

using serving::replica_exit;

/// Exit of one incarnation of a replica.
struct exit_observation {
  replica_exit exit = 0;
  /// Time of the exit by the clock of this node.
  base::time_point at;
  /// For operators; empty if a node of an older version reported the exit.
  base::replica_id replica{};
};

/// How a node treats a request that arrives.
enum class quarantine_state : std::uint8_t {
  unrestricted,   ///< It is sent and retried as its route allows.
  single_attempt, ///< It is sent to one replica and not retried, so that each arrival tests one.
  quarantined,    ///< It is refused.
};

/// Exits of replicas under one request. Records of several nodes merge in any order.
struct crash_record {
  request_digest digest;
  /// Each exit once, in the order in which this node learned of it.
  std::vector<exit_observation> exits;
  /// Time at which the latest run ended without an exit: earlier exits had another cause.
  std::optional<base::time_point> survived_at;
  /// Two or more exits have been known at one time, so that the record is sent to all nodes.
  bool was_broadcast = false;
  /// Time at which this node last refused the request because it was quarantined.
  base::time_point last_refused_at{};

  /// @return time of the latest exit, surviving run or refusal.
  [[nodiscard]] base::time_point last_update_at() const;
  [[nodiscard]] base::time_point last_exit_at() const;
};

/// Effect of a reported exit or a merged record on the registry.
struct registry_change {
  /// The registry learned of an exit, or of a surviving run that refutes known exits.
  bool has_new_information = false;
  /// The request has just become quarantined.
  bool begins_quarantine = false;
  /// The registry knows of a run that survived later than all of the reported exits.
  bool is_refuted = false;
};

/// Not thread-safe.
class crash_registry {
 public:
  /// 200 bytes each, 100 kB in all. Records with the fewest exits are evicted first, the oldest
  /// first among them, so a flood of requests with one exit each evicts no record with more.
  static constexpr std::size_t max_records = 512;

  explicit crash_registry(serving::quarantine_limits limits = {}) : limits_(limits) {}
  [[nodiscard]] const serving::quarantine_limits& limits() const { return limits_; }

  /// Records that a replica exited while it ran a request.
  registry_change note_exit(const request_digest& digest, const exit_observation& observation,
                            base::time_point now);
  /// Records that a run of the request ended and its replica did not exit; clears the exits of the
  /// request. @return whether any exits were known.
  bool note_survived(const request_digest& digest, base::time_point now);
  /// Clears the exits of a request on behalf of an operator. @return whether any exits were known.
  bool release(const request_digest& digest, base::time_point now);
  /// Merges the record of another node.
  registry_change merge(const crash_record& received, base::time_point now);
  /// Merges exits that another node knows of, whether or not a request is suspected of them.
  void merge_exits(const std::vector<exit_observation>& received, base::time_point now);
  /// @return up to `most` exits of the last 30 s, the latest first.
  [[nodiscard]] std::vector<exit_observation> latest_exits(std::size_t most,
                                                           base::time_point now) const;
  /// Removes an exit because the replica is still in contact in the same incarnation.
  /// @return whether the exit was known.
  bool withdraw(replica_exit exit, base::time_point now);
  /// @return time of an exit; std::nullopt if the registry does not hold it.
  [[nodiscard]] std::optional<base::time_point> exit_time_of(replica_exit exit) const;

  /// @return how a request that arrives now is treated.
  [[nodiscard]] quarantine_state quarantine_state_of(const request_digest& digest,
                                                     base::time_point now) const;
  /// Records that a quarantined request was refused: this prolongs its quarantine, so that it lasts
  /// as long as clients keep sending the request.
  void note_refused(const request_digest& digest, base::time_point now);
  /// @return number of exits that count against a request.
  [[nodiscard]] std::size_t counted_exits_of(const request_digest& digest) const;
  /// @return whether there are no records; callers then skip the computation of digests.
  [[nodiscard]] bool empty() const { return records_.empty(); }
  /// @return null if there is no record of the request.
  [[nodiscard]] const crash_record* find(const request_digest& digest) const;
  [[nodiscard]] const std::map<request_digest, crash_record>& all() const { return records_; }
  /// Drops records, exits and withdrawals whose lifetime has ended.
  void expire(base::time_point now);

 private:
  crash_record& record_of(const request_digest& digest);
  void evict_least_suspected();
  registry_change add(crash_record& record, const std::vector<exit_observation>& observations,
                      base::time_point now);
  /// @return whether a request with more exits, enough to be quarantined, shares this exit.
  [[nodiscard]] bool is_explained(replica_exit exit, const crash_record& record) const;
  /// Recomputes `explaining_exit_counts_`.
  void update_explanations() const;
  /// @return whether another request has the same exits, so that either may be the cause.
  [[nodiscard]] bool has_indistinguishable_record(const crash_record& record) const;
  /// @return number of exits of the record that count against its request.
  [[nodiscard]] std::size_t counted_exits(const crash_record& record) const;
  /// @return number of exits from which the request is quarantined, given the exits of replicas
  /// that
  ///         did not run it.
  [[nodiscard]] std::size_t exits_required(const crash_record& record, base::time_point now) const;
  [[nodiscard]] quarantine_state quarantine_state_of(const crash_record& record,
                                                     base::time_point now) const;
  [[nodiscard]] bool is_expired(const crash_record& record, base::time_point now) const;
  /// @return time after the last update of a record after which its quarantine ends.
  [[nodiscard]] base::duration quarantine_duration(std::size_t exits) const;

  serving::quarantine_limits limits_;
  std::map<request_digest, crash_record> records_;
  /// Exits that any record holds or held, and exits reported by other nodes, with their times.
  std::map<replica_exit, base::time_point> exits_;
  /// For each exit, the number of exits of the request with the most exits among the requests that
  /// share this exit and have enough exits to be quarantined. Recomputed on the first use after a
  /// change, since a look-up for each arriving request would compare its record with all others.
  mutable std::map<replica_exit, std::size_t> explaining_exit_counts_;
  mutable bool explanations_are_stale_ = false;
  /// Exits that were withdrawn, with the time at which the replica was found to be running.
  std::map<replica_exit, base::time_point> withdrawn_exits_;
};

} // namespace spurrack::quarantine
