/// Predicts the time of a call to an engine until its first byte, from the length of the prompt.
#pragma once

#include "base/time.h"

#include <cstdint>

namespace spurrack::serving {

/// Linear regression over completed calls, time = base + tokens x slope, in which newer calls weigh
/// more. Not thread-safe.
class first_byte_model {
 public:
  /// Records a call.
  /// @param tokens number of tokens of the prompt that no request of another session shares.
  /// @param elapsed from sending the prompt to the first byte.
  void record_call(std::uint32_t tokens, base::duration elapsed);
  /// Returns the expected time to the first byte; a default while too few calls were recorded.
  [[nodiscard]] base::duration expected_time(std::uint32_t tokens) const;

 private:
  // Sums over the recorded calls, in which each call weighs less the more calls followed it.
  double weight_ = 0;
  double tokens_ = 0;
  double seconds_ = 0;
  double tokens_squared_ = 0;
  double tokens_by_seconds_ = 0;
};

} // namespace spurrack::serving
