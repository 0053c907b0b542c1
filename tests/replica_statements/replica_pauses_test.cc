/// Replicas that turn requests away and name a time in which they want nothing from that node.
///
/// Seen: four of twelve model replicas named 3 s, and got 3 to 5 requests in that time from nodes
/// that had passed their answers on; one got more than any that served.
#include "limited_fleet.h"

using namespace spurrack;
using namespace spurrack::rate_limits;

BOOST_AUTO_TEST_SUITE(replica_pauses_test)

// Guards against requests to a replica in a time for which it had asked the node for a pause.
BOOST_AUTO_TEST_CASE(a_node_that_was_asked_for_a_pause_sends_nothing_in_it) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    limited_fleet fleet({.seed = seed});
    fleet.load(40, seconds(3));
    for (const unsigned replica : {0U, 1U, 2U, 3U}) {
      fleet.turn_away(replica, seconds(8), seconds(3));
    }
    fleet.load(40, seconds(15));
    for (const unsigned replica : {0U, 1U, 2U, 3U}) {
      BOOST_TEST(!fleet.replicas[replica].pauses.empty());
      BOOST_TEST(fleet.sent_in_pauses(replica) == 0U, "seed " << seed << ", replica " << replica);
    }
    BOOST_TEST(fleet.counts.failed == 0U, "seed " << seed);
  }
}

// Guards against sends to replicas in their pauses where all others rest too.
BOOST_AUTO_TEST_CASE(pauses_are_kept_where_all_replicas_asked_for_one) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    limited_fleet fleet({.seed = seed, .replicas = 4});
    fleet.load(60, seconds(3));
    for (unsigned replica = 0; replica < 4; ++replica) {
      fleet.turn_away(replica, seconds(6), seconds(2));
    }
    fleet.load(60, seconds(12));
    for (unsigned replica = 0; replica < 4; ++replica) {
      BOOST_TEST(fleet.sent_in_pauses(replica) == 0U, "seed " << seed << ", replica " << replica);
    }
  }
}

// Guards against a burst on a replica from all that waited, as its pause ends.
BOOST_AUTO_TEST_CASE(a_replica_gets_few_requests_at_once_as_its_pause_ends) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    limited_fleet fleet({.seed = seed, .nodes = 2, .replicas = 1});
    fleet.load(100, seconds(2));
    fleet.turn_away(0, milliseconds(50), seconds(1));
    fleet.load(100, milliseconds(900));
    const auto begun = fleet.now;
    fleet.load(100, seconds(1));
    // Two nodes, each of which begins with one; answers take 20 to 80 ms.
    const auto within = fleet.most_within(0, milliseconds(20), begun, false);
    BOOST_TEST(within <= 8U, within << " in 20 ms, seed " << seed);
    BOOST_TEST(fleet.arrived_since(0, begun) > 40U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(callers_are_told_when_pauses_end) {
  limited_fleet fleet({.replicas = 2});
  fleet.load(20, seconds(2));
  for (const unsigned replica : {0U, 1U}) {
    fleet.turn_away(replica, seconds(20), seconds(10));
  }
  fleet.load(20, seconds(2));
  fleet.return_times.clear();
  fleet.counts = {};
  fleet.load(20, seconds(5));
  BOOST_TEST(fleet.counts.refused > 50U);
  BOOST_TEST(fleet.return_times.size() == fleet.counts.refused);
  for (const auto time : fleet.return_times) {
    BOOST_TEST(base::to_seconds(time) >= 1.0);
  }
}

BOOST_AUTO_TEST_CASE(other_nodes_learn_of_a_pause_as_load) {
  // Reports on replicas stay in a region; without regions, in a zone.
  limited_fleet fleet({.zones = 1});
  fleet.load(40, seconds(3));
  fleet.turn_away(0, seconds(4), seconds(3));
  fleet.load(40, seconds(2));
  std::size_t learned = 0;
  for (const auto& node : fleet.nodes) {
    const auto& state = *node.subject->replicas().find(fleet.replicas[0].id);
    learned += state.reported_backoff_until > fleet.now && state.reported_backoff_load > 0;
  }
  BOOST_TEST(learned >= 4U);
  // They go on themselves, and stop believing it when the pauses are over.
  fleet.load(40, seconds(8));
  const auto begun = fleet.now;
  fleet.load(40, seconds(10));
  BOOST_TEST(fleet.arrived_since(0, begun) > 15U);
}

BOOST_AUTO_TEST_CASE(a_pause_dies_with_the_life_and_the_address_that_asked_for_it) {
  limited_fleet fleet({.replicas = 2});
  fleet.load(20, seconds(2));
  fleet.turn_away(0, seconds(1), seconds(60));
  fleet.load(20, seconds(2));
  fleet.restart_replica(0);
  auto begun = fleet.now;
  fleet.load(20, seconds(5));
  BOOST_TEST(fleet.arrived_since(0, begun) > 10U);
  fleet.turn_away(0, seconds(1), seconds(60));
  fleet.load(20, seconds(2));
  fleet.replicas[0].address = "10.1.9.9:80";
  fleet.publish(0);
  fleet.update_nodes();
  begun = fleet.now;
  fleet.load(20, seconds(5));
  BOOST_TEST(fleet.arrived_since(0, begun) > 10U);
}

BOOST_AUTO_TEST_SUITE_END()
