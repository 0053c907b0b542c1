/// Messages between nodes about limited replicas: how long it takes until all nodes know a limit,
/// and how many bytes the nodes send.
#include "permit_node.h"

#include "base/random.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace spurrack;
using namespace spurrack::rate_limits;
using self_reports::published_replica;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Nodes whose messages arrive after 20 ms or are lost.
struct exchange_fleet {
  explicit exchange_fleet(std::size_t size, double loss_rate = 0)
      : message_loss_rate(loss_rate), random(5) {
    for (std::size_t index = 0; index < size; ++index) {
      const auto name = "n" + std::to_string(index);
      peers.push_back(
          {base::node_id(name), base::zone_id("a"), base::network_address(name + ":1"), 1});
      randoms.push_back(std::make_unique<base::seeded_random>(index));
      add(index);
    }
    for (std::size_t index = 0; index < size; ++index) {
      auto others = peers;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
      nodes[index]->set_peers(others, others.size());
    }
  }

  void add(std::size_t index) {
    nodes.push_back(std::make_unique<permit_node>(
        peers[index],
        [](const auto& replica) {
          return replica.text() == "unknown"
                     ? std::nullopt
                     : std::optional(published_replica{base::zone_id("a"), 1, 1});
        },
        *randoms[index], index + 1));
  }

  void run(base::duration span) {
    for (const auto end = now + span; now < end; now += milliseconds(20)) {
      for (auto& [to, from, message] : std::exchange(in_transit, {})) {
        nodes[to]->handle(from, message, now);
      }
      for (std::size_t index = 0; index < nodes.size(); ++index) {
        nodes[index]->advance(now);
        for (const auto& sent : nodes[index]->take_messages()) {
          bytes += sent.message.ByteSizeLong();
          if (random.next_fraction() >= message_loss_rate) {
            in_transit.push_back({std::stoul(sent.to.text().substr(1)), peers[index].node,
                                  sent.message.rate_limits()});
          }
        }
      }
    }
  }

  [[nodiscard]] std::size_t nodes_with_limit(const base::replica_id& replica) const {
    return static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(), [&](const auto& node) {
          return node->replica_self_reports().limits().limit_of(replica).has_value();
        }));
  }

  struct message_in_transit {
    std::size_t to = 0;
    base::node_id from;
    wire::rate_limits message;
  };
  double message_loss_rate;
  base::seeded_random random;
  base::time_point now{std::chrono::hours(1)};
  std::vector<serving::fleet_peer> peers;
  std::vector<std::unique_ptr<base::seeded_random>> randoms;
  std::vector<std::unique_ptr<permit_node>> nodes;
  std::vector<message_in_transit> in_transit;
  std::size_t bytes = 0;
};

const base::replica_id limited_replica("r");

} // namespace

BOOST_AUTO_TEST_SUITE(limit_exchange_test)

BOOST_AUTO_TEST_CASE(all_nodes_learn_that_a_limit_is_set_or_lifted_within_three_seconds) {
  for (const std::size_t size : {2U, 8U, 86U, 300U}) {
    for (const double loss_rate : {0.0, 0.3}) {
      exchange_fleet fleet(size, loss_rate);
      fleet.nodes[0]->record_limit(limited_replica, {2.0}, fleet.now, fleet.now);
      fleet.run(seconds(3));
      BOOST_TEST(fleet.nodes_with_limit(limited_replica) == size,
                 fleet.nodes_with_limit(limited_replica)
                     << " of " << size << " nodes, loss " << loss_rate);
      fleet.nodes[size - 1]->record_limit(limited_replica, {}, fleet.now, fleet.now);
      fleet.run(seconds(3));
      BOOST_TEST(fleet.nodes_with_limit(limited_replica) == 0U,
                 size << " nodes, loss " << loss_rate);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_node_without_state_learns_a_limit_within_three_seconds) {
  exchange_fleet fleet(8);
  fleet.nodes[0]->record_limit(limited_replica, {2.0}, fleet.now, fleet.now);
  fleet.run(seconds(3));
  fleet.nodes[5]->forget(limited_replica);
  fleet.run(seconds(3));
  BOOST_TEST(fleet.nodes_with_limit(limited_replica) == 8U);
}

BOOST_AUTO_TEST_CASE(nodes_send_at_most_9_kb_per_second_while_all_replicas_announce_limits) {
  exchange_fleet fleet(86);
  for (int replica = 0; replica < 140; ++replica) {
    fleet.nodes[static_cast<std::size_t>(replica) % 86]->record_limit(
        base::replica_id("i-0123456789-" + std::to_string(replica)), {1.0}, fleet.now, fleet.now);
  }
  fleet.run(seconds(5));
  fleet.bytes = 0;
  const auto started_at = fleet.now;
  for (; fleet.now - started_at < seconds(10);) {
    for (auto& node : fleet.nodes) {
      const auto replica = fleet.random.below(140);
      node->permits().note_unmet_demand(base::replica_id("i-0123456789-" + std::to_string(replica)),
                                        fleet.now);
    }
    fleet.run(milliseconds(100));
  }
  const auto bytes_per_node_second = static_cast<double>(fleet.bytes) / 10 / 86;
  BOOST_TEST_MESSAGE("bytes a second and node: " << bytes_per_node_second);
  BOOST_TEST(bytes_per_node_second <= 9'000, bytes_per_node_second << " bytes a second and node");
}

BOOST_AUTO_TEST_CASE(limits_of_other_incarnations_and_unknown_replicas_are_ignored) {
  exchange_fleet fleet(2);
  wire::rate_limits limits_message;
  auto& other_incarnation = *limits_message.add_limits();
  other_incarnation.set_replica("r");
  other_incarnation.set_life_mark(9);
  other_incarnation.set_per_second(1);
  other_incarnation.set_version(4);
  auto& unknown = *limits_message.add_limits();
  unknown.set_replica("unknown");
  unknown.set_life_mark(1);
  fleet.nodes[0]->handle(base::node_id("n1"), limits_message, fleet.now);
  BOOST_TEST(!fleet.nodes[0]->permits().has_limits());
  BOOST_TEST(fleet.nodes[0]->replica_self_reports().counts().limits_of_other_incarnations == 2U);
}

BOOST_AUTO_TEST_CASE(unsolicited_permits_are_discarded) {
  exchange_fleet fleet(2);
  fleet.nodes[0]->record_limit(limited_replica, {1.0}, fleet.now, fleet.now);
  wire::rate_limits limits_message;
  auto& granted = *limits_message.add_granted();
  granted.set_replica("r");
  granted.set_count(50);
  fleet.nodes[0]->handle(base::node_id("n1"), limits_message, fleet.now);
  BOOST_TEST(!fleet.nodes[0]->permits().may_send(limited_replica, fleet.now));
  BOOST_TEST(fleet.nodes[0]->permits().counts().permits_expired == 50U);
}

BOOST_AUTO_TEST_SUITE_END()
