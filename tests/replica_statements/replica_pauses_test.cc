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

BOOST_AUTO_TEST_SUITE_END()
