/// Splits a streamed answer into whole events, so that no client receives part of an event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spurrack::serving {

/// Buffers bytes of a text/event-stream and returns the whole events. Lines end with LF, CR or
/// CR LF, also mixed within one stream; a blank line ends an event. The split of the bytes changes
/// nothing but the call that returns an event. Not thread-safe.
class event_stream {
 public:
  /// @param after identifier of the last event that was already forwarded; events up to and
  ///        including this identifier are dropped.
  explicit event_stream(std::optional<std::uint64_t> after = std::nullopt) : last_id_(after) {}

  /// Appends bytes to the stream.
  /// @return whole new events that the bytes complete, in order, with comments and further blank
  ///         lines. If the blank line of an event begins with CR, the event is returned at the next
  ///         byte, which may be LF; at once if the line before ends with CR alone.
  std::string feed(std::string_view bytes);

  /// @return identifier of the last whole event that has one, or `after` if there was none yet.
  [[nodiscard]] std::optional<std::uint64_t> last_id() const { return last_id_; }
  /// @return whether another run can go on after `last_id`. False once `feed` has returned an event
  ///         without an identifier after it: another run would repeat this event.
  [[nodiscard]] bool can_resume() const { return !has_event_after_last_id_; }
  /// @return number of events that `feed` has returned; comments are not counted.
  [[nodiscard]] std::uint64_t events() const { return events_; }
  /// @return whether bytes of an incomplete event are buffered.
  [[nodiscard]] bool has_partial() const { return !pending_.empty(); }
  /// @return number of buffered bytes of an incomplete event.
  [[nodiscard]] std::size_t partial_bytes() const { return pending_.size(); }
  /// @return whether the current run brought something that the client does not have: an event, or
  ///         a part of an event that is no comment.
  [[nodiscard]] bool shows_more() const;
  /// @return whether some run brought a part of an event after the last whole event, so that the
  ///         stream is known to go on there.
  [[nodiscard]] bool goes_on() const { return goes_on_ || has_new_part(); }
  /// @return number of events of the current run that `feed` has returned.
  [[nodiscard]] std::uint64_t events_in_run() const { return events_in_run_; }
  /// Drops the buffered bytes of an incomplete event.
  void drop_partial_event();
  /// Begins another run, which goes on after the last whole event.
  void begin_run();

 private:
  /// Position of a stream within its lines.
  struct line_position {
    bool is_line_empty = true;
    /// Whether the last byte is CR, so that LF at the next byte belongs to the same line end.
    bool follows_carriage_return = false;
    /// Whether the last whole line ends with CR alone.
    bool ends_lines_with_carriage_return = false;
    /// Whether a line of the current event, which may not be whole, is no comment.
    bool has_field = false;
  };

  /// @return whether the next byte to scan is the LF of a line end that began with CR.
  [[nodiscard]] bool is_second_of_line_end() const;
  /// Scans the LF of a line end that began with CR.
  void skip_line_feed();
  /// Scans the bytes of `pending_` that were not scanned yet, up to the end of an event, with the
  /// LF of its blank line.
  /// @return whether an event ends at `scanned_bytes_`.
  bool scan_to_event_end();
  /// Records a whole event.
  /// @return the bytes to forward; empty if the event was already forwarded.
  std::string_view accept_once(std::string_view event);
  /// @return whether the buffered bytes are a part of an event that the client does not have.
  [[nodiscard]] bool has_new_part() const;
  /// @return whether an event is new; events with an identifier up to `last_id` are duplicates.
  bool is_new(std::optional<std::uint64_t> id);

  std::string pending_;
  /// Number of bytes of `pending_` that are known to end no event.
  std::size_t scanned_bytes_ = 0;
  line_position position_;
  std::optional<std::uint64_t> last_id_;
  std::uint64_t events_ = 0;
  std::uint64_t events_in_run_ = 0;
  /// Whether an earlier run brought a part of an event after the last whole event.
  bool goes_on_ = false;
  bool has_event_after_last_id_ = false;
  /// Whether no event of the current run has ended yet.
  bool is_run_begin_ = true;
  /// Whether the run repeats events before `last_id_`, so that events without an identifier are
  /// duplicates too.
  bool is_repeating_ = false;
  /// Whether the last event was forwarded.
  bool was_last_forwarded_ = false;
  /// Whether bytes of any run were forwarded.
  bool has_forwarded_ = false;
};

} // namespace spurrack::serving
