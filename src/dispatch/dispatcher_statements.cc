/// What replicas say of themselves: taken in from answers and other nodes, and reported.
#include "dispatch/dispatcher.h"

#include <cstdio>

namespace spurrack::serving {
namespace {

std::string limit_text(const replica_statements::belief_change& change) {
  if (change.unreadable) {
    return "its limit cannot be read, the one before stands";
  }
  if (!change.per_second) {
    return "names no limit any more, says " + change.source;
  }
  char text[64];
  std::snprintf(text, sizeof(text), "takes %g requests a second from all nodes, says ",
                *change.per_second);
  return text + change.source;
}

std::string leaving_text(const replica_statements::belief_change& change) {
  return change.unreadable ? "what it says of its leaving cannot be read"
                           : "leaves, says " + change.source;
}

std::string backoff_text(const backoff_change& change) {
  return change.unreadable
             ? "the pause that it asks for cannot be read"
             : "wants nothing for " + std::to_string(base::to_milliseconds(change.span)) + " ms";
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

void dispatcher::on(const statement_heard& what, base::time_point now) {
  replicas_.note_statement(what, now);
  record_statements();
}

void dispatcher::handle_peer(const base::node_id& sender, const wire::rate_limits& message,
                             base::time_point now) {
  statements_.handle(sender, message, now);
  limits_.handle(sender, message, now);
  record_statements();
}

void dispatcher::record_statements() {
  using matter = replica_statements::belief_change::matter;
  for (const auto& change : statements_.take_changes()) {
    if (change.what == matter::limit) {
      record_(base::event_kind::replica_limit, {}, change.replica.text(), limit_text(change));
    } else {
      record_(base::event_kind::replica_leaving, {}, change.replica.text(), leaving_text(change));
      stages_.on_departure();
    }
  }
  for (const auto& change : replicas_.take_backoff_changes()) {
    record_(base::event_kind::replica_backoff, {}, change.replica.text(), backoff_text(change));
  }
}

} // namespace spurrack::serving
