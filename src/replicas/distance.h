/// How far zones are from one another and what that costs: the one model of distance for plain
/// calls, engines and stage work. No network; regions come from the settings.
///
/// How to use it: find the ring of a place with `locality_of`
/// (between other zones: `zone_regions::locality_between`), look for what is
/// wanted ring by ring, and go on to the next ring only where it is better by more than its cost:
/// `load_cost` for choices between replicas by load, `cost_seconds` for choices by expected
/// waiting. In a fleet of one region no place is `elsewhere`, so such a choice is the same as
/// without regions.
#pragma once

#include "base/ids.h"
#include "model/residency.h"

#include <unordered_map>

namespace spurrack::serving {

/// Immutable.
class distance {
 public:
  /// @param own_zone where this node is.
  distance(const base::zone_id& own_zone, const model::zone_regions& regions);

  /// @return how far a zone is from this node.
  [[nodiscard]] model::locality locality_of(const base::zone_id& zone) const;

  /// @return by how much a replica in the ring must be less loaded than one in the own zone to be
  ///         chosen, in parts of its slots.
  [[nodiscard]] static double load_cost(model::locality locality);
  /// @return what carrying bytes there or back costs, in seconds of waiting.
  [[nodiscard]] static double transfer_seconds(model::locality locality, double bytes);
  /// @param bytes carried there or back.
  /// @return what work in the ring costs beside its wait, in seconds of waiting.
  [[nodiscard]] static double cost_seconds(model::locality locality, double bytes);

 private:
  /// Rings of the zones of the own region; asked for every replica of a service on every choice.
  std::unordered_map<base::zone_id, model::locality> near_;
};

} // namespace spurrack::serving
