/// Schedule of keys with due times, which finds the keys that are due without checking all keys.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::base {

/// Holds at most one due time for each key. A change takes O(log n) in the number of keys, a query
/// of the next due time O(1). Not thread-safe.
template <typename key>
class due_times {
 public:
  void set(const key& item, time_point due_at) {
    clear(item);
    times_.emplace(item, due_at);
    ordered_.emplace(due_at, item);
  }

  /// Removes a key; has no effect if the key is not held.
  void clear(const key& item) {
    const auto found = times_.find(item);
    if (found != times_.end()) {
      ordered_.erase({found->second, item});
      times_.erase(found);
    }
  }

  void postpone_all(duration span) {
    std::set<std::pair<time_point, key>> moved;
    for (auto& [item, due_at] : times_) {
      due_at += span;
      moved.emplace(due_at, item);
    }
    ordered_ = std::move(moved);
  }

  /// @return the earliest due time; std::nullopt if no key is held.
  [[nodiscard]] std::optional<time_point> next() const {
    return ordered_.empty() ? std::nullopt : std::optional(ordered_.begin()->first);
  }

  /// Removes and returns the keys that are due, the earliest first.
  std::vector<key> take_due(time_point now) {
    std::vector<key> due;
    while (!ordered_.empty() && ordered_.begin()->first <= now) {
      due.push_back(ordered_.begin()->second);
      times_.erase(due.back());
      ordered_.erase(ordered_.begin());
    }
    return due;
  }

  [[nodiscard]] std::size_t size() const { return times_.size(); }

 private:
  std::unordered_map<key, time_point> times_;
  std::set<std::pair<time_point, key>> ordered_;
};

} // namespace spurrack::base
