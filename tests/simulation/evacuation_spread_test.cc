/// How fast an evacuation is in force at all nodes of a fleet: heard from the store or from peers
/// only, at a start, and after a cut.
#include "regional_fleet.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace {

using namespace spurrack;
using simulation::fleet_simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// An evacuation is in force everywhere within this time of its publication.
constexpr base::duration spread_target = seconds(1);
const std::string key = std::string(model::evacuation_prefix) + "z1";

std::string evacuation_record() {
  wire::published_evacuation record;
  record.set_zone("z1");
  return record.SerializeAsString();
}

/// @return whether all nodes run and see the zone evacuated, or not.
bool all_see(const fleet_simulation& fleet, bool evacuated) {
  for (const auto& name : fleet.node_names()) {
    const bool seen = fleet.is_alive(name) && fleet.node(name).content().evacuated_zones().contains(
                                                  base::zone_id("z1")) == evacuated;
    if (!seen) {
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

BOOST_AUTO_TEST_CASE(it_is_in_force_everywhere_within_a_second_at_any_size) {
  for (const int nodes : {6, 86, 300}) {
    fleet_simulation fleet(simulation::serving_fleet_settings(nodes));
    start(fleet);
    for (const bool evacuated : {true, false, true}) {
      const auto began = fleet.now();
      fleet.platform().publish(key, evacuated ? std::optional(evacuation_record()) : std::nullopt);
      BOOST_TEST(fleet.run_until([&] { return all_see(fleet, evacuated); }, seconds(10)));
      const auto took = fleet.now() - began;
      BOOST_TEST_MESSAGE(nodes << " nodes: in force after " << base::to_milliseconds(took)
                               << " ms");
      BOOST_TEST(base::to_milliseconds(took) <= base::to_milliseconds(spread_target));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_node_that_starts_during_it_or_comes_back_from_a_cut_knows_of_it) {
  fleet_simulation fleet(simulation::serving_fleet_settings(12));
  start(fleet);
  fleet.kill_node("node-5");
  fleet.partition_zone("z2", true);
  fleet.platform().publish(key, evacuation_record());
  fleet.run_for(seconds(3));
  fleet.start_node("node-5");
  // A node is ready only once it knows what is in force.
  BOOST_TEST(fleet.run_until([&] { return fleet.node("node-5").is_ready(); }, seconds(5)));
  BOOST_TEST(fleet.node("node-5").content().evacuated_zones().contains(base::zone_id("z1")));
  BOOST_TEST(fleet.node("node-2").content().evacuated_zones().empty());
  fleet.heal_zone("z2");
  BOOST_TEST(fleet.run_until([&] { return all_see(fleet, true); }, seconds(4)));
}

BOOST_AUTO_TEST_CASE(a_region_that_the_store_turns_away_hears_of_it_from_the_others) {
  for (const int nodes : {30, 100}) {
    fleet_simulation fleet(simulation::regional_fleet_settings(nodes));
    start(fleet);
    // Both zones of one region, for longer than a node takes to notice.
    fleet.block_platform_access({"z1", "z4"});
    fleet.run_for(seconds(10));
    for (const bool evacuated : {true, false, true}) {
      const auto began = fleet.now();
      fleet.platform().publish(key, evacuated ? std::optional(evacuation_record()) : std::nullopt);
      BOOST_TEST(fleet.run_until([&] { return all_see(fleet, evacuated); }, seconds(4)));
      BOOST_TEST_MESSAGE(nodes << " nodes, a region turned away: in force after "
                               << base::to_milliseconds(fleet.now() - began) << " ms");
    }
    // All of the region start anew: they learn everything from the others.
    for (const auto& name : fleet.node_names()) {
      const auto zone = fleet.node(name).settings().self.zone.text();
      if (simulation::region_of_zone(zone) == "r1") {
        fleet.kill_node(name);
        fleet.start_node(name);
      }
    }
    BOOST_TEST(fleet.run_until([&] { return fleet.all_ready(); }, seconds(4)));
    BOOST_TEST(all_see(fleet, true));
  }
}

BOOST_AUTO_TEST_CASE(it_stands_while_the_store_is_down) {
  fleet_simulation fleet(simulation::serving_fleet_settings(12));
  start(fleet);
  fleet.platform().publish(key, evacuation_record());
  BOOST_TEST(fleet.run_until([&] { return all_see(fleet, true); }, spread_target));
  fleet.platform().set_mode(simulation::platform_mode::down);
  fleet.kill_node("node-1");
  fleet.run_for(seconds(2));
  fleet.start_node("node-1");
  fleet.run_for(seconds(5));
  BOOST_TEST(all_see(fleet, true));
  fleet.platform().publish(key, std::nullopt);
  fleet.platform().set_mode(simulation::platform_mode::up);
  BOOST_TEST(fleet.run_until([&] { return all_see(fleet, false); }, seconds(4)));
}

BOOST_AUTO_TEST_SUITE_END()
