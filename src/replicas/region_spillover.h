/// Whether a request leaves its region: the choice between the replicas near a node and those
/// elsewhere, from views that are stale and differ from node to node.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "replicas/distance.h"
#include "replicas/replica_table.h"

#include <vector>

namespace spurrack::serving {

/// Replicas by how far they are.
struct split_candidates {
  /// Of the own zone and region.
  std::vector<const replica_state*> near;
  std::vector<const replica_state*> elsewhere;
};

/// @return the candidates by how far they are, each part in the order in which they were given.
[[nodiscard]] split_candidates split_by_region(std::vector<const replica_state*> candidates,
                                               const distance& from_here);

/// Not thread-safe.
///
/// One of many nodes calls each replica rarely, and does not know that a replica which it has not
/// called of late is as busy as the others. So it compares what it has heard of the whole region
/// over some seconds with what it has heard of elsewhere, and lets a share of its requests go that
/// grows with the difference: all nodes of a region that see the same do not leave at once.
class region_spillover {
 public:
  /// @param random must outlive this object.
  explicit region_spillover(base::random_source& random) : random_(&random) {}

  /// Draws by chance where there are replicas near and elsewhere.
  /// @return whether the next request goes elsewhere.
  [[nodiscard]] bool should_spill_over(const split_candidates& candidates, base::time_point now);

 private:
  base::random_source* random_;
};

} // namespace spurrack::serving
