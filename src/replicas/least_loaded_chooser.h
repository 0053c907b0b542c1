/// Replica for a request that any replica of its service serves alike.
#pragma once

#include "base/random.h"
#include "replicas/distance.h"
#include "replicas/region_spillover.h"
#include "replicas/replica_chooser.h"

namespace spurrack::serving {

/// The least loaded replica of the own region, nearer ones first where loads are alike; one
/// elsewhere where the region is busier by more than the way costs. Not thread-safe.
class least_loaded_chooser final : public replica_chooser {
 public:
  /// @param replicas, random must outlive this object.
  least_loaded_chooser(const replica_table& replicas, distance from_here,
                       base::random_source& random);

  [[nodiscard]] const replica_state* choose(const replica_demand& demand,
                                            base::time_point now) override;

 private:
  /// @return load and what the way and failures cost, in parts of slots.
  [[nodiscard]] double cost_of(const replica_state& state, base::time_point now) const;
  /// @return the least loaded of some replicas; null where there are none.
  const replica_state* least_loaded_of(const std::vector<const replica_state*>& candidates,
                                       base::time_point now);

  const replica_table* replicas_;
  distance from_here_;
  region_spillover spill_;
  base::random_source* random_;
};

} // namespace spurrack::serving
