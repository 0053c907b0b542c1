/// Regions that a residency allows, and regions of zones. Guards against work in a region that is
/// not allowed or not known.
#include "model/residency.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using model::residency;

namespace {

const base::region_id north("north");
const base::region_id south("south");
const base::region_id west("west");

} // namespace

BOOST_AUTO_TEST_SUITE(residency_test)

BOOST_AUTO_TEST_CASE(an_unrestricted_residency_allows_every_region_and_an_unknown_one) {
  const auto allowed = residency::everywhere();
  BOOST_TEST(!allowed.is_restricted());
  BOOST_TEST(!allowed.is_empty());
  BOOST_TEST(allowed.permits(north));
  BOOST_TEST(allowed.permits(std::nullopt));
}

BOOST_AUTO_TEST_CASE(a_restricted_residency_allows_only_its_known_regions) {
  const auto allowed = residency::within({north});
  BOOST_TEST(allowed.permits(north));
  BOOST_TEST(!allowed.permits(south));
  BOOST_TEST(!allowed.permits(std::nullopt));
}

BOOST_AUTO_TEST_CASE(an_intersection_allows_only_regions_that_both_residencies_allow) {
  const auto route = residency::within({north, south});
  const auto tenant = residency::within({south, west});
  BOOST_TEST((route.intersect(tenant) == residency::within({south})));
  BOOST_TEST((route.intersect(residency::everywhere()) == route));
  BOOST_TEST((residency::everywhere().intersect(tenant) == tenant));
  const auto none = route.intersect(residency::within({west}));
  BOOST_TEST(none.is_empty());
  BOOST_TEST(none.is_restricted());
  BOOST_TEST(!none.permits(west));
}

BOOST_AUTO_TEST_CASE(zones_are_in_the_same_region_only_if_the_settings_say_so) {
  const base::zone_id first("n1");
  const base::zone_id second("n2");
  const base::zone_id other("s1");
  const base::zone_id unnamed("x");
  const model::zone_regions regions({{first, north}, {second, north}, {other, south}});
  BOOST_TEST(regions.are_in_same_region(first, second));
  BOOST_TEST(!regions.are_in_same_region(first, other));
  BOOST_TEST(!regions.region_of(unnamed).has_value());
  BOOST_TEST(regions.are_in_same_region(unnamed, unnamed));
  BOOST_TEST(!regions.are_in_same_region(unnamed, base::zone_id("y")));
}

BOOST_AUTO_TEST_SUITE_END()
