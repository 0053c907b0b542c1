/// Number of daemons that a soak may start on this machine.
#pragma once

#include <cstddef>

namespace spurrack::platform_tests {

/// @return maximum number of daemons that fit into half of the machine's memory (at most 16 GB) and
///         into the limits of this process for descriptors and threads; at most 150.
std::size_t max_daemons();

} // namespace spurrack::platform_tests
