/// Replicas that announce how many requests per second they accept from all nodes together.
///
/// Guards against nodes that ignore such a limit: two of twelve model replicas announced a limit of
/// one request per second and kept getting as many requests as the others. They got 12 and 13
/// requests in four seconds, counting only those of nodes that had received an answer with the
/// limit. Reproduced with twelve replicas and six nodes under a light load.
#include "limited_fleet.h"

using namespace spurrack;
using namespace spurrack::rate_limits;

namespace {

/// Time within which all nodes learn a new limit, except for nodes that are cut off by a partition.
constexpr base::duration convergence_time = seconds(3);

/// Returns the number of requests that a replica with a constant limit may get in four seconds.
double allowed_in_four_seconds(double limit) {
  return 1.5 * 4 * limit + 5;
}

/// Checks that nodes that knew the limit of a replica sent it no more requests, after `since`, than
/// the limit allows.
void check_limit(const limited_fleet& fleet, unsigned replica, double limit, base::time_point since,
                 const std::string& description) {
  const auto max_arrivals = fleet.max_arrivals_within(replica, seconds(4), since, true);
  BOOST_TEST(static_cast<double>(max_arrivals) <= allowed_in_four_seconds(limit),
             description << ": " << max_arrivals << " in 4 s at a limit of " << limit);
}

} // namespace

BOOST_AUTO_TEST_SUITE(limited_replica_test)

