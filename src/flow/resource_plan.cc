#include "flow/resource_plan.h"

#include <algorithm>

namespace spurrack::flow {
namespace {

/// An idle process and what it keeps of a fleet of 2,700 nodes (docs/CAPACITY.md: 13 and 32 MB).
constexpr std::size_t baseline_bytes = 45'000'000;
/// Part of the rest that is counted byte by byte. The other part is what comes with counted bytes
/// and is not counted: buffers of connections, the allocator's unused room, what the kernel has
/// received for this process. With 0.4 a process of 160 MB used 119 MB beside 1,398 slow clients,
/// with 0.32 109 MB (slow_readers_test).
constexpr double counted_fraction = 0.32;
/// A budget of less could not hold one large answer.
constexpr std::size_t min_budget_bytes = 10'000'000;

/// Files, of which the platform keeps this many back.
constexpr std::size_t file_descriptors = 200;
/// Peers, the store, operators and resting connections to replicas.
constexpr std::size_t own_descriptors = 900;
/// A client's request needs its own connection and one to a replica.
constexpr std::size_t descriptors_per_client = 2;
constexpr std::size_t min_client_connections = 16;

} // namespace

std::size_t budget_capacity(std::size_t memory_bytes) {
  const auto remaining = memory_bytes > baseline_bytes ? memory_bytes - baseline_bytes : 0;
  return std::max(static_cast<std::size_t>(static_cast<double>(remaining) * counted_fraction),
                  min_budget_bytes);
}

std::size_t client_connections(std::size_t descriptors) {
  constexpr auto reserved = file_descriptors + own_descriptors;
  const auto remaining = descriptors > reserved ? descriptors - reserved : 0;
  return std::max(remaining / descriptors_per_client, min_client_connections);
}

} // namespace spurrack::flow
