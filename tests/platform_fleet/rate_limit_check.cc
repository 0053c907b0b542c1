#include "rate_limit_check.h"

#include <algorithm>
#include <string>
#include <thread>

namespace spurrack::platform_tests {
namespace {

/// The span over which a replica is spared, and how much more than its limit it may get there.
constexpr std::chrono::seconds window{4};
constexpr double most_factor = 1.5;
constexpr double allowance = 5;
/// Watched after all nodes know.
constexpr std::chrono::seconds watched_time{6};

std::size_t most_within_window(const std::vector<soak_clock::time_point>& arrivals) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] >= window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

} // namespace

void limited_replica::check() {
  const auto limit = 1 + static_cast<unsigned>(random_->below(4));
  subject_->set_limit(limit);
  std::this_thread::sleep_for(contact_time);
  subject_->take_arrivals();
  std::this_thread::sleep_for(watched_time);
  const auto most = most_within_window(subject_->take_arrivals());
  subject_->set_limit(0);
  ledger_->count("most in 4 s at a limit of " + std::to_string(limit) + ": " +
                 std::to_string(most));
  const double allowed = most_factor * limit * static_cast<double>(window.count()) + allowance;
  if (static_cast<double>(most) > allowed) {
    ledger_->note_violation("LIMIT", subject_->id() + " got " + std::to_string(most) +
                                         " requests in 4 s at a limit of " + std::to_string(limit));
  }
}

} // namespace spurrack::platform_tests
