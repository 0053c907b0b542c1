#include "quarantine/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace spurrack::quarantine {
namespace {

/// A request with fewer ends than quarantine takes is free again after this time without another:
/// callers retry within seconds, jobs that are scheduled within minutes.
constexpr base::duration suspicion_lifetime = std::chrono::minutes(10);
/// A request that is held back may be tried once more when its caller has been away this long: by
/// then whoever runs the replicas may have mended them.
constexpr base::duration first_hold = std::chrono::hours(1);
/// What is known of a request that was held back is forgotten this long after it last came or a
/// replica last ended under it.
constexpr base::duration quarantine_memory = std::chrono::hours(24);
/// Ends kept of one request; more would not change how it is treated.
constexpr std::size_t most_ends = 12;
/// Lives heard after they were taken for over; the oldest gives way.
constexpr std::size_t most_alive = 64;

/// Ends that this long ago are not compared with those under one request: a request that comes
/// again has shown what it does by then.
constexpr base::duration comparison_time = std::chrono::seconds(30);

/// Ends that are remembered beside the records; a bound on memory, 30 a second for 30 s.
constexpr std::size_t most_indexed_ends = 1024;

/// Lives that were taken for over and were heard since, and when.
using heard_lives = std::map<replica_end, base::time_point>;

/// @return whether the life was heard after it seemed to end. It may end later all the same.
bool was_heard_since(const heard_lives& alive, const end_sighting& seen) {
  const auto found = alive.find(seen.end);
  return found != alive.end() && seen.at <= found->second;
}

bool knows(const crash_record& record, replica_end end) {
  return std::any_of(record.ends.begin(), record.ends.end(),
                     [&](const end_sighting& known) { return known.end == end; });
}

} // namespace

base::time_point crash_record::newest_end() const {
  base::time_point latest{};
  for (const auto& seen : ends) {
    latest = std::max(latest, seen.at);
  }
  return latest;
}

base::time_point crash_record::newest() const {
  return std::max({newest_end(), survived_at.value_or(base::time_point{}), asked_at});
}

crash_record& crash_ledger::record_of(const request_digest& digest) {
  const auto found = records_.find(digest);
  if (found != records_.end()) {
    return found->second;
  }
  make_room();
  auto& record = records_[digest];
  record.digest = digest;
  return record;
}

void crash_ledger::make_room() {
  if (records_.size() < most_records) {
    return;
  }
  const auto least =
      std::min_element(records_.begin(), records_.end(), [](const auto& left, const auto& right) {
        return std::pair(left.second.ends.size(), left.second.newest()) <
               std::pair(right.second.ends.size(), right.second.newest());
      });
  records_.erase(least);
  explanations_are_stale_ = true;
}

void crash_ledger::merge_ends(const std::vector<end_sighting>& told, base::time_point now) {
  for (const auto& one : told) {
    const bool is_recent = now - one.at < comparison_time;
    if (is_recent && !was_heard_since(alive_, one) && ends_.size() < most_indexed_ends) {
      ends_.try_emplace(one.end, one.at);
    }
  }
}

std::vector<end_sighting> crash_ledger::latest_ends(std::size_t most, base::time_point now) const {
  std::vector<end_sighting> latest;
  for (const auto& [end, at] : ends_) {
    if (now - at < comparison_time) {
      latest.push_back({end, at});
    }
  }
  std::sort(latest.begin(), latest.end(),
            [](const auto& left, const auto& right) { return left.at > right.at; });
  latest.resize(std::min(latest.size(), most));
  return latest;
}

ledger_change crash_ledger::add(crash_record& record, const std::vector<end_sighting>& seen,
                                base::time_point now) {
  ledger_change change;
  const bool was_held_back = standing_of(record, now) == standing::held_back;
  change.is_refuted = !seen.empty() && record.survived_at.has_value();
  for (const auto& one : seen) {
    const bool is_refuted = record.survived_at && one.at <= *record.survived_at;
    change.is_refuted = change.is_refuted && is_refuted;
    if (is_refuted || knows(record, one.end) || was_heard_since(alive_, one)) {
      continue;
    }
    if (record.ends.size() == most_ends) {
      break;
    }
    record.ends.push_back(one);
    if (ends_.size() < most_indexed_ends) {
      ends_.try_emplace(one.end, one.at);
    }
    change.is_news = true;
    explanations_are_stale_ = true;
  }
  record.was_shared = record.was_shared || record.ends.size() >= limits_.one_attempt;
  change.begins_quarantine = !was_held_back && standing_of(record, now) == standing::held_back;
  return change;
}

ledger_change crash_ledger::note_end(const request_digest& digest, const end_sighting& seen,
                                     base::time_point now) {
  return add(record_of(digest), {seen}, now);
}

bool crash_ledger::note_survived(const request_digest& digest, base::time_point now) {
  const auto found = records_.find(digest);
  if (found == records_.end()) {
    return false;
  }
  auto& record = found->second;
  const bool had_ends = !record.ends.empty();
  record.ends.clear();
  record.survived_at = now;
  explanations_are_stale_ = true;
  return had_ends;
}

bool crash_ledger::release(const request_digest& digest, base::time_point now) {
  return note_survived(digest, now);
}

