#include "rate_limits/permit_issuer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spurrack::rate_limits {
namespace {

/// A node that takes over issues nothing for this time: permits of the node before it are void by
/// then, and news of who issues has reached most nodes.
constexpr base::duration handover_time = std::chrono::milliseconds(1000);
/// What is saved up while nobody asks: bursts are short beside the seconds over which a replica is
/// spared.
constexpr base::duration saved_up_time = std::chrono::milliseconds(100);
/// Permits of high rates are handed out together this often, which bounds messages.
constexpr base::duration issue_period = std::chrono::milliseconds(10);

} // namespace

void permit_issuer::restart(base::time_point now) {
  waiting_.clear();
  others_.clear();
  ready_ = 0;
  settled_at_ = now + handover_time;
}

void permit_issuer::settle(base::time_point now) {
  if (now <= settled_at_) {
    return;
  }
  const double most = std::max(1.0, rate_ * base::to_seconds(saved_up_time));
  ready_ = std::min(most, ready_ + rate_ * base::to_seconds(now - settled_at_));
  settled_at_ = now;
}

void permit_issuer::set_rate(double per_second, base::time_point now) {
  settle(now);
  rate_ = per_second;
}

void permit_issuer::take(permit_request request, base::time_point now) {
  const auto is_earlier = [&](const standing_request& standing) {
    return standing.asked.node == request.node;
  };
  if (request.wanted == 0) {
    std::erase_if(waiting_, is_earlier);
    std::erase_if(others_, is_earlier);
    return;
  }
  auto& queue = request.is_waiting ? waiting_ : others_;
  std::erase_if(request.is_waiting ? others_ : waiting_, is_earlier);
  const auto earlier = std::find_if(queue.begin(), queue.end(), is_earlier);
  if (earlier == queue.end()) {
    queue.push_back({std::move(request), now + query_lifetime});
  } else {
    *earlier = {std::move(request), now + query_lifetime};
  }
}

void permit_issuer::hand_out(request_queue& queue, std::map<base::node_id, permit_grant>& grants,
                             base::time_point now) {
  while (ready_ >= 1 && !queue.empty()) {
    auto next = std::move(queue.front());
    queue.pop_front();
    if (next.stands_until <= now) {
      continue;
    }
    ready_ -= 1;
    auto& grant = grants[next.asked.node];
    grant.number = next.asked.number;
    ++grant.count;
    if (--next.asked.wanted > 0) {
      queue.push_back(std::move(next));
    }
  }
}

std::map<base::node_id, permit_grant> permit_issuer::issue(base::time_point now) {
  settle(now);
  std::map<base::node_id, permit_grant> grants;
  hand_out(waiting_, grants, now);
  hand_out(others_, grants, now);
  return grants;
}

std::optional<base::time_point> permit_issuer::next_issue_at() const {
  if ((waiting_.empty() && others_.empty()) || rate_ <= 0) {
    return std::nullopt;
  }
  const auto missing = base::from_seconds(std::max(0.0, 1 - ready_) / rate_);
  return settled_at_ + std::max<base::duration>(missing, issue_period);
}

} // namespace spurrack::rate_limits
