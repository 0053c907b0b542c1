/// Requests for members when all nodes of a fleet start at once and know only the addresses of
/// three gossip seeds. The tests limit the time until all nodes know each other, and the bytes that
/// a seed sends, because the link of a seed may be slow.
#include "membership_fleet.h"

#include "membership/name_hash_set.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>

using namespace spurrack;
using membership::membership_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t zone_count = 6;
constexpr std::size_t region_count = 3;
constexpr std::size_t seed_count = 3;

/// Fleet whose nodes know only the addresses of the gossip seeds, which are its first nodes.
struct starting_fleet : membership_fleet {
  explicit starting_fleet(std::size_t size)
      : membership_fleet(size / zone_count, zone_count, region_count, false) {
    for (auto& node : nodes) {
      for (std::size_t seed = 0; seed < seed_count; ++seed) {
        node->members.add_gossip_seed(nodes[seed]->members.self().address);
      }
    }
  }

  /// @return number of other nodes that a node does not know, summed over all nodes.
  [[nodiscard]] std::size_t unknown_members() const {
    std::size_t unknown_count = 0;
    for (const auto& node : nodes) {
      unknown_count += nodes.size() - 1 - node->members.members().size();
    }
    return unknown_count;
  }

  /// @return highest number of bytes that a node with an index in [first, end) sent.
  [[nodiscard]] std::size_t max_bytes_sent(std::size_t first, std::size_t end) const {
    std::size_t max_bytes = 0;
    for (auto index = first; index < end; ++index) {
      const auto found = bytes_sent.find(index);
      max_bytes = std::max(max_bytes, found == bytes_sent.end() ? 0 : found->second);
    }
    return max_bytes;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(member_discovery)

BOOST_AUTO_TEST_CASE(all_nodes_know_each_other_soon_and_seeds_send_little_at_any_size) {
  for (const std::size_t size : {30U, 96U, 300U, 996U}) {
    starting_fleet fleet(size);
    const auto started_at = fleet.now;
    while (fleet.unknown_members() > 0 && fleet.now - started_at < seconds(10)) {
      fleet.run(milliseconds(100));
    }
    BOOST_TEST_MESSAGE(size << " nodes: all known after "
                            << base::to_milliseconds(fleet.now - started_at) << " ms; a seed sent "
                            << fleet.max_bytes_sent(0, seed_count) << " bytes, another node "
                            << fleet.max_bytes_sent(seed_count, size) << "; between regions "
                            << fleet.bytes_between_regions << " in all");
    BOOST_TEST(fleet.unknown_members() == 0U);
    BOOST_TEST(base::to_milliseconds(fleet.now - started_at) <= 3'000);
    // `bytes_per_node` covers the one or two replies of 1 kB that a seed sends to each other node.
    // `member_bytes` covers the gossip, probes and requests for members that any node sends.
    constexpr std::size_t bytes_per_node = 2'500;
    constexpr std::size_t member_bytes = 150'000;
    BOOST_TEST(fleet.max_bytes_sent(0, seed_count) <= member_bytes + size * bytes_per_node);
  }
}

BOOST_AUTO_TEST_CASE(request_of_a_node_that_knows_all_members_is_answered_without_members) {
  starting_fleet fleet(300);
  fleet.run(seconds(6));
  BOOST_TEST_REQUIRE(fleet.unknown_members() == 0U);
  wire::envelope request;
  const auto& requester = fleet.nodes[10]->members;
  request.set_sender(requester.self().node.text());
  request.set_sender_zone(requester.self().zone.text());
  request.set_sender_address(requester.self().address.text());
  request.set_sender_incarnation(1);
  request.mutable_ping()->set_introduce(true);
  request.mutable_ping()->set_sequence(7);
  membership::name_hash_set_writer known(7);
  for (const auto& [node, other] : requester.members()) {
    known.add(node);
  }
  request.mutable_ping()->set_known_members(known.take());
  wire::outbox out;
  fleet.nodes[0]->members.handle(request, fleet.now, out);
  BOOST_TEST_REQUIRE(out.size() == 1U);
  BOOST_TEST(out.front().message.updates_size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
