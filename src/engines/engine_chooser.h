/// Chooses the engine for a prompt: the one from which its first event is expected earliest.
#pragma once

#include "engines/engine_directory.h"
#include "engines/prefix_placement.h"
#include "replicas/distance.h"
#include "replicas/replica_chooser.h"

#include <vector>

namespace spurrack::serving {

/// Chooses an engine by the shared prefix of the prompt. All nodes compute the same order of
/// preferred engines for a prefix. The first preferred engine is chosen, unless a later one has a
/// shorter expected wait even if the cost of prefilling the prefix there is added to that wait. The
/// later ones are in the zone of the first one, as far as that zone has enough engines. In a large
/// idle fleet, the prompts with the same first part have their preferred engines among only a few
/// engines.
///
/// If a prefix takes long to prefill, its preferred engines are chosen among the engines of all
/// regions. For shorter prefixes, an engine of another region is chosen only if all engines of this
/// node's region are too loaded and `fallback` chooses a replica of another region. `fallback` does
/// so only if the load of this node's region exceeds that of other regions by more than the cost of
/// the distance, or if this node's region has no candidate.
///
/// Not thread-safe.
class engine_chooser final : public replica_chooser {
 public:
  /// @param replicas, directory must outlive this object.
  /// @param from_here distance of zones from this node.
  /// @param fallback chooses for prompts without a shared prefix, and if all engines are loaded;
  ///        must outlive this object.
  engine_chooser(const replica_table& replicas, const engine_directory& directory,
                 distance from_here, replica_chooser& fallback);

  [[nodiscard]] const replica_state* choose(const replica_requirements& demand,
                                            base::time_point now) override;

 private:
  [[nodiscard]] bool is_in_other_region(const replica_state& engine) const;
  /// Returns the preferred engine of the prefix, out of `engines`, that has the shortest expected
  /// wait; null if all of `engines` are too loaded. For all but the first preferred engine, the
  /// cost of prefilling the prefix there is added to the wait.
  [[nodiscard]] const replica_state*
  shortest_wait_engine(const shared_prompt_prefix& prefix,
                       const std::vector<const replica_state*>& engines,
                       base::time_point now) const;

  const replica_table* replicas_;
  const engine_directory* directory_;
  distance from_here_;
  replica_chooser* fallback_;
};

} // namespace spurrack::serving
