/// Tokens that an engine was sent and has not prefilled yet, as estimated by one node.
#pragma once

#include "base/time.h"

#include <algorithm>

namespace spurrack::serving {

/// The backlog decreases at the prefill rate of the engine. Not thread-safe.
class prefill_backlog {
 public:
  /// Returns the backlog in tokens at `now`.
  /// @param rate tokens that the engine prefills per second, here and below.
  [[nodiscard]] double level(double rate, base::time_point now) const {
    return std::max(0.0, tokens_ - rate * base::to_seconds(now - updated_at_));
  }
  /// Adds the tokens of a prompt that is sent to the engine.
  void add(double tokens, double rate, base::time_point now) {
    tokens_ = level(rate, now) + tokens;
    updated_at_ = now;
  }
  /// Raises the backlog to `tokens`, as the accounting node reported it; a longer backlog stays
  /// unchanged.
  void raise_to(double tokens, double rate, base::time_point now) {
    tokens_ = std::max(level(rate, now), tokens);
    updated_at_ = now;
  }

 private:
  double tokens_ = 0;
  /// Time to which `tokens_` refers.
  base::time_point updated_at_;
};

} // namespace spurrack::serving
