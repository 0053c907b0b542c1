#include "flow/answer_memory.h"

#include <algorithm>

namespace spurrack::flow {

bool answer_queue::is_stuck() const {
  return waiting_bytes_ == budget_->held(byte_holder::gathered_answers);
}

bool answer_queue::first_needs_others() const {
  const auto others = waiting_bytes_ - waiting_.front()->bytes();
  const auto still_held = budget_->held() - others;
  return first_wants_ > 0 &&
         budget_->is_within_limit(byte_use::lone_answer, still_held + first_wants_);
}

const answer_memory* answer_queue::youngest_holder() const {
  const auto found = std::find_if(waiting_.rbegin(), waiting_.rend(),
                                  [](const answer_memory* each) { return each->bytes() > 0; });
  return found == waiting_.rend() ? nullptr : *found;
}

answer_memory::answer_memory(std::shared_ptr<answer_queue> queue)
    : queue_(std::move(queue)), bytes_(queue_->budget_, byte_holder::gathered_answers) {}

void answer_memory::join() {
  if (!is_waiting_) {
    is_waiting_ = true;
    place_ = queue_->waiting_.insert(queue_->waiting_.end(), this);
    queue_->waiting_bytes_ += bytes();
  }
}

void answer_memory::leave(std::size_t held) {
  if (!is_waiting_) {
    return;
  }
  if (is_first()) {
    queue_->first_wants_ = 0;
  }
  is_waiting_ = false;
  queue_->waiting_.erase(place_);
  queue_->waiting_bytes_ -= held;
}

bool answer_memory::take(byte_use use, std::size_t wanted) {
  const auto held_before = bytes();
  if (!bytes_.grow(use, wanted)) {
    return false;
  }
  leave(held_before);
  return true;
}

memory_verdict answer_memory::grow(std::size_t wanted) {
  const bool is_large = !queue_->budget_->is_within_limit(byte_use::whole_answer, bytes() + wanted);
  if (take(is_large ? byte_use::lone_answer : byte_use::whole_answer, wanted)) {
    return memory_verdict::granted;
  }
  join();
  return queue_->is_stuck() ? decide_when_stuck(wanted) : memory_verdict::wait;
}

memory_verdict answer_memory::decide_when_stuck(std::size_t wanted) {
  if (is_first()) {
    if (take(byte_use::lone_answer, wanted)) {
      return memory_verdict::granted;
    }
    queue_->first_wants_ = wanted;
    return memory_verdict::wait;
  }
  const bool gives_way = queue_->first_needs_others() && queue_->youngest_holder() == this;
  return gives_way ? memory_verdict::give_up : memory_verdict::wait;
}

} // namespace spurrack::flow
