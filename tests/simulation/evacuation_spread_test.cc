/// Simulated fleets: time from the publication of the evacuation of a zone until all nodes apply
/// the evacuation, with and without access to the store, at the start of a node and after a
/// partition.
#include "regional_fleet.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace {

using namespace spurrack;
using simulation::fleet_simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maximum time from the publication of an evacuation until all nodes apply it.
constexpr base::duration max_spread_time = seconds(1);
const std::string key = std::string(model::evacuation_prefix) + "z1";

std::string evacuation_record() {
  wire::published_evacuation record;
  record.set_zone("z1");
  return record.SerializeAsString();
}

/// @return whether all nodes run and, in the catalog of each node, the zone `z1` is evacuated (if
///         `evacuated` is true) or not evacuated (if `evacuated` is false).
bool all_have_evacuation_state(const fleet_simulation& fleet, bool evacuated) {
  for (const auto& name : fleet.node_names()) {
    const bool has_expected_state =
        fleet.is_alive(name) && fleet.node(name).published_catalog().evacuated_zones().contains(
                                    base::zone_id("z1")) == evacuated;
    if (!has_expected_state) {
      return false;
    }
  }
  return true;
}

void start(fleet_simulation& fleet) {
  fleet.start_all_nodes();
  BOOST_TEST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(20)));
  fleet.run_for(seconds(5));
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation_spread)

BOOST_AUTO_TEST_CASE(evacuation_takes_effect_at_all_nodes_within_a_second_at_any_fleet_size) {
  for (const int nodes : {6, 86, 300}) {
    fleet_simulation fleet(simulation::serving_fleet_settings(nodes));
    start(fleet);
    for (const bool evacuated : {true, false, true}) {
      const auto published_at = fleet.now();
      fleet.platform().publish(key, evacuated ? std::optional(evacuation_record()) : std::nullopt);
      BOOST_TEST(fleet.run_until([&] { return all_have_evacuation_state(fleet, evacuated); },
                                 seconds(10)));
      const auto elapsed = fleet.now() - published_at;
      BOOST_TEST_MESSAGE(nodes << " nodes: in effect after " << base::to_milliseconds(elapsed)
                               << " ms");
      BOOST_TEST(base::to_milliseconds(elapsed) <= base::to_milliseconds(max_spread_time));
    }
  }
}

BOOST_AUTO_TEST_CASE(node_learns_of_evacuation_at_start_and_after_a_partition) {
  fleet_simulation fleet(simulation::serving_fleet_settings(12));
  start(fleet);
  fleet.kill_node("node-5");
  fleet.partition_zone("z2", true);
  fleet.platform().publish(key, evacuation_record());
  fleet.run_for(seconds(3));
  fleet.start_node("node-5");
  // A node becomes ready only after it has the evacuations that are in effect.
  BOOST_TEST(fleet.run_until([&] { return fleet.node("node-5").is_ready(); }, seconds(5)));
  BOOST_TEST(
      fleet.node("node-5").published_catalog().evacuated_zones().contains(base::zone_id("z1")));
  BOOST_TEST(fleet.node("node-2").published_catalog().evacuated_zones().empty());
  fleet.heal_zone("z2");
  BOOST_TEST(fleet.run_until([&] { return all_have_evacuation_state(fleet, true); }, seconds(4)));
}

BOOST_AUTO_TEST_CASE(region_without_store_access_learns_of_evacuation_from_other_regions) {
  for (const int nodes : {30, 100}) {
    fleet_simulation fleet(simulation::regional_fleet_settings(nodes));
    start(fleet);
    // Both zones of one region lose access to the store, for longer than a node needs to detect the
    // loss.
    fleet.block_platform_access({"z1", "z4"});
    fleet.run_for(seconds(10));
    for (const bool evacuated : {true, false, true}) {
      const auto published_at = fleet.now();
      fleet.platform().publish(key, evacuated ? std::optional(evacuation_record()) : std::nullopt);
      BOOST_TEST(
          fleet.run_until([&] { return all_have_evacuation_state(fleet, evacuated); }, seconds(4)));
      BOOST_TEST_MESSAGE(nodes << " nodes, one region without store access: in effect after "
                               << base::to_milliseconds(fleet.now() - published_at) << " ms");
    }
    // All nodes of the region restart and receive the catalog from nodes of the other regions.
    for (const auto& name : fleet.node_names()) {
      const auto zone = fleet.node(name).settings().self.zone.text();
      if (simulation::region_of_zone(zone) == "r1") {
        fleet.kill_node(name);
        fleet.start_node(name);
      }
    }
    BOOST_TEST(fleet.run_until([&] { return fleet.all_ready(); }, seconds(4)));
    BOOST_TEST(all_have_evacuation_state(fleet, true));
  }
}

BOOST_AUTO_TEST_CASE(evacuation_stays_in_effect_while_the_store_is_down) {
  fleet_simulation fleet(simulation::serving_fleet_settings(12));
  start(fleet);
  fleet.platform().publish(key, evacuation_record());
  BOOST_TEST(
      fleet.run_until([&] { return all_have_evacuation_state(fleet, true); }, max_spread_time));
  fleet.platform().set_mode(simulation::platform_mode::down);
  fleet.kill_node("node-1");
  fleet.run_for(seconds(2));
  fleet.start_node("node-1");
  fleet.run_for(seconds(5));
  BOOST_TEST(all_have_evacuation_state(fleet, true));
  fleet.platform().publish(key, std::nullopt);
  fleet.platform().set_mode(simulation::platform_mode::up);
  BOOST_TEST(fleet.run_until([&] { return all_have_evacuation_state(fleet, false); }, seconds(4)));
}

BOOST_AUTO_TEST_SUITE_END()
