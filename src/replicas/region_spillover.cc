#include "replicas/region_spillover.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace spurrack::serving {
namespace {

/// Loads reported longer ago say nothing of a region. One of 100 callers hears about ten in this
/// time from a region whose replicas bear 320 calls a second.
constexpr base::duration region_load_lifetime = std::chrono::seconds(3);
/// Above the cost of the way, in parts of slots: the share of requests that leave grows to all over
/// this difference, so that callers that see the same do not leave at once. With it a region of 300
/// callers simulated in region_spill_test that is half too busy has its calls wait 0.09 s in the
/// mean, 1.4 s where each caller goes by the loads it heard of late alone.
constexpr double spill_span = 0.7;

/// Where nothing was heard of elsewhere, and the own region is loaded by more than the way costs,
/// such a share of the requests goes and asks. Taken for idle, elsewhere is sent 0.37 to 0.60 of
/// all calls where all regions have 1.2 times what they bear; so it is 0.02 to 0.06
/// (region_spill_test).
constexpr double asking_share = 0.1;

/// Replicas of the own region that must have been heard of: one alone may be busy by chance.
constexpr std::size_t least_heard_near = 3;
/// Of the others, which few are sent to, one.
constexpr std::size_t least_heard_elsewhere = 1;

/// A replica that fails more than this share of its calls counts although it reports no load.
constexpr double mostly_failing = 0.5;

/// @return mean of what was heard of some replicas; nothing where nothing was.
std::optional<double> heard_cost(const std::vector<const replica_state*>& replicas,
                                 std::size_t least_heard, base::time_point now) {
  double sum = 0;
  std::size_t heard = 0;
  for (const auto* state : replicas) {
    if (state->reported_load && now - state->load_reported_at < region_load_lifetime) {
      sum += replica_table::load_reported_within(*state, region_load_lifetime, now) +
             replica_table::failure_load(*state, now);
      ++heard;
    } else if (replica_table::failure_share_of(*state, now) > mostly_failing) {
      sum += replica_table::failure_load(*state, now);
      ++heard;
    }
  }
  const bool is_known = heard > 0 && heard >= std::min(least_heard, replicas.size());
  return is_known ? std::optional(sum / static_cast<double>(heard)) : std::nullopt;
}

} // namespace

split_candidates split_by_region(std::vector<const replica_state*> candidates,
                                 const distance& from_here) {
  split_candidates found;
  const auto first_elsewhere =
      std::stable_partition(candidates.begin(), candidates.end(), [&](const auto* state) {
        return from_here.locality_of(state->record->zone) != model::locality::elsewhere;
      });
  found.elsewhere.assign(first_elsewhere, candidates.end());
  candidates.erase(first_elsewhere, candidates.end());
  found.near = std::move(candidates);
  return found;
}

bool region_spillover::should_spill_over(const split_candidates& candidates, base::time_point now) {
  if (candidates.near.empty() || candidates.elsewhere.empty()) {
    return candidates.near.empty();
  }
  const double beyond_way = heard_cost(candidates.near, least_heard_near, now).value_or(0) -
                            distance::load_cost(model::locality::elsewhere);
  if (beyond_way <= 0) {
    return false;
  }
  const auto elsewhere = heard_cost(candidates.elsewhere, least_heard_elsewhere, now);
  // Differences between long queues are mostly chance, and where all wait no region gains by
  // sending its calls to the others: the busier elsewhere is, the less a difference says.
  const double share =
      elsewhere ? (beyond_way - *elsewhere) / (spill_span * std::max(1.0, *elsewhere * *elsewhere))
                : asking_share;
  return share > 0 && random_->unit() < share;
}

} // namespace spurrack::serving
