/// Rate at which a queue drains while it is not empty; expected waits are computed from it.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>

namespace spurrack::serving {

/// Measures the drain rate of one queue. Not thread-safe.
class drain_rate {
 public:
  /// Records that `count` items were dispatched. @param remaining number of items that still wait.
  void note_dispatched(std::size_t count, std::size_t remaining, base::time_point now);

  /// Records that no item waits any more, although the last ones were not dispatched: they expired,
  /// were cancelled or were handed over. The time until the next dispatch is not measured.
  void note_emptied();

  /// @return items dispatched per second while further items waited; std::nullopt if this rate was
  ///         not measured recently, for example because the queue was empty.
  [[nodiscard]] std::optional<double> per_second(base::time_point now) const;

 private:
  void close_window(base::time_point now);

  /// Start of the current measuring window; std::nullopt while the queue is empty.
  std::optional<base::time_point> window_started_at_;
  std::size_t dispatched_ = 0;
  double rate_per_second_ = 0;
  base::time_point measured_at_;
};

} // namespace spurrack::serving
