/// Tests of the exchange of crash records between nodes: which nodes receive a record, how soon,
/// and how many bytes are sent.
#include "quarantine/crash_report_exchange.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

using namespace spurrack;
using namespace spurrack::quarantine;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

suspect_digest some_digest(std::uint8_t number) {
  return suspect_digest(std::array<std::uint8_t, suspect_digest::byte_count>{number});
}

/// One node: its registry and its exchange.
struct crash_exchange_node {
  explicit crash_exchange_node(std::size_t number)
      : name("n" + std::to_string(number)), random(number + 1),
        exchange(registry, base::node_id(name), random) {}

  std::string name;
  base::seeded_random random;
  crash_registry registry;
  crash_report_exchange exchange;
};

/// Nodes that exchange crash records; messages take at most 1 ms.
struct crash_exchange_fleet {
  explicit crash_exchange_fleet(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      nodes.push_back(std::make_unique<crash_exchange_node>(index));
    }
    for (auto& node : nodes) {
      update_peers(*node);
    }
    run(seconds(1));
    sent_bytes = 0;
  }

  void update_peers(crash_exchange_node& node) {
    std::vector<serving::fleet_peer> others;
    for (const auto& other : nodes) {
      if (other->name != node.name) {
        others.push_back({base::node_id(other->name), base::zone_id("z"),
                          base::network_address(other->name), 1});
      }
    }
    node.exchange.set_peers(others);
  }

  /// Records an exit under a request at one node.
  void note_exit(std::size_t index, std::uint8_t request, replica_exit exit) {
    auto& node = *nodes[index];
    node.registry.note_exit({some_digest(request)}, {exit, now}, now);
    node.exchange.note_changed(some_digest(request));
  }

  void run(base::duration span) {
    const auto end = now + span;
    while (now < end) {
      now += milliseconds(1);
      for (auto& node : nodes) {
        node->exchange.advance(now);
        for (const auto& message : node->exchange.take_messages()) {
          sent_bytes += message.message.ByteSizeLong();
          deliver(*node, message);
        }
      }
    }
  }

  void deliver(const crash_exchange_node& sender, const wire::outgoing& message) {
    const auto found = std::find_if(nodes.begin(), nodes.end(), [&](const auto& node) {
      return node->name == message.to.text();
    });
    (*found)->exchange.handle(base::network_address(sender.name), message.message.crash_news(),
                              now);
  }

  /// @return number of nodes that know at least `exits` exits under a request.
  [[nodiscard]] std::size_t nodes_knowing(std::uint8_t request, std::size_t exits) const {
    return static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(), [&](const auto& node) {
          const auto* record = node->registry.find(some_digest(request));
          return record != nullptr && record->exits.size() >= exits;
        }));
  }

  base::time_point now{std::chrono::hours(1)};
  std::vector<std::unique_ptr<crash_exchange_node>> nodes;
  /// Bytes of all messages since the end of the constructor.
  std::size_t sent_bytes = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_news_test)

BOOST_AUTO_TEST_CASE(exits_observed_by_different_nodes_reach_all_nodes_within_contact_time) {
  for (const std::size_t count : {2, 6, 60, 300}) {
    crash_exchange_fleet fleet(count);
    for (std::uint8_t exit = 0; exit < 4; ++exit) {
      fleet.note_exit(exit % count, 1, 100 + exit);
      fleet.run(milliseconds(300));
    }
    fleet.run(seconds(2));
    BOOST_TEST_CONTEXT(count << " nodes") {
      BOOST_TEST(fleet.nodes_knowing(1, 4) == count);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_first_exit_is_reported_only_to_its_aggregators) {
  crash_exchange_fleet fleet(60);
  fleet.note_exit(0, 1, 100);
  fleet.run(seconds(5));
  BOOST_TEST(fleet.nodes_knowing(1, 1) <= 4U);
  BOOST_TEST(fleet.nodes_knowing(1, 1) >= 3U);
}

BOOST_AUTO_TEST_CASE(traffic_of_a_node_does_not_grow_with_the_fleet) {
  double least = 1e9;
  double most = 0;
  for (const std::size_t count : {30, 100, 300}) {
    crash_exchange_fleet fleet(count);
    for (std::uint8_t exit = 0; exit < 8; ++exit) {
      fleet.note_exit(exit, 1, 100 + exit);
      fleet.run(milliseconds(500));
    }
    const auto bytes_per_second_and_node =
        static_cast<double>(fleet.sent_bytes) / static_cast<double>(count) / 4;
    BOOST_TEST_MESSAGE(count << " nodes: " << bytes_per_second_and_node
                             << " bytes per second and node");
    least = std::min(least, bytes_per_second_and_node);
    most = std::max(most, bytes_per_second_and_node);
  }
  BOOST_TEST(most < 2 * least);
  // Two exits per second under one request cause no more than a third of a node's control traffic.
  BOOST_TEST(most < 3'000);
}

BOOST_AUTO_TEST_CASE(a_restarted_node_queries_the_records_that_it_missed) {
  crash_exchange_fleet fleet(30);
  for (std::uint8_t exit = 0; exit < 4; ++exit) {
    fleet.note_exit(exit, 1, 100 + exit);
  }
  fleet.run(seconds(2));
  fleet.nodes[7] = std::make_unique<crash_exchange_node>(7);
  fleet.update_peers(*fleet.nodes[7]);
  fleet.run(seconds(1));
  BOOST_TEST(fleet.nodes_knowing(1, 4) == 30U);
}

BOOST_AUTO_TEST_CASE(a_surviving_run_clears_the_request_on_all_nodes) {
  crash_exchange_fleet fleet(30);
  for (std::uint8_t exit = 0; exit < 4; ++exit) {
    fleet.note_exit(exit, 1, 100 + exit);
  }
  fleet.run(seconds(2));
  fleet.nodes[3]->registry.note_survived(some_digest(1), fleet.now);
  fleet.nodes[3]->exchange.note_changed(some_digest(1));
  fleet.run(seconds(3));
  BOOST_TEST(fleet.nodes_knowing(1, 1) == 0U);
}

BOOST_AUTO_TEST_CASE(malformed_records_are_counted_and_skipped) {
  crash_exchange_fleet fleet(2);
  wire::crash_news message;
  message.add_records()->set_request_digest("too short");
  auto& well_formed = *message.add_records();
  well_formed.set_request_digest(some_digest(9).bytes());
  well_formed.add_crashes()->set_replica_end(1);
  auto& node = *fleet.nodes[0];
  const auto learned = node.exchange.handle(base::network_address("n1"), message, fleet.now);
  BOOST_TEST(learned.size() == 1U);
  BOOST_TEST(node.exchange.counts().malformed_records == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
