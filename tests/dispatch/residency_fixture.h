/// Three regions and a zone without a region, for tests of residency.
#pragma once

#include "model/residency.h"
#include "serving/settings.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace spurrack::serving {

/// Zone `f` has no region.
inline const std::vector<std::string> residency_zones{"a", "b", "c", "d", "e", "f"};

inline model::zone_regions residency_regions() {
  std::map<base::zone_id, base::region_id> regions;
  const std::map<std::string, std::string> named{
      {"a", "north"}, {"b", "north"}, {"c", "south"}, {"d", "south"}, {"e", "west"}};
  for (const auto& [zone, region] : named) {
    regions[base::zone_id(zone)] = base::region_id(region);
  }
  return model::zone_regions(std::move(regions));
}

inline serving_settings residency_settings() {
  serving_settings settings;
  settings.regions = residency_regions();
  return settings;
}

inline model::residency within(const std::set<std::string>& names) {
  std::set<base::region_id> regions;
  for (const auto& name : names) {
    regions.insert(base::region_id(name));
  }
  return model::residency::within(std::move(regions));
}

} // namespace spurrack::serving
