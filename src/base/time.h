/// Clock of the decision logic, which also advances while the machine is suspended.
#pragma once

#include <chrono>
#include <cstdint>

namespace spurrack::base {

using duration = std::chrono::nanoseconds;

/// Time since the boot of the machine, including suspension (CLOCK_BOOTTIME). If a process is
/// suspended beyond the end of a lease, it sees on this clock that the lease has expired.
struct boot_clock {
  using duration = base::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock, duration>;
  static constexpr bool is_steady = true;

  /// @return the current time; never decreases.
  static time_point now() noexcept;
};

using time_point = boot_clock::time_point;

/// @return microseconds since the Unix epoch. May jump; used only for the timeline and for
///         incarnations.
std::uint64_t wall_clock_microseconds() noexcept;

/// @return whole milliseconds in `span`, rounded towards zero.
constexpr std::int64_t to_milliseconds(duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

constexpr double to_seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

constexpr duration from_seconds(double seconds) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

inline duration scaled(duration span, double factor) {
  return from_seconds(to_seconds(span) * factor);
}

} // namespace spurrack::base
