/// Where the requests of a customer may be served and what they make may be kept.
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

/// The regions a request is held to. Immutable: a request is given one when it is taken in, and
/// everything that is done for it asks the same one.
class residency {
 public:
  /// Restricts nothing.
  residency() = default;
  static residency everywhere() { return {}; }
  /// @param regions the only regions allowed; none of them allows nothing.
  static residency within(std::set<base::region_id> regions);

  /// @return the regions that both allow.
  [[nodiscard]] residency intersect(const residency& other) const;
  [[nodiscard]] bool is_restricted() const { return regions_.has_value(); }
  /// @return whether no region is left.
  [[nodiscard]] bool is_empty() const { return regions_ && regions_->empty(); }
  /// @param region where something would be done; nothing where its region is not known, which only
  ///        a request without restriction may use.
  [[nodiscard]] bool permits(const std::optional<base::region_id>& region) const;
  /// @return the regions allowed; empty where there is no restriction.
  [[nodiscard]] std::set<base::region_id> regions() const;

  bool operator==(const residency&) const = default;

 private:
  std::optional<std::set<base::region_id>> regions_;
};

/// How far a place is, nearest first.
enum class locality : std::uint8_t {
  zone,      ///< The same zone.
  region,    ///< Another zone of the region.
  elsewhere, ///< Another region, or a zone whose region is not known.
};
inline constexpr std::size_t locality_count = 3;
/// @return the stable lower-case name, for metrics.
std::string_view name_of(locality which);

/// What is near to itself: a region, or a zone whose region is not known. The two never compare
/// equal, so that a zone is not taken for a region of the same name.
struct effective_region {
  /// Nothing where the settings name none.
  std::optional<base::region_id> region;
  /// Of the region, or of the zone that has none.
  std::string name;
  auto operator<=>(const effective_region&) const = default;
};

/// The region of each zone, from the settings.
class zone_regions {
 public:
  zone_regions() = default;
  explicit zone_regions(std::map<base::zone_id, base::region_id> regions)
      : regions_(std::move(regions)) {}

  /// @return nothing where the settings name no region for the zone.
  [[nodiscard]] std::optional<base::region_id> region_of(const base::zone_id& zone) const;
  /// @return every zone that has a region.
  [[nodiscard]] const std::map<base::zone_id, base::region_id>& all() const { return regions_; }
  [[nodiscard]] effective_region effective_region_of(const base::zone_id& zone) const;
  /// @return whether both zones are of one region; a zone without region is near itself alone.
  [[nodiscard]] bool are_in_same_region(const base::zone_id& one, const base::zone_id& other) const;
  /// @return how far two zones are from one another.
  [[nodiscard]] locality locality_between(const base::zone_id& one,
                                          const base::zone_id& other) const;
  /// @return whether both zones are known to lie in different regions. Where the settings name no
  ///         region, all zones are taken for one.
  [[nodiscard]] bool are_in_different_regions(const base::zone_id& one,
                                              const base::zone_id& other) const;

 private:
  std::map<base::zone_id, base::region_id> regions_;
};

} // namespace spurrack::model
