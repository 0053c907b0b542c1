/// Virtual clock of a simulation. Actions run in the order of their times; actions with equal times
/// run in the order in which they were scheduled.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace spurrack::simulation {

/// Virtual clock and queue of the scheduled actions. Not thread-safe.
class event_queue {
 public:
  using action = std::function<void()>;

  [[nodiscard]] base::time_point now() const { return now_; }

  /// Schedules an action. If `due_at` is in the past, the action is due now.
  void schedule_at(base::time_point due_at, action callback) {
    entries_.push({due_at < now_ ? now_ : due_at, next_sequence_number_++, std::move(callback)});
  }
  void schedule_after(base::duration delay, action callback) {
    schedule_at(now_ + delay, std::move(callback));
  }

  /// Runs all actions that are due up to and including `end`, then sets the clock to `end`.
  void run_until(base::time_point end) {
    while (!entries_.empty() && entries_.top().due_at <= end) {
      auto entry = entries_.top();
      entries_.pop();
      now_ = entry.due_at;
      entry.callback();
    }
    now_ = end;
  }

 private:
  struct entry {
    base::time_point due_at;
    std::uint64_t sequence_number = 0;
    action callback;
    /// The order is inverted because std::priority_queue returns the largest entry first.
    bool operator<(const entry& other) const {
      return due_at != other.due_at ? due_at > other.due_at
                                    : sequence_number > other.sequence_number;
    }
  };

  base::time_point now_{std::chrono::hours(1)};
  std::uint64_t next_sequence_number_ = 0;
  std::priority_queue<entry> entries_;
};

} // namespace spurrack::simulation
