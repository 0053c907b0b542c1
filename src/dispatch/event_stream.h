/// Splits a streamed answer into whole events, so that no client receives part of an event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spurrack::serving {

/// Buffers bytes of a text/event-stream and returns the whole events. Not thread-safe.
class event_stream {
 public:
  /// @param after identifier of the last event that was already forwarded; events up to and
  ///        including this identifier are dropped.
  explicit event_stream(std::optional<std::uint64_t> after = std::nullopt) : last_id_(after) {}

  /// Appends bytes to the stream.
  /// @return whole new events that the bytes complete, in order.
  std::string feed(std::string_view bytes);

  /// @return identifier of the last whole event that has one, or `after` if there was none yet.
  [[nodiscard]] std::optional<std::uint64_t> last_id() const { return last_id_; }
  /// @return number of events that `feed` has returned.
  [[nodiscard]] std::uint64_t events() const { return events_; }
  /// @return whether bytes of an incomplete event are buffered.
  [[nodiscard]] bool has_partial() const { return !pending_.empty(); }
  /// @return number of buffered bytes of an incomplete event.
  [[nodiscard]] std::size_t partial_bytes() const { return pending_.size(); }
  /// Drops the buffered bytes of an incomplete event, before another call resumes the stream after
  /// the last whole event.
  void drop_partial_event() { pending_.clear(); }

 private:
  /// Records the identifier of an event.
  /// @return whether the event is new; events with an identifier up to `last_id` are duplicates.
  bool accept_once(std::string_view event);

  std::string pending_;
  std::optional<std::uint64_t> last_id_;
  std::uint64_t events_ = 0;
};

} // namespace spurrack::serving
