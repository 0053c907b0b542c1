#include "base/event_log.h"

#include <array>
#include <utility>

namespace spurrack::base {
namespace {

/// Names of the kinds of events, in the order of `event_kind`.
constexpr std::array<std::string_view, event_kind_count> names{
    "node_started",        "node_ready",
    "node_stopping",       "node_resumed_after_pause",
    "member_alive",        "member_suspected",
    "member_dead",         "entry_accepted",
    "entry_rejected",      "entry_older_ignored",
    "service_behind",      "service_era",
    "backend_leaving",     "backend_ejected",
    "backend_restarted",   "request_received",
    "request_answered",    "stage_dispatched",
    "stage_completed",     "stage_retried",
    "stage_cancelled",     "late_answer_dropped",
    "key_recorded",        "key_refused",
    "request_forwarded",   "residency_refused",
    "residency_confined",  "client_slow",
    "stream_resumed",      "request_crashed_replica",
    "request_quarantined", "request_cleared",
    "replica_limit",       "replica_leaving",
    "node_partitioned",    "replica_backoff",
    "knowledge_overdue",   "knowledge_confirmed",
    "answer_ended_early",  "knowledge_turn"};

static_assert(!names.back().empty(), "a kind of event has no name");

} // namespace

std::string_view name_of(event_kind kind) {
  return names.at(static_cast<std::size_t>(kind));
}

void event_log::add(event entry) {
  entries_.push_back(std::move(entry));
  if (entries_.size() > capacity_) {
    entries_.pop_front();
    ++dropped_;
  }
}

} // namespace spurrack::base
