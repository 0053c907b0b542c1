/// The memory that this process may spend on bytes of requests and answers: accounts by holder, and
/// reservations that return what they took on every path.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace spurrack::flow {

/// Who holds bytes.
enum class byte_holder : std::uint8_t {
  request_bodies,    ///< Bodies that are being read from clients.
  kept_bodies,       ///< Bodies of requests under way, kept for the replica and a second attempt.
  gathered_answers,  ///< Whole answers, from their first byte until the client has taken the last.
  unwritten_streams, ///< Events that their client has not taken yet.
  partial_events,    ///< Bytes of events that are not whole yet.
};
inline constexpr std::size_t byte_holders = 5;
std::string_view name_of(byte_holder holder);

/// What bytes are wanted for. What comes first gives way first: it is refused while later uses
/// still get theirs.
enum class byte_use : std::uint8_t {
  large_body,      ///< A new request with a large body; can be refused as not run.
  buffered_stream, ///< A stream that is read although its client does not read.
  small_body,      ///< A new request with a small body.
  whole_answer,    ///< A whole answer that a replica gives.
  lone_answer,     ///< One that fits in no other way (`answer_memory`).
  stream_event,    ///< An event that has been read from a replica.
};
inline constexpr std::size_t byte_uses = 6;
std::string_view name_of(byte_use use);

/// Not thread-safe. The sum of all accounts never exceeds the capacity.
class byte_budget {
 public:
  /// Ends the slowest readers. @param use what room is wanted for. @param bytes how much of it.
  using relief_callback = std::function<void(byte_use use, std::size_t bytes)>;

  explicit byte_budget(std::size_t capacity) : capacity_(capacity) {}
  byte_budget(const byte_budget&) = delete;
  byte_budget& operator=(const byte_budget&) = delete;

  /// Asked where an answer finds no room; may return bytes at once or later.
  void set_relief(relief_callback callback) { relief_ = std::move(callback); }

  /// @return whether `use` may have `bytes` more now. Asks for relief where an answer may
  /// not, or an event soon may not.
  [[nodiscard]] bool ensure_capacity(byte_use use, std::size_t bytes);
  /// @return whether `use` is granted up to `bytes` held in all.
  [[nodiscard]] bool is_within_limit(byte_use use, std::size_t bytes) const;
  /// Takes bytes. @return false, with nothing taken, where there is no room; that is counted.
  [[nodiscard]] bool acquire(byte_holder holder, byte_use use, std::size_t bytes);
  void release(byte_holder holder, std::size_t bytes);
  /// Puts bytes from one account to another.
  void transfer(byte_holder from, byte_holder to, std::size_t bytes);

  [[nodiscard]] std::size_t capacity() const { return capacity_; }
  [[nodiscard]] std::size_t held() const { return held_; }
  [[nodiscard]] std::size_t held(byte_holder holder) const {
    return held_by_holder_[index(holder)];
  }
  [[nodiscard]] std::uint64_t refusals(byte_use use) const { return refusals_[index(use)]; }
  /// @return 0 where nothing is held, 1 where the budget is spent.
  [[nodiscard]] double utilization() const;

 private:
  template <typename kind>
  static constexpr std::size_t index(kind value) {
    return static_cast<std::size_t>(value);
  }
  [[nodiscard]] bool needs_relief(byte_use use, std::size_t bytes) const;
  [[nodiscard]] bool fits_now(byte_use use, std::size_t bytes) const;
  [[nodiscard]] std::size_t limit_of(byte_use use) const;

  std::size_t capacity_;
  std::size_t held_ = 0;
  std::array<std::size_t, byte_holders> held_by_holder_{};
  std::array<std::uint64_t, byte_uses> refusals_{};
  relief_callback relief_;
  bool is_requesting_relief_ = false;
};

/// Bytes taken of a budget for one holder; returned when it goes. One that was moved from holds
/// nothing and is only assigned or destroyed.
class byte_reservation {
 public:
  byte_reservation(std::shared_ptr<byte_budget> budget, byte_holder holder)
      : budget_(std::move(budget)), holder_(holder) {}
  ~byte_reservation() { shrink(bytes_); }
  byte_reservation(byte_reservation&& other) noexcept;
  byte_reservation& operator=(byte_reservation&& other) noexcept;
  byte_reservation(const byte_reservation&) = delete;
  byte_reservation& operator=(const byte_reservation&) = delete;

  /// Takes more. @return false, with nothing changed, where the budget refuses.
  [[nodiscard]] bool grow(byte_use use, std::size_t bytes);
  /// Returns some. @param bytes at most what is held is returned.
  void shrink(std::size_t bytes);
  /// Puts what is held to another account.
  void move_to(byte_holder holder);
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<byte_budget> budget_;
  byte_holder holder_;
  std::size_t bytes_ = 0;
};

} // namespace spurrack::flow
