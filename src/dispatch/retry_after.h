/// Retry-After times of refused requests.
#pragma once

#include "base/random.h"
#include "base/time.h"

namespace spurrack::serving {

/// Maximum Retry-After time, as a fraction of the client's remaining time. A value below a third
/// leaves the client most of its time for the next attempt.
inline constexpr double max_retry_after_fraction = 0.3;

/// Adds jitter to a Retry-After time, so that clients that were refused at the same moment do not
/// come back together and compete for the same slots.
/// @param wait time after which a slot may be free.
/// @param time_left remaining time of the client.
/// @return time between `wait` and one and a half times `wait`, limited to
///         `max_retry_after_fraction` of `time_left`; zero if the client has no time left.
[[nodiscard]] base::duration jittered_retry_after(base::duration wait, base::duration time_left,
                                                  base::random_source& random);

} // namespace spurrack::serving
