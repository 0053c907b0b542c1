#include "routing/latency_estimator.h"

#include <algorithm>
#include <cmath>

namespace spurrack::routing {
namespace {

/// Upper bound of the first bucket of the histogram.
constexpr double first_bucket_microseconds = 50.0;
/// Natural logarithm of the ratio between the upper bounds of adjacent buckets.
const double log_bucket_growth = std::log(1.1);

} // namespace

std::size_t latency_estimator::bucket_of(base::duration sample) {
  const double microseconds = base::to_seconds(sample) * 1e6;
  if (microseconds <= first_bucket_microseconds) {
    return 0;
  }
  const auto index = std::log(microseconds / first_bucket_microseconds) / log_bucket_growth;
  return std::min(bucket_count - 1, static_cast<std::size_t>(index) + 1);
}

base::duration latency_estimator::upper_bound_of(std::size_t bucket) {
  const double microseconds =
      first_bucket_microseconds * std::exp(log_bucket_growth * static_cast<double>(bucket));
  return base::from_seconds(microseconds / 1e6);
}

void latency_estimator::add(base::duration sample) {
  if (total_weight_ >= halving_weight) {
    constexpr float half = 0.5F;
    for (auto& weight : weights_) {
      weight *= half;
    }
    total_weight_ *= half;
    weighted_sum_ *= half;
  }
  weights_[bucket_of(sample)] += 1.0F;
  total_weight_ += 1.0;
  weighted_sum_ += base::to_seconds(sample);
  ++count_;
}

base::duration latency_estimator::quantile(double fraction) const {
  double remaining = fraction * total_weight_;
  if (total_weight_ <= 0) {
    return base::duration::zero();
  }
  for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
    remaining -= weights_[bucket];
    if (remaining <= 0) {
      return upper_bound_of(bucket);
    }
  }
  return upper_bound_of(bucket_count - 1);
}

base::duration latency_estimator::mean() const {
  return total_weight_ <= 0 ? base::duration::zero()
                            : base::from_seconds(weighted_sum_ / total_weight_);
}

} // namespace spurrack::routing
