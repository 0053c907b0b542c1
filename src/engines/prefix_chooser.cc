#include "engines/prefix_chooser.h"

#include "base/hashing.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace spurrack::serving {
namespace {

/// An engine is passed over for a prompt above this load, in parts of its slots.
constexpr double engine_load_bound = 0.6;

/// Hash of the last part of a prompt that others share; 0 where there is none.
std::uint64_t affinity_of(const request_content& content) {
  if (content.prompt_parts.empty()) {
    return 0;
  }
  const auto last = content.prompt_parts.size() - 1;
  const auto& shared = content.prompt_parts[last > 0 ? last - 1 : 0];
  return base::stable_hash(shared.id, base::stable_hash(content.model)) | 1U;
}

/// @return the engine that keeps a shared part; null where all are loaded.
const replica_state* home_of(std::uint64_t affinity,
                             const std::vector<const replica_state*>& engines,
                             base::time_point now) {
  const replica_state* best = nullptr;
  std::uint64_t best_rank = 0;
  for (const auto* state : engines) {
    const auto rank = base::stable_hash(state->record->id.text(), affinity);
    const bool fits = replica_table::load_of(*state, now) < engine_load_bound;
    if (fits && (best == nullptr || rank >= best_rank)) {
      best = state;
      best_rank = rank;
    }
  }
  return best;
}

} // namespace

prefix_chooser::prefix_chooser(const replica_table& replicas, distance from_here,
                               replica_chooser& without_prefix)
    : replicas_(&replicas), from_here_(std::move(from_here)), without_prefix_(&without_prefix) {}

bool prefix_chooser::is_elsewhere(const replica_state& engine) const {
  return from_here_.ring_to(engine.record->zone) == model::ring::elsewhere;
}

const replica_state* prefix_chooser::choose(const replica_demand& demand, base::time_point now) {
  const auto affinity = affinity_of(demand.content);
  if (affinity == 0) {
    return without_prefix_->choose(demand, now);
  }
  auto near = replicas_->candidates_for(demand, now);
  const auto first_elsewhere = std::stable_partition(
      near.begin(), near.end(), [this](const auto* engine) { return !is_elsewhere(*engine); });
  const std::vector<const replica_state*> elsewhere(first_elsewhere, near.end());
  near.erase(first_elsewhere, near.end());
  if (const auto* home = home_of(affinity, near, now)) {
    return home;
  }
  const auto* least_loaded = without_prefix_->choose(demand, now);
  if (least_loaded == nullptr || !is_elsewhere(*least_loaded)) {
    return least_loaded;
  }
  // The own region is loaded by more than the way costs. Callers that come along for the same part
  // meet at one engine there, instead of each having it read somewhere else.
  const auto* home = home_of(affinity, elsewhere, now);
  return home != nullptr ? home : least_loaded;
}

} // namespace spurrack::serving
