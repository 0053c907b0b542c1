/// Virtual time with scheduled actions, for simulated fleets of dispatchers.
#pragma once

#include "base/time.h"

#include <functional>
#include <map>
#include <utility>

namespace spurrack::serving {

struct virtual_time {
  base::time_point now{std::chrono::hours(1)};

  /// Schedules an action that `run_due` runs once `span` has passed.
  void schedule(base::duration span, std::function<void()> action) {
    actions_.emplace(now + span, std::move(action));
  }

  void run_due() {
    while (!actions_.empty() && actions_.begin()->first <= now) {
      const auto action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      action();
    }
  }

 private:
  std::multimap<base::time_point, std::function<void()>> actions_;
};

} // namespace spurrack::serving
