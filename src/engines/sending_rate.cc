#include "engines/sending_rate.h"

#include <algorithm>
#include <cmath>

namespace spurrack::serving {
namespace {

/// Time constant of the average. A node of a large fleet sends one prompt every few seconds, so
/// that an average over a shorter time would be mostly noise.
constexpr base::duration decay_time = std::chrono::seconds(30);
/// Shortest time over which the sent tokens are averaged, since the first prompts alone would show
/// a rate that is far too high.
constexpr base::duration min_observed_time = std::chrono::seconds(10);

} // namespace

double sending_rate::decayed_tokens(base::time_point now) const {
  return tokens_ * std::exp(-base::to_seconds(now - updated_at_) / base::to_seconds(decay_time));
}

void sending_rate::note(double tokens, base::time_point now) {
  first_send_at_ = first_send_at_.value_or(now);
  tokens_ = decayed_tokens(now) + tokens;
  updated_at_ = now;
}

double sending_rate::tokens_per_second(base::time_point now) const {
  if (!first_send_at_) {
    return 0;
  }
  const auto observed = std::max<base::duration>(now - *first_send_at_, min_observed_time);
  const double decay_seconds = base::to_seconds(decay_time);
  const double seconds =
      decay_seconds * (1 - std::exp(-base::to_seconds(observed) / decay_seconds));
  return decayed_tokens(now) / seconds;
}

} // namespace spurrack::serving
