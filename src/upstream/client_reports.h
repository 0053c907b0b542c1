/// What the client of replicas reports: the events of its calls, and counters of its connections.
#pragma once

#include "serving/events.h"

#include <array>
#include <cstdint>
#include <functional>

namespace spurrack::upstream {

/// Receives the events of calls, on the thread of the io_context. Each call with a `base::call_id`
/// that is not cancelled has exactly one final event: `call_answered`, `call_failed`,
/// `stream_closed` or `stage_call_ended`.
using event_handler = std::function<void(serving::event)>;

/// Counters of connections and their answers, for metrics.
struct connection_counters {
  /// Number of new connections, including attempts that failed.
  std::uint64_t opened = 0;
  /// Number of calls that were sent on a pooled connection.
  std::uint64_t reused = 0;
  /// Number of surplus answers that arrived during a call.
  std::uint64_t surplus_answers = 0;
  /// Number of answers that reported a load in an invalid format.
  std::uint64_t unreadable_loads = 0;
  /// Number of answers that were none, by fault.
  std::array<std::uint64_t, serving::answer_faults> faulty_answers{};
};

} // namespace spurrack::upstream
