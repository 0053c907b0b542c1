/// Replicas that name how many requests a second they take from all nodes together.
///
/// Seen: two of twelve model replicas named a limit of one request a second and went on getting as
/// many as the others; in four seconds 12 and 13 came from nodes that had passed such an answer on.
/// The same is brought about here by twelve replicas before six nodes under a light load.
#include "limited_fleet.h"

using namespace spurrack;
using namespace spurrack::rate_limits;

namespace {

/// News reaches all nodes in contact within this time.
constexpr base::duration contact_time = seconds(3);

/// @return what a replica with a constant limit may get in four seconds.
double allowed_in_four_seconds(double limit) {
  return 1.5 * 4 * limit + 5;
}

/// Checks what a replica got since its limit was known.
void check_kept(const limited_fleet& fleet, unsigned replica, double limit, base::time_point since,
                const std::string& what) {
  const auto most = fleet.max_arrivals_within(replica, seconds(4), since, true);
  BOOST_TEST(static_cast<double>(most) <= allowed_in_four_seconds(limit),
             what << ": " << most << " in 4 s at a limit of " << limit);
}

} // namespace

BOOST_AUTO_TEST_SUITE(limited_replica_test)

BOOST_AUTO_TEST_CASE(a_replica_gets_no_more_than_it_names) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    limited_fleet fleet({.seed = seed});
    fleet.load(40, seconds(3));
    fleet.set_limit(0, 1);
    fleet.set_limit(1, 1);
    const auto known_at = fleet.now + contact_time;
    fleet.load(40, seconds(20));
    for (const unsigned replica : {0U, 1U}) {
      check_kept(fleet, replica, 1, known_at, "seed " + std::to_string(seed));
    }
    BOOST_TEST(fleet.counts.refused + fleet.counts.failed == 0U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(any_limit_is_kept_at_any_size_and_used_while_requests_wait) {
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
    const double wanted = 2 * limit * 1.3 + 1;
    const auto known_at = fleet.now + contact_time;
    fleet.load(wanted, contact_time);
    const auto begun = fleet.now;
    const auto span = seconds(limit < 1 ? 60 : 20);
    fleet.load(wanted, span);
    const auto what = std::to_string(nodes) + " nodes";
    double used = 0;
    for (const unsigned replica : {0U, 1U}) {
      check_kept(fleet, replica, limit, known_at, what);
      // From nodes that have not passed an answer on too.
      const auto all =
          fleet.max_arrivals_within(replica, seconds(10), known_at + seconds(10), false);
      BOOST_TEST(static_cast<double>(all) <= 10 * (limit + 2),
                 what << ": " << all << " in 10 s at a limit of " << limit);
      used += static_cast<double>(fleet.arrived_since(replica, begun));
    }
    used /= 2 * limit * base::to_seconds(span);
    BOOST_TEST(used >= 0.85, what << " use " << used << " of a limit of " << limit);
  }
}

BOOST_AUTO_TEST_CASE(a_limit_is_used_wherever_the_requests_come) {
  constexpr double limit = 20;
  const auto use_of = [&](const std::string& what, double wanted,
                          const std::function<std::size_t(limited_fleet&)>& choose_node) {
    limited_fleet fleet({.nodes = 16, .zones = 4, .replicas = 2});
    fleet.set_limit(0, limit);
    fleet.set_limit(1, limit);
    fleet.load(wanted, contact_time, [&] { return choose_node(fleet); });
    const auto begun = fleet.now;
    fleet.load(wanted, seconds(20), [&] { return choose_node(fleet); });
    double used = 0;
    for (const unsigned replica : {0U, 1U}) {
      check_kept(fleet, replica, limit, begun, what);
      used += static_cast<double>(fleet.arrived_since(replica, begun));
    }
    used /= 2 * limit * 20;
    BOOST_TEST(used >= 0.85, what << " use " << used);
  };
  use_of("one node", 60, [](limited_fleet&) { return std::size_t{5}; });
  use_of("one zone", 60, [](limited_fleet& fleet) { return 4 * fleet.random.below(4) + 1; });
  use_of("bursts", 60, [](limited_fleet& fleet) {
    const auto tenths = base::to_milliseconds(fleet.now.time_since_epoch()) / 400;
    return static_cast<std::size_t>(tenths % 16);
  });
}

BOOST_AUTO_TEST_CASE(two_halves_that_do_not_see_each_other_keep_a_limit_together) {
  for (const double limit : {1.0, 40.0}) {
    limited_fleet fleet({.nodes = 8, .zones = 4, .replicas = 2});
    fleet.set_limit(0, limit);
    fleet.set_limit(1, limit);
    const auto known_at = fleet.now + contact_time;
    fleet.load(3 * limit, seconds(6));
    fleet.divide([](std::size_t node) { return node % 4 < 2 ? 0U : 1U; });
    fleet.load(3 * limit, seconds(10));
    fleet.divide([](std::size_t) { return 0U; });
    fleet.load(3 * limit, seconds(10));
    for (const unsigned replica : {0U, 1U}) {
      check_kept(fleet, replica, limit, known_at, "halves");
    }
  }
}

