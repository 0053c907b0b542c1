/// Catalog entries of evacuations. A node that has not received the deletion of an evacuation
/// detects the deletion from a listing that lacks the evacuation.
#include "catalog/catalog.h"
#include "model/serving_record_parser.h"
#include "wire/published.pb.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;

namespace {

wire::catalog_entry evacuation_entry(const std::string& zone, base::revision revision) {
  wire::published_evacuation record;
  record.set_zone(zone);
  wire::catalog_entry entry;
  entry.set_key(std::string(model::evacuation_prefix) + zone);
  entry.set_revision(revision);
  entry.set_value(record.SerializeAsString());
  return entry;
}

wire::catalog_entry deletion_entry(const std::string& zone, base::revision revision) {
  auto entry = evacuation_entry(zone, revision);
  entry.set_deleted(true);
  entry.clear_value();
  return entry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation_entries)

BOOST_AUTO_TEST_CASE(latest_entry_is_in_effect_after_any_order_of_entries) {
  catalog::catalog content;
  content.apply(evacuation_entry("a", 3));
  BOOST_TEST(content.evacuated_zones().contains(base::zone_id("a")));
  const auto changes = content.serving_changes();
  content.apply(deletion_entry("a", 5));
  BOOST_TEST(content.evacuated_zones().empty());
  BOOST_TEST(content.serving_changes() > changes);
  content.apply(evacuation_entry("a", 4));
  BOOST_TEST(content.evacuated_zones().empty());
  content.apply(evacuation_entry("a", 6));
  BOOST_TEST(content.evacuated_zones().size() == 1U);
}

BOOST_AUTO_TEST_CASE(listing_without_an_evacuation_yields_its_deletion) {
  catalog::catalog content;
  content.apply(evacuation_entry("a", 3));
  content.apply(evacuation_entry("b", 4));
  content.apply(evacuation_entry("c", 9));
  const auto deletions = content.deletions_of_unlisted_evacuations({"evacuations/b"}, {0, 8});
  BOOST_REQUIRE(deletions.size() == 1U);
  BOOST_TEST(deletions.front().key() == "evacuations/a");
  BOOST_TEST(deletions.front().deleted());
  // The listing reflects the writes up to revision 8. The evacuation of `c` was written at revision
  // 9, so it stays in effect although the listing lacks it.
  content.apply(deletions.front());
  BOOST_TEST(content.evacuated_zones().size() == 2U);
}

BOOST_AUTO_TEST_CASE(malformed_record_leaves_evacuation_in_effect) {
  catalog::catalog content;
  content.apply(evacuation_entry("a", 3));
  auto malformed = evacuation_entry("a", 4);
  malformed.set_value("\xff\xff");
  BOOST_TEST((content.apply(malformed).verdict == catalog::apply_verdict::rejected));
  BOOST_TEST(content.evacuated_zones().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
