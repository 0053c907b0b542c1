#include "flow/answer_memory_reservation.h"

#include <algorithm>
#include <utility>

namespace spurrack::flow {
namespace {

/// Fraction of the budget that the answers which one replica is sending may hold, and fraction that
/// one answer without a declared length may hold. Together they leave room for the bodies of new
/// requests.
constexpr double replica_share = 0.125;
constexpr double undeclared_answer_share = 0.25;

} // namespace

std::size_t answer_memory_queue::replica_share_bytes() const {
  return static_cast<std::size_t>(static_cast<double>(budget_->capacity()) * replica_share);
}

std::size_t answer_memory_queue::max_undeclared_bytes() const {
  return static_cast<std::size_t>(static_cast<double>(budget_->capacity()) *
                                  undeclared_answer_share);
}

bool answer_memory_queue::is_deadlocked() const {
  return waiting_bytes_ == budget_->held(byte_holder::gathered_answers);
}

bool answer_memory_queue::can_unblock_first() const {
  const auto other_bytes = waiting_bytes_ - waiting_.front()->bytes();
  const auto remaining_bytes = budget_->held() - other_bytes;
  return first_unmet_bytes_ > 0 &&
         budget_->is_within_limit(byte_use::lone_answer, remaining_bytes + first_unmet_bytes_);
}

const answer_memory_reservation* answer_memory_queue::last_waiting_answer_with_memory() const {
  const auto found =
      std::find_if(waiting_.rbegin(), waiting_.rend(),
                   [](const answer_memory_reservation* answer) { return answer->bytes() > 0; });
  return found == waiting_.rend() ? nullptr : *found;
}

answer_memory_reservation::answer_memory_reservation(std::shared_ptr<answer_memory_queue> queue,
                                                     std::string replica)
    : queue_(std::move(queue)), bytes_(queue_->budget_, byte_holder::gathered_answers),
      replica_(std::move(replica)) {}

bool answer_memory_reservation::fits_replica_share(std::size_t additional_bytes) const {
  const auto found = queue_->by_replica_.find(replica_);
  return found == queue_->by_replica_.end() || found->second.holders.front() == this ||
         found->second.bytes + additional_bytes <= queue_->replica_share_bytes();
}

void answer_memory_reservation::note_received(std::size_t additional_bytes) {
  auto& answers = queue_->by_replica_[replica_];
  if (received_bytes_ == 0) {
    answers.holders.push_back(this);
  }
  received_bytes_ += additional_bytes;
  answers.bytes += additional_bytes;
}

void answer_memory_reservation::end_receipt() {
  if (received_bytes_ == 0) {
    return;
  }
  const auto found = queue_->by_replica_.find(replica_);
  found->second.bytes -= received_bytes_;
  found->second.holders.remove(this);
  if (found->second.holders.empty()) {
    queue_->by_replica_.erase(found);
  }
  received_bytes_ = 0;
}

void answer_memory_reservation::enqueue() {
  if (!is_waiting_) {
    is_waiting_ = true;
    queue_position_ = queue_->waiting_.insert(queue_->waiting_.end(), this);
    queue_->waiting_bytes_ += bytes();
  }
}

void answer_memory_reservation::dequeue(std::size_t held) {
  if (!is_waiting_) {
    return;
  }
  if (is_first()) {
    queue_->first_unmet_bytes_ = 0;
  }
  is_waiting_ = false;
  queue_->waiting_.erase(queue_position_);
  queue_->waiting_bytes_ -= held;
}

bool answer_memory_reservation::try_grow(byte_use use, std::size_t additional_bytes) {
  const auto held_before = bytes();
  if (!bytes_.grow(use, additional_bytes)) {
    return false;
  }
  dequeue(held_before);
  note_received(additional_bytes);
  return true;
}

memory_request_result answer_memory_reservation::grow(std::size_t additional_bytes) {
  if (!fits_replica_share(additional_bytes)) {
    return bytes() > 0 ? memory_request_result::abort_answer : memory_request_result::wait;
  }
  const bool is_large =
      !queue_->budget_->is_within_limit(byte_use::whole_answer, bytes() + additional_bytes);
  if (try_grow(is_large ? byte_use::lone_answer : byte_use::whole_answer, additional_bytes)) {
    return memory_request_result::granted;
  }
  enqueue();
  return queue_->is_deadlocked() ? resolve_deadlock(additional_bytes) : memory_request_result::wait;
}

memory_request_result answer_memory_reservation::resolve_deadlock(std::size_t additional_bytes) {
  if (is_first()) {
    if (try_grow(byte_use::lone_answer, additional_bytes)) {
      return memory_request_result::granted;
    }
    queue_->first_unmet_bytes_ = additional_bytes;
    return memory_request_result::wait;
  }
  const bool should_abort =
      queue_->can_unblock_first() && queue_->last_waiting_answer_with_memory() == this;
  return should_abort ? memory_request_result::abort_answer : memory_request_result::wait;
}

} // namespace spurrack::flow
