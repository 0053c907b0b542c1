/// Virtual time: events run in the order of their times, equal times in the order they were added.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace spurrack::simulation {

/// Not thread-safe.
class event_queue {
 public:
  using action = std::function<void()>;

  [[nodiscard]] base::time_point now() const { return now_; }

  void schedule_at(base::time_point when, action what) {
    entries_.push({when < now_ ? now_ : when, next_++, std::move(what)});
  }
  void schedule_after(base::duration delay, action what) {
    schedule_at(now_ + delay, std::move(what));
  }

  /// Runs everything up to and including `until`; the clock then stands at `until`.
  void run_until(base::time_point until) {
    while (!entries_.empty() && entries_.top().when <= until) {
      auto entry = entries_.top();
      entries_.pop();
      now_ = entry.when;
      entry.what();
    }
    now_ = until;
  }

 private:
  struct entry {
    base::time_point when;
    std::uint64_t order = 0;
    action what;
    bool operator<(const entry& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  base::time_point now_{std::chrono::hours(1)};
  std::uint64_t next_ = 0;
  std::priority_queue<entry> entries_;
};

} // namespace spurrack::simulation
