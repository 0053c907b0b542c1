/// All nodes of the other zones detect the failure of a zone. Neither the time until the detection
/// nor the number of messages per node may grow with the fleet.
#include "membership_fleet.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>

namespace {

using namespace spurrack;
using membership::membership_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct fleet_shape {
  std::size_t nodes_per_zone;
  std::size_t zones;
  std::size_t regions = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(zone_contact_test)

BOOST_AUTO_TEST_CASE(zone_failure_is_detected_by_all_nodes_within_two_seconds_at_any_size) {
  for (const auto& shape : {fleet_shape{3, 2}, fleet_shape{15, 4}, fleet_shape{50, 6},
                            fleet_shape{5, 6, 3}, fleet_shape{50, 6, 3}, fleet_shape{25, 12, 3}}) {
    membership_fleet fleet(shape.nodes_per_zone, shape.zones, shape.regions);
    fleet.run(seconds(6));
    fleet.messages = 0;
    fleet.messages_between_regions = 0;
    std::size_t false_views = 0;
    constexpr std::size_t observed_seconds = 20;
    constexpr std::size_t checks_per_second = 10;
    for (std::size_t check = 0; check < observed_seconds * checks_per_second; ++check) {
      fleet.run(milliseconds(100));
      false_views += fleet.unreachable_views();
    }
    // No zone has failed yet, so each zone that a node regards as unreachable is a false detection.
    // Divided by `checks_per_second`, `false_views` is the total duration of false detections in
    // seconds. It may be at most 1 s per 10,000 s for which a node runs.
    constexpr std::size_t node_seconds_per_false_view = 10'000;
    const auto node_seconds = observed_seconds * fleet.nodes.size();
    BOOST_TEST(false_views / checks_per_second * node_seconds_per_false_view <= node_seconds);
    // Mean number of messages per node and second: 14 probes and acknowledgements, 7 digests that
    // the two relays of its zone send to the node, and a few digests between zones.
    constexpr std::size_t max_messages_per_node = 25;
    BOOST_TEST(fleet.messages / observed_seconds / fleet.nodes.size() <= max_messages_per_node);
    if (shape.regions > 0) {
      // In each ordered pair of regions, each of the two relays of the first region sends three
      // messages to the second region every 0.3 s. The limit is a tenth higher than the resulting
      // number of messages, because more rounds than the mean may begin within the observed time.
      const auto pairs = shape.regions * (shape.regions - 1);
      const auto max_messages = pairs * 2 * 3 * observed_seconds * 11 / 3;
      BOOST_TEST(fleet.messages_between_regions <= max_messages);
    }
    fleet.down_zone = base::zone_id("z1");
    fleet.run(seconds(2));
    BOOST_TEST(fleet.unreachable_views() == fleet.nodes.size() - shape.nodes_per_zone);
    fleet.down_zone = {};
    fleet.run(milliseconds(1'500));
    BOOST_TEST(fleet.unreachable_views() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(region_partition_and_its_end_are_detected_on_both_sides) {
  constexpr std::size_t regions = 3;
  for (const auto& shape : {fleet_shape{5, 6, regions}, fleet_shape{50, 6, regions}}) {
    membership_fleet fleet(shape.nodes_per_zone, shape.zones, shape.regions);
    fleet.run(seconds(6));
    const auto zones_inside = shape.zones / regions;
    const auto zones_outside = shape.zones - zones_inside;
    const auto expected_views = shape.nodes_per_zone * zones_inside * zones_outside * 2;
    fleet.partitioned_region = base::region_id("r1");
    fleet.run(seconds(2));
    BOOST_TEST(fleet.unreachable_views() == expected_views);
    // After 20 s, the mean gaps of the zones that are still in contact come almost only from gaps
    // during the partition. The nodes must still regard as many zones as unreachable as before
    // these 20 s.
    fleet.run(seconds(20));
    BOOST_TEST(fleet.unreachable_views() == expected_views);
    fleet.partitioned_region = {};
    fleet.run(milliseconds(2'000));
    BOOST_TEST(fleet.unreachable_views() == 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
