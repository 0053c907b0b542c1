#include "rate_limits/permit_issuer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spurrack::rate_limits {
namespace {

/// Time for which a new issuer grants no permits: after it, permits of the earlier issuer have
/// expired, and most nodes know the new issuer.
constexpr base::duration handover_duration = std::chrono::milliseconds(1000);
/// Longest time for which permits accrue while no node queries them. These permits are spent in
/// bursts, which must be short compared to the seconds over which the load of a replica is limited.
constexpr base::duration max_burst_time = std::chrono::milliseconds(100);
/// Shortest interval between grants, which bounds the number of messages at high rates.
constexpr base::duration issue_interval = std::chrono::milliseconds(10);

} // namespace

void permit_issuer::restart(base::time_point now) {
  urgent_queries_.clear();
  other_queries_.clear();
  available_ = 0;
  accrued_at_ = now + handover_duration;
}

void permit_issuer::accrue(base::time_point now) {
  if (now <= accrued_at_) {
    return;
  }
  const double max_available = std::max(1.0, rate_ * base::to_seconds(max_burst_time));
  available_ = std::min(max_available, available_ + rate_ * base::to_seconds(now - accrued_at_));
  accrued_at_ = now;
}

void permit_issuer::set_rate(double per_second, base::time_point now) {
  accrue(now);
  rate_ = per_second;
}

void permit_issuer::record_query(permit_query query, base::time_point now) {
  const auto is_of_same_node = [&](const pending_query& pending) {
    return pending.query.node == query.node;
  };
  if (query.count == 0) {
    std::erase_if(urgent_queries_, is_of_same_node);
    std::erase_if(other_queries_, is_of_same_node);
    return;
  }
  auto& queue = query.has_waiting_requests ? urgent_queries_ : other_queries_;
  std::erase_if(query.has_waiting_requests ? other_queries_ : urgent_queries_, is_of_same_node);
  const auto replaced = std::find_if(queue.begin(), queue.end(), is_of_same_node);
  if (replaced == queue.end()) {
    queue.push_back({std::move(query), now + query_lifetime});
  } else {
    *replaced = {std::move(query), now + query_lifetime};
  }
}

void permit_issuer::grant_permits(query_queue& queue, std::map<base::node_id, permit_grant>& grants,
                                  base::time_point now) {
  while (available_ >= 1 && !queue.empty()) {
    auto next = std::move(queue.front());
    queue.pop_front();
    if (next.expires_at <= now) {
      continue;
    }
    available_ -= 1;
    auto& grant = grants[next.query.node];
    grant.number = next.query.number;
    ++grant.count;
    if (--next.query.count > 0) {
      queue.push_back(std::move(next));
    }
  }
}

std::map<base::node_id, permit_grant> permit_issuer::issue(base::time_point now) {
  accrue(now);
  std::map<base::node_id, permit_grant> grants;
  grant_permits(urgent_queries_, grants, now);
  grant_permits(other_queries_, grants, now);
  return grants;
}

std::optional<base::time_point> permit_issuer::next_issue_at() const {
  if ((urgent_queries_.empty() && other_queries_.empty()) || rate_ <= 0) {
    return std::nullopt;
  }
  const auto time_to_next = base::from_seconds(std::max(0.0, 1 - available_) / rate_);
  return accrued_at_ + std::max<base::duration>(time_to_next, issue_interval);
}

} // namespace spurrack::rate_limits
