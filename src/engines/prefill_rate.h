/// Tokens of prompts that an engine reads in a second, learned from own calls.
#pragma once

#include "base/time.h"

#include <cstdint>

namespace spurrack::serving {

/// Near the best that calls have shown, since most calls also wait for others. Not thread-safe.
class prefill_rate {
 public:
  /// @param own_tokens tokens of the prompt that the engine cannot have kept.
  /// @param took from the sending to the first event.
  void note(std::uint32_t own_tokens, base::duration elapsed);
  /// @return tokens a second.
  [[nodiscard]] double tokens_per_second() const { return rate_; }

 private:
  /// Before calls have shown another: a large engine reads some 50,000, so that a wait is expected
  /// too long rather than too short.
  double rate_ = 30'000;
};

} // namespace spurrack::serving
