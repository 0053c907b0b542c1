/// Decides what a node does with a request by the records of its suspects: run it, limit it to a
/// single attempt, hold it, run it as a trial or refuse it. The terms are defined in
/// crash_registry.h. No I/O.
#pragma once

#include "base/time.h"
#include "quarantine/crash_record.h"
#include "quarantine/crash_records.h"
#include "quarantine/exit_assessor.h"
#include "quarantine/suspect.h"
#include "quarantine/suspected_exits.h"
#include "serving/settings.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace spurrack::quarantine {

/// What a node does with a request that arrives.
enum class quarantine_state : std::uint8_t {
  unrestricted,   ///< The request is sent and retried as its route allows.
  single_attempt, ///< The request is sent to one replica and not retried: each arrival shows
                  ///< whether the request crashes replicas, and risks only one of them.
  quarantined,    ///< The request is refused.
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

/// Judges suspects by their records. Not thread-safe.
class quarantine_judge {
 public:
  /// Parts of the registry that the judge reads; all must outlive it.
  struct evidence {
    const crash_records* records;
    const suspected_exits* suspected;
    const exit_assessor* assessor;
  };
  quarantine_judge(serving::quarantine_limits limits, evidence known)
      : limits_(limits), records_(known.records), suspected_(known.suspected),
        assessor_(known.assessor) {}

  /// @return whether a request that arrives now is unrestricted, limited to a single attempt, or
  ///         quarantined.
  [[nodiscard]] quarantine_state state_of(const crash_record& record, base::time_point now) const;
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
  /// @return whether the record is no longer needed.
  [[nodiscard]] bool is_expired(const crash_record& record, base::time_point now) const;

 private:
  /// @return times of the exits of a request, proven and suspected ones, the earliest first.
  [[nodiscard]] std::vector<base::time_point> possible_exit_times(const crash_record& record) const;
  /// @return whether a request that lacks one exit for quarantine waits for a later trial, because
  ///         its exits are so old that a client sent it again only after all nodes knew of them.
  [[nodiscard]] bool is_paused(const crash_record& record, base::time_point now) const;
  /// @return number of exits of a quarantined suspect that came so long after the exit before that
  ///         they happened in trials.
  [[nodiscard]] std::size_t exits_in_trials(const crash_record& record) const;
  /// @param exits number of exits under the request, as `exit_assessor::counted_exits` returns it.
  /// @return duration of the quarantine of the request, counted from the last update of its record.
  [[nodiscard]] base::duration quarantine_duration(std::size_t exits) const;

  serving::quarantine_limits limits_;
  const crash_records* records_;
  const suspected_exits* suspected_;
  const exit_assessor* assessor_;
};

} // namespace spurrack::quarantine
