/// Registry of the suspects under which replicas crashed, as far as this node knows, and of the
/// quarantine state of each suspect. A suspect is a request, or a prompt part that several requests
/// have in common. It is identified by its digest, so that it is recognized whenever a client sends
/// the request again, or another request with the part. No I/O; the dispatcher refuses requests.
///
/// Terms:
/// - request with a suspect: the suspect request itself, or any request whose prompt has the part.
/// - run: the execution of a request by a replica.
/// - exit: the end of one incarnation (process) of a replica that was not draining. An exit under a
///   request is an exit while the replica ran the request. It is recorded under every request that
///   the replica ran, since it is not known which of them caused it.
/// - surviving run: a run that ended without an exit of its replica. It shows that earlier exits
///   under the request had another cause.
/// - suspected exit: a replica fell silent while it ran a request, and has not been heard since. It
///   convicts no request, but a request with one runs at one replica at a time over all nodes, and
///   is held if so many of its exits are suspected that it would be quarantined if they were
///   proven.
/// - withdrawn exit: a recorded exit that turned out to be wrong, because the replica answered
///   later in the same incarnation.
///
/// Without the registry every node would send a request that crashes its replica to other replicas,
/// as often as the route allows: 80 replicas exited in 20 s under a request that arrived three
/// times a second, and each exit interrupted up to ten other requests. With the registry three to
/// five replicas exit.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "quarantine/suspect.h"
#include "quarantine/suspected_exits.h"
#include "replicas/replica_incarnations.h"
#include "serving/settings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace spurrack::quarantine {

/// Exit of one incarnation of a replica, as observed by this node or reported by another node.
struct exit_observation {
  /// Identifier of the incarnation that exited, the same on all nodes.
  replica_exit exit = 0;
  /// Time of the exit by the clock of this node.
  base::time_point at;
  /// Replica that exited, for operators; empty if a node of an older version reported the exit.
  base::replica_id replica{};
  /// Time at which the lost call began, if the end of the call was the exit; the epoch if the exit
  /// is only known to have happened at some time. A call that began after an exit ran in a later
  /// process of the replica.
  base::time_point call_started_at{};
  /// Number that the registry gives to the process that exited: an incarnation that is published
  /// late stands for several processes, one after another. Differs from node to node.
  std::uint32_t process = 0;
  /// In the record of a prompt part: hash of the request that the replica ran, the same on all
  /// nodes; 0 if not known.
  std::uint64_t request = 0;

  /// @return whether the process was running from `call_started_at` to `at` and exited then.
  [[nodiscard]] bool is_timed() const { return call_started_at != base::time_point{}; }
  /// @return identifier of the exit within one registry.
  [[nodiscard]] exit_key key() const { return {exit, process}; }
};

/// What a node does with a request that arrives.
enum class quarantine_state : std::uint8_t {
  unrestricted,   ///< The request is sent and retried as its route allows.
  single_attempt, ///< The request is sent to one replica and not retried: each arrival shows
                  ///< whether the request crashes replicas, and risks only one of them.
  quarantined,    ///< The request is refused.
};

/// Exits of replicas under one suspect. The records of several nodes may be merged in any order.
struct crash_record {
  suspect_digest digest;
  suspect_kind kind = suspect_kind::request;
  /// Exits without duplicates, in the order in which this node learned of them.
  std::vector<exit_observation> exits;
  /// Exits under the request that are suspected; only in the record of a request.
  std::set<exit_key> suspected;
  /// Whether exits under the request were suspected since its last surviving run: its replicas may
  /// exit without a word, so that it runs at one replica at a time.
  bool was_suspected = false;
  /// Time at which this node learned of the first of the suspected exits.
  base::time_point suspected_at{};
  /// Time of the latest surviving run of the request or release by an operator, whichever is
  /// later; std::nullopt if there was neither. `exits` holds only exits after this time.
  std::optional<base::time_point> survived_at;
  /// Whether the record has ever held two or more exits, or a suspected one. Such a record is sent
  /// to all nodes.
  bool was_broadcast = false;
  /// Time at which this node last refused the request because it was quarantined.
  base::time_point last_refused_at{};

  /// @return number of exits, proven or suspected.
  [[nodiscard]] std::size_t possible_exits() const { return exits.size() + suspected.size(); }
  /// @return time of the latest exit, surviving run or refusal.
  [[nodiscard]] base::time_point last_update_at() const;
  [[nodiscard]] base::time_point last_exit_at() const;
};

/// How the exits under one request are judged now, for logs.
struct exit_assessment {
  /// Number of exits in the record.
  std::size_t recorded = 0;
  /// Number of recorded exits that another request probably caused.
  std::size_t explained = 0;
  /// Number of exits that count against the request.
  std::size_t counted = 0;
  /// Number of suspected exits.
  std::size_t suspected = 0;
  /// Number of counted exits at which the request is quarantined.
  std::size_t required = 0;

  [[nodiscard]] std::string text() const;
};

