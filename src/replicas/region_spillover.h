/// Decides whether a request is sent to another region, from load reports that are stale and differ
/// from node to node.
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

/// Splits the candidates into replicas of this node's region and replicas of other regions. Keeps
/// the order within each part.
[[nodiscard]] split_candidates split_by_region(std::vector<const replica_state*> candidates,
                                               const distance& from_here);

/// Sends a fraction of the requests to other regions (elsewhere) while this node's region is busier
/// by more than the cost of the distance.
///
/// In a large fleet a node calls each replica rarely and does not know the load of a replica that
/// it has not called recently. Therefore the node compares the mean load that the replicas of its
/// region reported within the last seconds with the mean load of the replicas elsewhere. The
/// fraction of requests that spill over grows with the difference, so that the nodes of a region,
/// which see the same loads, do not all send their requests elsewhere at once.
///
/// Not thread-safe.
class region_spillover {
 public:
  /// @param random must outlive this object.
  explicit region_spillover(base::random_source& random) : random_(&random) {}

  /// @return whether the next request is to be sent elsewhere: always if there are no candidates in
  ///         this node's region, never if there are none elsewhere, else at random for a fraction
  ///         of the requests.
  [[nodiscard]] bool should_spill_over(const split_candidates& candidates, base::time_point now);

 private:
  base::random_source* random_;
};

} // namespace spurrack::serving
