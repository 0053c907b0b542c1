/// Replica for a request that any replica of its service serves alike.
#pragma once

#include "base/random.h"
#include "replicas/distance.h"
#include "replicas/replica_chooser.h"

namespace spurrack::serving {

/// The least loaded replica, nearer ones first where loads are alike. Not thread-safe.
class least_loaded_chooser final : public replica_chooser {
 public:
  /// @param replicas, random must outlive this object.
  least_loaded_chooser(const replica_table& replicas, distance from_here,
                       base::random_source& random);

  [[nodiscard]] const replica_state* choose(const replica_demand& demand,
                                            base::time_point now) override;

 private:
  const replica_table* replicas_;
  distance from_here_;
  base::random_source* random_;
};

} // namespace spurrack::serving
