#include "engines/prefill_rate.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Shorter prompts are ignored: their time is mostly the fixed cost of a call, not the prefill.
constexpr std::uint32_t min_tokens = 2'000;
/// Weight of a call in the moving average, if the call was faster than the average and if it was
/// slower. The weights differ because only about one call in ten finds its engine idle and so shows
/// the prefill rate.
constexpr double faster_call_weight = 0.3;
constexpr double slower_call_weight = 0.03;
/// Bounds of the estimate, in tokens per second.
constexpr double min_rate = 5'000;
constexpr double max_rate = 500'000;

} // namespace

void prefill_rate::note(std::uint32_t own_tokens, base::duration elapsed) {
  if (own_tokens < min_tokens || elapsed <= base::duration::zero()) {
    return;
  }
  const double observed = own_tokens / base::to_seconds(elapsed);
  const double weight = observed > rate_ ? faster_call_weight : slower_call_weight;
  rate_ = std::clamp(rate_ + weight * (observed - rate_), min_rate, max_rate);
}

} // namespace spurrack::serving
