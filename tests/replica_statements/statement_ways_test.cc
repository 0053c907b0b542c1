/// Two ways to act on what a replica says: each node on what it has heard itself, or all on what
/// any has heard. The same drawn fleets; where no node hears another, all messages are lost.
#include "limited_fleet.h"

#include <iomanip>
#include <sstream>

using namespace spurrack;
using namespace spurrack::rate_limits;

namespace {

constexpr std::uint64_t drawn_fleets = 8;
constexpr double each_for_itself = 1;
constexpr double all_are_told = 0;

/// What became of a replica that leaves, over all drawn fleets.
struct leaving_figures {
  /// Requests that any node sent it after one node was told.
  double sent_after = 0;
  /// Time from that moment to the last of them, in seconds.
  double stopped_after = 0;
};

leaving_figures play_leaving(std::size_t nodes, double lost) {
  leaving_figures figures;
  for (std::uint64_t seed = 1; seed <= drawn_fleets; ++seed) {
    limited_fleet fleet({.seed = seed,
                         .nodes = nodes,
                         .zones = 4,
                         .replicas = 12,
                         .message_loss_rate = lost,
                         .step = milliseconds(2)});
    fleet.load(60, seconds(2));
    fleet.begin_draining(0);
    fleet.load(60, seconds(8));
    const auto told = fleet.first_drain_announcement_at(0);
    for (const auto& one : fleet.replicas[0].arrivals) {
      if (one.sent_at > told) {
        figures.sent_after += 1.0 / drawn_fleets;
        figures.stopped_after =
            std::max(figures.stopped_after, base::to_seconds(one.sent_at - told));
      }
    }
  }
  return figures;
}

/// What became of requests while a third of the replicas turn all away.
struct pause_figures {
  double turned_away = 0;
  double refused = 0;
  /// The most that another replica got in a second, in parts of what each gets on average.
  double most_elsewhere = 0;
};

pause_figures play_pauses(std::size_t nodes, double lost) {
  constexpr double per_second = 120;
  constexpr unsigned replicas = 12;
  pause_figures figures;
  for (std::uint64_t seed = 1; seed <= drawn_fleets; ++seed) {
    limited_fleet fleet({.seed = seed,
                         .nodes = nodes,
                         .zones = 1,
                         .replicas = replicas,
                         .message_loss_rate = lost,
                         .step = milliseconds(2)});
    fleet.load(per_second, seconds(2));
    for (const unsigned replica : {0U, 1U, 2U, 3U}) {
      fleet.refuse_requests(replica, seconds(8), seconds(3));
    }
    const auto begun = fleet.now;
    fleet.load(per_second, seconds(8));
    for (unsigned replica = 0; replica < replicas; ++replica) {
      if (replica < 4) {
        figures.turned_away +=
            static_cast<double>(fleet.arrived_since(replica, begun)) / drawn_fleets;
      } else {
        const auto most = fleet.max_arrivals_within(replica, seconds(1), begun, false);
        figures.most_elsewhere =
            std::max(figures.most_elsewhere, static_cast<double>(most) * replicas / per_second);
      }
    }
    figures.refused += static_cast<double>(fleet.counts.refused) / drawn_fleets;
  }
  return figures;
}

} // namespace

BOOST_AUTO_TEST_SUITE(statement_ways_test)

BOOST_AUTO_TEST_CASE(all_stop_sooner_where_all_are_told_that_a_replica_leaves) {
  for (const std::size_t nodes : {6U, 86U}) {
    const auto alone = play_leaving(nodes, each_for_itself);
    const auto told = play_leaving(nodes, all_are_told);
    std::ostringstream table;
    table << std::fixed << std::setprecision(2) << nodes << " nodes: sent after the word "
          << alone.sent_after << " alone, " << told.sent_after << " told; the last after "
          << alone.stopped_after << " s alone, " << told.stopped_after << " s told";
    BOOST_TEST_MESSAGE(table.str());
    BOOST_TEST(told.sent_after <= alone.sent_after);
    BOOST_TEST(told.stopped_after <= 0.5);
  }
}

BOOST_AUTO_TEST_CASE(fewer_are_turned_away_where_pauses_are_told_as_load) {
  for (const std::size_t nodes : {6U, 86U}) {
    const auto alone = play_pauses(nodes, each_for_itself);
    const auto told = play_pauses(nodes, all_are_told);
    std::ostringstream table;
    table << std::fixed << std::setprecision(2) << nodes << " nodes: turned away "
          << alone.turned_away << " alone, " << told.turned_away << " told; refused "
          << alone.refused << " and " << told.refused << "; most at another replica "
          << alone.most_elsewhere << " and " << told.most_elsewhere << " times the average";
    BOOST_TEST_MESSAGE(table.str());
    BOOST_TEST(told.turned_away <= alone.turned_away);
  }
}

BOOST_AUTO_TEST_SUITE_END()
