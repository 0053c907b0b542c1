/// Chooses the engine for a prompt: the one from which its first event is expected earliest.
#pragma once

#include "engines/engine_directory.h"
#include "engines/prefix_placement.h"
#include "replicas/distance.h"
#include "replicas/replica_chooser.h"

#include <vector>

namespace spurrack::serving {

/// All nodes compute the same order of preferred engines for a shared prefix. Chooses the first
/// one, unless a later one has a shorter expected wait even with the cost of prefilling the prefix
/// there included. The later ones are in the zone of the first one, as far as that zone has enough
/// engines. In an idle fleet, only a few engines are preferred for prompts with the same first
/// part. Prefixes that take long to prefill have their preferred engines anywhere in the fleet; for
/// shorter prefixes, engines of other regions are considered only if the load of this node's region
/// exceeds that of other regions by more than the cost of the distance. Not thread-safe.
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
  /// Returns the preferred engine with the shortest expected wait; null if all engines are loaded.
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
