/// Time as the decision logic sees it: one clock that also counts while the machine is suspended.
#pragma once

#include <chrono>
#include <cstdint>

namespace spurrack::base {

using duration = std::chrono::nanoseconds;

/// Clock of the machine since boot, suspension included (CLOCK_BOOTTIME). A lease checked on this
/// clock is seen as expired by a process that was paused through the end of the lease.
struct boot_clock {
  using duration = base::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock, duration>;
  static constexpr bool is_steady = true;

  /// @return the current time of the machine; never goes back.
  static time_point now() noexcept;
};

using time_point = boot_clock::time_point;

/// @return microseconds since the Unix epoch; may jump, used for the time line and incarnations
/// only.
std::uint64_t wall_clock_microseconds() noexcept;

/// @return whole milliseconds in `span`, rounded towards zero.
constexpr std::int64_t to_milliseconds(duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// @return `span` in fractional seconds.
constexpr double to_seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

/// @return `seconds` as a duration.
constexpr duration from_seconds(double seconds) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// @return `span` times `factor`.
inline duration scaled(duration span, double factor) {
  return from_seconds(to_seconds(span) * factor);
}

} // namespace spurrack::base
