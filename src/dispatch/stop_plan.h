/// What a stopping node still takes on: only what it can end before the process must.
///
/// A node that is asked to stop has a fixed time left. A stream that is under way when the time is
/// over is cut in the middle of an answer that promised success, and nothing can be said to its
/// client any more; a request that is not taken costs its client one more connection. So each
/// request is weighed by itself, by the time it is expected to need, when it arrives and again
/// before it is sent to a replica. No I/O.
#pragma once

#include "base/time.h"
#include "serving/settings.h"

#include <optional>

namespace spurrack::serving {

/// A request as far as a stop is concerned.
struct remaining_work {
  /// Its answer is a stream: once begun, it can only be ended whole or cut.
  bool is_stream = false;
  /// It gets its final answer by then, whatever happens.
  base::time_point answer_deadline;
  /// Time until it is expected to have ended; nothing where it cannot be served at all now.
  std::optional<base::duration> expected_duration;
};

/// Not thread-safe.
class stop_plan {
 public:
  explicit stop_plan(const stop_windows& windows = {}) : windows_(windows) {}

  /// @param must_end_at what has not ended by then is given up.
  void begin(base::time_point now, base::time_point must_end_at);
  [[nodiscard]] bool has_begun() const { return times_.has_value(); }

  /// @return whether a request that has just arrived is taken.
  [[nodiscard]] bool accepts(const remaining_work& work, base::time_point now) const;
  /// @return whether a request that was taken may still be sent to a replica.
  [[nodiscard]] bool may_send(const remaining_work& work, base::time_point now) const;

 private:
  struct stop_times {
    base::time_point begun_at;
    base::time_point must_end_at;
  };

  stop_windows windows_;
  std::optional<stop_times> times_;
};

} // namespace spurrack::serving
