/// What replicas say of themselves with their answers.
#include "replicas/replica_table.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// A pause that cannot be read is reported once in this time for each replica.
constexpr base::duration unreadable_period = std::chrono::minutes(1);

} // namespace

void replica_table::note_process(replica_state& state) {
  const auto process = process_mark_of(*state.record);
  if (state.process != process) {
    state.process = process;
    state.backoff = {};
  }
}

void replica_table::forget_statements(const base::replica_id& id) {
  unreadable_backoff_told_at_.erase(id);
  if (limits_ != nullptr) {
    limits_->forget(id);
  }
  if (statements_ != nullptr) {
    statements_->forget(id);
  }
}

bool replica_table::says_it_leaves(const replica_state& state) const {
  return statements_ != nullptr && !statements_->departures().empty() &&
         statements_->departures().includes({state.record->id, state.process});
}

bool replica_table::may_be_sent(const replica_state& state, base::time_point now) const {
  return !says_it_leaves(state) && has_permit(state, now);
}

void replica_table::note_statement(const statement_heard& heard, base::time_point now) {
  auto* state = mutable_find(heard.replica);
  if (state == nullptr || is_at_earlier_life(heard.replica, heard.call_began)) {
    return;
  }
  if (statements_ != nullptr) {
    statements_->hear(heard.replica, heard.said, heard.call_began, now);
  }
  if (heard.said.load) {
    note_load(heard.replica, *heard.said.load, now);
  }
  note_cold(heard.replica, heard.said.cold_for, now);
  note_backoff(*state, heard, now);
}

void replica_table::note_backoff(replica_state& state, const statement_heard& heard,
                                 base::time_point now) {
  const auto& asked = heard.said.backoff;
  if (asked.span) {
    // The answered call does not count as under way any more.
    const auto others = state.in_flight - std::min(state.in_flight, 1U);
    if (state.backoff.ask(*asked.span, others, now)) {
      ++backoff_counts_.asked;
      backoff_changes_.push_back({heard.replica, state.backoff.until() - now, false});
    }
    return;
  }
  state.backoff.note_answer(heard.call_began, state.record->slots);
  if (!asked.unreadable) {
    return;
  }
  ++backoff_counts_.unreadable;
  const auto [told, is_first] = unreadable_backoff_told_at_.try_emplace(heard.replica, now);
  if (is_first || now - told->second >= unreadable_period) {
    told->second = now;
    backoff_changes_.push_back({heard.replica, {}, true});
  }
}

} // namespace spurrack::serving
