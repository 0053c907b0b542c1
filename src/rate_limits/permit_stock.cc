#include "rate_limits/permit_stock.h"

#include <algorithm>

namespace spurrack::rate_limits {
namespace {

/// Time over which demand (the number of requests that need a permit) is counted. Permits are
/// queried in advance for the demand of one such window. It lasts several one-way delays between
/// nodes, and is well within the lifetime of a permit.
constexpr base::duration demand_window = std::chrono::milliseconds(100);
/// Smallest demand in a window for which permits are queried in advance: at less demand, most of
/// these permits would expire unused.
constexpr std::uint32_t min_demand_to_prefetch = 2;
/// Time for which a reported number of waiting requests is valid. While requests wait, the
/// dispatcher reports their number at shorter intervals.
constexpr base::duration waiting_report_lifetime = std::chrono::milliseconds(60);
/// Time for which the times of sends are kept, to show their number to operators.
constexpr base::duration recent_window = std::chrono::seconds(4);

} // namespace

std::size_t permit_stock::held(base::time_point now) const {
  std::size_t count = 0;
  for (const auto& batch : permits_) {
    count += batch.expires_at > now ? batch.count : 0;
  }
  return count;
}

bool permit_stock::has_permit(base::time_point now) const {
  return std::any_of(permits_.begin(), permits_.end(),
                     [&](const held_permits& batch) { return batch.expires_at > now; });
}

void permit_stock::note_sent(base::time_point now) {
  count_demand(now);
  sends_.push_back(now);
  while (now - sends_.front() >= recent_window) {
    sends_.pop_front();
  }
  while (!permits_.empty() && permits_.front().expires_at <= now) {
    permits_.pop_front();
  }
  if (!permits_.empty() && --permits_.front().count == 0) {
    permits_.pop_front();
  }
}

void permit_stock::note_unmet_demand(base::time_point now) {
  has_unmet_demand_ = true;
  count_demand(now);
}

void permit_stock::count_demand(base::time_point now) {
  const auto elapsed = now - window_started_at_;
  if (elapsed >= demand_window) {
    demand_in_previous_window_ = elapsed < 2 * demand_window ? demand_in_current_window_ : 0;
    demand_in_current_window_ = 0;
    window_started_at_ = now;
  }
  ++demand_in_current_window_;
}

void permit_stock::note_waiting(std::uint32_t count, base::time_point now) {
  waiting_requests_ = count;
  waiting_reported_at_ = now;
}

bool permit_stock::has_waiting_requests(base::time_point now) const {
  return waiting_requests_ > 0 && now - waiting_reported_at_ < waiting_report_lifetime;
}

std::uint32_t permit_stock::expected_demand(base::time_point now) const {
  const bool is_stale = now - window_started_at_ >= 2 * demand_window;
  const auto measured =
      is_stale ? 0 : std::max(demand_in_current_window_, demand_in_previous_window_);
  const auto flow_demand = has_unmet_demand_ || measured >= min_demand_to_prefetch ? measured : 0;
  return has_waiting_requests(now) ? std::max(flow_demand, waiting_requests_) : flow_demand;
}

std::uint32_t permit_stock::permits_to_request(base::time_point now) const {
  const auto held_count = held(now);
  const std::size_t demand = expected_demand(now);
  if (demand <= held_count) {
    return 0;
  }
  const bool is_pending = query_ && query_->expires_at > now;
  const bool has_matching_urgency =
      is_pending && (query_->has_waiting_requests || !has_waiting_requests(now));
  const bool is_sufficient = has_matching_urgency && held_count + query_->outstanding >= demand;
  return is_sufficient ? 0 : static_cast<std::uint32_t>(demand - held_count);
}

bool permit_stock::has_unneeded_query(base::time_point now) const {
  const bool is_pending = query_ && query_->outstanding > 0 && query_->expires_at > now;
  return is_pending && query_->has_waiting_requests && expected_demand(now) <= held(now);
}

void permit_stock::note_query_sent(std::uint64_t number, std::uint32_t count,
                                   base::time_point now) {
  query_ = {number, count, has_waiting_requests(now), now + query_lifetime};
  has_unmet_demand_ = false;
  if (first_valid_query_number_ == 0) {
    first_valid_query_number_ = number;
  }
}

bool permit_stock::add(const permit_grant& grant, base::time_point now) {
  if (!query_ || grant.number < first_valid_query_number_) {
    return false;
  }
  if (grant.number == query_->number) {
    query_->outstanding -= std::min(query_->outstanding, grant.count);
  }
  permits_.push_back({grant.count, now + permit_lifetime});
  return true;
}

void permit_stock::clear() {
  permits_.clear();
  query_.reset();
  first_valid_query_number_ = 0;
}

std::size_t permit_stock::recent_sends(base::time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      sends_.begin(), sends_.end(), [&](const auto& at) { return now - at < recent_window; }));
}

} // namespace spurrack::rate_limits
