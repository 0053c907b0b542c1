#include "quarantine/crash_registry.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace spurrack::quarantine {
namespace {

/// Lifetime of a record with too few exits for quarantine, counted from the last update of the
/// record. Also lifetime of an indexed exit, counted from the exit, and of a withdrawn exit,
/// counted from its withdrawal. A client sends a request again within seconds, a scheduled job
/// within minutes.
constexpr base::duration short_record_lifetime = std::chrono::minutes(10);
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
/// Exits under one request count at most so many times in the record of a prompt part: if the same
/// request is sent again and again, the request is the likely cause, and it has a record itself.
constexpr std::size_t max_exits_per_request = 3;
/// Minimum time between an exit under a quarantined prompt part and the next trial of the part: all
/// nodes learn of the quarantine before.
constexpr base::duration min_trial_interval = std::chrono::milliseconds(3'200);
/// Time from the latest exit to the first trial in quarantine, and to the next one after each trial
/// that ended with an exit.
constexpr std::array<base::duration, 4> trial_intervals{
    min_trial_interval, std::chrono::minutes(1), std::chrono::minutes(10), std::chrono::hours(1)};
/// Share of the records of a full registry that are ranked at once, so that not each eviction looks
/// at all records.
constexpr std::size_t ranked_fraction = 8;
/// Maximum number of exits in one record; more exits would not change the quarantine state.
constexpr std::size_t max_exits_per_record = 12;
/// Maximum number of withdrawn exits that are kept; a further withdrawal evicts the exit that was
/// withdrawn first.
constexpr std::size_t max_withdrawn_exits = 64;

/// An exit is recent up to this age. Recent exits of replicas that did not run a request raise the
/// number of exits at which the request is quarantined. This age suffices, since a crashing request
/// that is sent repeatedly has crashed replicas within it. Exits that are not recent are sent to
/// other nodes, and accepted from them, only as parts of records.
constexpr base::duration recent_exit_window = std::chrono::seconds(30);

/// Maximum number of indexed exits, to limit memory: enough for 30 exits per second over 30 s.
constexpr std::size_t max_indexed_exits = 1024;

/// Time from the first suspected exit under a request to its first trial: the nodes that run the
/// request meanwhile learn of the suspicion and answer it, over the longest path between regions.
constexpr base::duration first_trial_delay = std::chrono::milliseconds(250);

/// Time after the last but one exit before quarantine in which trials of a request follow one
/// another. Later, all nodes in contact know of the exits, and the next trial waits longer.
constexpr base::duration prompt_trial_time = std::chrono::milliseconds(2'500);
constexpr base::duration paused_trial_interval = std::chrono::minutes(1);

/// Maximum error of a time that another node reported: the delay of its message. A call that seems
/// to have begun less than this time after an exit may have begun before it.
constexpr base::duration report_time_error = std::chrono::milliseconds(200);

/// Withdrawn exits, with the times at which their replicas were found to be running.
using withdrawn_exit_times = std::map<replica_exit, base::time_point>;

/// @return whether the observed exit was withdrawn; false if the incarnation exited only after the
///         withdrawal, since that is a new exit.
bool is_withdrawn_exit(const withdrawn_exit_times& withdrawn, const exit_observation& observation) {
  const auto found = withdrawn.find(observation.exit);
  return found != withdrawn.end() && observation.at <= found->second;
}

bool contains_exit(const crash_record& record, const exit_key& exit) {
  return std::any_of(record.exits.begin(), record.exits.end(),
                     [&](const exit_observation& known) { return known.key() == exit; });
}

} // namespace

base::time_point crash_record::last_exit_at() const {
  base::time_point latest{};
  for (const auto& observation : exits) {
    latest = std::max(latest, observation.at);
  }
  return latest;
}

base::time_point crash_record::last_update_at() const {
  const auto latest_suspicion_at = suspected.empty() ? base::time_point{} : suspected_at;
  return std::max({last_exit_at(), survived_at.value_or(base::time_point{}), last_refused_at,
                   latest_suspicion_at});
}

crash_record& crash_registry::record_of(const suspect& subject) {
  const auto found = records_.find(subject.digest);
  if (found != records_.end()) {
    return found->second;
  }
  evict_record_with_fewest_exits();
  auto& record = records_[subject.digest];
  record.digest = subject.digest;
  record.kind = subject.kind;
  return record;
}

void crash_registry::evict_record_with_fewest_exits() {
  if (records_.size() < max_records) {
    return;
  }
  while (!next_evicted_.empty()) {
    const auto digest = next_evicted_.back();
    next_evicted_.pop_back();
    const auto found = records_.find(digest);
    if (found != records_.end() && found->second.possible_exits() <= 1) {
      erase_record(found);
      return;
    }
  }
  using rank = std::tuple<std::size_t, base::time_point, suspect_digest>;
  std::vector<rank> ranked;
  ranked.reserve(records_.size());
  for (const auto& [digest, record] : records_) {
    ranked.emplace_back(record.possible_exits(), record.last_update_at(), digest);
  }
  const auto end = ranked.begin() + max_records / ranked_fraction;
  std::partial_sort(ranked.begin(), end, ranked.end());
  // The first one is evicted now; the others with at most one exit are next, in this order.
  for (auto next = std::prev(end); next != ranked.begin(); --next) {
    if (std::get<std::size_t>(*next) <= 1) {
      next_evicted_.push_back(std::get<suspect_digest>(*next));
    }
  }
  erase_record(records_.find(std::get<suspect_digest>(ranked.front())));
}

void crash_registry::erase_record(std::map<suspect_digest, crash_record>::iterator record) {
  records_.erase(record);
  explanations_are_stale_ = true;
}

std::uint32_t crash_registry::index_exit(const exit_observation& observation) {
  std::uint32_t next_process = 0;
  for (auto known = exits_.lower_bound({observation.exit, 0});
       known != exits_.end() && known->first.first == observation.exit; ++known) {
    auto& [at, call_started_at, replica, is_overrun] = known->second;
    if (!observation.is_timed()) {
      return known->first.second;
    }
    if (call_started_at == base::time_point{}) {
      known->second = {observation.at, observation.call_started_at, observation.replica,
                       is_overrun};
      return known->first.second;
    }
    const bool began_later = observation.call_started_at > at + report_time_error;
    const bool ended_earlier = observation.at + report_time_error < call_started_at;
    if (!began_later && !ended_earlier) {
      at = std::min(at, observation.at);
      call_started_at = std::max(call_started_at, observation.call_started_at);
      return known->first.second;
    }
    next_process = known->first.second + 1;
  }
  if (exits_.size() < max_indexed_exits) {
    exits_[{observation.exit, next_process}] = {observation.at, observation.call_started_at,
                                                observation.replica, false};
  }
  return next_process;
}

void crash_registry::merge_exits(const std::vector<exit_observation>& received,
                                 base::time_point now) {
  for (const auto& observation : received) {
    const bool is_recent = now - observation.at < recent_exit_window;
    if (is_recent && !is_withdrawn_exit(withdrawn_exits_, observation)) {
      index_exit(observation);
    }
  }
}

std::vector<exit_observation> crash_registry::latest_exits(std::size_t most,
                                                           base::time_point now) const {
  std::vector<exit_observation> latest;
  for (const auto& [key, known] : exits_) {
    if (now - known.at < recent_exit_window) {
      latest.push_back({key.first, known.at, known.replica, known.call_started_at, key.second});
    }
  }
  std::sort(latest.begin(), latest.end(),
            [](const auto& left, const auto& right) { return left.at > right.at; });
  latest.resize(std::min(latest.size(), most));
  return latest;
}

registry_change crash_registry::add(crash_record& record,
                                    const std::vector<exit_observation>& observations,
                                    base::time_point now) {
  registry_change change;
  const bool was_quarantined = quarantine_state_of(record, now) == quarantine_state::quarantined;
  change.is_refuted = !observations.empty() && record.survived_at.has_value();
  for (auto observation : observations) {
    const bool is_refuted = record.survived_at && observation.at <= *record.survived_at;
    change.is_refuted = change.is_refuted && is_refuted;
    if (is_refuted || is_withdrawn_exit(withdrawn_exits_, observation)) {
      continue;
    }
    observation.process = index_exit(observation);
    const auto known = exits_.find(observation.key());
    const bool is_overrun = known != exits_.end() && known->second.is_overrun;
    if (is_overrun || contains_exit(record, observation.key())) {
      continue;
    }
    if (record.exits.size() == max_exits_per_record) {
      break;
    }
    record.exits.push_back(observation);
    std::erase_if(record.suspected, [&](const exit_key& key) {
      const auto suspicion = suspected_.all().find(key);
      return key.first == observation.exit &&
             (suspicion == suspected_.all().end() ||
              observation.at >= suspicion->second.silent_since - report_time_error);
    });
    change.has_new_information = true;
    explanations_are_stale_ = true;
  }
  record.was_broadcast = record.was_broadcast || record.exits.size() >= limits_.single_attempt;
  change.begins_quarantine =
      !was_quarantined && quarantine_state_of(record, now) == quarantine_state::quarantined;
  return change;
}

registry_change crash_registry::note_suspected(const suspect& subject,
                                               const suspected_exit& suspicion) {
  registry_change change;
  if (const auto* known = find(subject.digest);
      known != nullptr && known->survived_at && suspicion.silent_since <= *known->survived_at) {
    change.is_refuted = true;
    return change;
  }
  const auto is_proven = [&](const crash_record& record) {
    return std::any_of(record.exits.begin(), record.exits.end(), [&](const auto& observation) {
      return observation.exit == suspicion.exit && observation.at >= suspicion.silent_since;
    });
  };
  const auto* known = find(subject.digest);
  if (known != nullptr && is_proven(*known)) {
    return change;
  }
  const auto key = suspected_.add(suspicion);
  if (!key) {
    return change;
  }
  auto& record = record_of(subject);
  if (record.suspected.empty()) {
    record.suspected_at = suspicion.noted_at;
  }
  change.has_new_information = record.suspected.insert(*key).second;
  record.was_suspected = true;
  record.was_broadcast = true;
  return change;
}

std::vector<std::pair<suspect_digest, registry_change>>
crash_registry::prove_suspected(replica_exit exit, std::optional<base::time_point> exited_at,
                                base::time_point now) {
  std::vector<std::pair<suspect_digest, registry_change>> changes;
  for (const auto& [key, suspicion] : suspected_.take(exit, exited_at)) {
    for (auto& [digest, record] : records_) {
      if (record.suspected.erase(key) > 0) {
        const exit_observation proven{exit, suspicion.silent_since, suspicion.replica,
                                      suspicion.call_started_at};
        changes.emplace_back(digest, add(record, {proven}, now));
      }
    }
  }
  return changes;
}

std::vector<suspect_digest> crash_registry::disprove_suspected(const disproved_exit& disproved) {
  return forget_suspected(suspected_.disprove(disproved));
}

std::vector<suspect_digest> crash_registry::forget_suspected(const std::vector<exit_key>& keys) {
  std::vector<suspect_digest> changed;
  if (keys.empty()) {
    return changed;
  }
  for (auto& [digest, record] : records_) {
    std::size_t removed = 0;
    for (const auto& key : keys) {
      removed += record.suspected.erase(key);
    }
    if (removed > 0) {
      changed.push_back(digest);
    }
  }
  std::erase_if(records_, [](const auto& entry) {
    const auto& record = entry.second;
    return record.exits.empty() && record.suspected.empty() && !record.survived_at;
  });
  return changed;
}

registry_change crash_registry::note_exit(const suspect& subject,
                                          const exit_observation& observation,
                                          base::time_point now) {
  return add(record_of(subject), {observation}, now);
}

bool crash_registry::note_survived(const suspect_digest& digest, base::time_point now) {
  const auto found = records_.find(digest);
  if (found == records_.end()) {
    return false;
  }
  auto& record = found->second;
  const bool had_exits = !record.exits.empty() || !record.suspected.empty();
  record.exits.clear();
  std::erase_if(record.suspected, [&](const exit_key& key) {
    const auto suspicion = suspected_.all().find(key);
    return suspicion == suspected_.all().end() || suspicion->second.silent_since <= now;
  });
  record.was_suspected = !record.suspected.empty();
  record.survived_at = now;
  explanations_are_stale_ = true;
  return had_exits;
}

bool crash_registry::release(const suspect_digest& digest, base::time_point now) {
  return note_survived(digest, now);
}

registry_change crash_registry::merge(const crash_record& received, base::time_point now) {
  if (received.exits.empty() && !records_.contains(received.digest)) {
    return {};
  }
  auto& record = record_of({received.digest, received.kind});
  bool is_cleared = false;
  if (received.survived_at && received.survived_at > record.survived_at) {
    record.survived_at = received.survived_at;
    is_cleared = std::erase_if(record.exits, [&](const exit_observation& observation) {
                   return observation.at <= *record.survived_at;
                 }) > 0;
    is_cleared = std::erase_if(record.suspected,
                               [&](const exit_key& key) {
                                 const auto suspicion = suspected_.all().find(key);
                                 return suspicion == suspected_.all().end() ||
                                        suspicion->second.silent_since <= *record.survived_at;
                               }) > 0 ||
                 is_cleared;
    record.was_suspected = !record.suspected.empty();
    explanations_are_stale_ = true;
  }
  auto change = add(record, received.exits, now);
  const bool is_suspicion_refuted = record.survived_at && record.exits.empty();
  record.was_suspected = record.was_suspected || (received.was_suspected && !is_suspicion_refuted);
  change.has_new_information = change.has_new_information || is_cleared;
  return change;
}

bool crash_registry::withdraw(replica_exit exit, base::time_point now) {
  const auto erased =
      std::erase_if(exits_, [&](const auto& entry) { return entry.first.first == exit; });
  if (erased == 0) {
    return false;
  }
  if (withdrawn_exits_.size() == max_withdrawn_exits) {
    withdrawn_exits_.erase(std::min_element(
        withdrawn_exits_.begin(), withdrawn_exits_.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; }));
  }
  withdrawn_exits_[exit] = now;
  explanations_are_stale_ = true;
  for (auto& [digest, record] : records_) {
    std::erase_if(record.exits,
                  [&](const exit_observation& observation) { return observation.exit == exit; });
  }
  return true;
}

bool crash_registry::mark_overrun(const exit_key& exit) {
  const auto found = exits_.find(exit);
  if (found == exits_.end() || std::exchange(found->second.is_overrun, true)) {
    return false;
  }
  explanations_are_stale_ = true;
  std::size_t removed = 0;
  for (auto& [digest, record] : records_) {
    removed += std::erase_if(record.exits, [&](const exit_observation& observation) {
      return observation.key() == exit;
    });
  }
  return removed > 0;
}

std::optional<base::time_point> crash_registry::exit_time_of(replica_exit exit) const {
  std::optional<base::time_point> latest;
  for (auto known = exits_.lower_bound({exit, 0});
       known != exits_.end() && known->first.first == exit; ++known) {
    latest = std::max(latest.value_or(known->second.at), known->second.at);
  }
  return latest;
}

const crash_record* crash_registry::find(const suspect_digest& digest) const {
  const auto found = records_.find(digest);
  return found == records_.end() ? nullptr : &found->second;
}

std::size_t crash_registry::counted_exits_of(const suspect_digest& digest) const {
  const auto* record = find(digest);
  return record == nullptr ? 0 : counted_exits(*record);
}

exit_assessment crash_registry::assess(const suspect_digest& digest) const {
  exit_assessment judged;
  const auto* record = find(digest);
  if (record == nullptr) {
    return judged;
  }
  judged.suspected = record->suspected.size();
  if (record->exits.empty()) {
    judged.required = base_requirement(*record);
    return judged;
  }
  judged.recorded = record->exits.size();
  const auto own_exits = distinct_exits(*record);
  judged.explained = static_cast<std::size_t>(std::count_if(
      record->exits.begin(), record->exits.end(), [&](const exit_observation& observation) {
        return is_explained(observation.key(), own_exits);
      }));
  judged.counted = counted_exits(*record);
  judged.required = exits_required(*record);
  return judged;
}

std::string exit_assessment::text() const {
  return std::to_string(counted) + " of " + std::to_string(recorded) + " exits count, " +
         std::to_string(suspected) + " suspected, " + std::to_string(explained) +
         " explained by other requests, " + std::to_string(required) + " required for quarantine";
}

void crash_registry::update_explanations() const {
  explanations_are_stale_ = false;
  explaining_exit_counts_.clear();
  for (const auto& [digest, record] : records_) {
    const auto distinct = distinct_exits(record);
    if (distinct < base_requirement(record)) {
      continue;
    }
    for (const auto& observation : record.exits) {
      auto& most = explaining_exit_counts_[observation.key()];
      most = std::max(most, distinct);
    }
  }
}

bool crash_registry::is_explained(const exit_key& exit, std::size_t own_exits) const {
  if (explanations_are_stale_) {
    update_explanations();
  }
  const auto found = explaining_exit_counts_.find(exit);
  return found != explaining_exit_counts_.end() && found->second > own_exits;
}

std::size_t crash_registry::distinct_exits(const crash_record& record) {
  if (record.kind == suspect_kind::request) {
    return record.exits.size();
  }
  std::map<std::uint64_t, std::size_t> exits_by_request;
  for (const auto& observation : record.exits) {
    ++exits_by_request[observation.request];
  }
  std::size_t distinct = 0;
  for (const auto& [request, exits] : exits_by_request) {
    distinct += std::min(exits, max_exits_per_request);
  }
  return distinct;
}

std::size_t crash_registry::base_requirement(const crash_record& record) const {
  return record.kind == suspect_kind::request ? limits_.quarantine : limits_.prompt_part_quarantine;
}

/// A harmless request may have exits in common with a crashing request: up to 128 requests run at a
/// replica at the same time, and requests that are retried after an exit may reach the next replica
/// together with the crashing request. So an exit is not counted if another request explains it,
/// that is, has this exit and more exits in total (`is_explained`). But if two or more exits in
/// `record` remain unexplained, the request of `record` probably causes exits as well, and all its
/// exits are counted.
std::size_t crash_registry::counted_exits(const crash_record& record) const {
  const auto all = distinct_exits(record);
  if (all < limits_.single_attempt) {
    return all;
  }
  const auto unexplained = static_cast<std::size_t>(std::count_if(
      record.exits.begin(), record.exits.end(),
      [&](const exit_observation& observation) { return !is_explained(observation.key(), all); }));
  return unexplained < limits_.single_attempt ? unexplained : all;
}

bool crash_registry::has_indistinguishable_record(const crash_record& record) const {
  return std::any_of(records_.begin(), records_.end(), [&](const auto& entry) {
    const auto& other = entry.second;
    return other.kind == record.kind && other.digest != record.digest &&
           other.exits.size() == record.exits.size() &&
           std::all_of(record.exits.begin(), record.exits.end(),
                       [&](const exit_observation& observation) {
                         return contains_exit(other, observation.key());
                       });
  });
}

std::size_t crash_registry::exits_required(const crash_record& record) const {
  std::size_t unrelated_exits = 0;
  const auto own_exits = distinct_exits(record);
  // Exits after the last one under the request do not show that it was a coincidence: a request
  // that is quarantined stays quarantined, whatever happens to other replicas meanwhile.
  const auto last_exit_at = record.last_exit_at();
  for (const auto& [exit, known] : exits_) {
    const bool is_recent = last_exit_at - known.at < recent_exit_window &&
                           known.at <= last_exit_at && !known.is_overrun;
    unrelated_exits +=
        is_recent && !contains_exit(record, exit) && !is_explained(exit, own_exits) ? 1 : 0;
  }
  if (record.kind == suspect_kind::prompt_part) {
    const bool are_many = unrelated_exits >= limits_.many_unrelated_exits * record.exits.size();
    return limits_.prompt_part_quarantine + (are_many ? 1 : 0);
  }
  const auto additional = 2 * unrelated_exits / record.exits.size();
  return std::min(limits_.quarantine + additional, limits_.quarantine_with_unrelated_exits);
}

quarantine_state crash_registry::quarantine_state_of(const crash_record& record,
                                                     base::time_point now) const {
  const auto counted = counted_exits(record);
  if (counted < limits_.single_attempt) {
    return record.suspected.empty() ? quarantine_state::unrestricted
                                    : quarantine_state::single_attempt;
  }
  const bool is_undecided = record.kind == suspect_kind::request &&
                            counted < limits_.quarantine_with_unrelated_exits &&
                            has_indistinguishable_record(record);
  const bool may_be_tried = counted < base_requirement(record) ||
                            counted < exits_required(record) || is_undecided ||
                            now - record.last_update_at() >= quarantine_duration(counted);
  return may_be_tried ? quarantine_state::single_attempt : quarantine_state::quarantined;
}

request_judgement crash_registry::judge(const std::vector<suspect>& suspects,
                                        base::time_point now) const {
  request_judgement judgement;
  std::size_t quarantined_suspects = 0;
  // A part goes before a request in the same state, since it may be tried; then the most exits.
  using rank = std::tuple<quarantine_state, suspect_kind, std::size_t>;
  rank highest{quarantine_state::unrestricted, suspect_kind::prompt_part, 0};
  for (const auto& subject : suspects) {
    const auto* record = find(subject.digest);
    if (record == nullptr) {
      continue;
    }
    const auto state = quarantine_state_of(*record, now);
    quarantined_suspects += state == quarantine_state::quarantined ? 1 : 0;
    const rank own{state, subject.kind, distinct_exits(*record)};
    if (state != quarantine_state::unrestricted && own > highest) {
      judgement = {state, &subject};
      highest = own;
    }
  }
  if (judgement.reason == nullptr) {
    return judgement;
  }
  const bool is_whole_request = judgement.reason->kind == suspect_kind::request;
  if (is_whole_request) {
    const auto& record = *find(judgement.reason->digest);
    judgement.is_held = is_held(record) || is_paused(record, now);
  }
  judgement.needs_trial = is_whole_request ? judgement.state == quarantine_state::single_attempt &&
                                                 !judgement.is_held &&
                                                 find(judgement.reason->digest)->was_suspected
                                           : quarantined_suspects <= 1;
  return judgement;
}

bool crash_registry::is_held(const crash_record& record) const {
  if (record.suspected.empty()) {
    return false;
  }
  const auto required = record.exits.empty() ? base_requirement(record) : exits_required(record);
  return counted_exits(record) + record.suspected.size() >= required;
}

std::size_t crash_registry::possible_exits_of(const suspect_digest& digest) const {
  const auto* record = find(digest);
  return record == nullptr ? 0 : counted_exits(*record) + record->suspected.size();
}

std::vector<base::time_point>
crash_registry::possible_exit_times(const crash_record& record) const {
  std::vector<base::time_point> times;
  for (const auto& observation : record.exits) {
    times.push_back(observation.at);
  }
  for (const auto& key : record.suspected) {
    if (const auto found = suspected_.all().find(key); found != suspected_.all().end()) {
      times.push_back(found->second.silent_since);
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

bool crash_registry::is_paused(const crash_record& record, base::time_point now) const {
  if (!record.was_suspected) {
    return false;
  }
  const auto times = possible_exit_times(record);
  const auto possible = counted_exits(record) + record.suspected.size();
  if (std::min(possible, times.size()) + 1 < limits_.quarantine) {
    return false;
  }
  const auto known_at = times[limits_.quarantine - 2] + prompt_trial_time;
  return now >= known_at && now - times.back() < paused_trial_interval;
}

bool crash_registry::is_trial_due(const crash_record& record, base::time_point now) const {
  if (record.kind == suspect_kind::request) {
    const bool is_settled =
        record.suspected.empty() || now - record.suspected_at >= first_trial_delay;
    return is_settled && !is_held(record) && !is_paused(record, now) &&
           quarantine_state_of(record, now) != quarantine_state::quarantined;
  }
  if (quarantine_state_of(record, now) != quarantine_state::quarantined) {
    return true;
  }
  const auto step = std::min(exits_in_trials(record), trial_intervals.size() - 1);
  return now - record.last_exit_at() >= trial_intervals[step];
}

std::size_t crash_registry::exits_in_trials(const crash_record& record) const {
  std::vector<base::time_point> times;
  for (const auto& observation : record.exits) {
    times.push_back(observation.at);
  }
  std::sort(times.begin(), times.end());
  std::size_t in_trials = 0;
  for (auto index = base_requirement(record); index < times.size(); ++index) {
    in_trials += times[index] - times[index - 1] >= min_trial_interval ? 1 : 0;
  }
  return in_trials;
}

quarantine_state crash_registry::quarantine_state_of(const suspect_digest& digest,
                                                     base::time_point now) const {
  const auto* record = find(digest);
  return record == nullptr ? quarantine_state::unrestricted : quarantine_state_of(*record, now);
}

void crash_registry::note_refused(const suspect_digest& digest, base::time_point now) {
  const auto found = records_.find(digest);
  if (found != records_.end()) {
    found->second.last_refused_at = now;
  }
}

/// A request with more exits than `quarantine_with_unrelated_exits` was tried again after its first
/// quarantine and crashed a replica again, so its next quarantine lasts longer.
base::duration crash_registry::quarantine_duration(std::size_t exits) const {
  return exits > limits_.quarantine_with_unrelated_exits ? quarantine_record_lifetime
                                                         : first_quarantine_duration;
}

bool crash_registry::is_expired(const crash_record& record, base::time_point now) const {
  if (!record.suspected.empty()) {
    return false;
  }
  const bool was_quarantined = record.exits.size() >= base_requirement(record);
  if (!was_quarantined && record.exits.empty()) {
    return now - record.last_update_at() >= cleared_record_lifetime;
  }
  return now - record.last_update_at() >=
         (was_quarantined ? quarantine_record_lifetime : short_record_lifetime);
}

void crash_registry::expire(base::time_point now) {
  forget_suspected(suspected_.take_expired(now));
  const auto forgotten =
      std::erase_if(records_, [&](const auto& entry) { return is_expired(entry.second, now); });
  explanations_are_stale_ = explanations_are_stale_ || forgotten > 0;
  std::erase_if(exits_,
                [&](const auto& entry) { return now - entry.second.at >= short_record_lifetime; });
  std::erase_if(withdrawn_exits_,
                [&](const auto& entry) { return now - entry.second >= short_record_lifetime; });
}

} // namespace spurrack::quarantine
