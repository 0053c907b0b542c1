#include "replicas/cold_limit.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Maximum number of parts into which the fleet may be partitioned without breaking the bound on
/// requests to a cold replica; each part chooses its own callers.
constexpr double max_partitions = 2;
/// Maximum number of callers of a cold replica. With the bounds that the deployments seen so far
/// set for cold replicas, 3 callers together may send 4 to 5 requests per second to a cold replica.
/// That is more than the 2 that a warm replica gets there, so more callers would not spread the
/// load after a restart any better.
constexpr double max_callers = 3;
/// Minimum rate of a caller in requests per second. Applies if the caller's part of the bound is
/// little more, or even less, than the one request per second that its saved token permits.
constexpr double min_requests_per_second = 0.1;

} // namespace

cold_call_quota cold_call_quota_of(const cold_bounds& bounds, double requests_per_second,
                                   bool has_single_caller) {
  const double planned = (requests_per_second * bounds.factor + bounds.allowance) / max_partitions;
  // Within any second a caller may send one request with the token that its bucket has saved, and
  // further requests at its rate. Therefore its rate is its part of the bound less one.
  const double callers = has_single_caller ? 1 : std::clamp(planned / 2, 1.0, max_callers);
  const auto caller_count = static_cast<std::size_t>(callers);
  const double per_caller = planned / static_cast<double>(caller_count);
  return {caller_count, std::max(per_caller - 1, min_requests_per_second)};
}

void cold_bucket::start(base::time_point now) {
  if (!is_started_) {
    updated_at_ = now;
    is_started_ = true;
  }
}

double cold_bucket::level(const cold_call_quota& quota, base::time_point now) const {
  const double added = base::to_seconds(now - updated_at_) * quota.requests_per_second;
  return std::min(1.0, tokens_ + added);
}

bool cold_bucket::has_token(const cold_call_quota& quota, base::time_point now) const {
  return is_started_ && level(quota, now) >= 1;
}

void cold_bucket::take_token(const cold_call_quota& quota, base::time_point now) {
  tokens_ = level(quota, now) - 1;
  updated_at_ = now;
}

void cold_callers::set_nodes(std::map<base::zone_id, std::vector<base::node_id>> by_zone) {
  by_zone_ = std::move(by_zone);
  all_nodes_.clear();
  for (const auto& [zone, nodes] : by_zone_) {
    all_nodes_.insert(all_nodes_.end(), nodes.begin(), nodes.end());
  }
  includes_self_.clear();
}

bool cold_callers::includes_self(const base::replica_id& replica, const base::zone_id& zone,
                                 std::size_t count) {
  const auto cached = includes_self_.find(replica);
  if (cached != includes_self_.end()) {
    return cached->second;
  }
  const auto same_zone = by_zone_.find(zone);
  const auto& candidates =
      same_zone == by_zone_.end() || same_zone->second.empty() ? all_nodes_ : same_zone->second;
  const auto chosen = base::rendezvous_top("cold/" + replica.text(), candidates, count);
  const bool included = std::find(chosen.begin(), chosen.end(), self_) != chosen.end();
  includes_self_.emplace(replica, included);
  return included;
}

} // namespace spurrack::serving
