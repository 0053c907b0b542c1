/// Memory that this process may use for bytes of requests and answers: accounts by holder, and
/// reservations that return their bytes on every path.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace spurrack::flow {

enum class byte_holder : std::uint8_t {
  request_bodies,    ///< Bodies that are being read from clients.
  kept_bodies,       ///< Bodies of active requests, kept for the replica and for a retry.
  gathered_answers,  ///< Whole answers, from their first byte until the client has read the last.
  unwritten_streams, ///< Events that their client has not read yet.
  partial_events,    ///< Bytes of incomplete events.
};
inline constexpr std::size_t byte_holders = 5;
std::string_view name_of(byte_holder holder);

/// Purpose for which bytes are acquired. The uses are in ascending order of their limits: when
/// memory runs short, the first uses of this list are refused while the last ones are still
/// granted.
enum class byte_use : std::uint8_t {
  large_body,      ///< A new request with a large body; can be refused as `not_run`.
  buffered_stream, ///< Events of a stream, buffered although its client does not read them.
  small_body,      ///< A new request with a small body.
  whole_answer,    ///< A whole answer of a replica.
  lone_answer,     ///< A whole answer that may exceed the limit of `whole_answer`; see
                   ///< `answer_memory_reservation::grow`.
  stream_event,    ///< An event that has been read from a replica.
};
inline constexpr std::size_t byte_uses = 6;
std::string_view name_of(byte_use use);

/// Accounts for bytes by holder and limits them by use. The sum of all accounts never exceeds the
/// capacity. Not thread-safe.
class byte_budget {
 public:
  /// Disconnects the slowest readers to free memory.
  /// @param use purpose for which memory is lacking.
  /// @param bytes number of bytes requested for `use`.
  using relief_callback = std::function<void(byte_use use, std::size_t bytes)>;

  explicit byte_budget(std::size_t capacity) : capacity_(capacity) {}
  byte_budget(const byte_budget&) = delete;
  byte_budget& operator=(const byte_budget&) = delete;

  /// Sets the callback that frees memory, at once or later.
  void set_relief(relief_callback callback) { relief_ = std::move(callback); }

  /// Returns whether `bytes` more would be granted to `use` now. May call the relief callback
  /// first: if `use` is an answer, when the bytes would be refused; if `use` is an event, when the
  /// budget would be almost exhausted.
  [[nodiscard]] bool ensure_capacity(byte_use use, std::size_t bytes);
  /// Returns whether the limit of `use` allows `bytes` to be held in total.
  [[nodiscard]] bool is_within_limit(byte_use use, std::size_t bytes) const;
  /// Acquires bytes for a holder. @return false, with no bytes acquired, if they exceed the limit
  /// of the use; the refusal is counted.
  [[nodiscard]] bool acquire(byte_holder holder, byte_use use, std::size_t bytes);
  void release(byte_holder holder, std::size_t bytes);
  void transfer(byte_holder from, byte_holder to, std::size_t bytes);

  [[nodiscard]] std::size_t capacity() const { return capacity_; }
  [[nodiscard]] std::size_t held() const { return held_; }
  [[nodiscard]] std::size_t held(byte_holder holder) const {
    return held_by_holder_[index(holder)];
  }
  [[nodiscard]] std::uint64_t refusals(byte_use use) const { return refusals_[index(use)]; }
  /// Returns the fraction of the capacity that is held, 0 to 1.
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

/// Bytes acquired from a budget for one holder; the destructor returns them. A reservation that was
/// moved from holds no bytes and may only be assigned to or destroyed.
class byte_reservation {
 public:
  byte_reservation(std::shared_ptr<byte_budget> budget, byte_holder holder)
      : budget_(std::move(budget)), holder_(holder) {}
  ~byte_reservation() { shrink(bytes_); }
  byte_reservation(byte_reservation&& other) noexcept;
  byte_reservation& operator=(byte_reservation&& other) noexcept;
  byte_reservation(const byte_reservation&) = delete;
  byte_reservation& operator=(const byte_reservation&) = delete;

  /// Acquires more bytes. @return false, with nothing changed, if the budget refuses them.
  [[nodiscard]] bool grow(byte_use use, std::size_t bytes);
  /// Returns bytes to the budget, but no more than the reservation holds.
  void shrink(std::size_t bytes);
  /// Moves the bytes held to the account of another holder.
  void move_to(byte_holder holder);
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<byte_budget> budget_;
  byte_holder holder_;
  std::size_t bytes_ = 0;
};

} // namespace spurrack::flow
