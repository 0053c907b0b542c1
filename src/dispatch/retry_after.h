/// When a client that was refused is told to come back.
#pragma once

#include "base/random.h"
#include "base/time.h"

namespace spurrack::serving {

/// Clients stay away for a third of the time they have left at the most.
inline constexpr double max_retry_after_fraction = 0.3;

/// Spreads those who are refused at one moment over the time after it, so that they do not find the
/// same places taken by one another.
/// @param wait when the first of them may find a place.
/// @param time_left of the client; nothing to come back for where there is none.
/// @return what the client is told: between `wait` and half of it more, and never more than
///         `max_retry_after_fraction` of the time left; zero where it has none left.
[[nodiscard]] base::duration jittered_retry_after(base::duration wait, base::duration time_left,
                                                  base::random_source& random);

} // namespace spurrack::serving
