/// Hybrid logical clock (Kulkarni et al., 2014): its timestamps are close to the wall clock and
/// preserve causality between nodes.
#pragma once

#include "base/time.h"

#include <compare>
#include <cstdint>

namespace spurrack::base {

/// Timestamp ordered first by wall time (microseconds since the epoch), then by a counter.
struct hybrid_timestamp {
  std::uint64_t wall_microseconds = 0;
  std::uint32_t logical = 0;
  auto operator<=>(const hybrid_timestamp&) const = default;
};

/// Clock of one node. Not thread-safe.
class hybrid_clock {
 public:
  /// @param wall_offset_microseconds wall clock minus boot clock, in microseconds.
  explicit hybrid_clock(std::int64_t wall_offset_microseconds)
      : wall_offset_microseconds_(wall_offset_microseconds) {}

  /// @return a timestamp later than all timestamps that this clock has returned or accepted before.
  hybrid_timestamp next(time_point now);

  /// Records a timestamp received from a peer. Ignores a timestamp that is more than
  /// `max_drift_microseconds` ahead of this machine's wall clock, so that a single broken clock
  /// cannot advance the clocks of the whole fleet.
  void observe(const hybrid_timestamp& received, time_point now);

  static constexpr std::uint64_t max_drift_microseconds = 60'000'000;

 private:
  [[nodiscard]] std::uint64_t wall_now(time_point now) const;

  std::int64_t wall_offset_microseconds_;
  hybrid_timestamp last_;
};

} // namespace spurrack::base
