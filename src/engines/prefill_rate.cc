#include "engines/prefill_rate.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Shorter prompts show the fixed part of a call, not the reading.
constexpr std::uint32_t least_tokens = 2'000;
/// Share of a call in the rate where it was faster, and where it was slower: about one call in ten
/// finds its engine idle.
constexpr double share_of_faster = 0.3;
constexpr double share_of_slower = 0.03;
/// Bounds of what is believed, in tokens a second.
constexpr double lowest_rate = 5'000;
constexpr double highest_rate = 500'000;

} // namespace

void prefill_rate::note(std::uint32_t own_tokens, base::duration took) {
  if (own_tokens < least_tokens || took <= base::duration::zero()) {
    return;
  }
  const double shown = own_tokens / base::to_seconds(took);
  const double share = shown > rate_ ? share_of_faster : share_of_slower;
  rate_ = std::clamp(rate_ + share * (shown - rate_), lowest_rate, highest_rate);
}

} // namespace spurrack::serving
