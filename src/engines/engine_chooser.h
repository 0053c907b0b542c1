/// Engine for a prompt: where its first event is expected first.
#pragma once

#include "engines/engine_directory.h"
#include "engines/prefix_placement.h"
#include "replicas/distance.h"
#include "replicas/replica_chooser.h"

#include <vector>

namespace spurrack::serving {

/// In an idle fleet prompts with the same first part go to a few engines. Among them, the first
/// home of the shared parts, unless a later home would read all of the prompt sooner than the first
/// gets to it. Later homes are in the zone of the first, as far as it has engines. Parts that take
/// long to read have their homes anywhere in the fleet; for others, engines of other regions are
/// looked at only where those of the own are loaded by more than the way costs. Not thread-safe.
class engine_chooser final : public replica_chooser {
 public:
  /// @param replicas, directory must outlive this object.
  /// @param from_here tells which engines are near.
  /// @param fallback chooses for prompts that share nothing, and where every engine is
  ///        loaded; must outlive this object.
  engine_chooser(const replica_table& replicas, const engine_directory& directory,
                 distance from_here, replica_chooser& fallback);

  [[nodiscard]] const replica_state* choose(const replica_demand& demand,
                                            base::time_point now) override;

 private:
  [[nodiscard]] bool is_in_other_region(const replica_state& engine) const;
  /// @return null where all engines are loaded.
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
