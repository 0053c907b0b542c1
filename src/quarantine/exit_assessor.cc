#include "quarantine/exit_assessor.h"

#include <algorithm>

namespace spurrack::quarantine {

exit_assessment exit_assessor::assess(const crash_record& record) const {
  exit_assessment judged;
  judged.suspected = record.suspected.size();
  if (record.exits.empty()) {
    judged.required = base_requirement(record);
    return judged;
  }
  judged.recorded = record.exits.size();
  const auto own_exits = record.distinct_exits();
  judged.explained = static_cast<std::size_t>(std::count_if(
      record.exits.begin(), record.exits.end(), [&](const exit_observation& observation) {
        return is_explained(observation.key(), own_exits);
      }));
  judged.counted = counted_exits(record);
  judged.required = exits_required(record);
  return judged;
}

std::string exit_assessment::text() const {
  return std::to_string(counted) + " of " + std::to_string(recorded) + " exits count, " +
         std::to_string(suspected) + " suspected, " + std::to_string(explained) +
         " explained by other requests, " + std::to_string(required) + " required for quarantine";
}

void exit_assessor::update_explanations() const {
  explained_revision_ = records_->revision();
  explaining_exit_counts_.clear();
  for (const auto& [digest, record] : records_->all()) {
    const auto distinct = record.distinct_exits();
    if (distinct < base_requirement(record)) {
      continue;
    }
    for (const auto& observation : record.exits) {
      auto& most = explaining_exit_counts_[observation.key()];
      most = std::max(most, distinct);
    }
  }
}

bool exit_assessor::is_explained(const exit_key& exit, std::size_t own_exits) const {
  if (explained_revision_ != records_->revision()) {
    update_explanations();
  }
  const auto found = explaining_exit_counts_.find(exit);
  return found != explaining_exit_counts_.end() && found->second > own_exits;
}

std::size_t exit_assessor::base_requirement(const crash_record& record) const {
  return record.kind == suspect_kind::request ? limits_.quarantine : limits_.prompt_part_quarantine;
}

/// A harmless request may have exits in common with a crashing request: up to 128 requests run at a
/// replica at the same time, and requests that are retried after an exit may reach the next replica
/// together with the crashing request. So an exit is not counted if another request explains it,
/// that is, has this exit and more exits in total (`is_explained`). But if two or more exits in
/// `record` remain unexplained, the request of `record` probably causes exits as well, and all its
/// exits are counted.
std::size_t exit_assessor::counted_exits(const crash_record& record) const {
  const auto all = record.distinct_exits();
  if (all < limits_.single_attempt) {
    return all;
  }
  const auto unexplained = static_cast<std::size_t>(std::count_if(
      record.exits.begin(), record.exits.end(),
      [&](const exit_observation& observation) { return !is_explained(observation.key(), all); }));
  return unexplained < limits_.single_attempt ? unexplained : all;
}

bool exit_assessor::has_indistinguishable_record(const crash_record& record) const {
  return std::any_of(records_->all().begin(), records_->all().end(), [&](const auto& entry) {
    const auto& other = entry.second;
    return other.kind == record.kind && other.digest != record.digest &&
           other.exits.size() == record.exits.size() &&
           std::all_of(record.exits.begin(), record.exits.end(),
                       [&](const exit_observation& observation) {
                         return other.contains(observation.key());
                       });
  });
}

std::size_t exit_assessor::exits_required(const crash_record& record) const {
  std::size_t unrelated_exits = 0;
  const auto own_exits = record.distinct_exits();
  // Exits after the last one under the request do not show that it was a coincidence: a request
  // that is quarantined stays quarantined, whatever happens to other replicas meanwhile.
  const auto last_exit_at = record.last_exit_at();
  for (const auto& [exit, known] : exits_->all()) {
    const bool is_recent = last_exit_at - known.at < exit_index::recent_window &&
                           known.at <= last_exit_at && !known.is_overrun;
    unrelated_exits +=
        is_recent && !record.contains(exit) && !is_explained(exit, own_exits) ? 1 : 0;
  }
  if (record.kind == suspect_kind::prompt_part) {
    const bool are_many = unrelated_exits >= limits_.many_unrelated_exits * record.exits.size();
    return limits_.prompt_part_quarantine + (are_many ? 1 : 0);
  }
  const auto additional = 2 * unrelated_exits / record.exits.size();
  return std::min(limits_.quarantine + additional, limits_.quarantine_with_unrelated_exits);
}

} // namespace spurrack::quarantine
