/// A fleet whose nodes all start at once and know nothing but three seeds: how soon everybody knows
/// everybody, and what it costs the seeds, whose links may be slow.
#include "hollow_fleet.h"

#include "membership/name_filter.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>

using namespace spurrack;
using membership::hollow_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t zone_count = 6;
constexpr std::size_t region_count = 3;
constexpr std::size_t seed_count = 3;

struct starting_fleet : hollow_fleet {
  explicit starting_fleet(std::size_t size)
      : hollow_fleet(size / zone_count, zone_count, region_count, false) {
    for (auto& node : nodes) {
      for (std::size_t seed = 0; seed < seed_count; ++seed) {
        node->members.add_seed(nodes[seed]->members.self().address);
      }
    }
  }

  /// @return members that some node does not know, over all nodes.
  [[nodiscard]] std::size_t unknown() const {
    std::size_t missing = 0;
    for (const auto& node : nodes) {
      missing += nodes.size() - 1 - node->members.members().size();
    }
    return missing;
  }

  /// @return bytes the busiest of some nodes sent.
  [[nodiscard]] std::size_t most_sent(std::size_t first, std::size_t end) const {
    std::size_t most = 0;
    for (auto index = first; index < end; ++index) {
      const auto found = bytes_sent.find(index);
      most = std::max(most, found == bytes_sent.end() ? 0 : found->second);
    }
    return most;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(introductions)

BOOST_AUTO_TEST_CASE(all_know_all_soon_and_seeds_are_not_flooded_at_any_size) {
  for (const std::size_t size : {30U, 96U, 300U, 996U}) {
    starting_fleet fleet(size);
    const auto began = fleet.now;
    while (fleet.unknown() > 0 && fleet.now - began < seconds(10)) {
      fleet.run(milliseconds(100));
    }
    BOOST_TEST_MESSAGE(size << " nodes: all known after "
                            << base::to_milliseconds(fleet.now - began) << " ms; a seed sent "
                            << fleet.most_sent(0, seed_count) << " bytes, another node "
                            << fleet.most_sent(seed_count, size) << "; between regions "
                            << fleet.bytes_between_regions << " in all");
    BOOST_TEST(fleet.unknown() == 0U);
    BOOST_TEST(base::to_milliseconds(fleet.now - began) <= 3'000);
    // Each other node is answered once or twice with 1 kB, and news and questions of a member.
    constexpr std::size_t bytes_a_node = 2'500;
    constexpr std::size_t own_bytes = 150'000;
    BOOST_TEST(fleet.most_sent(0, seed_count) <= own_bytes + size * bytes_a_node);
  }
}

BOOST_AUTO_TEST_CASE(who_knows_all_is_told_nothing) {
  starting_fleet fleet(300);
  fleet.run(seconds(6));
  BOOST_TEST_REQUIRE(fleet.unknown() == 0U);
  wire::envelope question;
  const auto& asker = fleet.nodes[10]->members;
  question.set_sender(asker.self().node.text());
  question.set_sender_zone(asker.self().zone.text());
  question.set_sender_address(asker.self().address.text());
  question.set_sender_incarnation(1);
  question.mutable_ping()->set_introduce(true);
  question.mutable_ping()->set_sequence(7);
  membership::name_filter_writer known(7);
  for (const auto& [node, other] : asker.members()) {
    known.add(node);
  }
  question.mutable_ping()->set_known_members(known.take());
  wire::outbox out;
  fleet.nodes[0]->members.handle(question, fleet.now, out);
  BOOST_TEST_REQUIRE(out.size() == 1U);
  BOOST_TEST(out.front().message.updates_size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
