/// Flow control window of one stream: limits the bytes that the client has not read yet. When they
/// reach the window size, reading from the replica is paused. Also measures for how long the client
/// has read nothing.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace spurrack::flow {

/// Whether an operation closed or opened the window.
enum class window_change : std::uint8_t { none, closed, opened };

/// Closed while reading from the replica is paused. Starts open. Not thread-safe.
class stream_window {
 public:
  /// Window size while memory is plentiful: with events of 100 bytes every 20 ms, a client may read
  /// nothing for 13 s before reading from its replica is paused.
  static constexpr std::size_t max_window_bytes = 65'536;
  /// Window size once the byte budget is exhausted: the size of one read from the replica.
  static constexpr std::size_t min_window_bytes = 8'192;
  /// Fraction of the window size to which the unread bytes must fall before a closed window
  /// reopens: otherwise it might open and close with each event.
  static constexpr double reopen_fraction = 0.5;

  explicit stream_window(base::time_point now) : last_progress_at_(now) {}

  /// Records bytes that were read from the replica for the client.
  /// @param utilization of the byte budget, 0 to 1; the higher, the smaller the window.
  window_change add(std::size_t bytes, double utilization, base::time_point now);
  /// Records bytes that the client read.
  window_change consume(std::size_t bytes, base::time_point now);
  /// Opens the window and keeps it open until `close` is called, however many bytes are unread: the
  /// stream is buffered although its client does not read.
  window_change start_read_ahead(base::time_point now);
  /// Closes the window, and ends reading ahead. To be called when there is no more memory for
  /// reading ahead.
  window_change close(base::time_point now);

  [[nodiscard]] bool is_open() const { return is_open_; }
  [[nodiscard]] bool is_reading_ahead() const { return is_reading_ahead_; }
  [[nodiscard]] std::size_t unread() const { return unread_; }
  /// Returns for how long the client has read nothing although there are unread bytes; zero if
  /// there are no unread bytes.
  [[nodiscard]] base::duration stall_duration(base::time_point now) const;
  /// Returns the total time for which the window was closed, up to `now`.
  [[nodiscard]] base::duration closed_duration(base::time_point now) const;

 private:
  void set_open(bool open, base::time_point now);

  std::size_t unread_ = 0;
  std::size_t size_ = max_window_bytes;
  bool is_open_ = true;
  bool is_reading_ahead_ = false;
  /// Time at which the client last read bytes. If it had read all bytes by then: the time at which
  /// the next bytes were added.
  base::time_point last_progress_at_;
  base::time_point closed_at_;
  /// Total time of the periods for which the window was closed, without the current period.
  base::duration total_closed_duration_{};
};

} // namespace spurrack::flow
