#include "quarantine/quarantine_judge.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <tuple>

namespace spurrack::quarantine {
namespace {

/// Lifetime of a record without exits after a surviving run: other nodes are told of the run
/// before.
constexpr base::duration cleared_record_lifetime = std::chrono::minutes(1);
/// Duration of a first quarantine, counted from the latest exit under the request or its latest
/// refusal. If the request does not arrive for this time, it may be tried again, because the
/// operators may have repaired the replicas.
constexpr base::duration first_quarantine_duration = std::chrono::hours(1);
/// Lifetime of a record with enough exits for quarantine, counted from the latest exit under the
/// request, its latest run without an exit, or its latest refusal, whichever is last.
constexpr base::duration quarantine_record_lifetime = std::chrono::hours(24);
/// Minimum time between an exit under a quarantined prompt part and the next trial of the part: all
/// nodes learn of the quarantine before.
constexpr base::duration min_trial_interval = std::chrono::milliseconds(3'200);
/// Time from the latest exit to the first trial in quarantine, and to the next one after each trial
/// that ended with an exit.
constexpr std::array<base::duration, 4> trial_intervals{
    min_trial_interval, std::chrono::minutes(1), std::chrono::minutes(10), std::chrono::hours(1)};
/// Time from the first suspected exit under a request to its first trial: the nodes that run the
/// request meanwhile learn of the suspicion and answer it, over the longest path between regions.
constexpr base::duration first_trial_delay = std::chrono::milliseconds(250);

/// Time after the last but one exit before quarantine in which trials of a request follow one
/// another. Later, all nodes in contact know of the exits, and the next trial waits longer.
constexpr base::duration prompt_trial_time = std::chrono::milliseconds(2'500);
constexpr base::duration paused_trial_interval = std::chrono::minutes(1);

} // namespace

quarantine_state quarantine_judge::state_of(const crash_record& record,
                                            base::time_point now) const {
  const auto counted = assessor_->counted_exits(record);
  if (counted < limits_.single_attempt) {
    return record.suspected.empty() ? quarantine_state::unrestricted
                                    : quarantine_state::single_attempt;
  }
  const bool is_undecided = record.kind == suspect_kind::request &&
                            counted < limits_.quarantine_with_unrelated_exits &&
                            assessor_->has_indistinguishable_record(record);
  const bool may_be_tried = counted < assessor_->base_requirement(record) ||
                            counted < assessor_->exits_required(record) || is_undecided ||
                            now - record.last_update_at() >= quarantine_duration(counted);
  return may_be_tried ? quarantine_state::single_attempt : quarantine_state::quarantined;
}

request_judgement quarantine_judge::judge(const std::vector<suspect>& suspects,
                                          base::time_point now) const {
  request_judgement judgement;
  std::size_t quarantined_suspects = 0;
  // A part goes before a request in the same state, since it may be tried; then the most exits.
  using rank = std::tuple<quarantine_state, suspect_kind, std::size_t>;
  rank highest{quarantine_state::unrestricted, suspect_kind::prompt_part, 0};
  for (const auto& subject : suspects) {
    const auto* record = records_->find(subject.digest);
    if (record == nullptr) {
      continue;
    }
    const auto state = state_of(*record, now);
    quarantined_suspects += state == quarantine_state::quarantined ? 1 : 0;
    const rank own{state, subject.kind, record->distinct_exits()};
    if (state != quarantine_state::unrestricted && own > highest) {
      judgement = {state, &subject};
      highest = own;
    }
  }
  if (judgement.reason == nullptr) {
    return judgement;
  }
  if (judgement.reason->kind != suspect_kind::request) {
    judgement.needs_trial = quarantined_suspects <= 1;
    return judgement;
  }
  const auto& record = *records_->find(judgement.reason->digest);
  judgement.is_held = is_held(record) || is_paused(record, now);
  judgement.needs_trial = judgement.state == quarantine_state::single_attempt &&
                          !judgement.is_held && record.was_suspected;
  return judgement;
}

bool quarantine_judge::is_held(const crash_record& record) const {
  if (record.suspected.empty()) {
    return false;
  }
  const auto required = record.exits.empty() ? assessor_->base_requirement(record)
                                             : assessor_->exits_required(record);
  return assessor_->counted_exits(record) + record.suspected.size() >= required;
}

std::vector<base::time_point>
quarantine_judge::possible_exit_times(const crash_record& record) const {
  std::vector<base::time_point> times;
  for (const auto& observation : record.exits) {
    times.push_back(observation.at);
  }
  for (const auto& key : record.suspected) {
    if (const auto found = suspected_->all().find(key); found != suspected_->all().end()) {
      times.push_back(found->second.silent_since);
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

bool quarantine_judge::is_paused(const crash_record& record, base::time_point now) const {
  if (!record.was_suspected) {
    return false;
  }
  const auto times = possible_exit_times(record);
  const auto possible = assessor_->counted_exits(record) + record.suspected.size();
  if (std::min(possible, times.size()) + 1 < limits_.quarantine) {
    return false;
  }
  const auto known_at = times[limits_.quarantine - 2] + prompt_trial_time;
  return now >= known_at && now - times.back() < paused_trial_interval;
}

bool quarantine_judge::is_trial_due(const crash_record& record, base::time_point now) const {
  if (record.kind == suspect_kind::request) {
    const bool is_settled =
        record.suspected.empty() || now - record.suspected_at >= first_trial_delay;
    return is_settled && !is_held(record) && !is_paused(record, now) &&
           state_of(record, now) != quarantine_state::quarantined;
  }
  if (state_of(record, now) != quarantine_state::quarantined) {
    return true;
  }
  const auto step = std::min(exits_in_trials(record), trial_intervals.size() - 1);
  return now - record.last_exit_at() >= trial_intervals[step];
}

std::size_t quarantine_judge::exits_in_trials(const crash_record& record) const {
  std::vector<base::time_point> times;
  for (const auto& observation : record.exits) {
    times.push_back(observation.at);
  }
  std::sort(times.begin(), times.end());
  std::size_t in_trials = 0;
  for (auto index = assessor_->base_requirement(record); index < times.size(); ++index) {
    in_trials += times[index] - times[index - 1] >= min_trial_interval ? 1 : 0;
  }
  return in_trials;
}

/// A request with more exits than `quarantine_with_unrelated_exits` was tried again after its first
/// quarantine and crashed a replica again, so its next quarantine lasts longer.
base::duration quarantine_judge::quarantine_duration(std::size_t exits) const {
  return exits > limits_.quarantine_with_unrelated_exits ? quarantine_record_lifetime
                                                         : first_quarantine_duration;
}

bool quarantine_judge::is_expired(const crash_record& record, base::time_point now) const {
  if (!record.suspected.empty()) {
    return false;
  }
  const bool was_quarantined = record.exits.size() >= assessor_->base_requirement(record);
  if (!was_quarantined && record.exits.empty()) {
    return now - record.last_update_at() >= cleared_record_lifetime;
  }
  return now - record.last_update_at() >=
         (was_quarantined ? quarantine_record_lifetime : short_record_lifetime);
}

} // namespace spurrack::quarantine
