/// Planning limits that are shared by the queue of a stage pool, the selection of its batches and
/// the choice of a batcher.
#pragma once

#include "base/time.h"
#include "model/serving_records.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace spurrack::serving {

/// Fraction of a replica's result memory that may be filled with results; the rest is a margin,
/// because the sizes of results are approximate.
inline constexpr double usable_memory_share = 0.95;
/// Fraction of a replica's result memory. A replica with less free memory is short of memory: it is
/// not expected to accept another call within the duration of a call with a full batch.
inline constexpr double low_memory_share = 0.2;
/// Slowdown (time of a call divided by its published time) from which a replica counts as slow. A
/// slow replica is sent no piece that becomes due within the additional time: the time by which a
/// call with a full batch there exceeds its published time.
inline constexpr double slow_replica_slowdown = 1.6;
/// Number of lost calls (calls that ended without an answer) after which a piece is sent without
/// pieces of other requests. One lost call is not enough: the first loss is mostly chance, and a
/// separate call for each request of a lost call would need ten times as many calls.
inline constexpr std::uint32_t lost_calls_before_isolation = 2;
/// Time after a lost call for which pieces with `lost_calls_before_isolation` or more lost calls
/// are not sent. In this time the node that serves the request learns of the loss, probes the
/// replica with a connection, and cancels the pieces if it quarantines the request.
inline constexpr base::duration lost_piece_backoff = std::chrono::milliseconds(50);

/// @return published duration of a call with `size` pieces at a healthy replica.
inline base::duration nominal_call_time(const model::piece_capacity& capacity, std::size_t size) {
  return std::chrono::duration_cast<base::duration>(capacity.call_time +
                                                    capacity.piece_time * size);
}

} // namespace spurrack::serving
