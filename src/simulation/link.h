/// Simulated network link with a limited rate. Messages are transmitted one after the other.
#pragma once

#include "base/time.h"

#include <algorithm>
#include <optional>

namespace spurrack::simulation {

/// Computes the times at which messages leave the link. Not thread-safe.
class link {
 public:
  /// Maximum time for which a message may wait for the link. A message that would wait longer is
  /// lost, because the transport closes a connection whose bytes stay unacknowledged for this time.
  static constexpr base::duration max_queueing_delay = std::chrono::milliseconds(2000);

  /// @param bytes_per_second 0 for an unlimited rate.
  explicit link(double bytes_per_second = 0) : bytes_per_second_(bytes_per_second) {}

  /// Schedules the transmission of `bytes` after all earlier transmissions.
  /// @return time at which the last byte has left the link; std::nullopt if the transmission could
  ///         not begin within `max_queueing_delay` and is not scheduled.
  std::optional<base::time_point> transmit(double bytes, base::time_point now) {
    if (bytes_per_second_ <= 0) {
      return now;
    }
    const auto begins_at = std::max(now, free_at_);
    if (begins_at - now > max_queueing_delay) {
      return std::nullopt;
    }
    return free_at_ = begins_at + base::from_seconds(bytes / bytes_per_second_);
  }
  /// @return time at which the last byte of all scheduled transmissions has left the link.
  [[nodiscard]] base::time_point free_at() const { return free_at_; }

 private:
  double bytes_per_second_;
  base::time_point free_at_;
};

} // namespace spurrack::simulation
