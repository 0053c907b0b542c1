/// Running distribution of a duration: logarithmic buckets whose counts decay, so that quantiles
/// follow a change within a few hundred samples at constant memory.
#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace spurrack::routing {

/// Not thread-safe.
class latency_estimator {
 public:
  void add(base::duration sample);

  /// @param fraction in (0, 1].
  /// @return the quantile, at the upper edge of its bucket (within 10%); zero without samples.
  [[nodiscard]] base::duration quantile(double fraction) const;
  [[nodiscard]] base::duration mean() const;
  /// @return samples ever added.
  [[nodiscard]] std::uint64_t count() const { return count_; }

 private:
  static constexpr std::size_t bucket_count = 160;
  /// Samples after which all counts are halved.
  static constexpr double halving_weight = 256.0;

  static std::size_t bucket_of(base::duration sample);
  static base::duration upper_bound_of(std::size_t bucket);

  std::array<float, bucket_count> weights_{};
  double total_weight_ = 0;
  double weighted_sum_ = 0;
  std::uint64_t count_ = 0;
};

} // namespace spurrack::routing
