/// Who hears of a gatherer: the messages between zones as the gatherers of a zone grow in number.
#include "fleet_view/peer_directory.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace spurrack;
using namespace spurrack::serving;

namespace {

constexpr int near_nodes = 40;
constexpr int far_nodes = 100;

fleet_peer near_peer(int index) {
  const auto name = "near-" + std::to_string(index);
  return {base::node_id(name), base::zone_id("near"), base::network_address(name + ":1"), 1};
}

fleet_peer far_peer(int index) {
  const auto name = "far-" + std::to_string(index);
  return {base::node_id(name), base::zone_id("far"), base::network_address(name + ":1"), 1};
}

/// The directory of one near node in a fleet whose first `count` near nodes gather.
peer_directory directory_of(int self, int count) {
  peer_directory subject(near_peer(self));
  std::vector<fleet_peer> others;
  std::set<base::node_id> gatherers;
  for (int index = 0; index < near_nodes; ++index) {
    if (index != self) {
      others.push_back(near_peer(index));
    }
    if (index < count) {
      gatherers.insert(near_peer(index).node);
    }
  }
  for (int index = 0; index < far_nodes; ++index) {
    others.push_back(far_peer(index));
  }
  subject.update(std::move(others));
  subject.set_gatherers(gatherers, base::time_point{std::chrono::hours(1)});
  return subject;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_directory_test)

BOOST_AUTO_TEST_CASE(a_node_hears_of_two_gatherers_of_another_zone_however_many_there_are) {
  for (const int gatherers : {1, 2, 7, 30}) {
    std::map<base::node_id, int> heard_of;
    std::size_t messages = 0;
    for (int self = 0; self < gatherers; ++self) {
      auto subject = directory_of(self, gatherers);
      std::set<base::node_id> told;
      // A second has five rounds.
      for (int round = 0; round < 5; ++round) {
        for (const auto& node : subject.next_receivers(report_audience::own_zone)) {
          if (node.text().starts_with("far")) {
            told.insert(node);
            ++messages;
          }
        }
      }
      for (const auto& node : told) {
        ++heard_of[node];
      }
    }
    BOOST_TEST(heard_of.size() == static_cast<std::size_t>(far_nodes));
    for (const auto& [node, count] : heard_of) {
      BOOST_TEST(count == std::min(gatherers, 2));
    }
    // Rounds hold whole messages: up to four more a second for each gatherer.
    BOOST_TEST(messages <= static_cast<std::size_t>(2 * far_nodes + 4 * gatherers));
  }
}

BOOST_AUTO_TEST_CASE(those_who_gather_for_all_zones_tell_everybody) {
  auto subject = directory_of(0, 7);
  BOOST_TEST(subject.next_receivers(report_audience::everybody).size() ==
             static_cast<std::size_t>(near_nodes - 1 + far_nodes));
}

BOOST_AUTO_TEST_SUITE_END()
