/// Decides whether a request is sent to another region. The decision is based on load reports that
/// are stale and differ from node to node.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "replicas/distance.h"
#include "replicas/replica_table.h"

#include <vector>

namespace spurrack::serving {

/// Candidates split by region.
struct split_candidates {
  /// Replicas of this node's region, including those in this node's zone.
  std::vector<const replica_state*> near;
  /// Replicas of other regions.
  std::vector<const replica_state*> elsewhere;
};

/// Splits the candidates by region. Keeps the order within each part.
[[nodiscard]] split_candidates split_by_region(std::vector<const replica_state*> candidates,
                                               const distance& from_here);

/// Decides which requests spill over to other regions: a fraction of them, while the mean load of
/// the replicas of this node's region (calls divided by slots) exceeds that of other regions by
/// more than `distance::load_cost`. The fraction grows with the difference, so that the nodes of a
/// region, which see the same loads, do not all send their requests to another region at once.
///
/// The means are computed from load reports of the last seconds: in a large fleet a node calls each
/// replica too rarely to know the load of a single one.
///
/// Not thread-safe.
class region_spillover {
 public:
  /// @param random must outlive this object.
  explicit region_spillover(base::random_source& random) : random_(&random) {}

  /// @return whether the next request is to be sent to another region: always if there are no
  ///         candidates in this node's region, never if there are none in other regions, else at
  ///         random for a fraction of the requests.
  [[nodiscard]] bool should_spill_over(const split_candidates& candidates, base::time_point now);

 private:
  base::random_source* random_;
};

} // namespace spurrack::serving