/// How a request is judged by its suspects.
struct request_judgement {
  quarantine_state state = quarantine_state::unrestricted;
  /// Suspect that is the reason for the state; null if the request is unrestricted.
  const suspect* reason = nullptr;
  /// Whether the request may run only as a trial of `reason`. A request with several quarantined
  /// suspects gets no trial, since its outcome would not tell them apart.
  bool needs_trial = false;
  /// Whether the request gets no trial until a suspected exit is proven or disproved, or until a
  /// later time.
  bool is_held = false;
};

/// Effect of a reported exit or a merged record on the registry.
struct registry_change {
  /// Whether the registry learned of an exit, or of a surviving run that cleared known exits.
  bool has_new_information = false;
  /// Whether the change put the request into quarantine.
  bool begins_quarantine = false;
  /// Whether all reported exits are ignored because the registry knows of a later surviving run.
  bool is_refuted = false;
};

/// Crash records by request digest, and an index of recent exits. Not thread-safe.
class crash_registry {
 public:
  /// Maximum number of records: 500 kB at 250 bytes each. When the registry is full, a new record
  /// evicts the record with the fewest exits, and of several such records the least recently
  /// updated one: a flood of suspects with one exit each evicts no record with more exits.
  static constexpr std::size_t max_records = 2048;

  explicit crash_registry(serving::quarantine_limits limits = {}) : limits_(limits) {}
  [[nodiscard]] const serving::quarantine_limits& limits() const { return limits_; }

  registry_change note_exit(const suspect& subject, const exit_observation& observation,
                            base::time_point now);
  /// Records that a replica fell silent under a request.
  registry_change note_suspected(const suspect& subject, const suspected_exit& suspicion);
  /// Ends the suspicions of an incarnation because its exit is proven, and records the exit under
  /// the requests that it ran.
  /// @param exited_at as for `suspected_exits::take`.
  /// @return digests of these requests, and whether the quarantine of each begins.
  std::vector<std::pair<suspect_digest, registry_change>>
  prove_suspected(replica_exit exit, std::optional<base::time_point> exited_at,
                  base::time_point now);
  /// Ends the suspicions of an incarnation because the replica was heard again in the same process.
  /// @return digests of the requests that it ran.
  std::vector<suspect_digest> disprove_suspected(const disproved_exit& disproved);
  [[nodiscard]] const suspected_exits& suspected() const { return suspected_; }
  /// Records a surviving run of a request and clears the exits under the request.
  /// @return whether the registry held exits under the request.
  bool note_survived(const suspect_digest& digest, base::time_point now);
  /// Clears the exits under a request on behalf of an operator.
  /// @return whether the registry held exits under the request.
  bool release(const suspect_digest& digest, base::time_point now);
  /// Merges a record that another node sent.
  registry_change merge(const crash_record& received, base::time_point now);
  /// Adds recent exits that another node sent to the index of exits. The exits may have occurred
  /// under any request or under none.
  void merge_exits(const std::vector<exit_observation>& received, base::time_point now);
  /// @return up to `most` exits of the last 30 s, the latest first.
  [[nodiscard]] std::vector<exit_observation> latest_exits(std::size_t most,
                                                           base::time_point now) const;
  /// Withdraws an exit because the replica answered later in the same incarnation: removes the exit
  /// from all records and ignores further reports of it. If this incarnation exits after the
  /// withdrawal, that is a new exit and is recorded.
  /// @return whether the registry knew the exit.
  bool withdraw(replica_exit exit, base::time_point now);
  /// Records that the replica crashed because it had to reject too many requests: removes the exit
  /// from all records, and counts it neither for nor against any request.
  /// @return whether the registry knew the exit under any request.
  bool mark_overrun(const exit_key& exit);
  [[nodiscard]] std::optional<base::time_point> exit_time_of(replica_exit exit) const;

  /// @return whether a request that arrives now is unrestricted, limited to a single attempt, or
  ///         quarantined.
  [[nodiscard]] quarantine_state quarantine_state_of(const suspect_digest& digest,
                                                     base::time_point now) const;
  /// Judges a request that arrives now by its suspects: the most restricted one decides, and of
  /// several such suspects the one with the most exits.
  /// @param suspects must outlive the result.
  [[nodiscard]] request_judgement judge(const std::vector<suspect>& suspects,
                                        base::time_point now) const;
  /// @return whether a trial of a suspect may run, if no other trial of it is under way: at any
  ///         time before its quarantine, and during the quarantine of a prompt part after a time
  ///         that grows with each exit. A trial of a request waits until other nodes have told of
  ///         the runs under way when its first exit was suspected, and until enough suspected exits
  ///         are proven or disproved.
  [[nodiscard]] bool is_trial_due(const crash_record& record, base::time_point now) const;
  /// @return whether a request would be quarantined if its suspected exits were proven.
  [[nodiscard]] bool is_held(const crash_record& record) const;
  /// @return number of exits under a request, proven ones that count and suspected ones.
  [[nodiscard]] std::size_t possible_exits_of(const suspect_digest& digest) const;
  /// Records that a quarantined request was refused. This prolongs the quarantine, so that it
  /// lasts as long as clients keep sending the request.
  void note_refused(const suspect_digest& digest, base::time_point now);
  /// @return number of exits under a request, without those that another request probably caused.
  [[nodiscard]] std::size_t counted_exits_of(const suspect_digest& digest) const;
  [[nodiscard]] exit_assessment assess(const suspect_digest& digest) const;
  /// @return whether there are no records; callers then skip the computation of digests.
  [[nodiscard]] bool empty() const { return records_.empty(); }
  /// @return record of a request; null if there is none.
  [[nodiscard]] const crash_record* find(const suspect_digest& digest) const;
  [[nodiscard]] const std::map<suspect_digest, crash_record>& all() const { return records_; }
  /// Drops the records, indexed exits and withdrawn exits that have expired.
  void expire(base::time_point now);