BOOST_AUTO_TEST_CASE(a_replica_gets_no_more_than_its_limit) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    limited_fleet fleet({.seed = seed});
    fleet.send_requests(40, seconds(3));
    fleet.set_limit(0, 1);
    fleet.set_limit(1, 1);
    const auto converged_at = fleet.now + convergence_time;
    fleet.send_requests(40, seconds(20));
    for (const unsigned replica : {0U, 1U}) {
      check_limit(fleet, replica, 1, converged_at, "seed " + std::to_string(seed));
    }
    BOOST_TEST(fleet.counts.refused + fleet.counts.failed == 0U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(at_any_fleet_size_a_replica_gets_most_of_its_limit_and_no_more) {
  struct scenario {
    std::size_t nodes;
    double limit;
  };
  const std::vector<scenario> scenarios{{2, 1},  {8, 0.2}, {8, 3.5},  {8, 40},
                                        {86, 1}, {86, 40}, {300, 3.5}};
  for (const auto& [nodes, limit] : scenarios) {
    limited_fleet fleet({.nodes = nodes, .zones = 4, .replicas = 2, .step = milliseconds(2)});
    fleet.set_limit(0, limit);
    fleet.set_limit(1, limit);
    const double load = 2 * limit * 1.3 + 1;
    const auto converged_at = fleet.now + convergence_time;
    fleet.send_requests(load, convergence_time);
    const auto started_at = fleet.now;
    const auto span = seconds(limit < 1 ? 60 : 20);
    fleet.send_requests(load, span);
    const auto description = std::to_string(nodes) + " nodes";
    double used_fraction = 0;
    for (const unsigned replica : {0U, 1U}) {
      check_limit(fleet, replica, limit, converged_at, description);
      // Counts the requests of all nodes, also of those that have not received an answer with the
      // limit.
      const auto all_arrivals =
          fleet.max_arrivals_within(replica, seconds(10), converged_at + seconds(10), false);
      BOOST_TEST(static_cast<double>(all_arrivals) <= 10 * (limit + 2),
                 description << ": " << all_arrivals << " in 10 s at a limit of " << limit);
      used_fraction += static_cast<double>(fleet.arrivals_since(replica, started_at));
    }
    used_fraction /= 2 * limit * base::to_seconds(span);
    BOOST_TEST(used_fraction >= 0.85,
               description << " use " << used_fraction << " of a limit of " << limit);
  }
}

BOOST_AUTO_TEST_CASE(most_of_a_limit_is_used_whichever_nodes_get_the_requests) {
  constexpr double limit = 20;
  const auto check_use = [&](const std::string& description, double load,
                             const std::function<std::size_t(limited_fleet&)>& choose_node) {
    limited_fleet fleet({.nodes = 16, .zones = 4, .replicas = 2});
    fleet.set_limit(0, limit);
    fleet.set_limit(1, limit);
    fleet.send_requests(load, convergence_time, [&] { return choose_node(fleet); });
    const auto started_at = fleet.now;
    fleet.send_requests(load, seconds(20), [&] { return choose_node(fleet); });
    double used_fraction = 0;
    for (const unsigned replica : {0U, 1U}) {
      check_limit(fleet, replica, limit, started_at, description);
      used_fraction += static_cast<double>(fleet.arrivals_since(replica, started_at));
    }
    used_fraction /= 2 * limit * 20;
    BOOST_TEST(used_fraction >= 0.85, description << " use " << used_fraction);
  };
  check_use("one node", 60, [](limited_fleet&) { return std::size_t{5}; });
  check_use("one zone", 60, [](limited_fleet& fleet) { return 4 * fleet.random.below(4) + 1; });
  check_use("bursts", 60, [](limited_fleet& fleet) {
    const auto burst_number = base::to_milliseconds(fleet.now.time_since_epoch()) / 400;
    return static_cast<std::size_t>(burst_number % 16);
  });
}

BOOST_AUTO_TEST_CASE(both_halves_of_a_partitioned_fleet_together_stay_within_a_limit) {
  for (const double limit : {1.0, 40.0}) {
    limited_fleet fleet({.nodes = 8, .zones = 4, .replicas = 2});
    fleet.set_limit(0, limit);
    fleet.set_limit(1, limit);
    const auto converged_at = fleet.now + convergence_time;
    fleet.send_requests(3 * limit, seconds(6));
    fleet.partition([](std::size_t node) { return node % 4 < 2 ? 0U : 1U; });
    fleet.send_requests(3 * limit, seconds(10));
    fleet.partition([](std::size_t) { return 0U; });
    fleet.send_requests(3 * limit, seconds(10));
    for (const unsigned replica : {0U, 1U}) {
      check_limit(fleet, replica, limit, converged_at, "halves");
    }
  }
}

BOOST_AUTO_TEST_CASE(restarted_and_suspended_nodes_accumulate_no_permits) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    constexpr double limit = 10;
    limited_fleet fleet({.seed = seed, .nodes = 8, .zones = 2, .replicas = 4});
    for (unsigned replica = 0; replica < 4; ++replica) {
      fleet.set_limit(replica, limit);
    }
    const auto converged_at = fleet.now + convergence_time;
    fleet.send_requests(60, seconds(5));
    for (int round = 0; round < 6; ++round) {
      fleet.start_node(fleet.random.below(8));
      const auto suspended_node = fleet.random.below(8);
      fleet.suspend_node(suspended_node);
      fleet.send_requests(60, seconds(2));
      fleet.resume_node(suspended_node, seconds(2));
      fleet.send_requests(60, seconds(1));
    }
    for (unsigned replica = 0; replica < 4; ++replica) {
      check_limit(fleet, replica, limit, converged_at, "seed " + std::to_string(seed));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_lifted_limit_is_forgotten_by_all_nodes) {
  limited_fleet fleet({.nodes = 8, .zones = 2, .replicas = 2});
  fleet.set_limit(0, 1);
  fleet.set_limit(1, 1);
  fleet.send_requests(20, seconds(8));
  fleet.set_limit(0, std::nullopt);
  fleet.set_limit(1, std::nullopt);
  fleet.send_requests(20, seconds(5));
  const auto started_at = fleet.now;
  fleet.counts = {};
  fleet.send_requests(20, seconds(10));
  BOOST_TEST(fleet.counts.refused + fleet.counts.failed == 0U);
  BOOST_TEST(fleet.arrivals_since(0, started_at) + fleet.arrivals_since(1, started_at) > 150U);
  BOOST_TEST(fleet.nodes[0].subject->limits().limited_replicas() == 0U);
}

BOOST_AUTO_TEST_CASE(a_replica_that_accepts_nothing_is_probed_rarely_until_its_limit_is_lifted) {
  limited_fleet fleet({.nodes = 8, .zones = 2, .replicas = 4});
  fleet.set_limit(0, 0);
  fleet.send_requests(40, convergence_time);
  auto started_at = fleet.now;
  fleet.send_requests(40, seconds(30));
  const auto sent = fleet.arrivals_since(0, started_at);
  BOOST_TEST(sent <= 5U, sent << " requests in 30 s");
  BOOST_TEST(sent >= 1U);
  fleet.set_limit(0, std::nullopt);
  fleet.send_requests(40, seconds(25));
  started_at = fleet.now;
  fleet.send_requests(40, seconds(10));
  BOOST_TEST(fleet.arrivals_since(0, started_at) > 50U);
}

BOOST_AUTO_TEST_CASE(a_limit_ends_with_the_incarnation_that_announced_it) {
  limited_fleet fleet({.nodes = 8, .zones = 2, .replicas = 4});
  fleet.set_limit(0, 1);
  fleet.send_requests(40, seconds(6));
  fleet.restart_replica(0);
  const auto started_at = fleet.now;
  fleet.send_requests(40, seconds(10));
  BOOST_TEST(fleet.arrivals_since(0, started_at) > 50U);
}

BOOST_AUTO_TEST_CASE(a_replica_whose_limit_changes_often_gets_no_more_than_the_largest_limit) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    limited_fleet fleet({.seed = seed, .nodes = 8, .zones = 2, .replicas = 4});
    // The number of requests in any four seconds is bounded by the largest limit that was in effect
    // in that time; the test checks it against the largest of all limits.
    const std::vector<std::optional<double>> values{4.0, 2.0, 8.0, 4.0};
    fleet.set_limit(0, 4.0);
    const auto converged_at = fleet.now + convergence_time;
    for (int round = 0; round < 40; ++round) {
      fleet.send_requests(60, milliseconds(300 + fleet.random.below(700)));
      fleet.set_limit(0, values[fleet.random.below(values.size())]);
    }
    check_limit(fleet, 0, 8, converged_at, "seed " + std::to_string(seed));
  }
}

BOOST_AUTO_TEST_CASE(requests_that_cannot_be_sent_before_their_deadline_are_refused) {
  limited_fleet fleet({.nodes = 4, .zones = 2, .replicas = 2});
  fleet.set_limit(0, 1);
  fleet.set_limit(1, 1);
  fleet.send_requests(20, seconds(4));
  fleet.counts = {};
  fleet.send_requests(20, seconds(20));
  BOOST_TEST(fleet.counts.refused > 300U);
  BOOST_TEST(fleet.counts.served >= 34U);
  BOOST_TEST(fleet.counts.failed == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
