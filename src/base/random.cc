#include "base/random.h"

namespace spurrack::base {

double random_source::next_fraction() {
  constexpr unsigned mantissa_bits = 53;
  constexpr unsigned unused_bits = 64 - mantissa_bits;
  constexpr double scale = 1.0 / static_cast<double>(std::uint64_t{1} << mantissa_bits);
  return static_cast<double>(next() >> unused_bits) * scale;
}

} // namespace spurrack::base
