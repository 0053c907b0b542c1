#include "replicas/replica_backoff.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Maximum length of a backoff. No request waits longer, so that a longer backoff would only leave
/// the replica unused.
constexpr base::duration max_backoff = std::chrono::minutes(2);
/// Number by which the head of each answer raises the limit on calls in flight during a slow start.
/// The answered call may itself stay in flight for long; even then, each round of answers allows
/// twice as many new calls as the round before.
constexpr std::uint32_t allowed_per_answer = 2;

} // namespace

bool replica_backoff::note_requested(base::duration span, std::uint32_t in_flight,
                                     base::time_point now) {
  const base::time_point new_ends_at = now + std::min(span, max_backoff);
  if (new_ends_at <= now || new_ends_at <= ends_at_) {
    return false;
  }
  requested_at_ = now;
  ends_at_ = new_ends_at;
  slow_start_ = slow_start{in_flight, 1};
  return true;
}

bool replica_backoff::permits_call(std::uint32_t in_flight, base::time_point now) const {
  if (is_active(now)) {
    return false;
  }
  const bool is_slow_start = slow_start_ && now < ends_at_ + slow_start_duration;
  return !is_slow_start || in_flight < slow_start_->earlier_calls + slow_start_->allowed_calls;
}

void replica_backoff::note_answer(base::time_point call_began_at, std::uint32_t slots) {
  if (!slow_start_ || call_began_at < ends_at_) {
    return;
  }
  slow_start_->allowed_calls =
      std::min(slow_start_->allowed_calls + allowed_per_answer, std::max(1U, slots));
}

void replica_backoff::note_rejected() {
  if (slow_start_) {
    slow_start_->allowed_calls = 1;
  }
}

void replica_backoff::note_call_ended(std::uint32_t in_flight) {
  if (slow_start_) {
    slow_start_->earlier_calls = std::min(slow_start_->earlier_calls, in_flight);
  }
}

} // namespace spurrack::serving
