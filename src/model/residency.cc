#include "model/residency.h"

#include <algorithm>
#include <iterator>

namespace spurrack::model {

residency residency::within(std::set<base::region_id> regions) {
  residency result;
  result.regions_ = std::move(regions);
  return result;
}

residency residency::intersect(const residency& other) const {
  if (!regions_) {
    return other;
  }
  if (!other.regions_) {
    return *this;
  }
  std::set<base::region_id> both;
  std::set_intersection(regions_->begin(), regions_->end(), other.regions_->begin(),
                        other.regions_->end(), std::inserter(both, both.end()));
  return within(std::move(both));
}

bool residency::permits(const std::optional<base::region_id>& region) const {
  return !regions_ || (region && regions_->contains(*region));
}

std::set<base::region_id> residency::regions() const {
  return regions_.value_or(std::set<base::region_id>());
}

std::string_view name_of(locality value) {
  switch (value) {
  case locality::zone:
    return "zone";
  case locality::region:
    return "region";
  case locality::elsewhere:
    break;
  }
  return "elsewhere";
}

std::optional<base::region_id> zone_regions::region_of(const base::zone_id& zone) const {
  const auto found = regions_.find(zone);
  return found == regions_.end() ? std::nullopt : std::optional(found->second);
}

effective_region zone_regions::effective_region_of(const base::zone_id& zone) const {
  const auto region = region_of(zone);
  return {region, region ? region->text() : zone.text()};
}

bool zone_regions::are_in_different_regions(const base::zone_id& first,
                                            const base::zone_id& second) const {
  return region_of(first) && region_of(second) && region_of(first) != region_of(second);
}

bool zone_regions::are_in_same_region(const base::zone_id& first,
                                      const base::zone_id& second) const {
  const auto region = region_of(first);
  return first == second || (region && region == region_of(second));
}

locality zone_regions::locality_between(const base::zone_id& first,
                                        const base::zone_id& second) const {
  if (first == second) {
    return locality::zone;
  }
  return are_in_same_region(first, second) ? locality::region : locality::elsewhere;
}

} // namespace spurrack::model
