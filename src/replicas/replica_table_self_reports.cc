/// Parts of `replica_table` for the self-reports that replicas send with their answers.
#include "replicas/replica_table.h"

#include "replicas/replica_chooser.h"

#include <algorithm>

namespace spurrack::serving {

void replica_table::update_process(replica_state& state) {
  const auto process = process_fingerprint_of(*state.record);
  if (state.process != process) {
    state.process = process;
    state.backoff = {};
  }
}

void replica_table::forget_self_reports(const base::replica_id& id) {
  if (limits_ != nullptr) {
    limits_->forget(id);
  }
  if (self_reports_ != nullptr) {
    self_reports_->forget(id);
  }
}

bool replica_table::has_announced_drain(const replica_state& state) const {
  return self_reports_ != nullptr && !self_reports_->drain_announcements().empty() &&
         self_reports_->drain_announcements().includes({state.record->id, state.process});
}

bool replica_table::may_send_to(const replica_state& state, base::time_point now) const {
  return !has_announced_drain(state) && state.backoff.permits_call(state.in_flight, now) &&
         has_permit(state, now);
}

bool replica_table::is_blocked_only_by_backoff(const replica_state& state,
                                               base::time_point now) const {
  // Whether the replica accepts calls is checked for the end of the backoff, because another pause
  // of the replica, for example after a rejection, may end earlier than the backoff.
  const auto backoff_ends_at = std::max(now, state.backoff.ends_at());
  return !state.backoff.permits_call(state.in_flight, now) && accepts_calls(state, backoff_ends_at);
}

std::optional<base::duration>
replica_table::time_until_backoff_ends(const replica_requirements& demand,
                                       base::time_point now) const {
  std::optional<base::duration> shortest;
  if (!has_backoffs(now)) {
    return shortest;
  }
  for (const auto* state : index_.of_service(demand.service)) {
    if (is_blocked_only_by_backoff(*state, now) && could_serve(demand, *state)) {
      const auto remaining =
          std::max<base::duration>(state->backoff.ends_at() - now, base::duration::zero());
      shortest = std::min(shortest.value_or(remaining), remaining);
    }
  }
  return shortest;
}

void replica_table::note_self_report(const self_report_received& received, base::time_point now) {
  auto* state = mutable_find(received.replica);
  if (state == nullptr ||
      was_sent_to_earlier_incarnation(received.replica, received.call_started_at)) {
    return;
  }
  if (self_reports_ != nullptr) {
    self_reports_->record_self_report(received.replica, received.report, received.call_started_at,
                                      now);
  }
  if (received.report.load) {
    note_load(received.replica, *received.report.load, now);
  }
  note_cold(received.replica, received.report.cold_for, now);
  note_backoff(*state, received, now);
}

void replica_table::note_backoff(replica_state& state, const self_report_received& received,
                                 base::time_point now) {
  const auto& span = received.report.backoff.duration;
  if (!span) {
    state.backoff.note_answer(received.call_started_at, state.record->slots);
    return;
  }
  // The answered call is not counted as a call in flight.
  const auto other_calls = state.in_flight - std::min(state.in_flight, 1U);
  if (state.backoff.note_requested(*span, other_calls, now)) {
    ++backoffs_;
    latest_backoff_end_ = std::max(latest_backoff_end_, state.backoff.ends_at());
    changed_health_.insert(received.replica);
    backoff_changes_.push_back({received.replica, state.backoff.ends_at() - now});
  }
}

} // namespace spurrack::serving
