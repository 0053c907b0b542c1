/// Entries of replicas that another writer has written: they name no replica, the others hold.
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
  wire::catalog_entry made;
  made.set_key(key_of(id));
  made.set_revision(revision);
  made.set_value(value);
  made.set_deleted(value.empty());
  return made;
}

std::string good(const std::string& id, const std::string& address = "10.0.0.1:80") {
  wire::published_replica replica;
  replica.set_id(id);
  replica.set_service("s");
  replica.set_address(address);
  replica.set_zone("a");
  replica.set_slots(4);
  return replica.SerializeAsString();
}

std::string malformed(const std::string& id, const std::string& fault = "zone is missing") {
  wire::published_replica replica;
  replica.set_id(id);
  replica.set_translation_fault(fault);
  return replica.SerializeAsString();
}

bool names(const catalog::catalog& content, const std::string& id) {
  return content.replicas().contains(base::replica_id(id));
}

wire::catalog_entry removal(std::uint64_t revision, const std::string& id) {
  return entry(revision, id, "");
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica_entries)

BOOST_AUTO_TEST_CASE(a_good_entry_that_turns_malformed_names_no_replica_and_the_others_hold) {
  catalog::catalog content;
  content.apply(entry(1, "r1", good("r1")));
  content.apply(entry(2, "r2", good("r2", "10.0.0.2:80")));
  const auto changes = content.serving_changes();
  const auto result = content.apply(entry(3, "r1", malformed("r1")));
  BOOST_CHECK(result.verdict == apply_verdict::rejected);
  BOOST_TEST(result.reason == "zone is missing");
  BOOST_TEST(!names(content, "r1"));
  BOOST_TEST(names(content, "r2"));
  BOOST_TEST(content.serving_changes() > changes);
  BOOST_TEST_REQUIRE(content.rejections().size() == 1U);
  BOOST_TEST(content.rejections().front().key == key_of("r1"));
}

BOOST_AUTO_TEST_CASE(a_malformed_entry_beside_good_ones_changes_nothing_of_them) {
  catalog::catalog content;
  content.apply(entry(1, "r1", good("r1")));
  const auto changes = content.serving_changes();
  BOOST_CHECK(content.apply(entry(2, "x", malformed("x"))).verdict == apply_verdict::rejected);
  BOOST_CHECK(content.apply(entry(3, "y", "\xff\xff")).verdict == apply_verdict::rejected);
  BOOST_TEST(content.replicas().size() == 1U);
  BOOST_TEST(content.serving_changes() == changes);
}

BOOST_AUTO_TEST_CASE(an_entry_that_turns_good_again_names_its_replica) {
  catalog::catalog content;
  content.apply(entry(1, "r1", good("r1")));
  content.apply(entry(2, "r1", malformed("r1")));
  BOOST_CHECK(content.apply(entry(3, "r1", good("r1"))).verdict == apply_verdict::accepted);
  BOOST_TEST(names(content, "r1"));
  BOOST_TEST(content.rejections().empty());
  // What was refused before is no repetition after a good one.
  BOOST_CHECK(content.apply(entry(4, "r1", malformed("r1"))).verdict == apply_verdict::rejected);
  BOOST_TEST(!names(content, "r1"));
  BOOST_TEST(content.rejected_replica_entries() == 2U);
}

BOOST_AUTO_TEST_CASE(what_was_good_before_is_not_taken_up_again_from_a_peer_that_lags) {
  catalog::catalog content;
  content.apply(entry(1, "r1", good("r1")));
  content.apply(entry(5, "r1", malformed("r1")));
  BOOST_CHECK(content.apply(entry(1, "r1", good("r1"))).verdict == apply_verdict::older);
  BOOST_CHECK(content.apply(entry(4, "r1", good("r1", "10.0.0.9:80"))).verdict ==
              apply_verdict::older);
  BOOST_TEST(!names(content, "r1"));
}

