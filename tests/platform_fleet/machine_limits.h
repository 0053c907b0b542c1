/// Number of daemons that a soak may start on this machine.
#pragma once

#include <cstddef>

namespace spurrack::platform_tests {

/// @return number of daemons for which half of the machine's memory (at most 16 GB) and the limits
///         of this process for descriptors and threads suffice; at most 150.
std::size_t max_daemons();

} // namespace spurrack::platform_tests
