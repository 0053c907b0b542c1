/// Malformed entries of replicas, as another writer of the store may write them. A malformed entry
/// is rejected and removes the replica of its key. The entries of other replicas stay in effect.
#include "base/random.h"
#include "catalog/catalog.h"
#include "catalog/replicator.h"
#include "model/serving_record_parser.h"
#include "wire/published.pb.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace spurrack;
using catalog::apply_verdict;

namespace {

std::string key_of(const std::string& id) {
  return std::string(model::replica_prefix) + id;
}

wire::catalog_entry entry(std::uint64_t revision, const std::string& id, const std::string& value) {
  wire::catalog_entry result;
  result.set_key(key_of(id));
  result.set_revision(revision);
  result.set_value(value);
  result.set_deleted(value.empty());
  return result;
}

std::string valid_value(const std::string& id, const std::string& address = "10.0.0.1:80") {
  wire::published_replica replica;
  replica.set_id(id);
  replica.set_service("s");
  replica.set_address(address);
  replica.set_zone("a");
  replica.set_slots(4);
  return replica.SerializeAsString();
}

std::string malformed_value(const std::string& id, const std::string& fault = "zone is missing") {
  wire::published_replica replica;
  replica.set_id(id);
  replica.set_translation_fault(fault);
  return replica.SerializeAsString();
}

bool has_replica(const catalog::catalog& content, const std::string& id) {
  return content.replicas().contains(base::replica_id(id));
}

wire::catalog_entry deletion(std::uint64_t revision, const std::string& id) {
  return entry(revision, id, "");
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica_entries)

BOOST_AUTO_TEST_CASE(malformed_newer_entry_removes_only_its_replica) {
  catalog::catalog content;
  content.apply(entry(1, "r1", valid_value("r1")));
  content.apply(entry(2, "r2", valid_value("r2", "10.0.0.2:80")));
  const auto changes = content.serving_changes();
  const auto result = content.apply(entry(3, "r1", malformed_value("r1")));
  BOOST_CHECK(result.verdict == apply_verdict::rejected);
  BOOST_TEST(result.reason == "zone is missing");
  BOOST_TEST(!has_replica(content, "r1"));
  BOOST_TEST(has_replica(content, "r2"));
  BOOST_TEST(content.serving_changes() > changes);
  BOOST_TEST_REQUIRE(content.rejections().size() == 1U);
  BOOST_TEST(content.rejections().front().key == key_of("r1"));
}

BOOST_AUTO_TEST_CASE(malformed_entry_leaves_other_replicas_unchanged) {
  catalog::catalog content;
  content.apply(entry(1, "r1", valid_value("r1")));
  const auto changes = content.serving_changes();
  BOOST_CHECK(content.apply(entry(2, "x", malformed_value("x"))).verdict ==
              apply_verdict::rejected);
  BOOST_CHECK(content.apply(entry(3, "y", "\xff\xff")).verdict == apply_verdict::rejected);
  BOOST_TEST(content.replicas().size() == 1U);
  BOOST_TEST(content.serving_changes() == changes);
}

BOOST_AUTO_TEST_CASE(valid_entry_after_malformed_entry_restores_the_replica) {
  catalog::catalog content;
  content.apply(entry(1, "r1", valid_value("r1")));
  content.apply(entry(2, "r1", malformed_value("r1")));
  BOOST_CHECK(content.apply(entry(3, "r1", valid_value("r1"))).verdict == apply_verdict::accepted);
  BOOST_TEST(has_replica(content, "r1"));
  BOOST_TEST(content.rejections().empty());
  // This rejection of the malformed value is counted as well, because a valid entry was accepted
  // between the two rejections.
  BOOST_CHECK(content.apply(entry(4, "r1", malformed_value("r1"))).verdict ==
              apply_verdict::rejected);
  BOOST_TEST(!has_replica(content, "r1"));
  BOOST_TEST(content.rejected_replica_entries() == 2U);
}

BOOST_AUTO_TEST_CASE(older_valid_entry_does_not_replace_malformed_entry) {
  catalog::catalog content;
  content.apply(entry(1, "r1", valid_value("r1")));
  content.apply(entry(5, "r1", malformed_value("r1")));
  BOOST_CHECK(content.apply(entry(1, "r1", valid_value("r1"))).verdict == apply_verdict::older);
  BOOST_CHECK(content.apply(entry(4, "r1", valid_value("r1", "10.0.0.9:80"))).verdict ==
              apply_verdict::older);
  BOOST_TEST(!has_replica(content, "r1"));
}

BOOST_AUTO_TEST_CASE(malformed_entry_is_reported_once_if_repeated) {
  catalog::catalog content;
  base::seeded_random random(1);
  std::size_t reports = 0;
  catalog::replicator subject(content, random,
                              [&](const auto& /*entry*/, const auto& /*result*/) { ++reports; });
  wire::outbox out;
  const std::vector<base::network_address> peers{base::network_address("p:1")};
  subject.apply_and_gossip({entry(1, "r1", malformed_value("r1"))}, {}, {{}, peers}, out);
  subject.apply_and_gossip({entry(1, "r1", malformed_value("r1"))}, {}, {{}, peers}, out);
  BOOST_TEST(reports == 1U);
  BOOST_TEST(out.size() == 1U);
  // The same malformed value is written again at a new revision. The entry is sent to the peers,
  // which must know the new revision. The rejection is not reported again, because operators
  // already know the reason.
  subject.apply_and_gossip({entry(2, "r1", malformed_value("r1"))}, {}, {{}, peers}, out);
  BOOST_TEST(reports == 1U);
  BOOST_TEST(out.size() == 2U);
  BOOST_TEST(content.rejected_replica_entries() == 1U);
  subject.apply_and_gossip({entry(3, "r1", malformed_value("r1", "slots is missing"))}, {},
                           {{}, peers}, out);
  BOOST_TEST(reports == 2U);
  BOOST_TEST(content.rejected_replica_entries() == 2U);
}

BOOST_AUTO_TEST_CASE(unlisted_malformed_entry_is_deleted) {
  catalog::catalog content;
  content.apply(entry(1, "r1", valid_value("r1")));
  content.apply(entry(2, "r1", malformed_value("r1")));
  const auto deletions = content.deletions_of_unlisted_replicas({}, {0, 3});
  BOOST_TEST_REQUIRE(deletions.size() == 1U);
  BOOST_CHECK(content.apply(deletions.front()).verdict == apply_verdict::accepted);
  BOOST_TEST(content.rejections().empty());
  BOOST_TEST(content.deletions_of_unlisted_replicas({}, {0, 4}).empty());
  BOOST_TEST(!has_replica(content, "r1"));
}

BOOST_AUTO_TEST_CASE(two_replicas_with_the_same_address_are_accepted) {
  catalog::catalog content;
  content.apply(entry(1, "r1", valid_value("r1")));
  BOOST_CHECK(content.apply(entry(2, "r2", valid_value("r2"))).verdict == apply_verdict::accepted);
  BOOST_TEST(content.replicas().size() == 2U);
}

BOOST_AUTO_TEST_CASE(entry_without_an_id_is_rejected) {
  catalog::catalog content;
  BOOST_CHECK(content.apply(entry(1, "", valid_value(""))).verdict == apply_verdict::rejected);
  BOOST_TEST(content.replicas().empty());
}

BOOST_AUTO_TEST_CASE(content_is_equal_after_any_order_of_replica_entries) {
  std::vector<wire::catalog_entry> entries{
      entry(1, "r1", valid_value("r1")),
      entry(2, "r1", malformed_value("r1")),
      entry(3, "r1", valid_value("r1", "b")),
      entry(4, "r1", malformed_value("r1", "slots is missing")),
      entry(5, "r2", malformed_value("r2")),
      deletion(6, "r2"),
      entry(7, "r3", malformed_value("r3")),
      entry(8, "r3", valid_value("r3"))};
  base::seeded_random random(1);
  std::optional<std::uint64_t> expected_hash;
  constexpr int order_count = 200;
  for (int round = 0; round < order_count; ++round) {
    for (std::size_t index = entries.size(); index > 1; --index) {
      std::swap(entries[index - 1], entries[random.below(index)]);
    }
    catalog::catalog content;
    for (const auto& offered : entries) {
      content.apply(offered);
    }
    expected_hash = expected_hash.value_or(content.content_hash());
    BOOST_TEST(content.content_hash() == *expected_hash);
    BOOST_TEST(!has_replica(content, "r1"));
    BOOST_TEST(!has_replica(content, "r2"));
    BOOST_TEST(has_replica(content, "r3"));
    BOOST_TEST(content.rejections().size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(entry_with_an_id_that_differs_from_its_key_is_rejected) {
  catalog::catalog content;
  content.apply(entry(1, "r1", valid_value("r1")));
  BOOST_TEST((content.apply(entry(2, "r2", valid_value("r1"))).verdict == apply_verdict::rejected));
  BOOST_TEST((content.apply(entry(3, "r3", valid_value(""))).verdict == apply_verdict::rejected));
  BOOST_TEST(content.replicas().size() == 1U);
  BOOST_TEST(has_replica(content, "r1"));
}

BOOST_AUTO_TEST_SUITE_END()
