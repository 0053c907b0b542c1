#include "engines/prefix_chooser.h"

#include "base/hashing.h"

#include <cstdint>

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

} // namespace

prefix_chooser::prefix_chooser(const replica_table& replicas, replica_chooser& without_prefix)
    : replicas_(&replicas), without_prefix_(&without_prefix) {}

const replica_state* prefix_chooser::choose(const replica_demand& demand, base::time_point now) {
  const auto affinity = affinity_of(demand.content);
  const replica_state* best = nullptr;
  std::uint64_t best_rank = 0;
  if (affinity != 0) {
    for (const auto* state : replicas_->candidates_for(demand, now)) {
      const auto rank = base::stable_hash(state->record->id.text(), affinity);
      const bool fits = replica_table::load_of(*state, now) < engine_load_bound;
      if (fits && (best == nullptr || rank >= best_rank)) {
        best = state;
        best_rank = rank;
      }
    }
  }
  return best != nullptr ? best : without_prefix_->choose(demand, now);
}

} // namespace spurrack::serving
