/// Memory of whole answers while they are buffered: the queue of answers that wait for memory, the
/// resolution of deadlocks between answers that hold memory and wait for more, and the share of the
/// memory that the answers of one replica may hold while they are received.
#pragma once

#include "flow/byte_budget.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

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

  /// @return maximum number of bytes of the answers that one replica is sending. The oldest of them
  ///         may exceed it alone.
  [[nodiscard]] std::size_t replica_share_bytes() const;
  /// @return maximum number of bytes of one answer that does not declare its length.
  [[nodiscard]] std::size_t max_undeclared_bytes() const;

 private:
  friend class answer_memory_reservation;
  /// Answers that a replica is sending and that hold memory.
  struct replica_answers {
    std::size_t bytes = 0;
    /// Ordered by the time at which they first held memory.
    std::list<const answer_memory_reservation*> holders;
  };
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
  std::map<std::string, replica_answers> by_replica_;
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
  /// @param replica that sends the answer.
  answer_memory_reservation(std::shared_ptr<answer_memory_queue> queue, std::string replica);
  ~answer_memory_reservation() {
    end_receipt();
    dequeue(bytes());
  }
  answer_memory_reservation(const answer_memory_reservation&) = delete;
  answer_memory_reservation& operator=(const answer_memory_reservation&) = delete;

  /// Acquires more bytes, or appends the answer to the queue of waiting answers. Whole answers are
  /// limited by `byte_use::whole_answer`. The higher limit of `byte_use::lone_answer` applies in
  /// two cases: to an answer that exceeds the limit of `whole_answer` by itself, and to the first
  /// answer of the queue if waiting answers hold all memory of whole answers.
  ///
  /// An answer that would exceed the share of its replica waits if it holds no memory yet, and is
  /// aborted otherwise, unless it is the oldest of the replica.
  [[nodiscard]] memory_request_result grow(std::size_t additional_bytes);
  /// Records that the answer was received, so that it counts no longer against the share of its
  /// replica.
  void end_receipt();
  [[nodiscard]] std::size_t bytes() const { return bytes_.bytes(); }

 private:
  /// Returns whether more bytes fit into the share of the replica, or this answer may exceed it.
  [[nodiscard]] bool fits_replica_share(std::size_t additional_bytes) const;
  void note_received(std::size_t additional_bytes);
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
  std::string replica_;
  /// Bytes that count against the share of the replica.
  std::size_t received_bytes_ = 0;
  bool is_waiting_ = false;
  /// Position in the queue; valid while `is_waiting_`.
  std::list<answer_memory_reservation*>::iterator queue_position_;
};

} // namespace spurrack::flow
