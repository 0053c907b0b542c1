/// Shards of very many replicas: what is looked at when nodes or replicas change.
#include "stage_work/shard_map.h"

#include "exchange_fleet.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace spurrack;
using namespace spurrack::serving;

namespace {

/// Nodes of one zone before replicas that make pieces and as many that do not.
struct many_replicas {
  many_replicas(int nodes, int replicas) {
    for (int number = 0; number < replicas; ++number) {
      world.add_replica("p" + std::to_string(number), "pool", "a");
      world.add_replica("e" + std::to_string(number), "llm", "a");
    }
    table.set_configuration(world.content.serving());
    table.update(world.content.replicas(), {});
    std::vector<fleet_peer> others;
    for (int number = 0; number < nodes; ++number) {
      const auto name = "n" + std::to_string(number);
      others.push_back({base::node_id(name), base::zone_id("a"), base::network_address(name), 1});
    }
    peers.update(std::move(others));
  }
  /// @return replicas and nodes looked at.
  std::uint64_t cost_of_assignment() {
    const auto before = subject.evaluations();
    subject.assign(*world.content.serving(), false);
    return subject.evaluations() - before;
  }

  published_world world;
  serving_settings settings;
  base::seeded_random random{1};
  fleet_peer self{base::node_id("self"), base::zone_id("a"), base::network_address("self"), 1};
  replica_table table{self.node, self.zone, settings, random};
  peer_directory peers{self};
  shard_map subject{self, {}, table, peers};
};

} // namespace

BOOST_AUTO_TEST_SUITE(shard_map_test)

BOOST_AUTO_TEST_CASE(a_change_of_replicas_looks_at_those_that_make_pieces_and_at_no_node) {
  for (const int size : {40, 160}) {
    many_replicas fleet(size, size);
    // The world has two more that make pieces; each node is considered, this one too.
    const auto replicas = static_cast<std::uint64_t>(size) + 2;
    const auto nodes = static_cast<std::uint64_t>(size) + 1;
    BOOST_TEST(fleet.cost_of_assignment() == replicas + nodes);
    BOOST_TEST(fleet.cost_of_assignment() == replicas);
    fleet.subject.note_peers_changed();
    BOOST_TEST(fleet.cost_of_assignment() == replicas + nodes);
  }
}

BOOST_AUTO_TEST_CASE(replicas_that_change_in_a_row_are_divided_anew_once) {
  published_world world;
  for (int number = 0; number < 40; ++number) {
    world.add_replica("p" + std::to_string(number), "pool", "a");
  }
  exchange_node node({base::node_id("n"), base::zone_id("a"), base::network_address("n"), 1}, world,
                     1);
  base::time_point now{std::chrono::hours(1)};
  node.subject.dispatch_waiting(now);
  const auto before = node.subject.shards().evaluations();
  for (int change = 0; change < 40; ++change) {
    now += std::chrono::milliseconds(1);
    world.remove_replica("p" + std::to_string(change));
    node.replicas.update(world.content.replicas(), now);
    node.subject.on_replicas_changed();
    node.subject.dispatch_waiting(now);
  }
  now += std::chrono::milliseconds(50);
  node.subject.dispatch_waiting(now);
  const std::uint64_t all = 42;
  BOOST_TEST(node.subject.shards().evaluations() - before <= all);
  for (const auto& one : node.subject.shards().shards()) {
    for (const auto& replica : one.replicas) {
      BOOST_TEST(node.replicas.find(replica) != nullptr);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
