#include "dispatch/return_time.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Those who are refused together come back over this part of the wait.
constexpr double spread_part = 0.5;

} // namespace

base::duration return_time(base::duration wait, base::duration time_left,
                           base::random_source& random) {
  if (time_left <= base::duration::zero()) {
    return {};
  }
  const auto spread = base::scaled(wait, 1 + spread_part * random.unit());
  return std::min(spread, base::scaled(time_left, longest_return_part));
}

} // namespace spurrack::serving
