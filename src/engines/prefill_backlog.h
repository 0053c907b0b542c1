/// Tokens that an engine has been sent and has not read yet, by the estimate of one node.
#pragma once

#include "base/time.h"

#include <algorithm>

namespace spurrack::serving {

/// Falls at the rate at which an engine reads. Not thread-safe.
class prefill_backlog {
 public:
  /// @param rate tokens that the engine reads in a second, here and below.
  /// @return tokens that are unread at `now`.
  [[nodiscard]] double level(double rate, base::time_point now) const {
    return std::max(0.0, tokens_ - rate * base::to_seconds(now - updated_at_));
  }
  void add(double tokens, double rate, base::time_point now) {
    tokens_ = level(rate, now) + tokens;
    updated_at_ = now;
  }
  /// A report of the account holder says that so many are unread.
  void raise_to(double tokens, double rate, base::time_point now) {
    tokens_ = std::max(level(rate, now), tokens);
    updated_at_ = now;
  }

 private:
  double tokens_ = 0;
  base::time_point updated_at_;
};

} // namespace spurrack::serving
