#include "flow/stream_window.h"

#include <algorithm>

namespace spurrack::flow {
namespace {

std::size_t window_size_at(double utilization) {
  const double free_fraction = std::clamp(1.0 - utilization, 0.0, 1.0);
  const auto size = static_cast<std::size_t>(free_fraction * stream_window::max_window_bytes);
  return std::max(size, stream_window::min_window_bytes);
}

} // namespace

void stream_window::set_open(bool open, base::time_point now) {
  if (open) {
    total_closed_duration_ += now - closed_at_;
  } else {
    closed_at_ = now;
  }
  is_open_ = open;
}

window_change stream_window::add(std::size_t bytes, double utilization, base::time_point now) {
  if (unread_ == 0) {
    last_progress_at_ = now;
  }
  unread_ += bytes;
  size_ = window_size_at(utilization);
  if (!is_open_ || is_reading_ahead_ || unread_ < size_) {
    return window_change::none;
  }
  set_open(false, now);
  return window_change::closed;
}

window_change stream_window::consume(std::size_t bytes, base::time_point now) {
  last_progress_at_ = now;
  unread_ -= std::min(bytes, unread_);
  const auto reopen_bytes = static_cast<std::size_t>(static_cast<double>(size_) * reopen_fraction);
  if (is_open_ || unread_ > reopen_bytes) {
    return window_change::none;
  }
  set_open(true, now);
  return window_change::opened;
}

window_change stream_window::start_read_ahead(base::time_point now) {
  is_reading_ahead_ = true;
  if (is_open_) {
    return window_change::none;
  }
  set_open(true, now);
  return window_change::opened;
}

window_change stream_window::close(base::time_point now) {
  is_reading_ahead_ = false;
  if (!is_open_) {
    return window_change::none;
  }
  set_open(false, now);
  return window_change::closed;
}

base::duration stream_window::stall_duration(base::time_point now) const {
  return unread_ == 0 ? base::duration::zero() : base::duration(now - last_progress_at_);
}

base::duration stream_window::closed_duration(base::time_point now) const {
  return total_closed_duration_ +
         (is_open_ ? base::duration::zero() : base::duration(now - closed_at_));
}

} // namespace spurrack::flow
