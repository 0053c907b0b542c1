/// Engine for a prompt: where the parts that the prompt shares with others are likely kept.
#pragma once

#include "replicas/replica_chooser.h"

namespace spurrack::serving {

/// The same engine for the same shared part on every node, unless it is loaded far beyond the
/// others. Not thread-safe.
class prefix_chooser final : public replica_chooser {
 public:
  /// @param replicas must outlive this object.
  /// @param without_prefix chooses for prompts that share nothing, and where every engine is
  ///        loaded; must outlive this object.
  prefix_chooser(const replica_table& replicas, replica_chooser& without_prefix);

  [[nodiscard]] const replica_state* choose(const replica_demand& demand,
                                            base::time_point now) override;

 private:
  const replica_table* replicas_;
  replica_chooser* without_prefix_;
};

} // namespace spurrack::serving
