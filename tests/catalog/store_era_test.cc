/// A store that comes back from an older copy: revisions go back and are given out again.
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
  wire::catalog_entry made;
  made.set_era(era);
  made.set_revision(revision);
  made.set_key(key);
  made.set_value(value);
  made.set_deleted(value.empty());
  return made;
}

const std::string replica_key = std::string(model::replica_prefix) + "r";

std::string replica(bool draining, const std::string& address = "10.0.0.1:80") {
  wire::published_replica made;
  made.set_id("r");
  made.set_service("s");
  made.set_address(address);
  made.set_zone("a");
  made.set_slots(4);
  made.set_draining(draining);
  made.set_started_at_milliseconds(77);
  return made.SerializeAsString();
}

std::string configuration(std::uint64_t version) {
  wire::published_configuration made;
  made.set_version(version);
  made.add_services()->set_name("s");
  return made.SerializeAsString();
}

const model::replica& known_replica(const catalog::catalog& content) {
  return *content.replicas().at(base::replica_id("r"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_era)

BOOST_AUTO_TEST_CASE(an_entry_written_again_at_a_lower_revision_is_newer_in_a_new_era) {
  catalog::catalog content;
  content.apply(entry(1, 100, replica_key, replica(false)));
  const auto result = content.apply(entry(2, 90, replica_key, replica(false, "10.0.0.2:80")));
  BOOST_CHECK(result.verdict == apply_verdict::accepted);
  BOOST_TEST(known_replica(content).address.text() == "10.0.0.2:80");
}

BOOST_AUTO_TEST_CASE(a_revision_given_out_again_with_other_bytes_is_settled_by_the_era) {
  const auto before = entry(1, 100, replica_key, replica(false, "10.0.0.1:80"));
  const auto after = entry(2, 100, replica_key, replica(false, "10.0.0.2:80"));
  for (const bool reversed : {false, true}) {
    catalog::catalog content;
    content.apply(reversed ? after : before);
    content.apply(reversed ? before : after);
    BOOST_TEST(known_replica(content).address.text() == "10.0.0.2:80");
  }
}

BOOST_AUTO_TEST_CASE(nodes_that_heard_the_eras_in_any_order_hold_the_same) {
  std::vector<wire::catalog_entry> heard{
      entry(1, 100, replica_key, replica(false)),
      entry(1, 101, replica_key, ""),
      entry(2, 95, replica_key, replica(false, "10.0.0.3:80")),
      entry(2, 96, replica_key, replica(true, "10.0.0.3:80")),
      entry(1, 102, std::string(model::configuration_key), configuration(31)),
      entry(2, 90, std::string(model::configuration_key), configuration(30)),
      entry(2, 97, std::string(model::configuration_key), configuration(31))};
  std::mt19937 order(3);
  std::optional<std::uint64_t> hash;
  for (int round = 0; round < 30; ++round) {
    std::shuffle(heard.begin(), heard.end(), order);
    catalog::catalog content;
    for (const auto& one : heard) {
      content.apply(one);
    }
    BOOST_TEST(content.serving()->version == 31U);
    BOOST_TEST(known_replica(content).draining);
    BOOST_TEST(content.content_hash() == hash.value_or(content.content_hash()));
    hash = content.content_hash();
  }
}

BOOST_AUTO_TEST_CASE(a_configuration_that_was_acted_on_stays_until_the_operator_writes_it_again) {
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

BOOST_AUTO_TEST_CASE(a_node_that_starts_on_the_older_copy_takes_the_newer_version_of_its_peers) {
  catalog::catalog content;
  const std::string key(model::configuration_key);
  content.apply(entry(2, 100, key, configuration(30)));
  BOOST_CHECK(content.apply(entry(1, 110, key, configuration(31))).verdict ==
              apply_verdict::accepted);
  BOOST_TEST(content.serving()->version == 31U);
}

BOOST_AUTO_TEST_CASE(a_replica_that_was_known_to_drain_drains_on_until_it_writes_again) {
  catalog::catalog content;
  content.apply(entry(1, 100, replica_key, replica(false)));
  content.apply(entry(1, 110, replica_key, replica(true)));
  content.apply(entry(2, 100, replica_key, replica(false)));
  BOOST_TEST(known_replica(content).draining);
  content.apply(entry(2, 120, replica_key, replica(false, "10.0.0.9:80")));
  BOOST_TEST(!known_replica(content).draining);
}

BOOST_AUTO_TEST_CASE(a_replica_that_was_gone_may_be_gone_still) {
  catalog::catalog content;
  content.apply(entry(1, 100, replica_key, replica(false)));
  content.apply(entry(1, 110, replica_key, ""));
  content.apply(entry(2, 100, replica_key, replica(false)));
  BOOST_TEST(known_replica(content).may_be_deleted);
}

BOOST_AUTO_TEST_CASE(a_listing_of_a_new_era_shows_what_is_gone_whatever_its_revision_was) {
  catalog::catalog content;
  content.apply(entry(1, 500, replica_key, replica(false)));
  BOOST_TEST(content.deletions_of_unlisted_replicas({}, {1, 400}).empty());
  const auto gone = content.deletions_of_unlisted_replicas({}, {2, 400});
  BOOST_REQUIRE(gone.size() == 1U);
  BOOST_CHECK(content.apply(gone.front()).verdict == apply_verdict::accepted);
  BOOST_TEST(content.replicas().empty());
}

BOOST_AUTO_TEST_CASE(what_an_older_build_tells_is_news_in_the_era_of_its_receiver) {
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

BOOST_AUTO_TEST_CASE(an_entry_that_told_no_era_before_was_not_rolled_back) {
  catalog::catalog content;
  content.apply(entry(0, 100, replica_key, replica(false)));
  content.apply(entry(0, 110, replica_key, ""));
  content.apply(entry(1, 120, replica_key, replica(false)));
  BOOST_TEST(!known_replica(content).may_be_deleted);
}

BOOST_AUTO_TEST_CASE(the_hash_is_that_of_a_build_that_knows_no_era) {
  catalog::catalog with_era;
  catalog::catalog without;
  with_era.apply(entry(3, 100, replica_key, replica(false)));
  without.apply(entry(0, 100, replica_key, replica(false)));
  BOOST_TEST(with_era.content_hash() == without.content_hash());
}

BOOST_AUTO_TEST_SUITE_END()
