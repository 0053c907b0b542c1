#include "engines/first_byte_model.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Expected time to the first byte as long as too few calls were recorded.
constexpr base::duration default_first_byte_time = std::chrono::milliseconds(300);
/// Factor by which each newer call reduces the weight of a call: about the last fifty calls matter.
constexpr double decay_per_call = 0.98;
/// Sum of the weights of the recorded calls from which on the regression is used.
constexpr double min_weight = 4;

} // namespace

void first_byte_model::record_call(std::uint32_t tokens, base::duration elapsed) {
  for (auto* sum : {&weight_, &tokens_, &seconds_, &tokens_squared_, &tokens_by_seconds_}) {
    *sum *= decay_per_call;
  }
  const double length = tokens;
  const double seconds = base::to_seconds(elapsed);
  weight_ += 1;
  tokens_ += length;
  seconds_ += seconds;
  tokens_squared_ += length * length;
  tokens_by_seconds_ += length * seconds;
}

base::duration first_byte_model::expected_time(std::uint32_t tokens) const {
  if (weight_ < min_weight) {
    return default_first_byte_time;
  }
  const double mean_tokens = tokens_ / weight_;
  const double mean_seconds = seconds_ / weight_;
  const double variance = tokens_squared_ / weight_ - mean_tokens * mean_tokens;
  const double covariance = tokens_by_seconds_ / weight_ - mean_tokens * mean_seconds;
  const double slope = variance > 1 ? std::max(0.0, covariance / variance) : 0.0;
  return base::from_seconds(std::max(0.0, mean_seconds + slope * (tokens - mean_tokens)));
}

} // namespace spurrack::serving
