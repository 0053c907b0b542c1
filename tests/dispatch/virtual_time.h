/// Virtual time for fleets of dispatchers: what is due at which moment.
#pragma once

#include "base/time.h"

#include <functional>
#include <map>
#include <utility>

namespace spurrack::serving {

struct virtual_time {
  base::time_point now{std::chrono::hours(1)};

  void later(base::duration span, std::function<void()> what) {
    due_.emplace(now + span, std::move(what));
  }

  /// Has all happen that is due.
  void run_due() {
    while (!due_.empty() && due_.begin()->first <= now) {
      const auto what = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      what();
    }
  }

 private:
  std::multimap<base::time_point, std::function<void()>> due_;
};

} // namespace spurrack::serving
