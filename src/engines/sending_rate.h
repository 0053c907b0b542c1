/// Tokens of prompts that this node sends in a second.
#pragma once

#include "base/time.h"

#include <optional>

namespace spurrack::serving {

/// A mean over the last half minute, those of late counting more. Not thread-safe.
class sending_rate {
 public:
  void note(double tokens, base::time_point now);
  /// @return tokens a second; 0 before the first.
  [[nodiscard]] double tokens_per_second(base::time_point now) const;

 private:
  /// @return what is left of the tokens counted.
  [[nodiscard]] double decayed_tokens(base::time_point now) const;

  std::optional<base::time_point> first_send_at_;
  base::time_point updated_at_;
  double tokens_ = 0;
};

} // namespace spurrack::serving
