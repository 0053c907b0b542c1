/// Registry of the requests under which replicas crashed, as far as this node knows, and of the
/// quarantine state of each such request. A request is identified by its digest, so that it is
/// recognized when a client sends it again. No I/O, no decision about any single call.
///
/// Terms:
/// - run: the execution of a request by a replica.
/// - exit: the end of one incarnation (process) of a replica that was not draining. An exit under a
///   request is an exit while the replica ran the request; it counts for all requests that ran
///   there, since it is not known which of them caused it.
/// - surviving run: a run that ended without an exit of its replica. It shows that earlier exits
///   under the request had another cause.
/// - withdrawn exit: an exit that was recorded although the replica kept running.
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

/// Exit of one incarnation of a replica, as observed by this node or reported by another node.
struct exit_observation {
  /// Identifies the incarnation that exited; equal on all nodes.
  replica_exit exit = 0;
  /// Time of the exit by the clock of this node.
  base::time_point at;
  /// Replica that exited, for operators; empty if a node of an older version reported the exit.
  base::replica_id replica{};
};

/// How a node treats a request that arrives.
enum class quarantine_state : std::uint8_t {
  unrestricted,   ///< It is sent and retried as its route allows.
  single_attempt, ///< It is sent to one replica and not retried: each arrival shows whether the
                  ///< request crashes a replica, and risks only one.
  quarantined,    ///< It is refused.
};

/// Exits of replicas under one request. The records of several nodes may be merged in any order.
struct crash_record {
  request_digest digest;
  /// Each exit once, in the order in which this node learned of it.
  std::vector<exit_observation> exits;
  /// Time of the latest surviving run of the request, or of its latest release by an operator;
  /// std::nullopt if there was neither. `exits` holds only later exits.
  std::optional<base::time_point> survived_at;
  /// Whether the record has ever held two or more exits, so that it is sent to all nodes.
  bool was_broadcast = false;
  /// Time at which this node last refused the request because it was quarantined.
  base::time_point last_refused_at{};

  /// @return time of the latest exit, surviving run or refusal.
  [[nodiscard]] base::time_point last_update_at() const;
  [[nodiscard]] base::time_point last_exit_at() const;
};

/// Effect of a reported exit or a merged record on the registry.
struct registry_change {
  /// The registry learned of an exit, or of a surviving run that cleared known exits.
  bool has_new_information = false;
  /// The change has put the request into quarantine.
  bool begins_quarantine = false;
  /// The registry knows of a surviving run that is later than all of the reported exits.
  bool is_refuted = false;
};

/// Crash records by request digest, and an index of recent exits. Not thread-safe.
class crash_registry {
 public:
  /// Maximum number of records, of 200 bytes each and 100 kB in all. A new record evicts the record
  /// with the fewest exits, and among several such records the one with the earliest update: a
  /// flood of requests with one exit each evicts no record with more exits.
  static constexpr std::size_t max_records = 512;

  explicit crash_registry(serving::quarantine_limits limits = {}) : limits_(limits) {}
  [[nodiscard]] const serving::quarantine_limits& limits() const { return limits_; }

  /// Records an exit under a request.
  registry_change note_exit(const request_digest& digest, const exit_observation& observation,
                            base::time_point now);
  /// Records a surviving run of a request and clears the exits under the request.
  /// @return whether any exits were known.
  bool note_survived(const request_digest& digest, base::time_point now);
  /// Clears the exits under a request on behalf of an operator.
  /// @return whether any exits were known.
  bool release(const request_digest& digest, base::time_point now);
  /// Merges the record of another node.
  registry_change merge(const crash_record& received, base::time_point now);
  /// Merges recent exits that another node knows of, under any request or none.
  void merge_exits(const std::vector<exit_observation>& received, base::time_point now);
  /// @return up to `most` exits of the last 30 s, the latest first.
  [[nodiscard]] std::vector<exit_observation> latest_exits(std::size_t most,
                                                           base::time_point now) const;
  /// Withdraws an exit, since the replica was in contact in the same incarnation after it: removes
  /// the exit from all records, and ignores further reports of it. A later exit of this
  /// incarnation is a new exit, which counts.
  /// @return whether the exit was known.
  bool withdraw(replica_exit exit, base::time_point now);
  /// @return time of an exit; std::nullopt if the registry does not hold it.
  [[nodiscard]] std::optional<base::time_point> exit_time_of(replica_exit exit) const;

  /// @return how a request that arrives now is treated.
  [[nodiscard]] quarantine_state quarantine_state_of(const request_digest& digest,
                                                     base::time_point now) const;
  /// Records that a quarantined request was refused. This prolongs the quarantine, so that it
  /// lasts as long as clients keep sending the request.
  void note_refused(const request_digest& digest, base::time_point now);
  /// @return number of exits that count against a request; exits that another request probably
  ///         caused do not count.
  [[nodiscard]] std::size_t counted_exits_of(const request_digest& digest) const;
  /// @return whether there are no records; callers then skip the computation of digests.
  [[nodiscard]] bool empty() const { return records_.empty(); }
  /// @return null if there is no record of the request.
  [[nodiscard]] const crash_record* find(const request_digest& digest) const;
  [[nodiscard]] const std::map<request_digest, crash_record>& all() const { return records_; }
  /// Drops expired records, indexed exits and withdrawn exits.
  void expire(base::time_point now);

 private:
  /// @return the record of a request, a new one if there is none.
  crash_record& record_of(const request_digest& digest);
  void evict_least_suspected();
  registry_change add(crash_record& record, const std::vector<exit_observation>& observations,
                      base::time_point now);
  /// @return whether the exit is explained by another request, which is then the more likely
  ///         cause: the exit is also an exit under that request, and that request has more exits
  ///         than `record`, and enough exits for quarantine.
  [[nodiscard]] bool is_explained(replica_exit exit, const crash_record& record) const;
  /// Recomputes `explaining_exit_counts_`.
  void update_explanations() const;
  /// @return whether another request has the same exits, so that either request may be the cause.
  [[nodiscard]] bool has_indistinguishable_record(const crash_record& record) const;
  /// @return number of exits of the record that count against its request.
  [[nodiscard]] std::size_t counted_exits(const crash_record& record) const;
  /// @return number of exits from which the request is quarantined. The number is higher if many
  ///         replicas that did not run the request exited recently.
  [[nodiscard]] std::size_t exits_required(const crash_record& record, base::time_point now) const;
  [[nodiscard]] quarantine_state quarantine_state_of(const crash_record& record,
                                                     base::time_point now) const;
  [[nodiscard]] bool is_expired(const crash_record& record, base::time_point now) const;
  /// @return time after the last update of a record after which the quarantine of its request ends.
  /// @param exits number of exits that count against the request.
  [[nodiscard]] base::duration quarantine_duration(std::size_t exits) const;

  serving::quarantine_limits limits_;
  std::map<request_digest, crash_record> records_;
  /// Index of the exits that any record holds or held and of the exits that other nodes reported,
  /// with their times.
  std::map<replica_exit, base::time_point> exits_;
  /// For each exit: among the requests that have this exit and enough exits for quarantine, the
  /// largest number of exits of one request. Recomputed on the first use after a change, since a
  /// computation for each arriving request would compare the record of the request with all other
  /// records.
  mutable std::map<replica_exit, std::size_t> explaining_exit_counts_;
  mutable bool explanations_are_stale_ = false;
  /// Withdrawn exits, with the times at which their replicas were found to be running.
  std::map<replica_exit, base::time_point> withdrawn_exits_;
};

} // namespace spurrack::quarantine
