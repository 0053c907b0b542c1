/// What the queue of a stage pool, the choice of its batches and that of a gatherer plan with
/// alike.
#pragma once

#include "base/time.h"
#include "model/serving_records.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace spurrack::serving {

/// Part of a replica's room that is planned with: sizes of results are approximate.
inline constexpr double usable_memory_share = 0.95;
/// A replica with less than this part of its room left is not expected to take the next call.
inline constexpr double low_memory_share = 0.2;
/// A replica whose calls take this many times as long as published is given only what has the time.
inline constexpr double slow_replica_slowdown = 1.6;
/// Lost calls after which pieces go alone: the first is mostly chance, and a call of their own for
/// each request of a lost one would take ten times the calls.
inline constexpr std::uint32_t lost_calls_before_isolation = 2;
/// Such pieces rest this long before they are made again: the node they belong to hears of the loss
/// and asks the replica for a connection meanwhile, and takes them back if it is to hold them back.
inline constexpr base::duration lost_piece_backoff = std::chrono::milliseconds(50);

/// @return time that a call with `size` pieces takes at a healthy replica.
inline base::duration nominal_call_time(const model::piece_capacity& capacity, std::size_t size) {
  return std::chrono::duration_cast<base::duration>(capacity.call_time + capacity.item_time * size);
}

} // namespace spurrack::serving
