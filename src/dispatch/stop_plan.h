/// Decides which requests a stopping node still accepts and sends: only requests that it expects to
/// complete before the process must end.
///
/// A node that is asked to stop has a fixed time left. A stream that is under way at the end of
/// that time is broken off: its status has already promised success, so its client can no longer be
/// sent an error. A refused request, in contrast, costs its client only one more connection. Each
/// request is therefore evaluated individually by the time that it is expected to need, on arrival
/// and again before it is sent to a replica. No I/O.
#pragma once

#include "base/time.h"
#include "serving/settings.h"

#include <optional>

namespace spurrack::serving {

/// Work that a request still needs, as an input of the decisions during a stop.
struct remaining_work {
  /// Whether the answer is a stream. A stream that has begun can only be completed or broken off.
  bool is_stream = false;
  /// Whether the request may run only once, and its answer is whole: if it is aborted at the end of
  /// the stop, its client does not know whether it ran, and may not send it again.
  bool runs_at_most_once = false;
  /// Deadline of the request: it gets its final answer by this time in any case.
  base::time_point answer_deadline;
  /// Expected time until the request completes; std::nullopt if it cannot be served now.
  std::optional<base::duration> expected_duration;
};

/// Evaluates requests against the end of a graceful stop. Not thread-safe.
class stop_plan {
 public:
  explicit stop_plan(const stop_admission_windows& windows = {}) : admission_windows_(windows) {}

  /// Begins the stop.
  /// @param must_end_at time at which the requests that are still active are aborted.
  void begin(base::time_point now, base::time_point must_end_at);
  [[nodiscard]] bool has_begun() const { return times_.has_value(); }

  /// @return whether a request that has just arrived is accepted: the admission window of its kind
  ///         (stream or not), which starts with the stop, has not passed, and `may_send` permits
  ///         the request. True if no stop has begun.
  [[nodiscard]] bool accepts(const remaining_work& work, base::time_point now) const;
  /// @return whether an accepted request may still be sent to a replica: its deadline is before the
  ///         end of the stop, or it is expected to complete before the end. A request that runs at
  ///         most once needs the former. True if no stop has begun.
  [[nodiscard]] bool may_send(const remaining_work& work, base::time_point now) const;

 private:
  struct stop_times {
    base::time_point begun_at;
    base::time_point must_end_at;
  };

  stop_admission_windows admission_windows_;
  std::optional<stop_times> times_;
};

} // namespace spurrack::serving
