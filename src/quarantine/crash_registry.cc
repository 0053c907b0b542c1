#include "quarantine/crash_registry.h"

#include <algorithm>

namespace spurrack::quarantine {
namespace {

/// Maximum number of exits in one record; more exits would not change the quarantine state.
constexpr std::size_t max_exits_per_record = 12;

} // namespace

registry_change crash_registry::add(crash_record& record,
                                    const std::vector<exit_observation>& observations,
                                    base::time_point now) {
  registry_change change;
  const bool was_quarantined = judge_.state_of(record, now) == quarantine_state::quarantined;
  change.is_refuted = !observations.empty() && record.survived_at.has_value();
  for (auto observation : observations) {
    const bool is_refuted = record.survived_at && observation.at <= *record.survived_at;
    change.is_refuted = change.is_refuted && is_refuted;
    if (is_refuted || exits_.is_withdrawn(observation)) {
      continue;
    }
    observation.process = exits_.add(observation);
    if (exits_.is_overrun(observation.key()) || record.contains(observation.key())) {
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
              observation.at >= suspicion->second.silent_since - exit_index::report_time_error);
    });
    change.has_new_information = true;
    records_.note_exits_changed();
  }
  record.was_broadcast = record.was_broadcast || record.exits.size() >= limits_.single_attempt;
  change.begins_quarantine =
      !was_quarantined && judge_.state_of(record, now) == quarantine_state::quarantined;
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
  auto& record = records_.find_or_create(subject);
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
    for (auto& [digest, record] : records_.all()) {
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
  for (auto& [digest, record] : records_.all()) {
    std::size_t removed = 0;
    for (const auto& key : keys) {
      removed += record.suspected.erase(key);
    }
    if (removed > 0) {
      changed.push_back(digest);
    }
  }
  records_.remove_if([](const crash_record& record) {
    return record.exits.empty() && record.suspected.empty() && !record.survived_at;
  });
  return changed;
}

registry_change crash_registry::note_exit(const suspect& subject,
                                          const exit_observation& observation,
                                          base::time_point now) {
  return add(records_.find_or_create(subject), {observation}, now);
}

bool crash_registry::note_survived(const suspect_digest& digest, base::time_point now) {
  auto* const record = records_.find(digest);
  if (record == nullptr) {
    return false;
  }
  const bool had_exits = record->possible_exits() > 0;
  record->exits.clear();
  std::erase_if(record->suspected, [&](const exit_key& key) {
    const auto suspicion = suspected_.all().find(key);
    return suspicion == suspected_.all().end() || suspicion->second.silent_since <= now;
  });
  record->was_suspected = !record->suspected.empty();
  record->survived_at = now;
  records_.note_exits_changed();
  return had_exits;
}

bool crash_registry::release(const suspect_digest& digest, base::time_point now) {
  return note_survived(digest, now);
}

registry_change crash_registry::merge(const crash_record& received, base::time_point now) {
  if (received.exits.empty() && records_.find(received.digest) == nullptr) {
    return {};
  }
  auto& record = records_.find_or_create({received.digest, received.kind});
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
    records_.note_exits_changed();
  }
  auto change = add(record, received.exits, now);
  const bool is_suspicion_refuted = record.survived_at && record.exits.empty();
  record.was_suspected = record.was_suspected || (received.was_suspected && !is_suspicion_refuted);
  change.has_new_information = change.has_new_information || is_cleared;
  return change;
}

void crash_registry::merge_exits(const std::vector<exit_observation>& received,
                                 base::time_point now) {
  exits_.add_recent(received, now);
}

std::vector<exit_observation> crash_registry::latest_exits(std::size_t most,
                                                           base::time_point now) const {
  return exits_.latest(most, now);
}

bool crash_registry::withdraw(replica_exit exit, base::time_point now) {
  if (!exits_.withdraw(exit, now)) {
    return false;
  }
  records_.note_exits_changed();
  for (auto& [digest, record] : records_.all()) {
    std::erase_if(record.exits,
                  [&](const exit_observation& observation) { return observation.exit == exit; });
  }
  return true;
}

bool crash_registry::mark_overrun(const exit_key& exit) {
  if (!exits_.mark_overrun(exit)) {
    return false;
  }
  records_.note_exits_changed();
  std::size_t removed = 0;
  for (auto& [digest, record] : records_.all()) {
    removed += std::erase_if(record.exits, [&](const exit_observation& observation) {
      return observation.key() == exit;
    });
  }
  return removed > 0;
}

std::optional<base::time_point> crash_registry::exit_time_of(replica_exit exit) const {
  return exits_.exit_time_of(exit);
}

quarantine_state crash_registry::quarantine_state_of(const suspect_digest& digest,
                                                     base::time_point now) const {
  const auto* record = find(digest);
  return record == nullptr ? quarantine_state::unrestricted : judge_.state_of(*record, now);
}

request_judgement crash_registry::judge(const std::vector<suspect>& suspects,
                                        base::time_point now) const {
  return judge_.judge(suspects, now);
}

bool crash_registry::is_trial_due(const crash_record& record, base::time_point now) const {
  return judge_.is_trial_due(record, now);
}

bool crash_registry::is_held(const crash_record& record) const {
  return judge_.is_held(record);
}

std::size_t crash_registry::counted_exits_of(const suspect_digest& digest) const {
  const auto* record = find(digest);
  return record == nullptr ? 0 : assessor_.counted_exits(*record);
}

std::size_t crash_registry::possible_exits_of(const suspect_digest& digest) const {
  const auto* record = find(digest);
  return record == nullptr ? 0 : assessor_.counted_exits(*record) + record->suspected.size();
}

exit_assessment crash_registry::assess(const suspect_digest& digest) const {
  const auto* record = find(digest);
  return record == nullptr ? exit_assessment{} : assessor_.assess(*record);
}

void crash_registry::note_refused(const suspect_digest& digest, base::time_point now) {
  if (auto* const record = records_.find(digest)) {
    record->last_refused_at = now;
  }
}

void crash_registry::expire(base::time_point now) {
  forget_suspected(suspected_.take_expired(now));
  records_.remove_if([&](const crash_record& record) { return judge_.is_expired(record, now); });
  exits_.expire(now);
}

} // namespace spurrack::quarantine
