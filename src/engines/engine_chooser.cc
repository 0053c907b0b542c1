#include "engines/engine_chooser.h"

#include "replicas/region_spillover.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace spurrack::serving {
namespace {

/// An engine whose load is at least this fraction of its slots is not considered as a preferred
/// engine.
constexpr double max_engine_load = 0.6;
/// Maximum number of preferred engines of a prefix whose expected waits are compared. Each of them
/// may prefill the prefix again.
///
/// If the zone of the first preferred engine has enough engines, all of them are in that zone. The
/// reason is that the zone in which the stages of a request are to run is chosen seconds before the
/// prompt is sent: it is the zone of the engine that is chosen at that time. If the engines were in
/// several zones, a wait that is over before the stages end would move the prompt to another zone
/// than the results of its stages, and these would occupy memory for longer. With 60 engines in
/// five zones and all stage replicas busy, 6 in 100 long prompts were late; with later preferred
/// engines in any zone, 24 in 100 were late.
constexpr std::size_t max_preferred_engines = 4;
/// A later preferred engine is chosen instead of the first one only if its expected wait is shorter
/// by more than this many times the prefill time of the shared prefix. The factor is greater than 1
/// because the prompts that wait behind the repeated prefill at the later engine lose the time that
/// the moved prompt gains.
///
/// Simulated in placement_test with 71 nodes and 140 engines, a third of which are evacuated under
/// a burst. With a factor of 1, 6.4 M tokens are prefilled again and 1.7 in 100 long prompts wait
/// for more than 1.3 s for their first event; with 3, 5.3 M tokens and 1.0 in 100 prompts; without
/// messages between nodes, 4.5 M tokens and 1.6 in 100 prompts.
constexpr double repeated_prefill_weight = 3.0;
/// Cost of sending a prompt to another region, in time: a round trip of some tens of milliseconds
/// and the transfer of the prompt. If the shared prefix of a prompt takes longer than this to
/// prefill, the preferred engines are chosen among all engines of the fleet. When instead each of
/// three regions had its own preferred engines, each region prefilled the same 13,300 tokens, which
/// take an engine a fifth of a second, although only a few requests per minute shared them.
constexpr base::duration other_region_cost = std::chrono::milliseconds(50);

/// Returns the first preferred engine and the next preferred engines of its zone. If its zone has
/// fewer than `max_preferred_engines` engines, the preferred engines of other zones follow.
std::vector<const replica_state*>
preferred_engines_near_first(const shared_prompt_prefix& prefix,
                             std::vector<const replica_state*> engines) {
  const auto first = preferred_engines_of(prefix, engines, 1);
  if (first.empty()) {
    return {};
  }
  const auto& zone = first.front()->record->zone;
  const auto zone_end = std::partition(engines.begin(), engines.end(), [&](const auto* engine) {
    return engine->record->zone == zone;
  });
  auto preferred = preferred_engines_of(prefix, {engines.begin(), zone_end}, max_preferred_engines);
  const auto others = preferred_engines_of(prefix, {zone_end, engines.end()},
                                           max_preferred_engines - preferred.size());
  preferred.insert(preferred.end(), others.begin(), others.end());
  return preferred;
}

} // namespace

engine_chooser::engine_chooser(const replica_table& replicas, const engine_directory& directory,
                               distance from_here, replica_chooser& fallback)
    : replicas_(&replicas), directory_(&directory), from_here_(std::move(from_here)),
      fallback_(&fallback) {}

bool engine_chooser::is_in_other_region(const replica_state& engine) const {
  return from_here_.locality_of(engine.record->zone) == model::locality::elsewhere;
}

const replica_state*
engine_chooser::shortest_wait_engine(const shared_prompt_prefix& prefix,
                                     const std::vector<const replica_state*>& engines,
                                     base::time_point now) const {
  std::vector<const replica_state*> available_engines;
  for (const auto* engine : engines) {
    if (replica_table::load_of(*engine, now) < max_engine_load) {
      available_engines.push_back(engine);
    }
  }
  const auto repeated_prefill_cost =
      base::scaled(directory_->prefill_time(prefix.tokens), repeated_prefill_weight);
  const replica_state* best = nullptr;
  base::duration best_wait{};
  const auto replica_count = directory_->prefix_replica_count(available_engines.size(), now);
  available_engines = engines_for_first_part(prefix, std::move(available_engines), replica_count);
  for (const auto* engine : preferred_engines_near_first(prefix, std::move(available_engines))) {
    const auto wait = directory_->expected_wait(*engine, now) +
                      (best == nullptr ? base::duration{} : repeated_prefill_cost);
    if (best == nullptr || wait < best_wait) {
      best = engine;
      best_wait = wait;
    }
  }
  return best;
}

const replica_state* engine_chooser::choose(const replica_requirements& demand,
                                            base::time_point now) {
  if (demand.content.prompt_parts.empty()) {
    return fallback_->choose(demand, now);
  }
  auto candidates = replicas_->candidates_for(demand, now);
  const auto prefix = shared_prompt_prefix_of(demand.content);
  if (directory_->prefill_time(prefix.tokens) > other_region_cost) {
    const auto* engine = shortest_wait_engine(prefix, candidates, now);
    return engine != nullptr ? engine : fallback_->choose(demand, now);
  }
  const auto by_region = split_by_region(std::move(candidates), from_here_);
  if (const auto* engine = shortest_wait_engine(prefix, by_region.near, now)) {
    return engine;
  }
  const auto* least_loaded = fallback_->choose(demand, now);
  if (least_loaded == nullptr || !is_in_other_region(*least_loaded)) {
    return least_loaded;
  }
  // The engines of this node's region are so loaded that the prompt is sent to another region.
  // There, the engine is chosen by the shared prefix and not by the least load. Otherwise each node
  // that sends prompts with this prefix to that region would have the prefix prefilled by a
  // different engine.
  const auto* engine = shortest_wait_engine(prefix, by_region.elsewhere, now);
  return engine != nullptr ? engine : least_loaded;
}

} // namespace spurrack::serving
