/// Nodes transfer retry budget to each other, and the fleet-wide budget holds even if messages are
/// lost, late or duplicated, or nodes are partitioned.
#include "dispatch/retry_budget_exchange.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::time_point start{std::chrono::hours(1)};

fleet_peer peer_number(std::size_t index) {
  const auto name = "n" + std::to_string(index);
  return {base::node_id(name), base::zone_id(index % 2 == 0 ? "a" : "b"),
          base::network_address(name + ":1"), 1};
}

/// One node with its retry budget and the retries that it was granted.
struct budget_node {
  budget_node(std::size_t index, std::size_t nodes, const retry_limits& limits,
              base::random_source& random)
      : self(peer_number(index)), budget(limits), exchange(budget, self.zone, random, index + 1) {
    budget.set_fleet_size(nodes);
    std::vector<fleet_peer> others;
    for (std::size_t other = 0; other < nodes; ++other) {
      if (other != index) {
        others.push_back(peer_number(other));
      }
    }
    exchange.set_peers(others);
    exchange.start(start - seconds(20));
  }

  /// Takes a retry from the budget, or queries other nodes if none is available.
  /// @return whether the retry was granted.
  bool request_retry(base::time_point now) {
    if (budget.try_take("s", now)) {
      retries.push_back(now);
      return true;
    }
    exchange.query_peers("s", 1 + waiting_retries, now);
    return false;
  }

  fleet_peer self;
  retry_budget budget;
  retry_budget_exchange exchange;
  /// Number of requests that wait for a retry in addition to the request that causes the query.
  std::size_t waiting_retries = 0;
  std::vector<base::time_point> retries;
};

/// Nodes whose messages may be lost, late or duplicated, and that may be partitioned.
struct budget_fleet {
  budget_fleet(std::size_t nodes, const retry_limits& limits, std::uint64_t seed) : random(seed) {
    for (std::size_t index = 0; index < nodes; ++index) {
      all.push_back(std::make_unique<budget_node>(index, nodes, limits, random));
    }
  }

  struct message_in_flight {
    base::time_point arrives_at;
    fleet_peer sender;
    wire::outgoing message;
  };

  void collect(budget_node& sender, base::time_point now) {
    for (auto& message : sender.exchange.take_messages()) {
      ++messages;
      if (random.next_fraction() < loss_rate || is_partitioned(sender.self.address, message.to)) {
        continue;
      }
      const std::size_t copies = random.next_fraction() < duplication_rate ? 2 : 1;
      for (std::size_t copy = 0; copy < copies; ++copy) {
        const auto delay = milliseconds(1 + random.below(max_delay_milliseconds));
        in_flight.push_back({now + delay, sender.self, message});
      }
    }
  }

  void deliver(base::time_point now) {
    auto due = std::move(in_flight);
    in_flight.clear();
    for (auto& delivery : due) {
      if (delivery.arrives_at > now) {
        in_flight.push_back(std::move(delivery));
        continue;
      }
      auto& recipient = at(delivery.message.to);
      recipient.exchange.handle(delivery.sender.node, delivery.sender.address,
                                delivery.message.message.retry_lending(), now);
    }
    for (auto& node : all) {
      collect(*node, now);
    }
  }

  budget_node& at(const base::network_address& address) {
    return **std::find_if(all.begin(), all.end(),
                          [&](const auto& node) { return node->self.address == address; });
  }

  [[nodiscard]] bool is_partitioned(const base::network_address& sender,
                                    const base::network_address& recipient) const {
    return std::find(partitioned.begin(), partitioned.end(), sender) != partitioned.end() ||
           std::find(partitioned.begin(), partitioned.end(), recipient) != partitioned.end();
  }

  /// @return maximum number of retries of the fleet in any window.
  [[nodiscard]] std::size_t max_retries_in_window(base::duration window) const {
    std::vector<base::time_point> times;
    for (const auto& node : all) {
      times.insert(times.end(), node->retries.begin(), node->retries.end());
    }
    std::sort(times.begin(), times.end());
    std::size_t max_retries = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] > window) {
        ++first;
      }
      max_retries = std::max(max_retries, last - first + 1);
    }
    return max_retries;
  }

  base::seeded_random random;
  std::vector<std::unique_ptr<budget_node>> all;
  std::deque<message_in_flight> in_flight;
  std::vector<base::network_address> partitioned;
  double loss_rate = 0;
  double duplication_rate = 0;
  std::size_t max_delay_milliseconds = 5;
  std::size_t messages = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(retry_budget_exchange_test)

BOOST_AUTO_TEST_CASE(node_with_spent_budget_retries_with_transfers) {
  // The fleet-wide budget is 40 retries in a window, two per node; only one node needs retries.
  budget_fleet fleet(20, {0, 40, seconds(10)}, 1);
  auto& recipient = *fleet.all[0];
  for (int step = 0; step < 1000; ++step) {
    const auto now = start + milliseconds(10 * step);
    fleet.deliver(now);
    if (step % 50 == 0) {
      recipient.request_retry(now);
    } else if (recipient.exchange.is_awaiting_answers("s", now)) {
      continue;
    }
  }
  // The node's own budget of 1.6 retries (0.8 of two) allows one retry; the others need transfers.
  BOOST_TEST(recipient.retries.size() >= 8U);
  BOOST_TEST(fleet.max_retries_in_window(seconds(10)) <= 40U);
}

