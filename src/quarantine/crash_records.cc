#include "quarantine/crash_records.h"

#include "base/time.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace spurrack::quarantine {
namespace {

/// Share of the records of a full collection that are ranked at once, so that not each eviction
/// looks at all records.
constexpr std::size_t ranked_fraction = 8;

} // namespace

crash_record& crash_records::find_or_create(const suspect& subject) {
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

crash_record* crash_records::find(const suspect_digest& digest) {
  const auto found = records_.find(digest);
  return found == records_.end() ? nullptr : &found->second;
}

const crash_record* crash_records::find(const suspect_digest& digest) const {
  const auto found = records_.find(digest);
  return found == records_.end() ? nullptr : &found->second;
}

void crash_records::remove_if(const std::function<bool(const crash_record&)>& is_removed) {
  const auto removed =
      std::erase_if(records_, [&](const auto& entry) { return is_removed(entry.second); });
  if (removed > 0) {
    note_exits_changed();
  }
}

void crash_records::evict_record_with_fewest_exits() {
  if (records_.size() < max_records) {
    return;
  }
  while (!next_evicted_.empty()) {
    const auto digest = next_evicted_.back();
    next_evicted_.pop_back();
    const auto found = records_.find(digest);
    if (found != records_.end() && found->second.possible_exits() <= 1) {
      erase(found);
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
  erase(records_.find(std::get<suspect_digest>(ranked.front())));
}

void crash_records::erase(std::map<suspect_digest, crash_record>::iterator record) {
  records_.erase(record);
  note_exits_changed();
}

} // namespace spurrack::quarantine
