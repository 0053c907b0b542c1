#include "replicas/distance.h"

namespace spurrack::serving {
namespace {

/// What a replica in another zone of the region must be better by, in parts of its slots.
constexpr double other_zone_load = 0.5;
/// The same for another region. A replica with all slots taken and half as many requests waiting is
/// passed over for an idle one elsewhere: below that the latency and the bytes between regions cost
/// more than the wait.
constexpr double other_region_load = 1.5;
/// What any work in another zone of the region costs, in seconds of waiting: its load is known a
/// second late.
constexpr double other_zone_seconds = 0.2;
/// The same for another region.
constexpr double other_region_seconds = 0.2;
/// What carrying a megabyte to another zone of the region costs, in seconds of waiting.
constexpr double other_zone_seconds_per_megabyte = 0.2;
/// The same for another region.
constexpr double other_region_seconds_per_megabyte = 0.5;
constexpr double bytes_per_megabyte = 1e6;

} // namespace

distance::distance(const base::zone_id& own_zone, const model::zone_regions& regions) {
  near_[own_zone] = model::ring::zone;
  for (const auto& [zone, region] : regions.all()) {
    const auto ring = regions.ring_between(own_zone, zone);
    if (ring == model::ring::region) {
      near_[zone] = ring;
    }
  }
}

model::ring distance::ring_to(const base::zone_id& zone) const {
  const auto found = near_.find(zone);
  return found == near_.end() ? model::ring::elsewhere : found->second;
}

double distance::load_cost(model::ring ring) {
  switch (ring) {
  case model::ring::zone:
    return 0;
  case model::ring::region:
    return other_zone_load;
  case model::ring::elsewhere:
    return other_region_load;
  }
  return other_region_load;
}

double distance::carrying_seconds(model::ring ring, double bytes) {
  const double megabytes = bytes / bytes_per_megabyte;
  switch (ring) {
  case model::ring::zone:
    return 0;
  case model::ring::region:
    return megabytes * other_zone_seconds_per_megabyte;
  case model::ring::elsewhere:
    break;
  }
  return megabytes * other_region_seconds_per_megabyte;
}

double distance::seconds(model::ring ring, double bytes) {
  switch (ring) {
  case model::ring::zone:
    return 0;
  case model::ring::region:
    return other_zone_seconds + carrying_seconds(ring, bytes);
  case model::ring::elsewhere:
    break;
  }
  return other_region_seconds + carrying_seconds(ring, bytes);
}

} // namespace spurrack::serving