ledger_change crash_ledger::merge(const crash_record& told, base::time_point now) {
  if (told.ends.empty() && !records_.contains(told.digest)) {
    return {};
  }
  auto& record = record_of(told.digest);
  bool is_cleared = false;
  if (told.survived_at && told.survived_at > record.survived_at) {
    record.survived_at = told.survived_at;
    is_cleared = std::erase_if(record.ends, [&](const end_sighting& seen) {
                   return seen.at <= *record.survived_at;
                 }) > 0;
    explanations_are_stale_ = true;
  }
  auto change = add(record, told.ends, now);
  change.is_news = change.is_news || is_cleared;
  return change;
}

bool crash_ledger::withdraw(replica_end end, base::time_point now) {
  if (ends_.erase(end) == 0) {
    return false;
  }
  if (alive_.size() == most_alive) {
    alive_.erase(
        std::min_element(alive_.begin(), alive_.end(), [](const auto& left, const auto& right) {
          return left.second < right.second;
        }));
  }
  alive_[end] = now;
  explanations_are_stale_ = true;
  for (auto& [digest, record] : records_) {
    std::erase_if(record.ends, [&](const end_sighting& seen) { return seen.end == end; });
  }
  return true;
}

std::optional<base::time_point> crash_ledger::find_end(replica_end end) const {
  const auto found = ends_.find(end);
  return found == ends_.end() ? std::nullopt : std::optional(found->second);
}

const crash_record* crash_ledger::find(const request_digest& digest) const {
  const auto found = records_.find(digest);
  return found == records_.end() ? nullptr : &found->second;
}

std::size_t crash_ledger::ends_of(const request_digest& digest) const {
  const auto* record = find(digest);
  return record == nullptr ? 0 : weight_of(*record);
}

void crash_ledger::explain_ends() const {
  explanations_are_stale_ = false;
  explained_by_.clear();
  for (const auto& [digest, record] : records_) {
    if (record.ends.size() < limits_.quarantine) {
      continue;
    }
    for (const auto& seen : record.ends) {
      auto& most = explained_by_[seen.end];
      most = std::max(most, record.ends.size());
    }
  }
}

bool crash_ledger::is_explained(replica_end end, const crash_record& record) const {
  if (explanations_are_stale_) {
    explain_ends();
  }
  const auto found = explained_by_.find(end);
  return found != explained_by_.end() && found->second > record.ends.size();
}

/// Up to 128 requests share a replica, and those that were sent on from one may share the next with
/// the guilty one too. Ends that a request known for more explains do not count, unless two others
/// remain: then this request is likely guilty as well.
std::size_t crash_ledger::weight_of(const crash_record& record) const {
  const auto all = record.ends.size();
  if (all < limits_.one_attempt) {
    return all;
  }
  const auto unexplained = static_cast<std::size_t>(
      std::count_if(record.ends.begin(), record.ends.end(),
                    [&](const end_sighting& seen) { return !is_explained(seen.end, record); }));
  return unexplained < limits_.one_attempt ? unexplained : all;
}

bool crash_ledger::has_double(const crash_record& record) const {
  return std::any_of(records_.begin(), records_.end(), [&](const auto& entry) {
    const auto& other = entry.second;
    return other.digest != record.digest && other.ends.size() == record.ends.size() &&
           std::all_of(record.ends.begin(), record.ends.end(),
                       [&](const end_sighting& seen) { return knows(other, seen.end); });
  });
}

std::size_t crash_ledger::ends_needed(const crash_record& record, base::time_point now) const {
  std::size_t others = 0;
  for (const auto& [end, at] : ends_) {
    const bool is_recent = now - at < comparison_time;
    others += is_recent && !knows(record, end) && !is_explained(end, record) ? 1 : 0;
  }
  const auto further = 2 * others / record.ends.size();
  return std::min(limits_.quarantine + further, limits_.quarantine_with_unrelated_exits);
}

standing crash_ledger::standing_of(const crash_record& record, base::time_point now) const {
  const auto weight = weight_of(record);
  if (weight < limits_.one_attempt) {
    return standing::free;
  }
  const bool is_tried = weight < limits_.quarantine || weight < ends_needed(record, now) ||
                        (weight < limits_.quarantine_with_unrelated_exits && has_double(record)) ||
                        now - record.newest() >= hold_after(weight);
  return is_tried ? standing::one_attempt : standing::held_back;
}

standing crash_ledger::standing_of(const request_digest& digest, base::time_point now) const {
  const auto* record = find(digest);
  return record == nullptr ? standing::free : standing_of(*record, now);
}

void crash_ledger::note_asked(const request_digest& digest, base::time_point now) {
  const auto found = records_.find(digest);
  if (found != records_.end()) {
    found->second.asked_at = now;
  }
}

/// One that ended more replicas than it takes was tried again already.
base::duration crash_ledger::hold_after(std::size_t ends) const {
  return ends > limits_.quarantine_with_unrelated_exits ? quarantine_memory : first_hold;
}

bool crash_ledger::is_over(const crash_record& record, base::time_point now) const {
  const bool was_held_back = record.ends.size() >= limits_.quarantine;
  return now - record.newest() >= (was_held_back ? quarantine_memory : suspicion_lifetime);
}

void crash_ledger::expire(base::time_point now) {
  const auto forgotten =
      std::erase_if(records_, [&](const auto& entry) { return is_over(entry.second, now); });
  explanations_are_stale_ = explanations_are_stale_ || forgotten > 0;
  std::erase_if(ends_, [&](const auto& entry) { return now - entry.second >= suspicion_lifetime; });
  std::erase_if(alive_,
                [&](const auto& entry) { return now - entry.second >= suspicion_lifetime; });
}

} // namespace spurrack::quarantine
