#include "engines/engine_chooser.h"

#include "replicas/region_spillover.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace spurrack::serving {
namespace {

/// An engine is passed over for a prompt above this load, in parts of its slots.
constexpr double engine_load_bound = 0.6;
/// Homes of a part that are compared. Each is one more engine that may read it.
/// They are in the zone of the first where it has as many: the stages of a request are made for
/// that zone seconds before its prompt is sent, and waits that last less than the stages would move
/// prompts away from their results, which then hold their room for longer. With 60 engines in five
/// zones and all stage replicas busy, 6 in 100 long prompts were late instead of 24 with later
/// homes in any zone.
constexpr std::size_t most_homes = 4;
/// A later home must be better by this many times the reading of the shared tokens: what one prompt
/// gains there, others that wait behind the second reading lose. Simulated in placement_test with
/// 71 callers and 140 engines, a third of them evacuated under a burst: 1 has 6.4 M tokens read
/// again and 1.7 in 100 long prompts begun after 1.3 s, 3 has 5.3 M and 1.0, no messages between
/// callers 4.5 M and 1.6.
constexpr double reading_again_weight = 3.0;
/// What sending a prompt to another region costs, in time of an engine: a way of some tens of
/// milliseconds there and back, and the prompt's bytes. Shared parts that take longer to read have
/// one home in the whole fleet: with homes in each of three regions, all three read 13,300 tokens
/// that a few requests a minute share, a fifth of a second of an engine each time.
constexpr base::duration other_region_time = std::chrono::milliseconds(50);

/// @return the first home, the others of its zone, and homes elsewhere where the zone has too few.
std::vector<const replica_state*> homes_near_first(const shared_beginning& beginning,
                                                   std::vector<const replica_state*> engines) {
  const auto first = homes_of(beginning, engines, 1);
  if (first.empty()) {
    return {};
  }
  const auto& zone = first.front()->record->zone;
  const auto elsewhere = std::partition(engines.begin(), engines.end(), [&](const auto* engine) {
    return engine->record->zone == zone;
  });
  auto homes = homes_of(beginning, {engines.begin(), elsewhere}, most_homes);
  const auto others = homes_of(beginning, {elsewhere, engines.end()}, most_homes - homes.size());
  homes.insert(homes.end(), others.begin(), others.end());
  return homes;
}

} // namespace

engine_chooser::engine_chooser(const replica_table& replicas, const engine_directory& directory,
                               distance from_here, replica_chooser& without_prefix)
    : replicas_(&replicas), directory_(&directory), from_here_(std::move(from_here)),
      without_prefix_(&without_prefix) {}

bool engine_chooser::is_elsewhere(const replica_state& engine) const {
  return from_here_.locality_of(engine.record->zone) == model::locality::elsewhere;
}

const replica_state* engine_chooser::soonest_home(const shared_beginning& beginning,
                                                  const std::vector<const replica_state*>& engines,
                                                  base::time_point now) const {
  std::vector<const replica_state*> free_engines;
  for (const auto* engine : engines) {
    if (replica_table::load_of(*engine, now) < engine_load_bound) {
      free_engines.push_back(engine);
    }
  }
  const auto again = base::scaled(directory_->reading_time(beginning.tokens), reading_again_weight);
  const replica_state* best = nullptr;
  base::duration best_wait{};
  const auto readers = directory_->readers_of_a_part(free_engines.size(), now);
  free_engines = readers_of_first_part(beginning, std::move(free_engines), readers);
  for (const auto* home : homes_near_first(beginning, std::move(free_engines))) {
    const auto wait =
        directory_->expected_wait(*home, now) + (best == nullptr ? base::duration{} : again);
    if (best == nullptr || wait < best_wait) {
      best = home;
      best_wait = wait;
    }
  }
  return best;
}

const replica_state* engine_chooser::choose(const replica_demand& demand, base::time_point now) {
  if (demand.content.prompt_parts.empty()) {
    return without_prefix_->choose(demand, now);
  }
  auto candidates = replicas_->candidates_for(demand, now);
  const auto beginning = shared_beginning_of(demand.content);
  if (directory_->reading_time(beginning.tokens) > other_region_time) {
    const auto* home = soonest_home(beginning, candidates, now);
    return home != nullptr ? home : without_prefix_->choose(demand, now);
  }
  const auto by_region = split_by_region(std::move(candidates), from_here_);
  if (const auto* home = soonest_home(beginning, by_region.near, now)) {
    return home;
  }
  const auto* least_loaded = without_prefix_->choose(demand, now);
  if (least_loaded == nullptr || !is_elsewhere(*least_loaded)) {
    return least_loaded;
  }
  // The own region is loaded by more than the distance costs. Callers that come along for the same
  // part meet at one engine there, instead of each having it read somewhere else.
  const auto* home = soonest_home(beginning, by_region.elsewhere, now);
  return home != nullptr ? home : least_loaded;
}

} // namespace spurrack::serving
