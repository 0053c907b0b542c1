/// The window of one stream: how many bytes its client may leave unread before reading from the
/// replica is paused, and how long the client has taken nothing.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace spurrack::flow {

/// What a step did to a window.
enum class window_change : std::uint8_t { none, closed, opened };

/// Not thread-safe.
class stream_window {
 public:
  /// Unread bytes at which a window closes while memory is plentiful: with events of 100 bytes
  /// every 20 ms a client may read nothing for 13 s before its replica notices.
  static constexpr std::size_t max_window_bytes = 65'536;
  /// The same once the budget is spent: one read from the replica.
  static constexpr std::size_t min_window_bytes = 8'192;
  /// A closed window opens at this part of its width, so that it does not open and close with each
  /// event.
  static constexpr double reopen_fraction = 0.5;

  explicit stream_window(base::time_point now) : last_progress_at_(now) {}

  /// Bytes were added for the client.
  /// @param fullness of the budget, 0 to 1: the fuller, the narrower the window.
  window_change add(std::size_t bytes, double utilization, base::time_point now);
  /// The client took bytes.
  window_change consume(std::size_t bytes, base::time_point now);
  /// Lets the stream be buffered although the client does not read: bytes beyond the width
  /// no longer close the window, only `close` does.
  window_change start_read_ahead(base::time_point now);
  /// Closes a window that was widened, since there is no memory for it.
  window_change close(base::time_point now);

  [[nodiscard]] bool is_open() const { return is_open_; }
  [[nodiscard]] bool is_reading_ahead() const { return is_reading_ahead_; }
  [[nodiscard]] std::size_t unread() const { return unread_; }
  /// @return how long bytes have waited of which the client took none.
  [[nodiscard]] base::duration stall_duration(base::time_point now) const;
  /// @return how long the window was closed, up to now.
  [[nodiscard]] base::duration closed_duration(base::time_point now) const;

 private:
  void set_open(bool open, base::time_point now);

  std::size_t unread_ = 0;
  std::size_t size_ = max_window_bytes;
  bool is_open_ = true;
  bool is_reading_ahead_ = false;
  base::time_point last_progress_at_;
  base::time_point closed_at_;
  base::duration total_closed_duration_{};
};

} // namespace spurrack::flow
