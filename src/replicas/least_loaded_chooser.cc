#include "replicas/least_loaded_chooser.h"

#include <utility>

namespace spurrack::serving {
namespace {

/// Maximum difference between two costs at which they still count as equal, as a fraction of the
/// slots.
constexpr double equal_cost_tolerance = 0.02;

} // namespace

least_loaded_chooser::least_loaded_chooser(const replica_table& replicas, distance from_here,
                                           base::random_source& random)
    : replicas_(&replicas), from_here_(std::move(from_here)), spillover_(random), random_(&random) {
}

double least_loaded_chooser::cost_of(const replica_state& state, base::time_point now) const {
  const double load = replica_table::load_of(state, now);
  const double distance_cost = distance::load_cost(from_here_.locality_of(state.record->zone));
  return load + distance_cost + replica_table::failure_load(state, now);
}

const replica_state*
least_loaded_chooser::cheapest_of(const std::vector<const replica_state*>& candidates,
                                  base::time_point now) {
  const replica_state* best = nullptr;
  double best_cost = 0;
  std::size_t ties = 0;
  for (const auto* state : candidates) {
    const double cost = cost_of(*state, now);
    if (best == nullptr || cost < best_cost - equal_cost_tolerance) {
      best = state;
      best_cost = cost;
      ties = 1;
    } else if (cost <= best_cost + equal_cost_tolerance && random_->below(++ties) == 0) {
      best = state;
    }
  }
  return best;
}

const replica_state* least_loaded_chooser::choose(const replica_requirements& demand,
                                                  base::time_point now) {
  const auto candidates = split_by_region(replicas_->candidates_for(demand, now), from_here_);
  const bool spills_over = spillover_.should_spill_over(candidates, now);
  return cheapest_of(spills_over ? candidates.elsewhere : candidates.near, now);
}

} // namespace spurrack::serving
