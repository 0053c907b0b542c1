/// Rate at which this node sends prompt tokens to engines.
#pragma once

#include "base/time.h"

#include <optional>

namespace spurrack::serving {

/// Exponentially weighted average over about half a minute. Not thread-safe.
class sending_rate {
 public:
  /// Records that a prompt of `tokens` tokens is sent.
  void note(double tokens, base::time_point now);
  /// Returns the rate; 0 before the first prompt.
  [[nodiscard]] double tokens_per_second(base::time_point now) const;

 private:
  /// Returns the sum of the sent tokens, each weighted by its age at `now`.
  [[nodiscard]] double decayed_tokens(base::time_point now) const;

  std::optional<base::time_point> first_send_at_;
  base::time_point updated_at_;
  double tokens_ = 0;
};

} // namespace spurrack::serving
