#include "engines/sending_rate.h"

#include <algorithm>
#include <cmath>

namespace spurrack::serving {
namespace {

/// A node of a large fleet sends one prompt in a few seconds: a shorter time would be mostly
/// chance.
constexpr base::duration memory_time = std::chrono::seconds(30);
/// The first prompts are taken to be those of this time.
constexpr base::duration least_time = std::chrono::seconds(10);

} // namespace

double sending_rate::remembered(base::time_point now) const {
  return tokens_ * std::exp(-base::to_seconds(now - counted_at_) / base::to_seconds(memory_time));
}

void sending_rate::note(double tokens, base::time_point now) {
  began_ = began_.value_or(now);
  tokens_ = remembered(now) + tokens;
  counted_at_ = now;
}

double sending_rate::tokens_per_second(base::time_point now) const {
  if (!began_) {
    return 0;
  }
  const auto watched = std::max<base::duration>(now - *began_, least_time);
  const double memory = base::to_seconds(memory_time);
  const double seconds = memory * (1 - std::exp(-base::to_seconds(watched) / memory));
  return remembered(now) / seconds;
}

} // namespace spurrack::serving
