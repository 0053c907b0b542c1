/// Planning limits that are shared by the queue of a stage pool, the selection of its batches and
/// the choice of a batcher.
#pragma once

#include "base/time.h"
#include "model/serving_records.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace spurrack::serving {

/// Fraction of a replica's result memory that is planned with: sizes of results are approximate.
inline constexpr double usable_memory_share = 0.95;
/// A replica with less than this fraction of its result memory free is not expected to accept the
/// next call.
inline constexpr double low_memory_share = 0.2;
/// A replica whose calls take this many times the published time receives only pieces that have
/// enough time left.
inline constexpr double slow_replica_slowdown = 1.6;
/// Number of lost calls after which the pieces of a request are sent without pieces of other
/// requests: the first loss is mostly chance, and a separate call for each request of a lost call
/// would take ten times the calls.
inline constexpr std::uint32_t lost_calls_before_isolation = 2;
/// Backoff of such pieces before they are sent again. In this time the node that owns the request
/// learns of the loss, probes the replica with a connection, and cancels the pieces if it
/// quarantines the request.
inline constexpr base::duration lost_piece_backoff = std::chrono::milliseconds(50);

/// @return time that a call with `size` pieces takes at a healthy replica, as published.
inline base::duration nominal_call_time(const model::piece_capacity& capacity, std::size_t size) {
  return std::chrono::duration_cast<base::duration>(capacity.call_time + capacity.item_time * size);
}

} // namespace spurrack::serving
