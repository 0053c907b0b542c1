#include "stage_work/drain_rate.h"

namespace spurrack::serving {
namespace {

constexpr base::duration window_length = std::chrono::milliseconds(400);
/// A rate says nothing more after this time.
constexpr base::duration rate_lifetime = std::chrono::milliseconds(1500);
/// Share of the newest window in the smoothed rate.
constexpr double newest_share = 0.5;

} // namespace

void drain_rate::note_dispatched(std::size_t count, std::size_t left, base::time_point now) {
  if (window_began_) {
    handed_out_ += count;
    if (now - *window_began_ >= window_length) {
      close_window(now);
    }
  }
  if (left == 0) {
    window_began_.reset();
    handed_out_ = 0;
  } else if (!window_began_) {
    window_began_ = now;
  }
}

void drain_rate::close_window(base::time_point now) {
  const double newest = static_cast<double>(handed_out_) / base::to_seconds(now - *window_began_);
  const bool known = per_second(now).has_value();
  rate_ = known ? rate_ + newest_share * (newest - rate_) : newest;
  measured_at_ = now;
  window_began_ = now;
  handed_out_ = 0;
}

std::optional<double> drain_rate::per_second(base::time_point now) const {
  if (rate_ <= 0 || now - measured_at_ >= rate_lifetime) {
    return std::nullopt;
  }
  return rate_;
}

} // namespace spurrack::serving
