/// Replicas that refuse requests and request a backoff from the node.
///
/// Guards against a past defect: a node forwarded the refusal of a replica to its client, but
/// ignored the backoff that the refusal requested. When four of twelve model replicas requested a
/// backoff of 3 s, they received 3 to 5 requests during it from nodes that had forwarded such a
/// refusal. One of the four received more requests than any replica that served requests. So a node
/// must send nothing to a replica during a backoff that the replica requested of this node.
#include "limited_fleet.h"

using namespace spurrack;
using namespace spurrack::rate_limits;

BOOST_AUTO_TEST_SUITE(replica_pauses_test)

BOOST_AUTO_TEST_CASE(a_node_sends_nothing_during_a_requested_backoff) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    limited_fleet fleet({.seed = seed});
    fleet.send_requests(40, seconds(3));
    for (const unsigned replica : {0U, 1U, 2U, 3U}) {
      fleet.refuse_requests(replica, seconds(8), seconds(3));
    }
    fleet.send_requests(40, seconds(15));
    for (const unsigned replica : {0U, 1U, 2U, 3U}) {
      BOOST_TEST(!fleet.replicas[replica].requested_backoffs.empty());
      BOOST_TEST(fleet.sends_during_backoffs(replica) == 0U,
                 "seed " << seed << ", replica " << replica);
    }
    BOOST_TEST(fleet.counts.failed == 0U, "seed " << seed);
  }
}

// Guards against requests to replicas during their backoffs if all replicas back off.
BOOST_AUTO_TEST_CASE(backoffs_are_respected_if_all_replicas_requested_one) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    limited_fleet fleet({.seed = seed, .replicas = 4});
    fleet.send_requests(60, seconds(3));
    for (unsigned replica = 0; replica < 4; ++replica) {
      fleet.refuse_requests(replica, seconds(6), seconds(2));
    }
    fleet.send_requests(60, seconds(12));
    for (unsigned replica = 0; replica < 4; ++replica) {
      BOOST_TEST(fleet.sends_during_backoffs(replica) == 0U,
                 "seed " << seed << ", replica " << replica);
    }
  }
}

// Guards against sending all queued requests to a replica at once when its backoff ends.
BOOST_AUTO_TEST_CASE(few_requests_are_sent_at_once_when_a_backoff_ends) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    limited_fleet fleet({.seed = seed, .nodes = 2, .replicas = 1});
    fleet.send_requests(100, seconds(2));
    fleet.refuse_requests(0, milliseconds(50), seconds(1));
    fleet.send_requests(100, milliseconds(900));
    const auto begun_at = fleet.now;
    fleet.send_requests(100, seconds(1));
    // After the backoff, each of the two nodes begins with one call in flight at the replica, and
    // each answer allows the node two more calls in flight; answers take 20 to 80 ms.
    const auto within = fleet.max_arrivals_within(0, milliseconds(20), begun_at, false);
    BOOST_TEST(within <= 8U, within << " in 20 ms, seed " << seed);
    BOOST_TEST(fleet.arrivals_since(0, begun_at) > 40U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(refusals_during_long_backoffs_have_a_retry_after_of_at_least_one_second) {
  limited_fleet fleet({.replicas = 2});
  fleet.send_requests(20, seconds(2));
  for (const unsigned replica : {0U, 1U}) {
    fleet.refuse_requests(replica, seconds(20), seconds(10));
  }
  fleet.send_requests(20, seconds(2));
  fleet.retry_after_values.clear();
  fleet.counts = {};
  fleet.send_requests(20, seconds(5));
  BOOST_TEST(fleet.counts.refused > 50U);
  BOOST_TEST(fleet.retry_after_values.size() == fleet.counts.refused);
  for (const auto time : fleet.retry_after_values) {
    BOOST_TEST(base::to_seconds(time) >= 1.0);
  }
}

BOOST_AUTO_TEST_CASE(other_nodes_learn_of_a_backoff_and_drop_it_at_its_end) {
  // Nodes send reports on replicas only to nodes of their region, or of their zone if the zones
  // have no regions.
  limited_fleet fleet({.zones = 1});
  fleet.send_requests(40, seconds(3));
  fleet.refuse_requests(0, seconds(4), seconds(3));
  fleet.send_requests(40, seconds(2));
  std::size_t learned = 0;
  for (const auto& node : fleet.nodes) {
    const auto& state = *node.subject->replicas().find(fleet.replicas[0].id);
    learned += state.reported_backoff_until > fleet.now && state.reported_backoff_load > 0;
  }
  BOOST_TEST(learned >= 4U);
  // Nodes that learned of the backoff only from a report of another node still send requests to the
  // replica, and they drop the report when the backoff ends.
  fleet.send_requests(40, seconds(8));
  const auto begun_at = fleet.now;
  fleet.send_requests(40, seconds(10));
  BOOST_TEST(fleet.arrivals_since(0, begun_at) > 15U);
}

BOOST_AUTO_TEST_CASE(a_backoff_ends_when_its_replica_restarts_or_changes_its_address) {
  limited_fleet fleet({.replicas = 2});
  fleet.send_requests(20, seconds(2));
  fleet.refuse_requests(0, seconds(1), seconds(60));
  fleet.send_requests(20, seconds(2));
  fleet.restart_replica(0);
  auto begun_at = fleet.now;
  fleet.send_requests(20, seconds(5));
  BOOST_TEST(fleet.arrivals_since(0, begun_at) > 10U);
  fleet.refuse_requests(0, seconds(1), seconds(60));
  fleet.send_requests(20, seconds(2));
  fleet.replicas[0].address = "10.1.9.9:80";
  fleet.publish(0);
  fleet.update_nodes();
  begun_at = fleet.now;
  fleet.send_requests(20, seconds(5));
  BOOST_TEST(fleet.arrivals_since(0, begun_at) > 10U);
}

BOOST_AUTO_TEST_SUITE_END()