BOOST_AUTO_TEST_CASE(a_malformed_entry_that_is_read_or_written_again_is_reported_once) {
  catalog::catalog content;
  base::seeded_random random(1);
  std::size_t reports = 0;
  catalog::replicator subject(content, random,
                              [&](const auto& /*entry*/, const auto& /*result*/) { ++reports; });
  wire::outbox out;
  const std::vector<base::network_address> peers{base::network_address("p:1")};
  subject.offer({entry(1, "r1", malformed("r1"))}, peers, out);
  subject.offer({entry(1, "r1", malformed("r1"))}, peers, out);
  BOOST_TEST(reports == 1U);
  BOOST_TEST(out.size() == 1U);
  // Its writer writes it again: peers must learn of the revision, people have read the reason.
  subject.offer({entry(2, "r1", malformed("r1"))}, peers, out);
  BOOST_TEST(reports == 1U);
  BOOST_TEST(out.size() == 2U);
  BOOST_TEST(content.rejected_replica_entries() == 1U);
  subject.offer({entry(3, "r1", malformed("r1", "slots is missing"))}, peers, out);
  BOOST_TEST(reports == 2U);
  BOOST_TEST(content.rejected_replica_entries() == 2U);
}

BOOST_AUTO_TEST_CASE(a_malformed_entry_that_is_removed_is_forgotten) {
  catalog::catalog content;
  content.apply(entry(1, "r1", good("r1")));
  content.apply(entry(2, "r1", malformed("r1")));
  const auto gone = content.deletions_of_unlisted_replicas({}, {0, 3});
  BOOST_TEST_REQUIRE(gone.size() == 1U);
  BOOST_CHECK(content.apply(gone.front()).verdict == apply_verdict::accepted);
  BOOST_TEST(content.rejections().empty());
  BOOST_TEST(content.deletions_of_unlisted_replicas({}, {0, 4}).empty());
  BOOST_TEST(!names(content, "r1"));
}

BOOST_AUTO_TEST_CASE(two_replicas_may_claim_one_address) {
  catalog::catalog content;
  content.apply(entry(1, "r1", good("r1")));
  BOOST_CHECK(content.apply(entry(2, "r2", good("r2"))).verdict == apply_verdict::accepted);
  BOOST_TEST(content.replicas().size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_entry_without_an_id_names_no_replica) {
  catalog::catalog content;
  BOOST_CHECK(content.apply(entry(1, "", good(""))).verdict == apply_verdict::rejected);
  BOOST_TEST(content.replicas().empty());
}

BOOST_AUTO_TEST_CASE(nodes_agree_whatever_the_order_in_which_they_hear) {
  std::vector<wire::catalog_entry> entries{
      entry(1, "r1", good("r1")),      entry(2, "r1", malformed("r1")),
      entry(3, "r1", good("r1", "b")), entry(4, "r1", malformed("r1", "slots is missing")),
      entry(5, "r2", malformed("r2")), removal(6, "r2"),
      entry(7, "r3", malformed("r3")), entry(8, "r3", good("r3"))};
  base::seeded_random random(1);
  std::optional<std::uint64_t> hash;
  constexpr int orders = 200;
  for (int round = 0; round < orders; ++round) {
    for (std::size_t index = entries.size(); index > 1; --index) {
      std::swap(entries[index - 1], entries[random.below(index)]);
    }
    catalog::catalog content;
    for (const auto& item : entries) {
      content.apply(item);
    }
    hash = hash.value_or(content.content_hash());
    BOOST_TEST(content.content_hash() == *hash);
    BOOST_TEST(!names(content, "r1"));
    BOOST_TEST(!names(content, "r2"));
    BOOST_TEST(names(content, "r3"));
    BOOST_TEST(content.rejections().size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(an_entry_that_names_another_replica_than_its_key_is_refused) {
  catalog::catalog content;
  content.apply(entry(1, "r1", good("r1")));
  BOOST_TEST((content.apply(entry(2, "r2", good("r1"))).verdict == apply_verdict::rejected));
  BOOST_TEST((content.apply(entry(3, "r3", good(""))).verdict == apply_verdict::rejected));
  BOOST_TEST(content.replicas().size() == 1U);
  BOOST_TEST(names(content, "r1"));
}

BOOST_AUTO_TEST_SUITE_END()
