/// Estimates how many prompt tokens an engine prefills per second, from the calls of this node.
#pragma once

#include "base/time.h"

#include <cstdint>

namespace spurrack::serving {

/// The estimate stays near the highest rate that calls have shown: most calls show a lower rate
/// only because they also wait for other calls at the engine. Not thread-safe.
class prefill_rate {
 public:
  /// Records a call.
  /// @param own_tokens tokens of the prompt that the engine cannot have cached.
  /// @param elapsed from sending the prompt to its first event.
  void note(std::uint32_t own_tokens, base::duration elapsed);
  [[nodiscard]] double tokens_per_second() const { return rate_; }

 private:
  /// In tokens per second. The initial value is below the rate of a large engine, some 50,000, so
  /// that waits are overestimated rather than underestimated.
  double rate_ = 30'000;
};

} // namespace spurrack::serving
