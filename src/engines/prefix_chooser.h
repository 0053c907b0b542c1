/// Engine for a prompt: where the parts that the prompt shares with others are likely kept.
#pragma once

#include "replicas/distance.h"
#include "replicas/replica_chooser.h"

namespace spurrack::serving {

/// The same engine for the same shared part on every node of a region, unless it is loaded far
/// beyond the others. The engines of other regions are looked at only where those of the own are
/// loaded by more than the way costs. Not thread-safe.
class prefix_chooser final : public replica_chooser {
 public:
  /// @param replicas must outlive this object.
  /// @param from_here tells which engines are near.
  /// @param without_prefix chooses for prompts that share nothing, and where every engine is
  ///        loaded; must outlive this object.
  prefix_chooser(const replica_table& replicas, distance from_here,
                 replica_chooser& without_prefix);

  [[nodiscard]] const replica_state* choose(const replica_demand& demand,
                                            base::time_point now) override;

 private:
  [[nodiscard]] bool is_elsewhere(const replica_state& engine) const;

  const replica_table* replicas_;
  distance from_here_;
  replica_chooser* without_prefix_;
};

} // namespace spurrack::serving
