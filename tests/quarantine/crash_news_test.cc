/// How nodes tell each other of requests under which replicas ended, and what that costs.
#include "quarantine/crash_report_exchange.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

using namespace spurrack;
using namespace spurrack::quarantine;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

request_digest some_digest(std::uint8_t number) {
  return request_digest(std::array<std::uint8_t, request_digest::byte_count>{number});
}

struct telling_node {
  explicit telling_node(std::size_t number)
      : name("n" + std::to_string(number)), random(number + 1),
        news(ledger, base::node_id(name), random) {}

  std::string name;
  base::seeded_random random;
  crash_registry ledger;
  crash_report_exchange news;
};

/// Nodes that tell each other, with messages that take 1 ms.
struct telling_fleet {
  explicit telling_fleet(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      nodes.push_back(std::make_unique<telling_node>(index));
    }
    for (auto& node : nodes) {
      introduce(*node);
    }
    run(seconds(1));
    bytes = 0;
  }

  void introduce(telling_node& node) {
    std::vector<serving::fleet_peer> others;
    for (const auto& other : nodes) {
      if (other->name != node.name) {
        others.push_back({base::node_id(other->name), base::zone_id("z"),
                          base::network_address(other->name), 1});
      }
    }
    node.news.set_peers(others);
  }

  void note(std::size_t index, std::uint8_t request, replica_exit end) {
    auto& node = *nodes[index];
    node.ledger.note_exit(some_digest(request), {end, now}, now);
    node.news.note_changed(some_digest(request));
  }

  void run(base::duration span) {
    const auto end = now + span;
    while (now < end) {
      now += milliseconds(1);
      for (auto& node : nodes) {
        node->news.advance(now);
        for (const auto& message : node->news.take_messages()) {
          bytes += message.message.ByteSizeLong();
          deliver(*node, message);
        }
      }
    }
  }

  void deliver(const telling_node& sender, const wire::outgoing& message) {
    const auto found = std::find_if(nodes.begin(), nodes.end(), [&](const auto& node) {
      return node->name == message.to.text();
    });
    (*found)->news.handle(base::network_address(sender.name), message.message.crash_news(), now);
  }

  /// @return nodes that know this many ends under a request.
  [[nodiscard]] std::size_t knowing(std::uint8_t request, std::size_t ends) const {
    return static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(), [&](const auto& node) {
          const auto* record = node->ledger.find(some_digest(request));
          return record != nullptr && record->exits.size() >= ends;
        }));
  }

  base::time_point now{std::chrono::hours(1)};
  std::vector<std::unique_ptr<telling_node>> nodes;
  std::size_t bytes = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_news_test)

BOOST_AUTO_TEST_CASE(ends_that_different_nodes_saw_meet_and_reach_all_within_contact_time) {
  for (const std::size_t count : {2, 6, 60, 300}) {
    telling_fleet fleet(count);
    for (std::uint8_t end = 0; end < 4; ++end) {
      fleet.note(end % count, 1, 100 + end);
      fleet.run(milliseconds(300));
    }
    fleet.run(seconds(2));
    BOOST_TEST_CONTEXT(count << " nodes") {
      BOOST_TEST(fleet.knowing(1, 4) == count);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_first_end_is_told_to_its_keepers_alone) {
  telling_fleet fleet(60);
  fleet.note(0, 1, 100);
  fleet.run(seconds(5));
  BOOST_TEST(fleet.knowing(1, 1) <= 4U);
  BOOST_TEST(fleet.knowing(1, 1) >= 3U);
}

BOOST_AUTO_TEST_CASE(what_a_node_sends_does_not_grow_with_the_fleet) {
  double least = 1e9;
  double most = 0;
  for (const std::size_t count : {30, 100, 300}) {
    telling_fleet fleet(count);
    for (std::uint8_t end = 0; end < 8; ++end) {
      fleet.note(end, 1, 100 + end);
      fleet.run(milliseconds(500));
    }
    const auto a_node = static_cast<double>(fleet.bytes) / static_cast<double>(count) / 4;
    BOOST_TEST_MESSAGE(count << " nodes: " << a_node << " bytes a second and node");
    least = std::min(least, a_node);
    most = std::max(most, a_node);
  }
  BOOST_TEST(most < 2 * least);
  // Two ends a second under one request take no more than a third of a node's control bytes.
  BOOST_TEST(most < 3'000);
}

BOOST_AUTO_TEST_CASE(a_node_that_starts_anew_asks_for_what_it_missed) {
  telling_fleet fleet(30);
  for (std::uint8_t end = 0; end < 4; ++end) {
    fleet.note(end, 1, 100 + end);
  }
  fleet.run(seconds(2));
  fleet.nodes[7] = std::make_unique<telling_node>(7);
  fleet.introduce(*fleet.nodes[7]);
  fleet.run(seconds(1));
  BOOST_TEST(fleet.knowing(1, 4) == 30U);
}

BOOST_AUTO_TEST_CASE(a_request_that_ran_well_is_cleared_on_all_nodes) {
  telling_fleet fleet(30);
  for (std::uint8_t end = 0; end < 4; ++end) {
    fleet.note(end, 1, 100 + end);
  }
  fleet.run(seconds(2));
  fleet.nodes[3]->ledger.note_survived(some_digest(1), fleet.now);
  fleet.nodes[3]->news.note_changed(some_digest(1));
  fleet.run(seconds(3));
  BOOST_TEST(fleet.knowing(1, 1) == 0U);
}

BOOST_AUTO_TEST_CASE(malformed_records_are_counted_and_passed_over) {
  telling_fleet fleet(2);
  wire::crash_news message;
  message.add_records()->set_request_digest("too short");
  auto& sound = *message.add_records();
  sound.set_request_digest(some_digest(9).bytes());
  sound.add_crashes()->set_replica_end(1);
  auto& node = *fleet.nodes[0];
  const auto learned = node.news.handle(base::network_address("n1"), message, fleet.now);
  BOOST_TEST(learned.size() == 1U);
  BOOST_TEST(node.news.counts().malformed_records == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
