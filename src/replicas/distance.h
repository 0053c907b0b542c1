/// Locality of zones (same zone, same region, elsewhere) and the cost of choosing a farther
/// locality: the single model of distance for plain calls, engines and stage work. No network I/O;
/// regions come from the settings.
///
/// Usage: search the localities from near to far, and prefer a candidate in a farther locality only
/// if the candidate is better by more than the cost of its locality: `load_cost` for choices
/// between replicas by load, `cost_seconds` for choices by expected wait. A cost in seconds is the
/// wait that is accepted to avoid the distance. In a fleet of one region no zone is `elsewhere`,
/// and all choices are the same as without regions.
#pragma once

#include "base/ids.h"
#include "model/residency.h"

#include <unordered_map>

namespace spurrack::serving {

/// Distance of zones from this node. Immutable.
class distance {
 public:
  distance(const base::zone_id& own_zone, const model::zone_regions& regions);

  /// @return the locality of a zone relative to this node's zone. For the locality of two zones
  ///         relative to each other see `zone_regions::locality_between`.
  [[nodiscard]] model::locality locality_of(const base::zone_id& zone) const;

  /// @return the load, relative to the slots, by which a replica in the locality must be less
  ///         loaded than a replica in this node's zone to be preferred.
  [[nodiscard]] static double load_cost(model::locality locality);
  /// @return cost of transferring bytes to or from the locality, in seconds of waiting.
  [[nodiscard]] static double transfer_seconds(model::locality locality, double bytes);
  /// @param bytes bytes transferred to or from the locality.
  /// @return cost of work in the locality in addition to the wait for a replica there, in seconds
  ///         of waiting.
  [[nodiscard]] static double cost_seconds(model::locality locality, double bytes);

 private:
  /// Localities of the zones of this node's region. A hash map, because every choice looks up the
  /// zone of every replica of the service.
  std::unordered_map<base::zone_id, model::locality> region_localities_;
};

} // namespace spurrack::serving
