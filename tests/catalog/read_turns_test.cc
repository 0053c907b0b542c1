/// Turns in which nodes read a platform service if their knowledge becomes too old. Guards against
/// nodes that wait for failed readers beyond the time limit of a change, against attempts of an
/// outage that delay turns after it, and against a number of reads that grows with the fleet while
/// the service is down.
#include "catalog/read_turns.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace spurrack;
using namespace spurrack::catalog;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::time_point start{std::chrono::hours(1)};

/// @param nodes number of nodes of the region, spread evenly over the zones.
turn_order zone_member(std::size_t zone_rank, std::size_t zones, std::size_t nodes) {
  turn_order order;
  order.zone_rank = zone_rank;
  order.zones = zones;
  order.zone_nodes = (nodes + zones - 1) / zones;
  return order;
}

/// @return times at which the nodes of a region, spread evenly over its zones, read in their turns
///         until `end`, ascending, if nothing was confirmed after `start`.
std::vector<base::time_point> turns_in_outage(std::size_t zones, std::size_t zone_nodes,
                                              base::duration end) {
  std::vector<base::time_point> times;
  for (std::size_t zone = 0; zone < zones; ++zone) {
    for (std::size_t rank = 0; rank < zone_nodes; ++rank) {
      auto order = zone_member(rank, zones, zones * zone_nodes);
      order.zone_index = zone;
      read_turns subject(limits_for(seconds(2)));
      for (auto now = start; now < start + end; now += milliseconds(50)) {
        if (subject.is_due(order, now - start, now)) {
          subject.note_attempt(now);
          times.push_back(now);
        }
      }
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

} // namespace

BOOST_AUTO_TEST_SUITE(read_turns_test)

BOOST_AUTO_TEST_CASE(remaining_readers_read_before_other_nodes) {
  const read_turns subject(limits_for(seconds(2)));
  turn_order reader;
  reader.reader_rank = 1;
  BOOST_TEST((subject.age_at_turn(reader) <= subject.age_at_turn(zone_member(0, 4, 100))));
  BOOST_TEST(
      (subject.age_at_turn(zone_member(0, 4, 100)) < subject.age_at_turn(zone_member(1, 4, 100))));
}

BOOST_AUTO_TEST_CASE(first_nodes_of_each_zone_read_within_the_time_limit) {
  for (const auto bound : {milliseconds(500), milliseconds(2'000), milliseconds(5'000)}) {
    const read_turns subject(limits_for(bound));
    for (const std::size_t zones : {1U, 4U, 22U}) {
      BOOST_TEST((subject.age_at_turn(zone_member(1, zones, 300)) < bound));
    }
  }
}

BOOST_AUTO_TEST_CASE(an_isolated_node_does_not_wait_for_other_nodes) {
  const read_turns subject(limits_for(seconds(2)));
  auto order = zone_member(250, 1, 300);
  order.is_isolated = true;
  BOOST_TEST((subject.age_at_turn(order) == subject.limits().max_age));
}

BOOST_AUTO_TEST_CASE(number_of_attempts_in_an_outage_does_not_grow_with_the_fleet) {
  for (const std::size_t nodes : {30U, 300U, 2'700U}) {
    const read_turns subject(limits_for(seconds(2)));
    std::size_t attempts = 0;
    for (std::size_t rank = 0; rank < nodes; ++rank) {
      const auto order = zone_member(rank, 1, nodes);
      attempts += subject.is_due(order, seconds(10), start + seconds(10)) ? 1 : 0;
    }
    BOOST_TEST(attempts <= 12U);
  }
}

BOOST_AUTO_TEST_CASE(an_unanswered_attempt_is_not_repeated_at_once) {
  read_turns subject(limits_for(seconds(2)));
  const auto order = zone_member(0, 4, 100);
  BOOST_TEST(subject.is_due(order, std::nullopt, start));
  subject.note_attempt(start);
  BOOST_TEST(!subject.is_due(order, std::nullopt, start + seconds(1)));
  subject.note_answer();
  BOOST_TEST(subject.is_due(order, std::nullopt, start + seconds(1)));
}

/// Guards against a node that does not read after an outage because its attempt in the outage
/// failed.
BOOST_AUTO_TEST_CASE(a_failed_attempt_is_over_once_any_node_confirmed_the_knowledge) {
  for (const std::size_t nodes : {3U, 8U, 300U, 1'168U}) {
    read_turns subject(limits_for(seconds(2)));
    const auto order = zone_member(0, 4, nodes);
    BOOST_REQUIRE(subject.is_due(order, seconds(1), start));
    subject.note_attempt(start);
    // Confirmed 100 ms after the attempt, and by nobody since.
    const auto confirmed_at = start + milliseconds(100);
    const auto turn = subject.age_at_turn(order);
    BOOST_TEST(
        !subject.is_due(order, turn - milliseconds(1), confirmed_at + turn - milliseconds(1)));
    BOOST_TEST(subject.is_due(order, turn, confirmed_at + turn));
    subject.note_confirmation(confirmed_at);
    BOOST_TEST(!subject.open_attempt().has_value());
  }
}

BOOST_AUTO_TEST_CASE(a_confirmation_of_before_the_attempt_does_not_end_the_attempt) {
  read_turns subject(limits_for(seconds(2)));
  subject.note_attempt(start);
  subject.note_confirmation(start - milliseconds(1));
  BOOST_TEST(subject.open_attempt().has_value());
  BOOST_TEST(!subject.is_due(zone_member(0, 4, 100), seconds(1), start + milliseconds(999)));
}

/// Guards against a pause of all nodes after the first turns: nobody notices that the store is back
/// for those who do not have the job of reading it.
BOOST_AUTO_TEST_CASE(some_node_reads_every_few_seconds_of_an_outage) {
  for (const std::size_t zones : {1U, 4U, 22U}) {
    for (const std::size_t zone_nodes : {1U, 2U, 3U, 75U}) {
      const auto times = turns_in_outage(zones, zone_nodes, seconds(60));
      BOOST_REQUIRE(times.size() > 2U);
      const auto later =
          static_cast<double>(times.size()) -
          static_cast<double>(zones) * std::min<double>(static_cast<double>(zone_nodes), 8);
      BOOST_TEST(later <= 25, zones << " zones of " << zone_nodes << ": " << later);
      if (zones * zone_nodes < 3) {
        continue;
      }
      for (std::size_t index = 1; index < times.size(); ++index) {
        // An interval of turns, after the 400 ms that are kept for the first turns.
        BOOST_TEST((times[index] - times[index - 1] <= milliseconds(2'950)),
                   zones << " zones of " << zone_nodes << " nodes, after "
                         << base::to_milliseconds(times[index - 1] - start) << " ms");
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
