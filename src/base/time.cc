#include "base/time.h"

#include <ctime>

namespace spurrack::base {

boot_clock::time_point boot_clock::now() noexcept {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return time_point(std::chrono::seconds(reading.tv_sec) +
                    std::chrono::nanoseconds(reading.tv_nsec));
}

std::uint64_t wall_clock_microseconds() noexcept {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

} // namespace spurrack::base
