/// Receivers of load reports in other zones and regions. Guards against a number of messages that
/// grows with the number of batchers: each node must get the reports of at most two batchers of
/// another zone and of one batcher of another region.
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

/// @return the directory of node `self` of zone `near`, in a fleet in which the first `count` nodes
///         of that zone are batchers.
peer_directory directory_of(int self, int count) {
  peer_directory subject(near_peer(self));
  std::vector<fleet_peer> peers;
  std::set<base::node_id> batchers;
  for (int index = 0; index < near_nodes; ++index) {
    if (index != self) {
      peers.push_back(near_peer(index));
    }
    if (index < count) {
      batchers.insert(near_peer(index).node);
    }
  }
  for (int index = 0; index < far_nodes; ++index) {
    peers.push_back(far_peer(index));
  }
  subject.update(std::move(peers));
  subject.set_batchers(batchers, base::time_point{std::chrono::hours(1)});
  return subject;
}

/// A region of several zones, all of whose nodes are batchers, and another region of one zone.
class region_of_zones {
 public:
  explicit region_of_zones(int zones) : zones_(zones) {
    std::map<base::zone_id, base::region_id> regions{
        {base::zone_id("far"), base::region_id("other")}};
    for (int zone = 0; zone < zones; ++zone) {
      regions[zone_name(zone)] = base::region_id("own");
    }
    regions_ = model::zone_regions(std::move(regions));
  }

  [[nodiscard]] int nodes() const { return zones_ * nodes_per_zone; }

  /// @return the nodes of the other region that get reports of node `self` within a second.
  [[nodiscard]] std::vector<base::node_id> receivers_of(int self, report_audience audience) const {
    peer_directory subject(peer(self), regions_);
    std::vector<fleet_peer> peers;
    std::set<base::node_id> batchers;
    for (int index = 0; index < nodes(); ++index) {
      if (index != self) {
        peers.push_back(peer(index));
      }
      if (peer(index).zone == peer(self).zone) {
        batchers.insert(peer(index).node);
      }
    }
    for (int index = 0; index < far_nodes; ++index) {
      peers.push_back(far_peer(index));
    }
    subject.update(std::move(peers));
    subject.set_batchers(batchers, base::time_point{std::chrono::hours(1)});
    std::set<base::node_id> receivers;
    for (int round = 0; round < rounds_per_second; ++round) {
      for (const auto& node : subject.next_receivers(audience)) {
        if (node.text().starts_with("far")) {
          receivers.insert(node);
        }
      }
    }
    return {receivers.begin(), receivers.end()};
  }

 private:
  static constexpr int nodes_per_zone = 10;
  static constexpr int rounds_per_second = 5;

  static base::zone_id zone_name(int zone) { return base::zone_id("own-" + std::to_string(zone)); }
  [[nodiscard]] fleet_peer peer(int index) const {
    auto created = near_peer(index);
    created.zone = zone_name(index % zones_);
    return created;
  }

  int zones_;
  model::zone_regions regions_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_directory_test)

BOOST_AUTO_TEST_CASE(a_node_gets_reports_of_at_most_two_batchers_of_another_zone) {
  for (const int batchers : {1, 2, 7, 30}) {
    std::map<base::node_id, int> reporters_of;
    std::size_t messages = 0;
    for (int self = 0; self < batchers; ++self) {
      auto subject = directory_of(self, batchers);
      std::set<base::node_id> receivers;
      // There are five rounds per second.
      for (int round = 0; round < 5; ++round) {
        for (const auto& node : subject.next_receivers(report_audience::own_zone)) {
          if (node.text().starts_with("far")) {
            receivers.insert(node);
            ++messages;
          }
        }
      }
      for (const auto& node : receivers) {
        ++reporters_of[node];
      }
    }
    BOOST_TEST(reporters_of.size() == static_cast<std::size_t>(far_nodes));
    for (const auto& [node, count] : reporters_of) {
      BOOST_TEST(count == std::min(batchers, 2));
    }
    // In each round the number of messages of a batcher is rounded up. This adds at most four
    // messages per second for each batcher.
    BOOST_TEST(messages <= static_cast<std::size_t>(2 * far_nodes + 4 * batchers));
  }
}

BOOST_AUTO_TEST_CASE(
    a_node_gets_reports_of_one_batcher_of_another_region_with_any_number_of_zones) {
  for (const int zones : {1, 2, 5}) {
    const region_of_zones region(zones);
    std::map<base::node_id, int> reporters_of;
    for (int self = 0; self < region.nodes(); ++self) {
      for (const auto& node : region.receivers_of(self, report_audience::own_zone)) {
        ++reporters_of[node];
      }
    }
    BOOST_TEST(reporters_of.size() == static_cast<std::size_t>(far_nodes));
    for (const auto& [node, count] : reporters_of) {
      BOOST_TEST(count == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(batchers_for_their_region_report_to_other_regions_once_per_second) {
  const region_of_zones region(2);
  BOOST_TEST(region.receivers_of(0, report_audience::everybody).size() ==
             static_cast<std::size_t>(far_nodes));
}

BOOST_AUTO_TEST_CASE(batchers_for_all_zones_report_to_everybody) {
  auto subject = directory_of(0, 7);
  BOOST_TEST(subject.next_receivers(report_audience::everybody).size() ==
             static_cast<std::size_t>(near_nodes - 1 + far_nodes));
}

BOOST_AUTO_TEST_SUITE_END()
