/// Memory of whole answers while they are gathered: who waits for it, and what becomes of answers
/// that hold some of it and wait for one another.
#pragma once

#include "flow/byte_budget.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

namespace spurrack::flow {

/// What became of a wish for memory.
enum class memory_verdict : std::uint8_t {
  granted,
  wait,         ///< Ask again later; what is held stays.
  abort_answer, ///< Give back what is held: an answer that began before needs it to become whole.
};

class answer_memory;

/// The answers of one process that wait for memory, those that have waited longest first. Not
/// thread-safe.
class answer_queue {
 public:
  explicit answer_queue(std::shared_ptr<byte_budget> budget) : budget_(std::move(budget)) {}
  answer_queue(const answer_queue&) = delete;
  answer_queue& operator=(const answer_queue&) = delete;

 private:
  friend class answer_memory;
  /// @return whether all memory of whole answers is held by such as wait for more.
  [[nodiscard]] bool is_deadlocked() const;
  /// @return whether the first lacks what the others hold, and that would be enough: where other
  /// uses hold the memory, nothing is won by giving an answer up.
  [[nodiscard]] bool can_unblock_first() const;
  /// @return the last of those that hold something; null where none does.
  [[nodiscard]] const answer_memory* last_waiting_holder() const;

  std::shared_ptr<byte_budget> budget_;
  std::list<answer_memory*> waiting_;
  /// Bytes that those hold.
  std::size_t waiting_bytes_ = 0;
  /// What the first of them did not get even of the reserve; 0 where it was not refused that.
  std::size_t first_unmet_bytes_ = 0;
};

/// Memory of one answer; returned when it goes.
class answer_memory {
 public:
  explicit answer_memory(std::shared_ptr<answer_queue> queue);
  ~answer_memory() { dequeue(bytes()); }
  answer_memory(const answer_memory&) = delete;
  answer_memory& operator=(const answer_memory&) = delete;

  /// Takes that many more bytes, or joins those that wait. An answer that by itself is larger than
  /// the part of whole answers may have the budget up to its last reserve, and so may the first of
  /// several that wait for one another.
  [[nodiscard]] memory_verdict grow(std::size_t additional_bytes);
  [[nodiscard]] std::size_t bytes() const { return bytes_.bytes(); }

 private:
  [[nodiscard]] bool is_first() const { return queue_->waiting_.front() == this; }
  [[nodiscard]] memory_verdict resolve_deadlock(std::size_t additional_bytes);
  bool try_grow(byte_use use, std::size_t additional_bytes);
  void enqueue();
  /// @param held what it held while it waited.
  void dequeue(std::size_t held);

  std::shared_ptr<answer_queue> queue_;
  byte_reservation bytes_;
  bool is_waiting_ = false;
  /// Where it stands among those that wait, while it does.
  std::list<answer_memory*>::iterator queue_position_;
};

} // namespace spurrack::flow
