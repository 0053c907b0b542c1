/// What nodes tell each other of limited replicas: how fast all know, and how much it costs.
#include "permit_node.h"

#include "base/random.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace spurrack;
using namespace spurrack::rate_limits;
using replica_statements::published_replica;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Nodes that pass messages on within 20 ms, and lose some.
struct telling_fleet {
  explicit telling_fleet(std::size_t size, double lost = 0) : loss(lost), random(5) {
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
      for (auto& [to, from, message] : std::exchange(under_way, {})) {
        nodes[to]->handle(from, message, now);
      }
      for (std::size_t index = 0; index < nodes.size(); ++index) {
        nodes[index]->advance(now);
        for (const auto& sent : nodes[index]->take_messages()) {
          bytes += sent.message.ByteSizeLong();
          if (random.unit() >= loss) {
            under_way.push_back({std::stoul(sent.to.text().substr(1)), peers[index].node,
                                 sent.message.rate_limits()});
          }
        }
      }
    }
  }

  [[nodiscard]] std::size_t knowing(const base::replica_id& replica) const {
    return static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(), [&](const auto& node) {
          return node->statements().limits().limit_of(replica).has_value();
        }));
  }

  struct message_under_way {
    std::size_t to = 0;
    base::node_id from;
    wire::rate_limits message;
  };
  double loss;
  base::seeded_random random;
  base::time_point now{std::chrono::hours(1)};
  std::vector<serving::fleet_peer> peers;
  std::vector<std::unique_ptr<base::seeded_random>> randoms;
  std::vector<std::unique_ptr<permit_node>> nodes;
  std::vector<message_under_way> under_way;
  std::size_t bytes = 0;
};

const base::replica_id limited("r");

} // namespace

BOOST_AUTO_TEST_SUITE(limit_exchange_test)

BOOST_AUTO_TEST_CASE(all_nodes_know_a_limit_and_its_end_within_three_seconds) {
  for (const std::size_t size : {2U, 8U, 86U, 300U}) {
    for (const double loss : {0.0, 0.3}) {
      telling_fleet fleet(size, loss);
      fleet.nodes[0]->hear(limited, {2.0}, fleet.now, fleet.now);
      fleet.run(seconds(3));
      BOOST_TEST(fleet.knowing(limited) == size, fleet.knowing(limited)
                                                     << " of " << size << " nodes, loss " << loss);
      fleet.nodes[size - 1]->hear(limited, {}, fleet.now, fleet.now);
      fleet.run(seconds(3));
      BOOST_TEST(fleet.knowing(limited) == 0U, size << " nodes, loss " << loss);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_node_that_starts_hears_of_it_within_three_seconds) {
  telling_fleet fleet(8);
  fleet.nodes[0]->hear(limited, {2.0}, fleet.now, fleet.now);
  fleet.run(seconds(3));
  fleet.nodes[5]->forget(limited);
  fleet.run(seconds(3));
  BOOST_TEST(fleet.knowing(limited) == 8U);
}

BOOST_AUTO_TEST_CASE(bytes_are_bounded_while_all_replicas_name_limits) {
  telling_fleet fleet(86);
  for (int replica = 0; replica < 140; ++replica) {
    fleet.nodes[static_cast<std::size_t>(replica) % 86]->hear(
        base::replica_id("i-0123456789-" + std::to_string(replica)), {1.0}, fleet.now, fleet.now);
  }
  fleet.run(seconds(5));
  fleet.bytes = 0;
  const auto begun = fleet.now;
  for (; fleet.now - begun < seconds(10);) {
    for (auto& node : fleet.nodes) {
      const auto replica = fleet.random.below(140);
      node->permits().note_wanted(base::replica_id("i-0123456789-" + std::to_string(replica)),
                                  fleet.now);
    }
    fleet.run(milliseconds(100));
  }
  const auto each = static_cast<double>(fleet.bytes) / 10 / 86;
  BOOST_TEST_MESSAGE("bytes a second and node: " << each);
  BOOST_TEST(each <= 9'000, each << " bytes a second and node");
}

BOOST_AUTO_TEST_CASE(news_of_other_lives_and_unknown_replicas_is_passed_over) {
  telling_fleet fleet(2);
  wire::rate_limits news;
  auto& other_life = *news.add_limits();
  other_life.set_replica("r");
  other_life.set_life_mark(9);
  other_life.set_per_second(1);
  other_life.set_version(4);
  auto& unknown = *news.add_limits();
  unknown.set_replica("unknown");
  unknown.set_life_mark(1);
  fleet.nodes[0]->handle(base::node_id("n1"), news, fleet.now);
  BOOST_TEST(!fleet.nodes[0]->permits().any());
  BOOST_TEST(fleet.nodes[0]->statements().counts().of_other_incarnations == 2U);
}

BOOST_AUTO_TEST_CASE(permits_that_nobody_asked_for_are_void) {
  telling_fleet fleet(2);
  fleet.nodes[0]->hear(limited, {1.0}, fleet.now, fleet.now);
  wire::rate_limits news;
  auto& granted = *news.add_granted();
  granted.set_replica("r");
  granted.set_count(50);
  fleet.nodes[0]->handle(base::node_id("n1"), news, fleet.now);
  BOOST_TEST(!fleet.nodes[0]->permits().may_send(limited, fleet.now));
  BOOST_TEST(fleet.nodes[0]->permits().counts().permits_void == 50U);
}

BOOST_AUTO_TEST_SUITE_END()
