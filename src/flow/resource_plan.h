/// What the limits of a machine leave for requests and answers.
#pragma once

#include <cstddef>

namespace spurrack::flow {

/// @param memory_bytes what the process may have in all.
/// @return capacity of the process's byte budget.
std::size_t budget_capacity(std::size_t memory_bytes);

/// @param descriptors what the process may have open in all.
/// @return clients' connections that are taken at once.
std::size_t client_connections(std::size_t descriptors);

} // namespace spurrack::flow
