/// Nodes that batch pieces for one another, in a fleet whose messages the fixture delivers.
#include "exchange_fleet.h"

using namespace spurrack;
using namespace spurrack::serving;

namespace {

/// Three nodes of one zone.
struct small_fleet : exchange_fleet {};

/// Three nodes, with all replicas in one region, so that one node is the batcher of all replicas.
struct one_region_fleet : exchange_fleet {
  one_region_fleet() : exchange_fleet(3, 1, one_region_settings()) {}
};

/// A fleet that is too large for every node to report to all other nodes.
struct large_fleet : exchange_fleet {
  large_fleet() : exchange_fleet(60, 5) {}

  [[nodiscard]] std::size_t unfinished() const {
    return static_cast<std::size_t>(std::count_if(
        nodes.begin(), nodes.end(), [](const auto& node) { return node->finished.empty(); }));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stage_exchange_test, small_fleet)

BOOST_AUTO_TEST_CASE(one_node_batches_the_pieces_of_all_nodes) {
  for (auto& node : nodes) {
    submit(*node);
  }
  run(std::chrono::milliseconds(50));
  std::size_t batchers = 0;
  for (auto& node : nodes) {
    batchers += node->calls.empty() ? 0 : 1;
  }
  BOOST_TEST(batchers == 1);
  for (std::size_t answered = 0; answered < caller()->calls.size(); ++answered) {
    answer(*caller());
    run(std::chrono::milliseconds(50));
  }
  for (auto& node : nodes) {
    BOOST_REQUIRE(node->finished.size() == 1);
    BOOST_TEST(!node->finished.front().outcome.handle.empty());
  }
}

BOOST_AUTO_TEST_CASE(result_is_freed_by_its_batcher) {
  submit(*nodes[0]);
  run(std::chrono::milliseconds(50));
  auto& batcher = *caller();
  auto& origin = *nodes[0];
  answer(batcher);
  run(std::chrono::milliseconds(50));
  origin.subject.release({result_of(origin.finished.front())});
  run(std::chrono::milliseconds(50));
  BOOST_TEST(batcher.freed.size() == 1);
}

BOOST_AUTO_TEST_CASE(unresponsive_batcher_is_replaced) {
  submit(*nodes[0]);
  run(std::chrono::milliseconds(50));
  const auto batcher = caller()->identity.node;
  auto& origin = other_than(*caller());
  for (auto& node : nodes) {
    node->calls.clear();
  }
  unresponsive = batcher;
  submit(origin);
  run(std::chrono::milliseconds(600));
  BOOST_REQUIRE(caller() != nullptr);
  BOOST_TEST(caller()->identity.node != batcher);
}

BOOST_AUTO_TEST_CASE(pieces_of_a_restarted_batcher_are_placed_again) {
  submit(*nodes[0]);
  run(std::chrono::milliseconds(50));
  auto* batcher = caller();
  auto& origin = other_than(*batcher);
  answer(*batcher);
  run(std::chrono::milliseconds(50));
  batcher->calls.clear();
  origin.finished.clear();
  submit(origin);
  run(std::chrono::milliseconds(50));
  BOOST_REQUIRE(!batcher->calls.empty());
  const auto index = batcher->identity.node.text().back() - '0';
  start(index, 2'000'000);
  exchange_peers();
  run(std::chrono::milliseconds(100));
  BOOST_REQUIRE(caller() != nullptr);
  BOOST_TEST(caller()->calls.front().items.size() == 1);
  answer(*caller());
  run(std::chrono::milliseconds(50));
  BOOST_TEST(origin.finished.size() == 1);
}

BOOST_AUTO_TEST_CASE(batcher_removed_from_membership_gets_no_pieces) {
  submit(*nodes[0]);
  run(std::chrono::milliseconds(50));
  const auto batcher = caller()->identity.node;
  auto& origin = other_than(*caller());
  std::vector<fleet_peer> rest;
  for (auto& node : nodes) {
    node->calls.clear();
    if (node->identity.node != batcher && node->identity.node != origin.identity.node) {
      rest.push_back(node->identity);
    }
  }
  origin.subject.set_peers(rest);
  const auto ticket = submit(origin);
  BOOST_TEST(ticket > 0U);
  run(std::chrono::milliseconds(600));
  BOOST_REQUIRE(caller() != nullptr);
}

BOOST_AUTO_TEST_CASE(a_stopping_gatherer_hands_back_what_waits) {
  submit(*nodes[0]);
  run(std::chrono::milliseconds(50));
  auto& batcher = *caller();
  auto& origin = other_than(batcher);
  submit(origin);
  run(std::chrono::milliseconds(10));
  batcher.subject.begin_stop(now);
  BOOST_TEST(batcher.subject.has_calls_under_way());
  run(std::chrono::milliseconds(100));
  std::size_t calls_elsewhere = 0;
  for (auto& node : nodes) {
    calls_elsewhere += node.get() == &batcher ? 0 : node->calls.size();
  }
  BOOST_TEST(calls_elsewhere == 1);
}

BOOST_FIXTURE_TEST_CASE(replaced_batcher_moves_its_waiting_pieces, one_region_fleet) {
  submit(*nodes[0]);
  run(std::chrono::milliseconds(50));
  const auto first = caller()->identity.node;
  unresponsive = first;
  run(std::chrono::milliseconds(1500));
  for (auto& node : nodes) {
    node->calls.clear();
  }
  submit(other_than(*nodes[static_cast<std::size_t>(first.text().back() - '0')]));
  run(std::chrono::milliseconds(50));
  auto& second = *caller();
  BOOST_REQUIRE(second.identity.node != first);
  // Both replicas are busy, so that these pieces wait at the second batcher until the first batcher
  // responds again.
  for (int piece = 0; piece < 8; ++piece) {
    submit(second);
  }
  run(std::chrono::milliseconds(50));
  const auto calls_before = second.calls.size();
  unresponsive = {};
  run(std::chrono::milliseconds(600));
  auto& returned = *nodes[static_cast<std::size_t>(first.text().back() - '0')];
  std::size_t received_pieces = 0;
  for (const auto& call : returned.calls) {
    received_pieces += call.items.size();
  }
  BOOST_TEST(second.calls.size() == calls_before);
  BOOST_TEST(received_pieces + returned.subject.waiting_count("pool") >= 2U);
}

BOOST_AUTO_TEST_CASE(result_of_a_cancelled_piece_is_not_delivered) {
  submit(*nodes[0]);
  run(std::chrono::milliseconds(50));
  auto& batcher = *caller();
  auto& origin = other_than(batcher);
  batcher.calls.clear();
  const auto ticket = submit(origin);
  run(std::chrono::milliseconds(50));
  origin.subject.cancel(ticket);
  run(std::chrono::milliseconds(50));
  if (!batcher.calls.empty()) {
    answer(batcher);
  }
  run(std::chrono::milliseconds(50));
  BOOST_TEST(origin.finished.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(stage_exchange_scale_test, large_fleet)

BOOST_AUTO_TEST_CASE(all_nodes_of_a_large_fleet_agree_on_the_batcher) {
  run(std::chrono::seconds(3));
  for (auto& node : nodes) {
    submit(*node);
  }
  std::set<base::node_id> batchers;
  for (int round = 0; round < 60; ++round) {
    run(std::chrono::milliseconds(50));
    for (auto& node : nodes) {
      while (!node->calls.empty()) {
        batchers.insert(node->identity.node);
        answer(*node);
        node->calls.pop_back();
      }
    }
  }
  BOOST_TEST(unfinished() == 0U);
  BOOST_TEST(batchers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(weak_nodes_are_not_batchers_beside_a_strong_node) {
  constexpr std::size_t strong_node = 17;
  constexpr double weak_share = 0.12;
  constexpr double strong_share = 0.5;
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    processor_shares[index] = index == strong_node ? strong_share : weak_share;
  }
  for (int index = 0; index < 60; ++index) {
    nodes[static_cast<std::size_t>(index)] =
        std::make_unique<exchange_node>(peer(index), published, 2'000'000, one_region_settings());
  }
  exchange_peers();
  run(std::chrono::seconds(3));
  for (auto& node : nodes) {
    submit(*node);
  }
  run(std::chrono::milliseconds(100));
  BOOST_TEST(caller() == nodes[strong_node].get());
}

BOOST_AUTO_TEST_CASE(loss_of_first_messages_does_not_block_pieces) {
  loses_first_messages = true;
  for (auto& node : nodes) {
    submit(*node);
  }
  run_answering(std::chrono::seconds(3));
  BOOST_TEST(unfinished() == 0U);
}

BOOST_AUTO_TEST_CASE(a_large_fleet_sends_at_most_80_messages_per_second_per_node) {
  run(std::chrono::seconds(3));
  messages_sent = 0;
  run(std::chrono::seconds(1));
  constexpr std::size_t max_messages_per_node = 80;
  BOOST_TEST(messages_sent <= max_messages_per_node * nodes.size());
}

BOOST_AUTO_TEST_SUITE_END()
