/// Splits a streamed answer into whole events, so that no client is given part of one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spurrack::serving {

/// Gathers bytes and gives back whole events (text/event-stream). Not thread-safe.
class event_stream {
 public:
  /// @param after identifier of the last event already passed on; events up to it are left out.
  explicit event_stream(std::optional<std::uint64_t> after = std::nullopt) : last_id_(after) {}

  /// Takes in bytes. @return the whole events they complete, in order, ready to pass on.
  std::string feed(std::string_view bytes);

  /// @return identifier of the last whole event; nothing before the first one that has any.
  [[nodiscard]] std::optional<std::uint64_t> last_id() const { return last_id_; }
  /// @return whole events passed on.
  [[nodiscard]] std::uint64_t events() const { return events_; }
  /// @return whether bytes of an event that is not whole yet are held.
  [[nodiscard]] bool has_partial() const { return !pending_.empty(); }
  /// @return bytes held of an event that is not whole yet.
  [[nodiscard]] std::size_t partial_bytes() const { return pending_.size(); }
  /// A new run goes on where the last one broke off: what is held of a broken event is dropped.
  void drop_partial_event() { pending_.clear(); }

 private:
  /// @return whether the event is new and is to be passed on.
  bool accept_once(std::string_view event);

  std::string pending_;
  std::optional<std::uint64_t> last_id_;
  std::uint64_t events_ = 0;
};

} // namespace spurrack::serving
