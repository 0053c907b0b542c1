/// Number of daemons that a soak may start on this machine.
#pragma once

#include <cstddef>

namespace spurrack::platform_tests {

/// @return maximum number of daemons that fit into the available memory and into the limits of this
///         process for descriptors and threads; at most 150. The available memory is half of the
///         machine's memory, but not more than 16 GB.
std::size_t max_daemons();

} // namespace spurrack::platform_tests
