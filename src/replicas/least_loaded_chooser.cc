#include "replicas/least_loaded_chooser.h"

#include <utility>

namespace spurrack::serving {
namespace {

/// Loads that differ by less are alike.
constexpr double alike = 0.02;

} // namespace

least_loaded_chooser::least_loaded_chooser(const replica_table& replicas, distance from_here,
                                           base::random_source& random)
    : replicas_(&replicas), from_here_(std::move(from_here)), spill_(random), random_(&random) {}

double least_loaded_chooser::cost_of(const replica_state& state, base::time_point now) const {
  const double load = replica_table::load_of(state, now);
  const double way = distance::load_cost(from_here_.locality_of(state.record->zone));
  return load + way + replica_table::failure_load(state, now);
}

const replica_state*
least_loaded_chooser::least_loaded_of(const std::vector<const replica_state*>& candidates,
                                      base::time_point now) {
  const replica_state* best = nullptr;
  double best_cost = 0;
  std::size_t ties = 0;
  for (const auto* state : candidates) {
    const double cost = cost_of(*state, now);
    if (best == nullptr || cost < best_cost - alike) {
      best = state;
      best_cost = cost;
      ties = 1;
    } else if (cost <= best_cost + alike && random_->below(++ties) == 0) {
      best = state;
    }
  }
  return best;
}

const replica_state* least_loaded_chooser::choose(const replica_demand& demand,
                                                  base::time_point now) {
  const auto candidates = split_by_region(replicas_->candidates_for(demand, now), from_here_);
  const bool leaves = spill_.should_spill_over(candidates, now);
  return least_loaded_of(leaves ? candidates.elsewhere : candidates.near, now);
}

} // namespace spurrack::serving
