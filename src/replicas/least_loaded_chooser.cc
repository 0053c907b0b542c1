#include "replicas/least_loaded_chooser.h"

#include <utility>

namespace spurrack::serving {
namespace {

/// What a replica in another zone must be better by, in parts of its slots.
constexpr double other_zone_cost = 0.5;
/// What a replica that fails all calls is worse by, in parts of its slots.
constexpr double failure_cost = 3.0;
/// Loads that differ by less are alike.
constexpr double alike = 0.02;

} // namespace

least_loaded_chooser::least_loaded_chooser(const replica_table& replicas, base::zone_id own_zone,
                                           base::random_source& random)
    : replicas_(&replicas), own_zone_(std::move(own_zone)), random_(&random) {}

const replica_state* least_loaded_chooser::choose(const replica_demand& demand,
                                                  base::time_point now) {
  const replica_state* best = nullptr;
  double best_cost = 0;
  std::size_t ties = 0;
  for (const auto* state : replicas_->candidates_for(demand, now)) {
    const double zone_cost = state->record->zone == own_zone_ ? 0 : other_zone_cost;
    const double load = replica_table::load_of(*state, now);
    const double cost = load + zone_cost + failure_cost * state->failure_share;
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
