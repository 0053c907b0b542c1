#include "base/hybrid_clock.h"

#include <algorithm>

namespace spurrack::base {

std::uint64_t hybrid_clock::wall_now(time_point now) const {
  const auto since_boot =
      std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
  return static_cast<std::uint64_t>(since_boot + wall_offset_microseconds_);
}

hybrid_timestamp hybrid_clock::next(time_point now) {
  const auto wall = wall_now(now);
  if (wall > last_.wall_microseconds) {
    last_ = {wall, 0};
  } else {
    ++last_.logical;
  }
  return last_;
}

void hybrid_clock::observe(const hybrid_timestamp& received, time_point now) {
  if (received.wall_microseconds > wall_now(now) + max_drift_microseconds) {
    return;
  }
  last_ = std::max(last_, received);
}

} // namespace spurrack::base
