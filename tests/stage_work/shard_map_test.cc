/// Counts the checks of replicas and nodes that a shard map makes to divide a large number of
/// replicas into shards again after nodes or replicas changed.
#include "stage_work/shard_map.h"

#include "exchange_fleet.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace spurrack;
using namespace spurrack::serving;

namespace {

/// Nodes of one zone, replicas that run pieces, and the same number of replicas that run no pieces.
struct large_service {
  large_service(int nodes, int replicas) {
    for (int number = 0; number < replicas; ++number) {
      published.add_replica("p" + std::to_string(number), "pool", "a");
      published.add_replica("e" + std::to_string(number), "llm", "a");
    }
    table.set_configuration(published.content.serving());
    table.update(published.content.replicas(), {});
    std::vector<fleet_peer> others;
    for (int number = 0; number < nodes; ++number) {
      const auto name = "n" + std::to_string(number);
      others.push_back({base::node_id(name), base::zone_id("a"), base::network_address(name), 1});
    }
    peers.update(std::move(others));
  }
  /// @return number of replicas and nodes evaluated by one assignment.
  std::uint64_t evaluations_of_assignment() {
    const auto before = subject.evaluations();
    subject.assign(*published.content.serving(), false);
    return subject.evaluations() - before;
  }

  published_catalog published;
  serving_settings settings;
  base::seeded_random random{1};
  fleet_peer self{base::node_id("self"), base::zone_id("a"), base::network_address("self"), 1};
  replica_table table{self.node, self.zone, settings, random};
  peer_directory peers{self};
  shard_map subject{self, {}, table, peers};
};

} // namespace

BOOST_AUTO_TEST_SUITE(shard_map_test)

BOOST_AUTO_TEST_CASE(replica_change_evaluates_only_replicas_that_run_pieces) {
  for (const int size : {40, 160}) {
    large_service fleet(size, size);
    // The shard map also evaluates two replicas of `published_catalog` that run pieces, and this
    // node itself.
    const auto replicas = static_cast<std::uint64_t>(size) + 2;
    const auto nodes = static_cast<std::uint64_t>(size) + 1;
    BOOST_TEST(fleet.evaluations_of_assignment() == replicas + nodes);
    BOOST_TEST(fleet.evaluations_of_assignment() == replicas);
    fleet.subject.note_peers_changed();
    BOOST_TEST(fleet.evaluations_of_assignment() == replicas + nodes);
  }
}

BOOST_AUTO_TEST_CASE(consecutive_replica_changes_cause_one_assignment) {
  published_catalog published;
  for (int number = 0; number < 40; ++number) {
    published.add_replica("p" + std::to_string(number), "pool", "a");
  }
  exchange_node node({base::node_id("n"), base::zone_id("a"), base::network_address("n"), 1},
                     published, 1);
  base::time_point now{std::chrono::hours(1)};
  node.subject.dispatch_waiting(now);
  const auto before = node.subject.shards().evaluations();
  for (int change = 0; change < 40; ++change) {
    now += std::chrono::milliseconds(1);
    published.remove_replica("p" + std::to_string(change));
    node.replicas.update(published.content.replicas(), now);
    node.subject.on_replicas_changed();
    node.subject.dispatch_waiting(now);
  }
  now += std::chrono::milliseconds(50);
  node.subject.dispatch_waiting(now);
  // One assignment evaluates at most the 40 replicas above and the two that `published_catalog`
  // starts with.
  const std::uint64_t max_evaluations = 42;
  BOOST_TEST(node.subject.shards().evaluations() - before <= max_evaluations);
  for (const auto& entry : node.subject.shards().shards()) {
    for (const auto& replica : entry.replicas) {
      BOOST_TEST(node.replicas.find(replica) != nullptr);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
