/// Chooses the replica of a request that every replica of its service can serve equally well.
#pragma once

#include "base/random.h"
#include "replicas/distance.h"
#include "replicas/region_spillover.h"
#include "replicas/replica_chooser.h"

namespace spurrack::serving {

/// Chooses the least loaded replica of this node's region. A replica in another zone counts as more
/// loaded by `distance::load_cost`, so that at equal loads nearer replicas are preferred. For the
/// requests that spill over (`region_spillover`), chooses the least loaded replica of the other
/// regions instead. Not thread-safe.
class least_loaded_chooser final : public replica_chooser {
 public:
  /// @param replicas, random must outlive this object.
  least_loaded_chooser(const replica_table& replicas, distance from_here,
                       base::random_source& random);

  [[nodiscard]] const replica_state* choose(const replica_requirements& demand,
                                            base::time_point now) override;

 private:
  /// @return the load of a replica plus the costs of its distance and of its recent failures, as a
  ///         multiple of its slots.
  [[nodiscard]] double cost_of(const replica_state& state, base::time_point now) const;
  /// @return the candidate with the lowest cost; null if there are no candidates. Chooses at random
  ///         among candidates with nearly equal costs.
  const replica_state* cheapest_of(const std::vector<const replica_state*>& candidates,
                                   base::time_point now);

  const replica_table* replicas_;
  distance from_here_;
  region_spillover spillover_;
  base::random_source* random_;
};

} // namespace spurrack::serving
