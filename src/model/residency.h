/// Regions in which a request may be served and its data may be stored, and regions of zones.
#pragma once

#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace spurrack::model {

/// Set of regions that a request is confined to, or no restriction. Immutable: determined once when
/// the request arrives; all work for the request is checked against this set.
class residency {
 public:
  /// Constructs a residency without restriction.
  residency() = default;
  static residency everywhere() { return {}; }
  /// @param regions the only allowed regions; if the set is empty, no region is allowed.
  static residency within(std::set<base::region_id> regions);

  /// @return the residency that allows only the regions that both residencies allow.
  [[nodiscard]] residency intersect(const residency& other) const;
  [[nodiscard]] bool is_restricted() const { return regions_.has_value(); }
  /// @return whether no region is allowed.
  [[nodiscard]] bool is_empty() const { return regions_ && regions_->empty(); }
  /// @param region region of the work; std::nullopt if it is not known. If it is not known, work is
  ///        permitted only if there is no restriction.
  /// @return whether work may be done in this region.
  [[nodiscard]] bool permits(const std::optional<base::region_id>& region) const;
  /// @return the allowed regions; empty if there is no restriction.
  [[nodiscard]] std::set<base::region_id> regions() const;

  bool operator==(const residency&) const = default;

 private:
  std::optional<std::set<base::region_id>> regions_;
};

/// Locality of a zone relative to another zone, nearest first.
enum class locality : std::uint8_t {
  zone,      ///< The same zone.
  region,    ///< Another zone of the same region.
  elsewhere, ///< A zone of another region, or another zone whose region is not known.
};
inline constexpr std::size_t locality_count = 3;
/// @return the lower-case name for metrics, which stays the same between versions.
std::string_view name_of(locality value);

/// Region of a zone. A zone whose region is not known is a region of its own, which never compares
/// equal to another region, even to one with the same name.
struct effective_region {
  /// std::nullopt if the settings name no region for the zone.
  std::optional<base::region_id> region;
  /// Name of the region, or of the zone if its region is not known.
  std::string name;
  auto operator<=>(const effective_region&) const = default;
};

/// Regions of the zones, from the settings.
class zone_regions {
 public:
  zone_regions() = default;
  explicit zone_regions(std::map<base::zone_id, base::region_id> regions)
      : regions_(std::move(regions)) {}

  /// @return the region of a zone; std::nullopt if the settings name none.
  [[nodiscard]] std::optional<base::region_id> region_of(const base::zone_id& zone) const;
  /// @return the region of each zone for which the settings name one.
  [[nodiscard]] const std::map<base::zone_id, base::region_id>& all() const { return regions_; }
  [[nodiscard]] effective_region effective_region_of(const base::zone_id& zone) const;
  /// @return whether both zones are in the same region. A zone whose region is not known shares a
  ///         region with no other zone.
  [[nodiscard]] bool are_in_same_region(const base::zone_id& first,
                                        const base::zone_id& second) const;
  /// @return locality of two zones relative to each other.
  [[nodiscard]] locality locality_between(const base::zone_id& first,
                                          const base::zone_id& second) const;
  /// @return whether both zones are known to be in different regions; false if the region of either
  ///         zone is not known.
  [[nodiscard]] bool are_in_different_regions(const base::zone_id& first,
                                              const base::zone_id& second) const;

 private:
  std::map<base::zone_id, base::region_id> regions_;
};

} // namespace spurrack::model
