#include "base/event_log.h"

#include <utility>

namespace spurrack::base {

std::string_view name_of(event_kind kind) {
  switch (kind) {
  case event_kind::node_started:
    return "node_started";
  case event_kind::node_ready:
    return "node_ready";
  case event_kind::node_stopping:
    return "node_stopping";
  case event_kind::node_resumed_after_pause:
    return "node_resumed_after_pause";
  case event_kind::member_alive:
    return "member_alive";
  case event_kind::member_suspected:
    return "member_suspected";
  case event_kind::member_dead:
    return "member_dead";
  case event_kind::entry_accepted:
    return "entry_accepted";
  case event_kind::entry_rejected:
    return "entry_rejected";
  case event_kind::entry_older_ignored:
    return "entry_older_ignored";
  case event_kind::service_behind:
    return "service_behind";
  case event_kind::service_era:
    return "service_era";
  case event_kind::backend_leaving:
    return "backend_leaving";
  case event_kind::backend_ejected:
    return "backend_ejected";
  case event_kind::backend_restarted:
    return "backend_restarted";
  case event_kind::request_received:
    return "request_received";
  case event_kind::request_answered:
    return "request_answered";
  case event_kind::stage_dispatched:
    return "stage_dispatched";
  case event_kind::stage_completed:
    return "stage_completed";
  case event_kind::stage_retried:
    return "stage_retried";
  case event_kind::stage_cancelled:
    return "stage_cancelled";
  case event_kind::late_answer_dropped:
    return "late_answer_dropped";
  case event_kind::key_recorded:
    return "key_recorded";
  case event_kind::key_refused:
    return "key_refused";
  case event_kind::request_forwarded:
    return "request_forwarded";
  case event_kind::residency_refused:
    return "residency_refused";
  case event_kind::residency_confined:
    return "residency_confined";
  case event_kind::client_slow:
    return "client_slow";
  case event_kind::request_crashed_replica:
    return "request_crashed_replica";
  case event_kind::request_quarantined:
    return "request_quarantined";
  case event_kind::request_cleared:
    return "request_cleared";
  }
  return "unknown";
}

void event_log::add(event entry) {
  entries_.push_back(std::move(entry));
  if (entries_.size() > capacity_) {
    entries_.pop_front();
    ++dropped_;
  }
}

} // namespace spurrack::base
