/// Ring buffer in which a node records its events, as typed entries, for the timeline of the fleet.
#pragma once

#include "base/hybrid_clock.h"
#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace spurrack::base {

/// Kind of an event. The names that `name_of` returns must not change because tools parse them.
enum class event_kind : std::uint8_t {
  node_started,
  node_ready,
  node_stopping,
  node_resumed_after_pause,
  member_alive,
  member_suspected,
  member_dead,
  entry_accepted,
  entry_rejected,
  entry_older_ignored,
  service_behind,
  service_era,
  backend_leaving,
  backend_ejected,
  backend_restarted,
  request_received,
  request_answered,
  stage_dispatched,
  stage_completed,
  stage_retried,
  stage_cancelled,
  late_answer_dropped,
  key_recorded,
  key_refused,
  request_forwarded,
  residency_refused,
  residency_confined,
  client_slow,
  stream_resumed,
  request_crashed_replica,
  request_quarantined,
  request_cleared,
  replica_limit,
  replica_leaving,
  node_partitioned,
  replica_backoff,
  knowledge_overdue,
  knowledge_confirmed,
  answer_ended_early,
  knowledge_turn,
};

inline constexpr std::size_t event_kind_count =
    static_cast<std::size_t>(event_kind::knowledge_turn) + 1;

std::string_view name_of(event_kind kind);

/// One entry of the timeline.
struct event {
  hybrid_timestamp at;
  event_kind kind = event_kind::node_started;
  /// Request that the event concerns; empty if it concerns no request.
  request_id request;
  /// Machine, stage or key that the event concerns.
  std::string subject;
  /// Short free text for operators.
  std::string detail;
};

/// Ring buffer of the latest `capacity` events. Not thread-safe.
class event_log {
 public:
  explicit event_log(std::size_t capacity) : capacity_(capacity) {}

  void add(event entry);

  [[nodiscard]] const std::deque<event>& entries() const { return entries_; }
  /// @return the number of events that were removed because the buffer was full.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  std::size_t capacity_;
  std::uint64_t dropped_ = 0;
  std::deque<event> entries_;
};

} // namespace spurrack::base
