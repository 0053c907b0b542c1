#include "replicas/region_spill.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Loads told longer ago say nothing of a region. One of 100 callers hears about ten in this time
/// from a region whose replicas bear 320 calls a second.
constexpr base::duration region_load_lifetime = std::chrono::seconds(3);
/// Above the cost of the way, in parts of slots: the share of requests that leave grows to all over
/// this difference. With 300 simulated callers half of it sends 1.5 instead of 0.4 in 100 calls
/// away where all regions are as busy (0.85), and twice of it lets calls of a region that is half
/// too busy wait 87 instead of 70 ms.
constexpr double spill_span = 1.0;

/// @return mean cost of what was heard of some replicas; 0 where nothing was.
double heard_cost(const std::vector<const replica_state*>& replicas, base::time_point now) {
  double sum = 0;
  std::size_t heard = 0;
  for (const auto* state : replicas) {
    if (state->told && now - state->told_at < region_load_lifetime) {
      sum += replica_table::load_within(*state, region_load_lifetime, now);
      ++heard;
    }
  }
  return heard == 0 ? 0 : sum / static_cast<double>(heard);
}

} // namespace

region_spill::region_spill(distance from_here, base::random_source& random)
    : from_here_(std::move(from_here)), random_(&random) {}

split_candidates region_spill::split(std::vector<const replica_state*> candidates) const {
  split_candidates found;
  const auto first_elsewhere =
      std::stable_partition(candidates.begin(), candidates.end(), [this](const auto* state) {
        return from_here_.ring_to(state->record->zone) != model::ring::elsewhere;
      });
  found.elsewhere.assign(first_elsewhere, candidates.end());
  candidates.erase(first_elsewhere, candidates.end());
  found.near = std::move(candidates);
  return found;
}

bool region_spill::goes_elsewhere(const split_candidates& candidates, base::time_point now) {
  if (candidates.near.empty() || candidates.elsewhere.empty()) {
    return candidates.near.empty();
  }
  const double way = distance::load_cost(model::ring::elsewhere);
  const double excess =
      heard_cost(candidates.near, now) - heard_cost(candidates.elsewhere, now) - way;
  return excess > 0 && random_->unit() < excess / spill_span;
}

} // namespace spurrack::serving
