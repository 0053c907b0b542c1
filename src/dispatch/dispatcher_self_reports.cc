/// Self-reports of replicas, from answers and from other nodes: recorded, and logged as events.
#include "dispatch/dispatcher.h"

#include <cstdio>

namespace spurrack::serving {
namespace {

using replica_statements::belief_change;

base::event_kind kind_of(belief_change::matter what) {
  switch (what) {
  case belief_change::matter::leaving:
    return base::event_kind::replica_leaving;
  case belief_change::matter::backoff:
    return base::event_kind::replica_backoff;
  case belief_change::matter::limit:
    break;
  }
  return base::event_kind::replica_limit;
}

std::string unreadable_text(belief_change::matter what) {
  switch (what) {
  case belief_change::matter::leaving:
    return "its drain announcement cannot be read";
  case belief_change::matter::backoff:
    return "its requested backoff cannot be read";
  case belief_change::matter::limit:
    break;
  }
  return "its limit cannot be read, the previous limit stays in effect";
}

std::string text_of(const belief_change& change) {
  if (change.unreadable) {
    return unreadable_text(change.what);
  }
  if (change.what == belief_change::matter::leaving) {
    return "drains, reported by " + change.source;
  }
  if (!change.per_second) {
    return "no longer announces a limit, reported by " + change.source;
  }
  char text[64];
  std::snprintf(text, sizeof(text), "accepts %g requests/s from all nodes, reported by ",
                *change.per_second);
  return text + change.source;
}

} // namespace

std::optional<replica_statements::published_replica>
dispatcher::find_published(const base::replica_id& id) const {
  const auto* state = replicas_.find(id);
  if (state == nullptr) {
    return std::nullopt;
  }
  return replica_statements::published_replica{state->record->zone, life_mark_of(*state->record),
                                               state->process};
}

void dispatcher::on_event(const statement_heard& report, base::time_point now) {
  replicas_.note_statement(report, now);
  record_self_report_changes();
}

void dispatcher::handle_peer(const base::node_id& sender, const wire::rate_limits& message,
                             base::time_point now) {
  self_reports_.handle(sender, message, now);
  limits_.handle(sender, message, now);
  record_self_report_changes();
}

void dispatcher::record_self_report_changes() {
  for (const auto& change : self_reports_.take_changes()) {
    record_(kind_of(change.what), {}, change.replica.text(), text_of(change));
    if (change.what == belief_change::matter::leaving) {
      stages_.on_departure();
    }
  }
  for (const auto& change : replicas_.take_backoff_changes()) {
    record_(base::event_kind::replica_backoff, {}, change.replica.text(),
            "requests a backoff of " + std::to_string(base::to_milliseconds(change.span)) + " ms");
  }
}

} // namespace spurrack::serving
