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

#include "base/time.h"
#include "quarantine/crash_record.h"
#include "quarantine/crash_records.h"
#include "quarantine/exit_assessor.h"
#include "quarantine/exit_index.h"
#include "quarantine/quarantine_judge.h"
#include "quarantine/suspect.h"
#include "quarantine/suspected_exits.h"
#include "serving/settings.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace spurrack::quarantine {

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
  /// Maximum number of records.
  static constexpr std::size_t max_records = crash_records::max_records;

  explicit crash_registry(serving::quarantine_limits limits = {})
      : limits_(limits), assessor_(limits, records_, exits_),
        judge_(limits, {&records_, &suspected_, &assessor_}) {}
  /// Its parts refer to each other.
  crash_registry(const crash_registry&) = delete;
  crash_registry& operator=(const crash_registry&) = delete;
  ~crash_registry() = default;

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
  [[nodiscard]] const crash_record* find(const suspect_digest& digest) const {
    return records_.find(digest);
  }
  [[nodiscard]] const std::map<suspect_digest, crash_record>& all() const { return records_.all(); }
  /// Drops the records, indexed exits and withdrawn exits that have expired.
  void expire(base::time_point now);

 private:
  registry_change add(crash_record& record, const std::vector<exit_observation>& observations,
                      base::time_point now);
  /// Removes suspected exits from all records.
  /// @return digests of the records that held one of them.
  std::vector<suspect_digest> forget_suspected(const std::vector<exit_key>& keys);

  serving::quarantine_limits limits_;
  crash_records records_;
  exit_index exits_;
  suspected_exits suspected_;
  exit_assessor assessor_;
  quarantine_judge judge_;
};

} // namespace spurrack::quarantine
