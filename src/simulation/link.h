/// A link of bounded rate in virtual time: what is sent over it goes one after the other.
#pragma once

#include "base/time.h"

#include <algorithm>
#include <optional>

namespace spurrack::simulation {

/// Not thread-safe.
class link {
 public:
  /// Waits longer than this end in a lost message: the transport drops a connection whose bytes
  /// stay unacknowledged for so long.
  static constexpr base::duration longest_wait = std::chrono::milliseconds(2000);

  /// @param bytes_per_second 0: without bound.
  explicit link(double bytes_per_second = 0) : bytes_per_second_(bytes_per_second) {}

  /// Takes up the link for some bytes.
  /// @return when the last of them has left it; nothing where they would wait for too long.
  std::optional<base::time_point> carry(double bytes, base::time_point now) {
    if (bytes_per_second_ <= 0) {
      return now;
    }
    const auto begin = std::max(now, free_at_);
    if (begin - now > longest_wait) {
      return std::nullopt;
    }
    return free_at_ = begin + base::from_seconds(bytes / bytes_per_second_);
  }
  /// @return when all that was given to it has left it.
  [[nodiscard]] base::time_point free_at() const { return free_at_; }

 private:
  double bytes_per_second_;
  base::time_point free_at_;
};

} // namespace spurrack::simulation
