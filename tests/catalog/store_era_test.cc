/// Entries of a store that was restored from an older backup. The revision of the store goes back
/// to the revision of the backup, so the store assigns revisions again that it had assigned before.
#include "catalog/catalog.h"
#include "model/serving_record_parser.h"
#include "wire/published.pb.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace spurrack;
using catalog::apply_verdict;

namespace {

wire::catalog_entry entry(base::store_era era, base::revision revision, const std::string& key,
                          const std::string& value) {
  wire::catalog_entry result;
  result.set_era(era);
  result.set_revision(revision);
  result.set_key(key);
  result.set_value(value);
  result.set_deleted(value.empty());
  return result;
}

const std::string replica_key = std::string(model::replica_prefix) + "r";

std::string replica(bool draining, const std::string& address = "10.0.0.1:80") {
  wire::published_replica record;
  record.set_id("r");
  record.set_service("s");
  record.set_address(address);
  record.set_zone("a");
  record.set_slots(4);
  record.set_draining(draining);
  record.set_started_at_milliseconds(77);
  return record.SerializeAsString();
}

std::string configuration(std::uint64_t version) {
  wire::published_configuration record;
  record.set_version(version);
  record.add_services()->set_name("s");
  return record.SerializeAsString();
}

const model::replica& known_replica(const catalog::catalog& content) {
  return *content.replicas().at(base::replica_id("r"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_era)

BOOST_AUTO_TEST_CASE(entry_of_a_later_era_with_a_lower_revision_is_accepted) {
  catalog::catalog content;
  content.apply(entry(1, 100, replica_key, replica(false)));
  const auto result = content.apply(entry(2, 90, replica_key, replica(false, "10.0.0.2:80")));
  BOOST_CHECK(result.verdict == apply_verdict::accepted);
  BOOST_TEST(known_replica(content).address.text() == "10.0.0.2:80");
}

BOOST_AUTO_TEST_CASE(entry_of_a_later_era_replaces_an_entry_with_the_same_revision) {
  const auto before = entry(1, 100, replica_key, replica(false, "10.0.0.1:80"));
  const auto after = entry(2, 100, replica_key, replica(false, "10.0.0.2:80"));
  for (const bool reversed : {false, true}) {
    catalog::catalog content;
    content.apply(reversed ? after : before);
    content.apply(reversed ? before : after);
    BOOST_TEST(known_replica(content).address.text() == "10.0.0.2:80");
  }
}

BOOST_AUTO_TEST_CASE(content_is_equal_after_any_order_of_entries_of_two_eras) {
  std::vector<wire::catalog_entry> entries{
      entry(1, 100, replica_key, replica(false)),
      entry(1, 101, replica_key, ""),
      entry(2, 95, replica_key, replica(false, "10.0.0.3:80")),
      entry(2, 96, replica_key, replica(true, "10.0.0.3:80")),
      entry(1, 102, std::string(model::configuration_key), configuration(31)),
      entry(2, 90, std::string(model::configuration_key), configuration(30)),
      entry(2, 97, std::string(model::configuration_key), configuration(31))};
  std::mt19937 order(3);
  std::optional<std::uint64_t> expected_hash;
  for (int round = 0; round < 30; ++round) {
    std::shuffle(entries.begin(), entries.end(), order);
    catalog::catalog content;
    for (const auto& offered : entries) {
      content.apply(offered);
    }
    BOOST_TEST(content.serving()->version == 31U);
    BOOST_TEST(known_replica(content).draining);
    BOOST_TEST(content.content_hash() == expected_hash.value_or(content.content_hash()));
    expected_hash = content.content_hash();
  }
}

BOOST_AUTO_TEST_CASE(configuration_is_ordered_by_its_version_across_eras) {
  catalog::catalog content;
  const std::string key(model::configuration_key);
  content.apply(entry(1, 100, key, configuration(30)));
  content.apply(entry(1, 110, key, configuration(31)));
  BOOST_CHECK(content.apply(entry(2, 100, key, configuration(30))).verdict == apply_verdict::older);
  BOOST_TEST(content.serving()->version == 31U);
  BOOST_CHECK(content.apply(entry(2, 105, key, configuration(31))).verdict ==
              apply_verdict::accepted);
  BOOST_CHECK(content.apply(entry(2, 106, key, configuration(33))).verdict ==
              apply_verdict::accepted);
  BOOST_TEST(content.serving()->version == 33U);
}

BOOST_AUTO_TEST_CASE(configuration_with_a_higher_version_is_accepted_from_an_earlier_era) {
  catalog::catalog content;
  const std::string key(model::configuration_key);
  content.apply(entry(2, 100, key, configuration(30)));
  BOOST_CHECK(content.apply(entry(1, 110, key, configuration(31))).verdict ==
              apply_verdict::accepted);
  BOOST_TEST(content.serving()->version == 31U);
}

BOOST_AUTO_TEST_CASE(draining_replica_keeps_draining_in_a_new_era_until_its_next_entry) {
  catalog::catalog content;
  content.apply(entry(1, 100, replica_key, replica(false)));
  content.apply(entry(1, 110, replica_key, replica(true)));
  content.apply(entry(2, 100, replica_key, replica(false)));
  BOOST_TEST(known_replica(content).draining);
  content.apply(entry(2, 120, replica_key, replica(false, "10.0.0.9:80")));
  BOOST_TEST(!known_replica(content).draining);
}

BOOST_AUTO_TEST_CASE(deleted_replica_is_marked_as_possibly_deleted_in_a_new_era) {
  catalog::catalog content;
  content.apply(entry(1, 100, replica_key, replica(false)));
  content.apply(entry(1, 110, replica_key, ""));
  content.apply(entry(2, 100, replica_key, replica(false)));
  BOOST_TEST(known_replica(content).may_be_deleted);
}

BOOST_AUTO_TEST_CASE(listing_of_a_new_era_yields_deletions_even_at_a_lower_revision) {
  catalog::catalog content;
  content.apply(entry(1, 500, replica_key, replica(false)));
  BOOST_TEST(content.deletions_of_unlisted_replicas({}, {1, 400}).empty());
  const auto deletions = content.deletions_of_unlisted_replicas({}, {2, 400});
  BOOST_REQUIRE(deletions.size() == 1U);
  BOOST_CHECK(content.apply(deletions.front()).verdict == apply_verdict::accepted);
  BOOST_TEST(content.replicas().empty());
}

BOOST_AUTO_TEST_CASE(entry_without_an_era_counts_as_an_entry_of_the_latest_era) {
  catalog::catalog content;
  content.apply(entry(2, 100, replica_key, replica(false)));
  BOOST_CHECK(content.apply(entry(0, 101, replica_key, replica(true))).verdict ==
              apply_verdict::accepted);
  BOOST_TEST(known_replica(content).draining);
  BOOST_CHECK(content.apply(entry(2, 100, replica_key, replica(false))).verdict ==
              apply_verdict::older);
  BOOST_CHECK(content.apply(entry(3, 90, replica_key, replica(false, "10.0.0.2:80"))).verdict ==
              apply_verdict::accepted);
}

BOOST_AUTO_TEST_CASE(replica_deleted_without_an_era_is_not_marked_as_possibly_deleted) {
  catalog::catalog content;
  content.apply(entry(0, 100, replica_key, replica(false)));
  content.apply(entry(0, 110, replica_key, ""));
  content.apply(entry(1, 120, replica_key, replica(false)));
  BOOST_TEST(!known_replica(content).may_be_deleted);
}

BOOST_AUTO_TEST_CASE(content_hash_does_not_depend_on_the_era) {
  catalog::catalog with_era;
  catalog::catalog without_era;
  with_era.apply(entry(3, 100, replica_key, replica(false)));
  without_era.apply(entry(0, 100, replica_key, replica(false)));
  BOOST_TEST(with_era.content_hash() == without_era.content_hash());
}

BOOST_AUTO_TEST_SUITE_END()
