#include "replicas/least_loaded_chooser.h"

#include <utility>

namespace spurrack::serving {
namespace {

/// What a replica that fails all calls is worse by, in parts of its slots.
constexpr double failure_cost = 3.0;
/// Loads that differ by less are alike.
constexpr double alike = 0.02;

} // namespace

least_loaded_chooser::least_loaded_chooser(const replica_table& replicas, distance from_here,
                                           base::random_source& random)
    : replicas_(&replicas), from_here_(std::move(from_here)), random_(&random) {}

const replica_state* least_loaded_chooser::choose(const replica_demand& demand,
                                                  base::time_point now) {
  const replica_state* best = nullptr;
  double best_cost = 0;
  std::size_t ties = 0;
  for (const auto* state : replicas_->candidates_for(demand, now)) {
    const double load = replica_table::load_of(*state, now);
    const double way = distance::load_cost(from_here_.ring_to(state->record->zone));
    const double failures = replica_table::failure_share_of(*state, now);
    const double cost = load + way + failure_cost * failures;
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

} // namespace spurrack::serving
