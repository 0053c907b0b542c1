#include "rate_limit_check.h"

#include <algorithm>
#include <string>
#include <thread>

namespace spurrack::platform_tests {
namespace {

/// Length of each time window in which the check counts requests. In each window, the replica may
/// receive `max_limit_factor` times as many requests as its limit allows, plus `burst_allowance`.
constexpr std::chrono::seconds limit_window{4};
constexpr double max_limit_factor = 1.5;
constexpr double burst_allowance = 5;
/// Time for which the requests to the replica are observed after all nodes know the limit.
constexpr std::chrono::seconds observation_time{6};

std::size_t max_arrivals_within_window(const std::vector<soak_clock::time_point>& arrivals) {
  std::size_t max_arrivals = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] >= limit_window) {
      ++first;
    }
    max_arrivals = std::max(max_arrivals, last - first + 1);
  }
  return max_arrivals;
}

} // namespace

void rate_limit_check::check() {
  const auto limit = 1 + static_cast<unsigned>(random_->below(4));
  replica_->set_limit(limit);
  std::this_thread::sleep_for(settle_time);
  replica_->take_arrivals();
  std::this_thread::sleep_for(observation_time);
  const auto max_arrivals = max_arrivals_within_window(replica_->take_arrivals());
  replica_->set_limit(0);
  recorder_->count("most in 4 s at a limit of " + std::to_string(limit) + ": " +
                   std::to_string(max_arrivals));
  const double allowed =
      max_limit_factor * limit * static_cast<double>(limit_window.count()) + burst_allowance;
  if (static_cast<double>(max_arrivals) > allowed) {
    recorder_->note_violation("LIMIT", replica_->id() + " got " + std::to_string(max_arrivals) +
                                           " requests in 4 s at a limit of " +
                                           std::to_string(limit));
  }
}

} // namespace spurrack::platform_tests
