#include "dispatch/retry_after.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Maximum jitter as a fraction of the wait.
constexpr double jitter_fraction = 0.5;

} // namespace

base::duration jittered_retry_after(base::duration wait, base::duration time_left,
                                    base::random_source& random) {
  if (time_left <= base::duration::zero()) {
    return {};
  }
  const auto jittered = base::scaled(wait, 1 + jitter_fraction * random.next_fraction());
  return std::min(jittered, base::scaled(time_left, max_retry_after_fraction));
}

} // namespace spurrack::serving
