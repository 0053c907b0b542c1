/// Division of the replicas of a service into shards by zone, in a fleet whose messages the fixture
/// delivers.
#include "exchange_fleet.h"

using namespace spurrack;
using namespace spurrack::serving;

namespace {

constexpr int zone_count = 3;
constexpr int node_count = 30;
constexpr std::size_t replicas_per_zone = 8;

/// Thirty nodes in three zones of one region; each zone has enough replicas for a shard of its own.
struct divided_fleet : exchange_fleet {
  divided_fleet() : exchange_fleet(node_count, zone_count, one_region_settings()) {
    for (const std::string zone : {"a", "b", "c"}) {
      for (std::size_t index = 0; index < replicas_per_zone; ++index) {
        published.add_replica("more-" + zone + std::to_string(index), "pool", zone);
      }
    }
    for (auto& node : nodes) {
      node->replicas.update(published.content.replicas(), now);
      node->subject.set_configuration(published.content.serving());
    }
    run(std::chrono::seconds(3));
  }

  /// Answers each call; records the node that made the call, and whether the called replica is in
  /// another zone than the node.
  void run_and_count_calls(base::duration span) {
    run_answering(span, [this](const auto& caller, const auto& call) { note_call(caller, call); });
  }

  void note_call(const exchange_node& caller, const start_stage_call& call) {
    const auto* replica = caller.replicas.find(call.target.replica);
    calls_across_zones += replica->record->zone == caller.identity.zone ? 0 : 1;
    callers.insert(caller.identity.node);
  }

  std::size_t calls_across_zones = 0;
  std::set<base::node_id> callers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(zone_shards_test, divided_fleet)

BOOST_AUTO_TEST_CASE(each_zone_runs_its_own_pieces) {
  for (auto& node : nodes) {
    submit(*node, node->identity.zone);
  }
  run_and_count_calls(std::chrono::seconds(1));
  for (auto& node : nodes) {
    BOOST_TEST(node->finished.size() == 1U);
  }
  BOOST_TEST(calls_across_zones == 0U);
  BOOST_TEST(callers.size() == static_cast<std::size_t>(zone_count));
}

BOOST_AUTO_TEST_CASE(partitioned_zone_continues_to_serve) {
  partitioned_zone = base::zone_id("b");
  for (int round = 0; round < 20; ++round) {
    for (auto& node : nodes) {
      submit(*node, node->identity.zone);
    }
    run_and_count_calls(std::chrono::milliseconds(200));
  }
  run_and_count_calls(std::chrono::seconds(1));
  for (auto& node : nodes) {
    BOOST_TEST(node->finished.size() == 20U);
  }
  BOOST_TEST(calls_across_zones == 0U);
}

BOOST_AUTO_TEST_CASE(piece_that_prefers_another_zone_runs_in_that_zone) {
  auto& origin = *nodes[0];
  submit(origin, base::zone_id("c"));
  run(std::chrono::milliseconds(100));
  BOOST_REQUIRE(caller() != nullptr);
  BOOST_TEST(caller()->identity.zone.text() == "c");
  auto& batcher = *caller();
  answer(batcher);
  run(std::chrono::milliseconds(50));
  BOOST_REQUIRE(origin.finished.size() == 1U);
  origin.subject.release({result_of(origin.finished.front())});
  run(std::chrono::milliseconds(50));
  BOOST_TEST(batcher.freed.size() == 1U);
  BOOST_TEST(origin.freed.empty());
}

BOOST_AUTO_TEST_CASE(unresponsive_batcher_of_a_zone_is_replaced) {
  submit(*nodes[0], base::zone_id("a"));
  run_and_count_calls(std::chrono::milliseconds(300));
  BOOST_REQUIRE(callers.size() == 1U);
  unresponsive = *callers.begin();
  callers.clear();
  for (auto& node : nodes) {
    node->finished.clear();
    submit(*node, base::zone_id("a"));
  }
  run_and_count_calls(std::chrono::seconds(2));
  BOOST_TEST(!callers.contains(unresponsive));
  for (auto& node : nodes) {
    BOOST_TEST((node->identity.node == unresponsive || node->finished.size() == 1U));
  }
}

BOOST_AUTO_TEST_CASE(nodes_without_shards_send_no_reports) {
  messages_sent = 0;
  run(std::chrono::seconds(1));
  // Each batcher sends five reports per second to each of the nine other nodes of its zone, and one
  // report per second to each of the twenty nodes of other zones; a tenth is added for rounds of
  // reports that begin or end within the second.
  constexpr std::size_t batchers = zone_count;
  constexpr std::size_t reports_to_zone = 45;
  constexpr std::size_t reports_elsewhere = 20;
  constexpr std::size_t margin = 6;
  constexpr std::size_t max_messages = batchers * (reports_to_zone + reports_elsewhere + margin);
  BOOST_TEST(messages_sent <= max_messages);
}

BOOST_AUTO_TEST_SUITE_END()
