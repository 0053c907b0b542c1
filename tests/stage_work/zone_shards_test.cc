/// A service with many replicas is divided by zone; messages are delivered by hand.
#include "exchange_fleet.h"

using namespace spurrack;
using namespace spurrack::serving;

namespace {

constexpr int zone_count = 3;
constexpr int node_count = 30;
constexpr std::size_t replicas_per_zone = 8;

/// Thirty nodes in three zones of one region, each zone with replicas of its own.
struct divided_fleet : exchange_fleet {
  divided_fleet() : exchange_fleet(node_count, zone_count, one_region()) {
    for (const std::string zone : {"a", "b", "c"}) {
      for (std::size_t index = 0; index < replicas_per_zone; ++index) {
        world.add_replica("more-" + zone + std::to_string(index), "pool", zone);
      }
    }
    for (auto& node : nodes) {
      node->replicas.update(world.content.replicas(), now);
      node->subject.set_configuration(world.content.serving());
    }
    run(std::chrono::seconds(3));
  }

  /// Answers each call, and keeps account of who makes calls and where.
  void run_counting(base::duration span) {
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

BOOST_AUTO_TEST_CASE(each_zone_makes_its_own_pieces) {
  for (auto& node : nodes) {
    submit(*node, node->identity.zone);
  }
  run_counting(std::chrono::seconds(1));
  for (auto& node : nodes) {
    BOOST_TEST(node->finished.size() == 1U);
  }
  BOOST_TEST(calls_across_zones == 0U);
  BOOST_TEST(callers.size() == static_cast<std::size_t>(zone_count));
}

BOOST_AUTO_TEST_CASE(a_zone_that_is_cut_off_serves_on) {
  cut_zone = base::zone_id("b");
  for (int round = 0; round < 20; ++round) {
    for (auto& node : nodes) {
      submit(*node, node->identity.zone);
    }
    run_counting(std::chrono::milliseconds(200));
  }
  run_counting(std::chrono::seconds(1));
  for (auto& node : nodes) {
    BOOST_TEST(node->finished.size() == 20U);
  }
  BOOST_TEST(calls_across_zones == 0U);
}

BOOST_AUTO_TEST_CASE(pieces_wanted_in_another_zone_are_made_there) {
  auto& origin = *nodes[0];
  submit(origin, base::zone_id("c"));
  run(std::chrono::milliseconds(100));
  BOOST_REQUIRE(caller() != nullptr);
  BOOST_TEST(caller()->identity.zone.text() == "c");
  auto& batcher = *caller();
  answer(batcher);
  run(std::chrono::milliseconds(50));
  BOOST_REQUIRE(origin.finished.size() == 1U);
  origin.subject.release({origin.finished.front().outcome.handle});
  run(std::chrono::milliseconds(50));
  BOOST_TEST(batcher.freed.size() == 1U);
  BOOST_TEST(origin.freed.empty());
}

BOOST_AUTO_TEST_CASE(a_zone_whose_gatherer_is_lost_has_another) {
  submit(*nodes[0], base::zone_id("a"));
  run_counting(std::chrono::milliseconds(300));
  BOOST_REQUIRE(callers.size() == 1U);
  silent = *callers.begin();
  callers.clear();
  for (auto& node : nodes) {
    node->finished.clear();
    submit(*node, base::zone_id("a"));
  }
  run_counting(std::chrono::seconds(2));
  BOOST_TEST(!callers.contains(silent));
  for (auto& node : nodes) {
    BOOST_TEST((node->identity.node == silent || node->finished.size() == 1U));
  }
}

BOOST_AUTO_TEST_CASE(nodes_that_gather_nothing_are_silent) {
  messages_sent = 0;
  run(std::chrono::seconds(1));
  // From each gatherer five reports a second to nine nodes of its zone, and one to each of the
  // twenty others; and a tenth for the rounds that begin or end within the second.
  constexpr std::size_t batchers = zone_count;
  constexpr std::size_t reports_to_zone = 45;
  constexpr std::size_t reports_elsewhere = 20;
  constexpr std::size_t margin = 6;
  constexpr std::size_t most_messages = batchers * (reports_to_zone + reports_elsewhere + margin);
  BOOST_TEST(messages_sent <= most_messages);
}

BOOST_AUTO_TEST_SUITE_END()
