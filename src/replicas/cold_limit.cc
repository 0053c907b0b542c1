#include "replicas/cold_limit.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Views of the fleet that may elect callers of their own at the same time.
constexpr double most_views = 2;
/// More callers share the load of the way back no better: 3 of them carry 4 to 5 requests a second
/// at the bounds seen so far, where a warm replica gets 2.
constexpr double most_callers = 3;
/// Least requests a second of a caller, where the bound is so small that one is all it allows.
constexpr double least_rate = 0.1;

} // namespace

cold_call_quota cold_call_quota_of(const cold_bounds& bounds, double requests_per_second,
                                   bool sole_caller) {
  const double planned = (requests_per_second * bounds.factor + bounds.allowance) / most_views;
  // In any second a caller sends the request it had saved up and what its rate brings.
  const double callers = sole_caller ? 1 : std::clamp(planned / 2, 1.0, most_callers);
  const auto whole_callers = static_cast<std::size_t>(callers);
  const double each = planned / static_cast<double>(whole_callers);
  return {whole_callers, std::max(each - 1, least_rate)};
}

void cold_bucket::start(base::time_point now) {
  if (!begun_) {
    filled_at_ = now;
    begun_ = true;
  }
}

double cold_bucket::level(const cold_call_quota& share, base::time_point now) const {
  const double gained = base::to_seconds(now - filled_at_) * share.rate;
  return std::min(1.0, tokens_ + gained);
}

bool cold_bucket::has_token(const cold_call_quota& share, base::time_point now) const {
  return begun_ && level(share, now) >= 1;
}

void cold_bucket::take_token(const cold_call_quota& share, base::time_point now) {
  tokens_ = level(share, now) - 1;
  filled_at_ = now;
}

void cold_callers::set_nodes(std::map<base::zone_id, std::vector<base::node_id>> by_zone) {
  by_zone_ = std::move(by_zone);
  all_.clear();
  for (const auto& [zone, nodes] : by_zone_) {
    all_.insert(all_.end(), nodes.begin(), nodes.end());
  }
  known_.clear();
}

bool cold_callers::includes_self(const base::replica_id& replica, const base::zone_id& zone,
                                 std::size_t count) {
  const auto known = known_.find(replica);
  if (known != known_.end()) {
    return known->second;
  }
  const auto near = by_zone_.find(zone);
  const auto& candidates = near == by_zone_.end() || near->second.empty() ? all_ : near->second;
  const auto chosen = base::rendezvous_top("cold/" + replica.text(), candidates, count);
  const bool included = std::find(chosen.begin(), chosen.end(), self_) != chosen.end();
  known_.emplace(replica, included);
  return included;
}

} // namespace spurrack::serving
