/// Memory of whole answers while they are buffered: the queue of answers that wait for memory, and
/// the resolution of deadlocks between answers that hold memory and wait for more.
#pragma once

#include "flow/byte_budget.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

namespace spurrack::flow {

/// Result of a request for memory.
enum class memory_request_result : std::uint8_t {
  granted,
  wait,         ///< The request must be repeated later; the memory held so far is kept.
  abort_answer, ///< The answer must be aborted: its memory is needed to complete an answer that has
                ///< waited longer.
};

class answer_memory_reservation;

/// The answers of one process that wait for memory, in the order in which they began to wait. Not
/// thread-safe.
class answer_memory_queue {
 public:
  explicit answer_memory_queue(std::shared_ptr<byte_budget> budget) : budget_(std::move(budget)) {}
  answer_memory_queue(const answer_memory_queue&) = delete;
  answer_memory_queue& operator=(const answer_memory_queue&) = delete;

 private:
  friend class answer_memory_reservation;
  /// Returns whether all memory that is held for whole answers is held by answers that wait for
  /// more memory.
  [[nodiscard]] bool is_deadlocked() const;
  /// Returns whether the first answer of the queue was refused memory that it would get if all
  /// other waiting answers returned theirs. If theirs is not enough, other uses hold the memory,
  /// and aborting an answer does not help.
  [[nodiscard]] bool can_unblock_first() const;
  /// Returns the last answer in the queue that holds memory; null if none does.
  [[nodiscard]] const answer_memory_reservation* last_waiting_answer_with_memory() const;

  std::shared_ptr<byte_budget> budget_;
  std::list<answer_memory_reservation*> waiting_;
  /// Bytes that the answers in `waiting_` hold.
  std::size_t waiting_bytes_ = 0;
  /// Bytes that the first answer of the queue requested and was refused, although the limit of
  /// `byte_use::lone_answer` applied to it; 0 if it was not refused under that limit.
  std::size_t first_unmet_bytes_ = 0;
};

/// Memory of one answer; returned by the destructor.
class answer_memory_reservation {
 public:
  explicit answer_memory_reservation(std::shared_ptr<answer_memory_queue> queue);
  ~answer_memory_reservation() { dequeue(bytes()); }
  answer_memory_reservation(const answer_memory_reservation&) = delete;
  answer_memory_reservation& operator=(const answer_memory_reservation&) = delete;

  /// Acquires more bytes, or appends the answer to the queue of waiting answers. Whole answers are
  /// limited by `byte_use::whole_answer`. The higher limit of `byte_use::lone_answer` applies in
  /// two cases: to an answer that exceeds the limit of `whole_answer` by itself, and to the first
  /// answer of the queue if waiting answers hold all memory of whole answers.
  [[nodiscard]] memory_request_result grow(std::size_t additional_bytes);
  [[nodiscard]] std::size_t bytes() const { return bytes_.bytes(); }

 private:
  [[nodiscard]] bool is_first() const { return queue_->waiting_.front() == this; }
  /// Decides whether this answer gets memory, waits or is aborted. Called if waiting answers hold
  /// all memory of whole answers.
  [[nodiscard]] memory_request_result resolve_deadlock(std::size_t additional_bytes);
  /// Acquires more bytes and leaves the queue. @return false, with nothing changed, if refused.
  bool try_grow(byte_use use, std::size_t additional_bytes);
  void enqueue();
  /// @param held bytes that this answer held while it waited.
  void dequeue(std::size_t held);

  std::shared_ptr<answer_memory_queue> queue_;
  byte_reservation bytes_;
  bool is_waiting_ = false;
  /// Position in the queue; valid while `is_waiting_`.
  std::list<answer_memory_reservation*>::iterator queue_position_;
};

} // namespace spurrack::flow
