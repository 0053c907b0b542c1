/// Turns in which nodes read a platform service if their knowledge becomes too old. Guards against
/// nodes that wait for failed readers beyond the time limit of a change, and against a number of
/// reads that grows with the fleet while the service is down.
#include "catalog/read_turns.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::catalog;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::time_point start{std::chrono::hours(1)};

turn_order zone_member(std::size_t zone_rank, std::size_t zones, std::size_t nodes) {
  turn_order order;
  order.zone_rank = zone_rank;
  order.zones = zones;
  order.nodes = nodes;
  return order;
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

BOOST_AUTO_TEST_SUITE_END()
