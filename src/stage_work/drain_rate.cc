#include "stage_work/drain_rate.h"

namespace spurrack::serving {
namespace {

/// Minimum duration of a measuring window. The drain rate of a window is the number of items
/// dispatched in it, divided by its duration.
constexpr base::duration min_window_duration = std::chrono::milliseconds(400);
/// Age from which a measured drain rate is no longer valid.
constexpr base::duration rate_lifetime = std::chrono::milliseconds(1500);
/// Weight of the newest window in the smoothed drain rate.
constexpr double newest_window_weight = 0.5;

} // namespace

void drain_rate::note_dispatched(std::size_t count, std::size_t remaining, base::time_point now) {
  if (window_started_at_) {
    dispatched_ += count;
    if (now - *window_started_at_ >= min_window_duration) {
      close_window(now);
    }
  }
  if (remaining == 0) {
    note_emptied();
  } else if (!window_started_at_) {
    window_started_at_ = now;
  }
}

void drain_rate::note_emptied() {
  window_started_at_.reset();
  dispatched_ = 0;
}

void drain_rate::close_window(base::time_point now) {
  const double newest =
      static_cast<double>(dispatched_) / base::to_seconds(now - *window_started_at_);
  const bool has_valid_rate = per_second(now).has_value();
  rate_per_second_ = has_valid_rate
                         ? rate_per_second_ + newest_window_weight * (newest - rate_per_second_)
                         : newest;
  measured_at_ = now;
  window_started_at_ = now;
  dispatched_ = 0;
}

std::optional<double> drain_rate::per_second(base::time_point now) const {
  if (rate_per_second_ <= 0 || now - measured_at_ >= rate_lifetime) {
    return std::nullopt;
  }
  return rate_per_second_;
}

} // namespace spurrack::serving