BOOST_AUTO_TEST_CASE(nodes_that_stop_start_and_freeze_save_nothing_up) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    constexpr double limit = 10;
    limited_fleet fleet({.seed = seed, .nodes = 8, .zones = 2, .replicas = 4});
    for (unsigned replica = 0; replica < 4; ++replica) {
      fleet.set_limit(replica, limit);
    }
    const auto known_at = fleet.now + contact_time;
    fleet.load(60, seconds(5));
    for (int round = 0; round < 6; ++round) {
      fleet.start_node(fleet.random.below(8));
      const auto frozen = fleet.random.below(8);
      fleet.freeze(frozen);
      fleet.load(60, seconds(2));
      fleet.wake(frozen, seconds(2));
      fleet.load(60, seconds(1));
    }
    for (unsigned replica = 0; replica < 4; ++replica) {
      check_kept(fleet, replica, limit, known_at, "seed " + std::to_string(seed));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_limit_that_is_lifted_is_forgotten_by_all) {
  limited_fleet fleet({.nodes = 8, .zones = 2, .replicas = 2});
  fleet.set_limit(0, 1);
  fleet.set_limit(1, 1);
  fleet.load(20, seconds(8));
  fleet.set_limit(0, std::nullopt);
  fleet.set_limit(1, std::nullopt);
  fleet.load(20, seconds(5));
  const auto begun = fleet.now;
  fleet.counts = {};
  fleet.load(20, seconds(10));
  BOOST_TEST(fleet.counts.refused + fleet.counts.failed == 0U);
  BOOST_TEST(fleet.arrived_since(0, begun) + fleet.arrived_since(1, begun) > 150U);
  BOOST_TEST(fleet.nodes[0].subject->limits().limited_replicas() == 0U);
}

BOOST_AUTO_TEST_CASE(a_replica_that_takes_nothing_is_asked_now_and_then_and_taken_back) {
  limited_fleet fleet({.nodes = 8, .zones = 2, .replicas = 4});
  fleet.set_limit(0, 0);
  fleet.load(40, contact_time);
  auto begun = fleet.now;
  fleet.load(40, seconds(30));
  const auto asked = fleet.arrived_since(0, begun);
  BOOST_TEST(asked <= 5U, asked << " requests in 30 s");
  BOOST_TEST(asked >= 1U);
  fleet.set_limit(0, std::nullopt);
  fleet.load(40, seconds(25));
  begun = fleet.now;
  fleet.load(40, seconds(10));
  BOOST_TEST(fleet.arrived_since(0, begun) > 50U);
}

BOOST_AUTO_TEST_CASE(a_limit_dies_with_the_life_that_named_it) {
  limited_fleet fleet({.nodes = 8, .zones = 2, .replicas = 4});
  fleet.set_limit(0, 1);
  fleet.load(40, seconds(6));
  fleet.restart_replica(0);
  const auto begun = fleet.now;
  fleet.load(40, seconds(10));
  BOOST_TEST(fleet.arrived_since(0, begun) > 50U);
}

BOOST_AUTO_TEST_CASE(limits_that_change_all_the_time_are_kept) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    limited_fleet fleet({.seed = seed, .nodes = 8, .zones = 2, .replicas = 4});
    // The largest that stood in a window bounds what it allows.
    const std::vector<std::optional<double>> values{4.0, 2.0, 8.0, 4.0};
    fleet.set_limit(0, 4.0);
    const auto known_at = fleet.now + contact_time;
    for (int round = 0; round < 40; ++round) {
      fleet.load(60, milliseconds(300 + fleet.random.below(700)));
      fleet.set_limit(0, values[fleet.random.below(values.size())]);
    }
    check_kept(fleet, 0, 8, known_at, "seed " + std::to_string(seed));
  }
}

BOOST_AUTO_TEST_CASE(requests_that_get_no_place_in_their_time_are_refused_at_once) {
  limited_fleet fleet({.nodes = 4, .zones = 2, .replicas = 2});
  fleet.set_limit(0, 1);
  fleet.set_limit(1, 1);
  fleet.load(20, seconds(4));
  fleet.counts = {};
  fleet.load(20, seconds(20));
  BOOST_TEST(fleet.counts.refused > 300U);
  BOOST_TEST(fleet.counts.served >= 34U);
  BOOST_TEST(fleet.counts.failed == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
