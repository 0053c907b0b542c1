/// Records what replicas report of themselves (self-reports), in their answers or through other
/// nodes, and records an event for each new drain, backoff or limit.
#include "dispatch/dispatcher.h"

#include <cstdio>

namespace spurrack::serving {
namespace {

using self_reports::self_report_change;

base::event_kind kind_of(self_report_change::topic report_topic) {
  switch (report_topic) {
  case self_report_change::topic::drain:
    return base::event_kind::replica_leaving;
  case self_report_change::topic::backoff:
    return base::event_kind::replica_backoff;
  case self_report_change::topic::limit:
    break;
  }
  return base::event_kind::replica_limit;
}

std::string unreadable_text(self_report_change::topic report_topic) {
  switch (report_topic) {
  case self_report_change::topic::drain:
    return "its drain announcement cannot be read";
  case self_report_change::topic::backoff:
    return "its requested backoff cannot be read";
  case self_report_change::topic::limit:
    break;
  }
  return "its limit cannot be read, the previous limit stays in effect";
}

std::string text_of(const self_report_change& change) {
  if (change.is_unreadable) {
    return unreadable_text(change.reported_topic);
  }
  if (change.reported_topic == self_report_change::topic::drain) {
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

void dispatcher::on_event(const self_report_received& report, base::time_point now) {
  replicas_.note_self_report(report, now);
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
    record_(kind_of(change.reported_topic), {}, change.replica.text(), text_of(change));
    if (change.reported_topic == self_report_change::topic::drain) {
      stages_.on_drain_announced();
    }
  }
  for (const auto& change : replicas_.take_backoff_changes()) {
    record_(base::event_kind::replica_backoff, {}, change.replica.text(),
            "requests a backoff of " + std::to_string(base::to_milliseconds(change.span)) + " ms");
  }
}

} // namespace spurrack::serving
