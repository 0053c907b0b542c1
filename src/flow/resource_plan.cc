#include "flow/resource_plan.h"

#include <algorithm>

namespace spurrack::flow {
namespace {

/// Memory of an idle process (13 MB) and of its state for a fleet of 2,700 nodes (32 MB); both
/// figures are from docs/CAPACITY.md.
constexpr std::size_t baseline_bytes = 45'000'000;
/// Fraction of the memory beyond `baseline_bytes` that becomes the capacity of the byte budget. The
/// rest is for overhead that comes with the bytes of the budget and is not counted by it:
/// connection buffers, unused memory of the allocator, data that the kernel has received for this
/// process. With 0.4, a process limited to 160 MB used 119 MB with 1,398 slow clients; with 0.32,
/// it used 109 MB (slow_readers_test).
constexpr double counted_fraction = 0.32;
/// A smaller budget could not hold one large answer.
constexpr std::size_t min_budget_bytes = 10'000'000;

/// Number of descriptors that the platform reserves for files.
constexpr std::size_t file_descriptors = 200;
/// Number of descriptors for connections that serve no request of a client: to peers, to the store,
/// of operators, and idle connections to replicas.
constexpr std::size_t own_descriptors = 900;
/// A request of a client needs two descriptors: for the client's connection and for a connection to
/// a replica.
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
