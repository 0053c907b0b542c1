#include "replicas/replica_backoff.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// No request is held for longer than this time: a longer pause would only hide the replica.
constexpr base::duration longest_backoff = std::chrono::minutes(2);
/// An answer lets so many more calls be under way: doubles them where calls last long, since the
/// answered one may still be.
constexpr std::uint32_t calls_per_answer = 2;

} // namespace

bool replica_backoff::note_request(base::duration span, std::uint32_t in_flight,
                                   base::time_point now) {
  const base::time_point ends_at = now + std::min(span, longest_backoff);
  if (ends_at <= now || ends_at <= ends_at_) {
    return false;
  }
  requested_at_ = now;
  ends_at_ = ends_at;
  slow_start_ = slow_start{in_flight, 1};
  return true;
}

bool replica_backoff::permits_call(std::uint32_t in_flight, base::time_point now) const {
  if (is_active(now)) {
    return false;
  }
  const bool starts_slowly = slow_start_ && now < ends_at_ + slow_start_duration;
  return !starts_slowly || in_flight < slow_start_->earlier_calls + slow_start_->allowed;
}

void replica_backoff::note_answer(base::time_point call_began, std::uint32_t slots) {
  if (!slow_start_ || call_began < ends_at_) {
    return;
  }
  slow_start_->allowed = std::min(slow_start_->allowed + calls_per_answer, std::max(1U, slots));
}

void replica_backoff::note_rejected() {
  if (slow_start_) {
    slow_start_->allowed = 1;
  }
}

void replica_backoff::note_call_ended(std::uint32_t in_flight) {
  if (slow_start_) {
    slow_start_->earlier_calls = std::min(slow_start_->earlier_calls, in_flight);
  }
}

} // namespace spurrack::serving
