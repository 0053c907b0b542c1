/// Expected time of a call at an engine to its first byte, from the length of the prompt.
#pragma once

#include "base/time.h"

#include <cstdint>

namespace spurrack::serving {

/// A line through what calls have shown, newer ones counting more: time = base + tokens x slope.
/// Not thread-safe.
class first_byte_model {
 public:
  /// @param tokens of the prompt that no other request shares.
  void note(std::uint32_t tokens, base::duration elapsed);
  /// @return a usual time while too few calls were seen.
  [[nodiscard]] base::duration expected(std::uint32_t tokens) const;

 private:
  // Sums over the calls seen, each weighed by its age in calls.
  double weight_ = 0;
  double tokens_ = 0;
  double seconds_ = 0;
  double tokens_squared_ = 0;
  double tokens_by_seconds_ = 0;
};

} // namespace spurrack::serving
