/// Replicas that announce in their answers that they drain, whether or not the published list of
/// replicas shows them as draining.
///
/// Guards against requests to a draining replica: a model replica announced that it drained while
/// the published list could not be updated. Nodes that had forwarded answers with the announcement
/// to clients still sent requests to the replica 3 and 4 s later; two of six nodes never reacted to
/// the announcement.
#include "limited_fleet.h"

using namespace spurrack;
using namespace spurrack::rate_limits;

namespace {

/// Time within which all nodes stop sending to a draining replica if no message is lost.
constexpr base::duration bound_on_healthy_links = milliseconds(500);
/// Time within which all nodes stop sending to a draining replica if every third message is lost.
constexpr base::duration bound_on_lossy_links = seconds(2);

/// @return number of requests that all nodes sent to a replica later than `bound` after the first
///         node received its drain announcement.
std::size_t sends_after_bound(const limited_fleet& fleet, unsigned replica, base::duration bound) {
  const auto& arrivals = fleet.replicas[replica].arrivals;
  const auto since = fleet.first_drain_announcement_at(replica) + bound;
  return static_cast<std::size_t>(
      std::count_if(arrivals.begin(), arrivals.end(),
                    [&](const auto& arrival) { return arrival.sent_at > since; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(leaving_replica_test)

BOOST_AUTO_TEST_CASE(a_node_sends_nothing_after_it_received_a_drain_announcement) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    limited_fleet fleet({.seed = seed});
    fleet.send_requests(40, seconds(3));
    fleet.begin_draining(0);
    fleet.send_requests(40, seconds(10));
    BOOST_TEST(!fleet.replicas[0].drain_announced_at.empty());
    BOOST_TEST(fleet.sends_after_drain_announcement(0) == 0U, "seed " << seed);
    BOOST_TEST(fleet.counts.refused + fleet.counts.failed == 0U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(all_nodes_stop_soon_after_one_node_received_a_drain_announcement) {
  struct scenario {
    std::size_t nodes;
    double loss_rate;
    base::duration bound;
  };
  const std::vector<scenario> scenarios{
      {2, 0, bound_on_healthy_links},   {6, 0, bound_on_healthy_links},
      {86, 0, bound_on_healthy_links},  {6, 0.33, bound_on_lossy_links},
      {86, 0.33, bound_on_lossy_links}, {300, 0.33, bound_on_lossy_links}};
  for (const auto& [nodes, loss_rate, bound] : scenarios) {
    for (std::uint64_t seed = 1; seed <= (nodes > 86 ? 1U : 5U); ++seed) {
      limited_fleet fleet({.seed = seed,
                           .nodes = nodes,
                           .zones = 4,
                           .replicas = 4,
                           .message_loss_rate = loss_rate,
                           .step = milliseconds(2)});
      fleet.send_requests(100, seconds(2));
      fleet.begin_draining(0);
      fleet.send_requests(100, seconds(6));
      BOOST_TEST(sends_after_bound(fleet, 0, bound) == 0U,
                 nodes << " nodes, loss " << loss_rate << ", seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_drain_announcement_stays_in_effect_whatever_the_published_list_shows) {
  limited_fleet fleet;
  fleet.send_requests(40, seconds(3));
  fleet.begin_draining(0);
  fleet.send_requests(40, seconds(3));
  // The published list shows the replica as ready, then not at all, then again as the same process,
  // as after an outage of the store or its restore from an older copy.
  fleet.publish(0);
  fleet.update_nodes();
  fleet.send_requests(40, seconds(3));
  fleet.published.remove_replica("plain-0");
  fleet.update_nodes();
  fleet.send_requests(40, seconds(60));
  fleet.publish(0);
  fleet.update_nodes();
  fleet.send_requests(40, seconds(10));
  BOOST_TEST(fleet.sends_after_drain_announcement(0) == 0U);
  BOOST_TEST(sends_after_bound(fleet, 0, bound_on_healthy_links) == 0U);
}

BOOST_AUTO_TEST_CASE(a_late_answer_without_the_word_lifts_nothing) {
  limited_fleet fleet;
  fleet.send_requests(200, seconds(3));
  fleet.begin_draining(0);
  fleet.send_requests(200, milliseconds(200));
  BOOST_REQUIRE(!fleet.replicas[0].drain_announced_at.empty());
  fleet.replicas[0].is_draining = false;
  fleet.send_requests(200, seconds(5));
  BOOST_TEST(fleet.sends_after_drain_announcement(0) == 0U);
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_or_address_is_not_draining) {
  limited_fleet fleet;
  fleet.send_requests(40, seconds(3));
  fleet.begin_draining(0);
  fleet.send_requests(40, seconds(3));
  fleet.restart_replica(0);
  const auto restarted_at = fleet.now;
  fleet.send_requests(40, seconds(10));
  BOOST_TEST(fleet.arrivals_since(0, restarted_at) > 10U);
  fleet.begin_draining(0);
  fleet.send_requests(40, seconds(3));
  auto& moved = fleet.replicas[0];
  moved.address = "10.1.9.9:80";
  moved.is_draining = false;
  moved.drain_announced_at.clear();
  fleet.publish(0);
  fleet.update_nodes();
  const auto published_at = fleet.now;
  fleet.send_requests(40, seconds(10));
  BOOST_TEST(fleet.arrivals_since(0, published_at) > 10U);
}

BOOST_AUTO_TEST_CASE(a_restarted_node_learns_of_the_drain_announcement) {
  limited_fleet fleet;
  fleet.send_requests(40, seconds(3));
  fleet.begin_draining(0);
  fleet.send_requests(40, seconds(3));
  fleet.start_node(2);
  fleet.send_requests(40, seconds(3));
  const auto known_at = fleet.now;
  fleet.send_requests(40, seconds(10));
  BOOST_TEST(fleet.arrivals_since(0, known_at + seconds(1)) == 0U);
}

BOOST_AUTO_TEST_CASE(all_replicas_of_a_zone_drain_in_turn_without_failed_requests) {
  limited_fleet fleet({.nodes = 6, .zones = 2, .replicas = 8});
  fleet.send_requests(60, seconds(3));
  for (unsigned replica = 0; replica < 8; replica += 2) {
    fleet.begin_draining(replica);
    fleet.send_requests(60, seconds(3));
  }
  for (unsigned replica = 0; replica < 8; replica += 2) {
    BOOST_TEST(fleet.sends_after_drain_announcement(replica) == 0U);
  }
  BOOST_TEST(fleet.counts.refused + fleet.counts.failed == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
