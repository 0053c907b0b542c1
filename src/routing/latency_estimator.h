/// Running distribution of a duration: a histogram with logarithmic buckets whose weights decay, so
/// that quantiles follow a change within a few hundred samples. Uses constant memory.
#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace spurrack::routing {

/// Estimates quantiles and mean of a duration. Not thread-safe.
class latency_estimator {
 public:
  void add(base::duration sample);

  /// @param fraction in (0, 1].
  /// @return the quantile, rounded up to the upper bound of its bucket (within 10%); zero if there
  ///         are no samples.
  [[nodiscard]] base::duration quantile(double fraction) const;
  /// @return mean of the samples, with decayed weights; zero if there are no samples.
  [[nodiscard]] base::duration mean() const;
  /// @return number of samples added so far, without decay.
  [[nodiscard]] std::uint64_t count() const { return count_; }

 private:
  static constexpr std::size_t bucket_count = 160;
  /// Total weight, in samples, at which all weights are halved.
  static constexpr double halving_weight = 256.0;

  static std::size_t bucket_of(base::duration sample);
  static base::duration upper_bound_of(std::size_t bucket);

  std::array<float, bucket_count> weights_{};
  double total_weight_ = 0;
  double weighted_sum_ = 0;
  std::uint64_t count_ = 0;
};

} // namespace spurrack::routing
