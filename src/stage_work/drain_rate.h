/// How fast a queue is worked off while it is not empty: what expected waits are computed from.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>

namespace spurrack::serving {

/// Not thread-safe.
class drain_rate {
 public:
  /// Work was handed out. @param left what still waits.
  void note_dispatched(std::size_t count, std::size_t remaining, base::time_point now);

  /// @return items a second; nothing while the queue was empty of late.
  [[nodiscard]] std::optional<double> per_second(base::time_point now) const;

 private:
  void close_window(base::time_point now);

  /// Begin of the window that is counted now; nothing while the queue is empty.
  std::optional<base::time_point> window_started_at_;
  std::size_t dispatched_ = 0;
  double rate_per_second_ = 0;
  base::time_point measured_at_;
};

} // namespace spurrack::serving
