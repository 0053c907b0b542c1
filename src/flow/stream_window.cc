#include "flow/stream_window.h"

#include <algorithm>

namespace spurrack::flow {
namespace {

std::size_t width_at(double utilization) {
  const double left = std::clamp(1.0 - utilization, 0.0, 1.0);
  const auto width = static_cast<std::size_t>(left * stream_window::max_window_bytes);
  return std::max(width, stream_window::min_window_bytes);
}

} // namespace

void stream_window::set_open(bool open, base::time_point now) {
  if (open) {
    closed_before_ += now - closed_since_;
  } else {
    closed_since_ = now;
  }
  open_ = open;
}

window_change stream_window::add(std::size_t bytes, double utilization, base::time_point now) {
  if (unread_ == 0) {
    last_progress_ = now;
  }
  unread_ += bytes;
  width_ = width_at(utilization);
  if (!open_ || widened_ || unread_ < width_) {
    return window_change::none;
  }
  set_open(false, now);
  return window_change::closed;
}

window_change stream_window::take(std::size_t bytes, base::time_point now) {
  last_progress_ = now;
  unread_ -= std::min(bytes, unread_);
  const auto opens_at = static_cast<std::size_t>(static_cast<double>(width_) * reopen_fraction);
  if (open_ || unread_ > opens_at) {
    return window_change::none;
  }
  set_open(true, now);
  return window_change::opened;
}

window_change stream_window::start_read_ahead(base::time_point now) {
  widened_ = true;
  if (open_) {
    return window_change::none;
  }
  set_open(true, now);
  return window_change::opened;
}

window_change stream_window::close(base::time_point now) {
  widened_ = false;
  if (!open_) {
    return window_change::none;
  }
  set_open(false, now);
  return window_change::closed;
}

base::duration stream_window::stall_duration(base::time_point now) const {
  return unread_ == 0 ? base::duration::zero() : base::duration(now - last_progress_);
}

base::duration stream_window::closed_duration(base::time_point now) const {
  return closed_before_ + (open_ ? base::duration::zero() : base::duration(now - closed_since_));
}

} // namespace spurrack::flow
