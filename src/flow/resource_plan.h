/// Derives limits for requests and answers from the memory and the descriptors of the process.
#pragma once

#include <cstddef>

namespace spurrack::flow {

/// Returns the capacity of the byte budget of the process.
/// @param memory_bytes that the process may use in total.
std::size_t budget_capacity(std::size_t memory_bytes);

/// Returns the maximum number of concurrent client connections.
/// @param descriptors that the process may have open in total.
std::size_t client_connections(std::size_t descriptors);

} // namespace spurrack::flow
