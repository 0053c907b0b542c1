/// Exchange of catalog entries between nodes. New entries are gossiped. A node that missed an entry
/// fetches the entry by a comparison of catalogs, also while other entries change.
#include "catalog/replicator.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;

namespace {

wire::catalog_entry entry(std::uint64_t revision, const std::string& name) {
  wire::catalog_entry result;
  result.set_key("templates/" + name);
  result.set_revision(revision);
  result.set_value("{name: " + name +
                   ", deadline_ms: 10, stages: [{name: a, kind: encode, pool: p}]}");
  return result;
}

/// Catalog and replicator of one node.
struct catalog_node {
  explicit catalog_node(std::uint64_t random_seed)
      : random(random_seed), subject(content, random, [](const auto&, const auto&) {}) {}

  catalog::catalog content;
  base::seeded_random random;
  catalog::replicator subject;
};

} // namespace

BOOST_AUTO_TEST_SUITE(replicator_exchange)

BOOST_AUTO_TEST_CASE(entry_read_from_the_service_is_sent_to_all_peers_of_a_zone) {
  catalog_node reader(1);
  constexpr int peer_count = 10;
  std::vector<base::network_address> peers;
  peers.reserve(peer_count);
  for (int index = 0; index < peer_count; ++index) {
    peers.emplace_back("10.0.0." + std::to_string(index) + ":1");
  }
  wire::outbox out;
  reader.subject.apply_and_gossip({entry(1, "a")}, {}, {{}, peers}, out);
  BOOST_TEST(out.size() == peers.size());
}

BOOST_AUTO_TEST_CASE(comparison_for_a_missed_entry_starts_while_other_entries_change) {
  catalog_node behind(1);
  catalog_node ahead(2);
  wire::outbox unused;
  ahead.subject.apply_and_gossip({entry(1, "missed")}, {}, {}, unused);
  base::time_point now{std::chrono::hours(1)};
  bool compared = false;
  constexpr int rounds = 8;
  for (int round = 0; round < rounds && !compared; ++round) {
    now += std::chrono::milliseconds(200);
    const auto new_entry = entry(static_cast<std::uint64_t>(round) + 2, "changing");
    ahead.subject.apply_and_gossip({new_entry}, {}, {}, unused);
    behind.subject.apply_and_gossip({new_entry}, {}, {}, unused);
    wire::outbox out;
    behind.subject.compare(base::network_address("a:1"), ahead.content.content_hash(), false, now,
                           out);
    compared = !out.empty();
  }
  BOOST_TEST(compared);
}

BOOST_AUTO_TEST_CASE(short_difference_starts_no_comparison) {
  catalog_node node(1);
  catalog_node peer(2);
  wire::outbox out;
  base::time_point now{std::chrono::hours(1)};
  for (std::uint64_t revision = 1; revision < 10; ++revision) {
    peer.subject.apply_and_gossip({entry(revision, "a")}, {}, {}, out);
    now += std::chrono::milliseconds(400);
    node.subject.compare(base::network_address("a:1"), peer.content.content_hash(), false, now,
                         out);
    node.subject.apply_and_gossip({entry(revision, "a")}, {}, {}, out);
    now += std::chrono::milliseconds(10);
    node.subject.compare(base::network_address("a:1"), peer.content.content_hash(), false, now,
                         out);
  }
  BOOST_TEST(out.empty());
}

BOOST_AUTO_TEST_CASE(first_listing_is_not_forwarded) {
  catalog_node reader(1);
  std::vector<wire::catalog_entry> listing;
  for (std::uint64_t number = 1; number <= 200; ++number) {
    listing.push_back(entry(number, "t" + std::to_string(number)));
  }
  wire::outbox out;
  reader.subject.apply_and_gossip(listing, {}, {{}, {base::network_address("a:1")}}, out);
  BOOST_TEST(out.empty());
  // After the first listing, each change that the node reads is forwarded to peers.
  reader.subject.apply_and_gossip({entry(300, "t1")}, {}, {{}, {base::network_address("a:1")}},
                                  out);
  BOOST_TEST(out.size() == 1U);
}

BOOST_AUTO_TEST_CASE(next_comparison_waits_for_answer_or_timeout) {
  catalog_node behind(1);
  wire::outbox out;
  base::time_point now{std::chrono::hours(1)};
  for (int round = 0; round < 9; ++round) {
    behind.subject.compare(base::network_address("a:1"), 1, true, now, out);
    now += std::chrono::milliseconds(100);
  }
  BOOST_TEST(out.size() == 1U);
  // The timeout of the unanswered comparison has passed, so the next comparison starts.
  now += std::chrono::milliseconds(200);
  behind.subject.compare(base::network_address("b:1"), 1, true, now, out);
  BOOST_TEST(out.size() == 2U);
}

BOOST_AUTO_TEST_CASE(comparisons_without_new_entries_become_less_frequent) {
  catalog_node node(1);
  wire::outbox out;
  base::time_point now{std::chrono::hours(1)};
  wire::envelope empty_answer;
  empty_answer.set_sender_address("a:1");
  empty_answer.mutable_catalog_push()->set_answers_comparison(true);
  std::size_t compared = 0;
  for (int round = 0; round < 200; ++round) {
    // The content hash of the peer is new in each round, because the catalog of the peer keeps
    // changing.
    node.subject.compare(base::network_address("a:1"), static_cast<std::uint64_t>(round) + 1, false,
                         now, out);
    if (out.size() > compared) {
      compared = out.size();
      node.subject.handle(empty_answer, {}, now, {}, out);
    }
    now += std::chrono::milliseconds(100);
  }
  // The loop covers 20 s. After the first few comparisons, one comparison starts per second. At the
  // minimum interval, four comparisons would start per second.
  BOOST_TEST(compared >= 18U);
  BOOST_TEST(compared <= 24U);
}

BOOST_AUTO_TEST_CASE(large_answers_above_the_limit_are_replaced_by_empty_answers) {
  catalog_node ahead(1);
  wire::outbox unused;
  for (std::uint64_t number = 1; number <= 400; ++number) {
    ahead.subject.apply_and_gossip({entry(number, "t" + std::to_string(number))}, {}, {}, unused);
  }
  wire::envelope comparison;
  comparison.mutable_catalog_buckets()->mutable_hashes()->Resize(catalog::catalog::bucket_count, 0);
  const base::time_point now{std::chrono::hours(1)};
  std::size_t full_answers = 0;
  wire::outbox out;
  for (int requester = 0; requester < 10; ++requester) {
    comparison.set_sender_address("a" + std::to_string(requester) + ":1");
    ahead.subject.handle(comparison, {}, now, {}, out);
  }
  BOOST_TEST(out.size() == 10U);
  for (const auto& answer : out) {
    BOOST_TEST(answer.message.catalog_push().answers_comparison());
    full_answers += answer.message.catalog_push().packed_entries().empty() ? 0 : 1;
  }
  BOOST_TEST(full_answers == catalog::replicator::max_large_answers);
}

BOOST_AUTO_TEST_SUITE_END()
