#include "replicas/distance.h"

namespace spurrack::serving {
namespace {

/// Load that is added to the load of a replica in another zone of this node's region when replicas
/// are compared, as a multiple of the replica's slots.
constexpr double other_zone_load = 0.5;
/// Load that is added to the load of a replica in another region when replicas are compared, as a
/// multiple of the replica's slots. An idle replica in another region counts as less loaded than a
/// replica in this node's zone only if the latter has all slots taken and, in addition, more than
/// half as many requests waiting as it has slots: at lower loads the latency and the bytes between
/// regions cost more than the wait.
constexpr double other_region_load = 1.5;
/// Fixed part of the cost of work in another zone of this node's region, in seconds of waiting. It
/// accounts for the delay of one second with which the load of the other zone is known.
constexpr double other_zone_seconds = 0.2;
/// Fixed part of the cost of work in another region, in seconds of waiting.
constexpr double other_region_seconds = 0.2;
/// Cost of transferring a megabyte to another zone of the region, in seconds of waiting.
constexpr double other_zone_seconds_per_megabyte = 0.2;
/// Cost of transferring a megabyte to another region, in seconds of waiting.
constexpr double other_region_seconds_per_megabyte = 0.5;
constexpr double bytes_per_megabyte = 1e6;

} // namespace

distance::distance(const base::zone_id& own_zone, const model::zone_regions& regions) {
  region_localities_[own_zone] = model::locality::zone;
  for (const auto& [zone, region] : regions.all()) {
    const auto locality = regions.locality_between(own_zone, zone);
    if (locality == model::locality::region) {
      region_localities_[zone] = locality;
    }
  }
}

model::locality distance::locality_of(const base::zone_id& zone) const {
  const auto found = region_localities_.find(zone);
  return found == region_localities_.end() ? model::locality::elsewhere : found->second;
}

double distance::load_cost(model::locality locality) {
  switch (locality) {
  case model::locality::zone:
    return 0;
  case model::locality::region:
    return other_zone_load;
  case model::locality::elsewhere:
    return other_region_load;
  }
  return other_region_load;
}

double distance::transfer_seconds(model::locality locality, double bytes) {
  const double megabytes = bytes / bytes_per_megabyte;
  switch (locality) {
  case model::locality::zone:
    return 0;
  case model::locality::region:
    return megabytes * other_zone_seconds_per_megabyte;
  case model::locality::elsewhere:
    break;
  }
  return megabytes * other_region_seconds_per_megabyte;
}

double distance::cost_seconds(model::locality locality, double bytes) {
  switch (locality) {
  case model::locality::zone:
    return 0;
  case model::locality::region:
    return other_zone_seconds + transfer_seconds(locality, bytes);
  case model::locality::elsewhere:
    break;
  }
  return other_region_seconds + transfer_seconds(locality, bytes);
}

} // namespace spurrack::serving
