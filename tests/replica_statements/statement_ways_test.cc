/// Compares two kinds of nodes on the same random fleets: nodes that send each other the
/// self-reports of replicas, and nodes that learn the self-reports only from the answers to their
/// own calls, because all messages between nodes are lost.
#include "limited_fleet.h"

#include <iomanip>
#include <sstream>

using namespace spurrack;
using namespace spurrack::rate_limits;

namespace {

constexpr std::uint64_t random_fleets = 8;
constexpr double all_messages_lost = 1;
constexpr double no_messages_lost = 0;

/// Results for one draining replica in each random fleet.
struct drain_figures {
  /// Average number of requests per fleet that all nodes together sent to the replica after the
  /// first node received its drain announcement.
  double sent_after = 0;
  /// Maximum over all fleets of the time from that announcement to the last request to the replica,
  /// in seconds.
  double last_send_after = 0;
};

drain_figures run_drain(std::size_t nodes, double loss_rate) {
  drain_figures figures;
  for (std::uint64_t seed = 1; seed <= random_fleets; ++seed) {
    limited_fleet fleet({.seed = seed,
                         .nodes = nodes,
                         .zones = 4,
                         .replicas = 12,
                         .message_loss_rate = loss_rate,
                         .step = milliseconds(2)});
    fleet.send_requests(60, seconds(2));
    fleet.begin_draining(0);
    fleet.send_requests(60, seconds(8));
    const auto announced_at = fleet.first_drain_announcement_at(0);
    for (const auto& arrival : fleet.replicas[0].arrivals) {
      if (arrival.sent_at > announced_at) {
        figures.sent_after += 1.0 / random_fleets;
        figures.last_send_after =
            std::max(figures.last_send_after, base::to_seconds(arrival.sent_at - announced_at));
      }
    }
  }
  return figures;
}

/// Results while a third of the replicas refuse all requests and request a backoff: averages per
/// fleet, except for the maximum.
struct backoff_figures {
  /// Requests that arrived at replicas that refuse all requests.
  double refused_by_replicas = 0;
  /// Requests that nodes refused instead of sending them to a replica.
  double refused_by_nodes = 0;
  /// Maximum number of requests that one of the other replicas received within a second, relative
  /// to the average over all replicas.
  double max_load_of_other_replicas = 0;
};

backoff_figures run_backoffs(std::size_t nodes, double loss_rate) {
  constexpr double per_second = 120;
  constexpr unsigned replicas = 12;
  backoff_figures figures;
  for (std::uint64_t seed = 1; seed <= random_fleets; ++seed) {
    limited_fleet fleet({.seed = seed,
                         .nodes = nodes,
                         .zones = 1,
                         .replicas = replicas,
                         .message_loss_rate = loss_rate,
                         .step = milliseconds(2)});
    fleet.send_requests(per_second, seconds(2));
    for (const unsigned replica : {0U, 1U, 2U, 3U}) {
      fleet.refuse_requests(replica, seconds(8), seconds(3));
    }
    const auto begun_at = fleet.now;
    fleet.send_requests(per_second, seconds(8));
    for (unsigned replica = 0; replica < replicas; ++replica) {
      if (replica < 4) {
        figures.refused_by_replicas +=
            static_cast<double>(fleet.arrivals_since(replica, begun_at)) / random_fleets;
      } else {
        const auto most = fleet.max_arrivals_within(replica, seconds(1), begun_at, false);
        figures.max_load_of_other_replicas = std::max(
            figures.max_load_of_other_replicas, static_cast<double>(most) * replicas / per_second);
      }
    }
    figures.refused_by_nodes += static_cast<double>(fleet.counts.refused) / random_fleets;
  }
  return figures;
}

} // namespace

BOOST_AUTO_TEST_SUITE(statement_ways_test)

BOOST_AUTO_TEST_CASE(nodes_stop_sooner_if_drain_announcements_are_forwarded) {
  for (const std::size_t nodes : {6U, 86U}) {
    const auto without_messages = run_drain(nodes, all_messages_lost);
    const auto with_messages = run_drain(nodes, no_messages_lost);
    std::ostringstream table;
    table << std::fixed << std::setprecision(2) << nodes
          << " nodes: requests sent after the announcement: " << without_messages.sent_after
          << " without messages, " << with_messages.sent_after << " with messages; the last after "
          << without_messages.last_send_after << " s without, " << with_messages.last_send_after
          << " s with";
    BOOST_TEST_MESSAGE(table.str());
    BOOST_TEST(with_messages.sent_after <= without_messages.sent_after);
    BOOST_TEST(with_messages.last_send_after <= 0.5);
  }
}

BOOST_AUTO_TEST_CASE(replicas_refuse_fewer_requests_if_nodes_report_backoffs_to_each_other) {
  for (const std::size_t nodes : {6U, 86U}) {
    const auto without_messages = run_backoffs(nodes, all_messages_lost);
    const auto with_messages = run_backoffs(nodes, no_messages_lost);
    std::ostringstream table;
    table << std::fixed << std::setprecision(2) << nodes
          << " nodes: refused by replicas: " << without_messages.refused_by_replicas
          << " without messages, " << with_messages.refused_by_replicas
          << " with messages; refused by nodes: " << without_messages.refused_by_nodes << " and "
          << with_messages.refused_by_nodes
          << "; maximum at another replica: " << without_messages.max_load_of_other_replicas
          << " and " << with_messages.max_load_of_other_replicas << " times the average";
    BOOST_TEST_MESSAGE(table.str());
    BOOST_TEST(with_messages.refused_by_replicas <= without_messages.refused_by_replicas);
  }
}

BOOST_AUTO_TEST_SUITE_END()