BOOST_AUTO_TEST_CASE(the_bound_holds_whatever_becomes_of_messages) {
  constexpr std::size_t fleet_budget = 30;
  std::size_t total_granted = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    budget_fleet fleet(12, {0, fleet_budget, seconds(10)}, seed);
    fleet.loss_rate = fleet.random.next_fraction() * 0.4;
    fleet.duplication_rate = fleet.random.next_fraction() * 0.4;
    fleet.max_delay_milliseconds = 1 + fleet.random.below(4000);
    for (auto& node : fleet.all) {
      node->waiting_retries = fleet.random.below(5);
    }
    const auto retrying_nodes = 1 + fleet.random.below(fleet.all.size());
    for (int step = 0; step < 3000; ++step) {
      const auto now = start + milliseconds(20 * step);
      if (step % 200 == 0) {
        fleet.partitioned.clear();
        for (std::size_t count = fleet.random.below(6); count > 0; --count) {
          fleet.partitioned.push_back(fleet.all[fleet.random.below(12)]->self.address);
        }
      }
      fleet.deliver(now);
      // The nodes that need retries change with time.
      const auto index = (fleet.random.below(retrying_nodes) + step / 500) % fleet.all.size();
      fleet.all[index]->request_retry(now);
    }
    const auto max_retries = fleet.max_retries_in_window(seconds(10));
    BOOST_TEST(max_retries <= fleet_budget,
               "seed " << seed << ": " << max_retries << " in a window");
    total_granted += max_retries;
  }
  BOOST_TEST(total_granted > 40U * 5);
}

BOOST_AUTO_TEST_CASE(an_answer_counts_once_and_only_for_its_question) {
  budget_fleet fleet(3, {0, 6, seconds(10)}, 1);
  auto& recipient = *fleet.all[0];
  while (recipient.request_retry(start)) {
  }
  const auto query = recipient.exchange.take_messages();
  BOOST_REQUIRE(!query.empty());
  auto& donor = fleet.at(query.front().to);
  donor.exchange.handle(recipient.self.node, recipient.self.address,
                        query.front().message.retry_lending(), start);
  const auto answer = donor.exchange.take_messages().front().message.retry_lending();
  BOOST_TEST(answer.lent().thousandths() > 0U);
  const auto before = recipient.budget.shortfall("s", start);
  auto other_incarnation = answer;
  other_incarnation.set_borrower_life(7);
  recipient.exchange.handle(donor.self.node, donor.self.address, other_incarnation, start);
  BOOST_TEST(recipient.budget.shortfall("s", start) == before);
  recipient.exchange.handle(donor.self.node, donor.self.address, answer, start);
  const auto after = recipient.budget.shortfall("s", start);
  BOOST_TEST(after < before);
  recipient.exchange.handle(donor.self.node, donor.self.address, answer, start);
  BOOST_TEST(recipient.budget.shortfall("s", start) == after);
}

BOOST_AUTO_TEST_CASE(a_node_that_has_just_started_lends_nothing) {
  base::seeded_random random(1);
  retry_budget budget({0, 10, seconds(10)});
  retry_budget_exchange exchange(budget, base::zone_id("a"), random, 1);
  exchange.start(start);
  wire::retry_lending query;
  query.set_question(1);
  query.mutable_asked()->set_service("s");
  query.mutable_asked()->set_thousandths(1000);
  const auto transferred_at = [&](base::time_point now) {
    exchange.handle(base::node_id("n"), base::network_address("n:1"), query, now);
    return exchange.take_messages().front().message.retry_lending().lent().thousandths();
  };
  BOOST_TEST(transferred_at(start + seconds(11)) == 0U);
  BOOST_TEST(transferred_at(start + seconds(12)) == 1000U);
}

BOOST_AUTO_TEST_CASE(a_node_that_has_just_started_lends_nothing_for_a_whole_window_however_long) {
  base::seeded_random random(1);
  retry_budget budget({0, 10, seconds(60)});
  retry_budget_exchange exchange(budget, base::zone_id("a"), random, 1);
  exchange.start(start);
  wire::retry_lending query;
  query.mutable_asked()->set_service("s");
  query.mutable_asked()->set_thousandths(1000);
  exchange.handle(base::node_id("n"), base::network_address("n:1"), query, start + seconds(13));
  BOOST_TEST(exchange.take_messages().front().message.retry_lending().lent().thousandths() == 0U);
}

BOOST_AUTO_TEST_CASE(what_is_borrowed_expires) {
  retry_budget budget({0, 1, seconds(10)});
  budget.add_transfer("s", one_retry, start + transfer_lifetime);
  BOOST_TEST(budget.shortfall("s", start + transfer_lifetime) == 0);
  BOOST_TEST(!budget.try_take("s", start + transfer_lifetime + milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(fleet_with_spent_budget_sends_few_queries) {
  budget_fleet fleet(20, {0, 20, seconds(10)}, 1);
  for (auto& node : fleet.all) {
    node->budget.set_fleet_size(1000);
  }
  for (int step = 0; step < 2000; ++step) {
    const auto now = start + milliseconds(10 * step);
    fleet.deliver(now);
    for (auto& node : fleet.all) {
      node->request_retry(now);
    }
  }
  // A node sends each query to three peers, and on average answers as many queries of other nodes.
  // The 20 seconds include the growth of the query interval to its maximum, which takes about twice
  // that maximum.
  BOOST_TEST(static_cast<double>(fleet.messages) / 20 / 20 < 4.0);
}

BOOST_AUTO_TEST_SUITE_END()