 private:
  /// Returns the record of a request; creates a record if there is none.
  crash_record& record_of(const suspect& subject);
  void evict_record_with_fewest_exits();
  void erase_record(std::map<suspect_digest, crash_record>::iterator record);
  /// Adds an exit to the index, or updates the times of the known exit of the same process.
  /// @return number of the process that exited.
  std::uint32_t index_exit(const exit_observation& observation);
  registry_change add(crash_record& record, const std::vector<exit_observation>& observations,
                      base::time_point now);
  /// Removes suspected exits from all records.
  /// @return digests of the records that held one of them.
  std::vector<suspect_digest> forget_suspected(const std::vector<exit_key>& keys);
  /// @return whether another suspect is the more likely cause of `exit` than one with this exit and
  ///         `own_exits` distinct exits: the other one has this exit as well, has more distinct
  ///         exits, and has enough of them for quarantine.
  [[nodiscard]] bool is_explained(const exit_key& exit, std::size_t own_exits) const;
  /// @return number of exits in the record, of which those under one request count at most
  ///         `max_exits_per_request` times in the record of a prompt part.
  [[nodiscard]] static std::size_t distinct_exits(const crash_record& record);
  /// @return number of exits at which a suspect of the kind of `record` is quarantined if few
  ///         unrelated replicas exited.
  [[nodiscard]] std::size_t base_requirement(const crash_record& record) const;
  /// @return times of the exits of a request, proven and suspected ones, the earliest first.
  [[nodiscard]] std::vector<base::time_point> possible_exit_times(const crash_record& record) const;
  /// @return whether a request that lacks one exit for quarantine waits for a later trial, because
  ///         its exits are so old that a client sent it again only after all nodes knew of them.
  [[nodiscard]] bool is_paused(const crash_record& record, base::time_point now) const;
  /// @return number of exits of a quarantined suspect that came so long after the exit before that
  ///         they happened in trials.
  [[nodiscard]] std::size_t exits_in_trials(const crash_record& record) const;
  /// Recomputes the data that is derived from all records.
  void update_explanations() const;
  /// @return whether another request has exactly the exits of `record`, so that either request may
  ///         have caused them.
  [[nodiscard]] bool has_indistinguishable_record(const crash_record& record) const;
  /// @return number of exits in `record`, without those that another request probably caused.
  [[nodiscard]] std::size_t counted_exits(const crash_record& record) const;
  /// @return minimum number of exits at which the suspect is quarantined. It is higher if, in the
  ///         30 s before the latest exit under the suspect, many replicas exited that did not run
  ///         it, and no quarantined suspect explains their exits.
  [[nodiscard]] std::size_t exits_required(const crash_record& record) const;
  [[nodiscard]] quarantine_state quarantine_state_of(const crash_record& record,
                                                     base::time_point now) const;
  [[nodiscard]] bool is_expired(const crash_record& record, base::time_point now) const;
  /// @param exits number of exits under the request, as `counted_exits` returns it.
  /// @return duration of the quarantine of the request, counted from the last update of its record.
  [[nodiscard]] base::duration quarantine_duration(std::size_t exits) const;

  serving::quarantine_limits limits_;
  std::map<suspect_digest, crash_record> records_;
  suspected_exits suspected_;
  /// Records that are evicted next if they still have at most one exit, the first one at the end.
  std::vector<suspect_digest> next_evicted_;
  /// Index of known exits, with their times: exits in present and dropped records, and exits that
  /// other nodes reported without a record.
  struct known_exit {
    /// Earliest time at which a node saw a call of the process end.
    base::time_point at;
    /// Latest begin of a lost call of the process.
    base::time_point call_started_at;
    base::replica_id replica;
    /// Whether the replica crashed because it was overrun, so that no request is the cause.
    bool is_overrun = false;
  };
  std::map<exit_key, known_exit> exits_;
  /// For each exit under a request with enough exits for quarantine: the number of exits under that
  /// request; the largest such number if several such requests have this exit. Recomputed on the
  /// first use after a change. Without this map, the record of each arriving request would be
  /// compared with all other records.
  mutable std::map<exit_key, std::size_t> explaining_exit_counts_;
  mutable bool explanations_are_stale_ = false;
  /// Withdrawn exits, with the times at which their replicas were found to be running.
  std::map<replica_exit, base::time_point> withdrawn_exits_;
};

} // namespace spurrack::quarantine
