#include "rate_limits/permit_stock.h"

#include <algorithm>

namespace spurrack::rate_limits {
namespace {

/// Permits are asked for ahead for what requests want in this time: several ways between nodes, and
/// well within the lifetime of a permit.
constexpr base::duration demand_span = std::chrono::milliseconds(100);
/// Sends in that time from which on permits are asked for ahead: fewer would let most of these
/// become void.
constexpr std::uint32_t least_ahead = 2;
/// Waiting requests are looked at more often than this.
constexpr base::duration waiting_lifetime = std::chrono::milliseconds(60);
/// Sends are kept this long for operators.
constexpr base::duration shown_span = std::chrono::seconds(4);

} // namespace

std::size_t permit_stock::held(base::time_point now) const {
  std::size_t count = 0;
  for (const auto& batch : permits_) {
    count += batch.void_at > now ? batch.count : 0;
  }
  return count;
}

bool permit_stock::has_permit(base::time_point now) const {
  return std::any_of(permits_.begin(), permits_.end(),
                     [&](const held_permits& batch) { return batch.void_at > now; });
}

void permit_stock::take(base::time_point now) {
  count_wanted(now);
  sends_.push_back(now);
  while (now - sends_.front() >= shown_span) {
    sends_.pop_front();
  }
  while (!permits_.empty() && permits_.front().void_at <= now) {
    permits_.pop_front();
  }
  if (!permits_.empty() && --permits_.front().count == 0) {
    permits_.pop_front();
  }
}

void permit_stock::note_unmet_demand(base::time_point now) {
  is_lacking_ = true;
  count_wanted(now);
}

void permit_stock::count_wanted(base::time_point now) {
  const auto past = now - span_began_;
  if (past >= demand_span) {
    wanted_before_ = past < 2 * demand_span ? wanted_now_ : 0;
    wanted_now_ = 0;
    span_began_ = now;
  }
  ++wanted_now_;
}

void permit_stock::note_waiting(std::uint32_t count, base::time_point now) {
  waiting_ = count;
  waiting_noted_at_ = now;
}

bool permit_stock::has_waiting_requests(base::time_point now) const {
  return waiting_ > 0 && now - waiting_noted_at_ < waiting_lifetime;
}

std::uint32_t permit_stock::wanted_soon(base::time_point now) const {
  const bool is_old = now - span_began_ >= 2 * demand_span;
  const auto counted = is_old ? 0 : std::max(wanted_now_, wanted_before_);
  const auto by_flow = is_lacking_ || counted >= least_ahead ? counted : 0;
  return has_waiting_requests(now) ? std::max(by_flow, waiting_) : by_flow;
}

std::uint32_t permit_stock::permits_to_request(base::time_point now) const {
  const auto in_hand = held(now);
  const std::size_t wanted = wanted_soon(now);
  if (wanted <= in_hand) {
    return 0;
  }
  const bool stands = question_ && question_->stands_until > now;
  const bool is_urgent_enough = stands && (question_->is_waiting || !has_waiting_requests(now));
  const bool suffices = is_urgent_enough && in_hand + question_->awaited >= wanted;
  return suffices ? 0 : static_cast<std::uint32_t>(wanted - in_hand);
}

bool permit_stock::has_unneeded_query(base::time_point now) const {
  const bool stands = question_ && question_->awaited > 0 && question_->stands_until > now;
  return stands && question_->is_waiting && wanted_soon(now) <= held(now);
}

void permit_stock::note_asked(std::uint64_t number, std::uint32_t count, base::time_point now) {
  question_ = {number, count, has_waiting_requests(now), now + query_lifetime};
  is_lacking_ = false;
  if (first_question_ == 0) {
    first_question_ = number;
  }
}

bool permit_stock::add(const permit_grant& grant, base::time_point now) {
  if (!question_ || grant.number < first_question_) {
    return false;
  }
  if (grant.number == question_->number) {
    question_->awaited -= std::min(question_->awaited, grant.count);
  }
  permits_.push_back({grant.count, now + permit_lifetime});
  return true;
}

void permit_stock::clear() {
  permits_.clear();
  question_.reset();
  first_question_ = 0;
}

std::size_t permit_stock::recent_sends(base::time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      sends_.begin(), sends_.end(), [&](const auto& at) { return now - at < shown_span; }));
}

} // namespace spurrack::rate_limits
