/// What a fleet in one region asks of the platform's store, and what becomes of changes while the
/// store answers only a part of the nodes.
#include "serving_fleet.h"

#include "node/node_roles.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace {

using namespace spurrack;
using simulation::fleet_simulation;
using std::chrono::seconds;

/// Nodes of several zones of one region.
simulation::simulation_settings region_settings(int nodes, int zones) {
  auto settings = simulation::serving_fleet_settings(0);
  std::map<base::zone_id, base::region_id> regions;
  for (int zone = 0; zone < zones; ++zone) {
    regions[base::zone_id("z" + std::to_string(zone))] = base::region_id("r");
  }
  settings.node.serving->regions = model::zone_regions(std::move(regions));
  for (int index = 0; index < nodes; ++index) {
    settings.nodes.push_back(
        {"node-" + std::to_string(index), "z" + std::to_string(index % zones)});
  }
  settings.should_publish_node_list = false;
  settings.node.service_timing.hold = seconds(8);
  settings.node.service_timing.rest_longest = std::chrono::milliseconds(1'000);
  return settings;
}

/// @return calls in a quiet time.
std::uint64_t quiet_calls(int nodes, int zones) {
  fleet_simulation fleet(region_settings(nodes, zones));
  fleet.start_all_nodes();
  BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
  fleet.run_for(seconds(10));
  const auto before = fleet.platform().calls();
  fleet.run_for(seconds(48));
  return fleet.platform().calls() - before;
}

std::string configuration_of(std::uint64_t version) {
  wire::published_configuration configuration;
  configuration.set_version(version);
  return configuration.SerializeAsString();
}

/// @return whether all nodes hold a version within a time.
bool all_hold(fleet_simulation& fleet, std::uint64_t version, base::duration limit) {
  const auto names = fleet.node_names();
  return fleet.run_until(
      [&] {
        return std::all_of(names.begin(), names.end(), [&](const auto& name) {
          const auto held = fleet.node(name).content().serving();
          return held != nullptr && held->version >= version;
        });
      },
      limit);
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_calls)

BOOST_AUTO_TEST_CASE(calls_to_the_store_grow_neither_with_nodes_nor_with_zones) {
  const auto few = quiet_calls(24, 3);
  const auto more_nodes = quiet_calls(96, 3);
  const auto more_zones = quiet_calls(96, 12);
  BOOST_TEST_MESSAGE("calls in 48 s: " << few << ", " << more_nodes << ", " << more_zones);
  // Two nodes of two zones watch two sources.
  constexpr std::uint64_t watches = 8;
  const auto held_for = simulation::emulated_platform::watch_timeout;
  const auto expected = watches * static_cast<std::uint64_t>(seconds(48) / held_for);
  BOOST_TEST(few <= expected + watches);
  BOOST_TEST(more_nodes <= expected + watches);
  BOOST_TEST(more_zones <= expected + watches);
}

BOOST_AUTO_TEST_CASE(two_nodes_of_two_zones_watch_and_two_of_each_zone_relay) {
  constexpr int zones = 6;
  fleet_simulation fleet(region_settings(48, zones));
  fleet.start_all_nodes();
  BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
  fleet.run_for(seconds(10));
  int configuration = 0;
  int replicas = 0;
  int relays = 0;
  for (const auto& name : fleet.node_names()) {
    const auto roles = node::roles_of(fleet.node(name), fleet.now());
    configuration += roles.watches_configuration ? 1 : 0;
    replicas += roles.watches_replicas ? 1 : 0;
    relays += roles.relays ? 1 : 0;
  }
  BOOST_TEST(configuration == 4);
  BOOST_TEST(replicas == 4);
  BOOST_TEST(relays == 2 * zones);
}

BOOST_AUTO_TEST_CASE(a_change_reaches_all_while_the_store_turns_away_any_two_zones) {
  constexpr int zones = 4;
  for (int one = 0; one < zones; ++one) {
    for (int other = one + 1; other < zones; ++other) {
      fleet_simulation fleet(region_settings(24, zones));
      fleet.start_all_nodes();
      BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
      fleet.run_for(seconds(10));
      fleet.block_platform_access({"z" + std::to_string(one), "z" + std::to_string(other)});
      fleet.platform().publish(std::string(model::configuration_key), configuration_of(2));
      const auto began = fleet.now();
      BOOST_TEST(all_hold(fleet, 2, seconds(5)),
                 "z" << one << " and z" << other << " are turned away");
      BOOST_TEST_MESSAGE("all after " << base::to_seconds(fleet.now() - began) << " s");
    }
  }
}

BOOST_AUTO_TEST_CASE(a_store_that_was_silent_is_watched_again_within_two_seconds) {
  for (const auto silence : {std::chrono::milliseconds(3'300), std::chrono::milliseconds(9'000)}) {
    fleet_simulation fleet(region_settings(24, 4));
    fleet.start_all_nodes();
    BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
    fleet.run_for(seconds(10));
    fleet.hang_platform(silence);
    fleet.run_for(silence + seconds(1));
    fleet.platform().publish(std::string(model::configuration_key), configuration_of(2));
    BOOST_TEST(all_hold(fleet, 2, seconds(1)), silence.count() << " ms");
  }
}

BOOST_AUTO_TEST_CASE(a_zone_that_hears_no_other_watches_for_itself) {
  constexpr int zones = 4;
  for (int cut = 0; cut < zones; ++cut) {
    fleet_simulation fleet(region_settings(24, zones));
    fleet.start_all_nodes();
    BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
    fleet.run_for(seconds(10));
    fleet.partition_zone("z" + std::to_string(cut), false);
    fleet.platform().publish(std::string(model::configuration_key), configuration_of(2));
    BOOST_TEST(all_hold(fleet, 2, seconds(4)), "z" << cut << " is cut off");
  }
}

BOOST_AUTO_TEST_CASE(a_store_that_answers_nobody_is_asked_no_more_often_by_a_larger_fleet) {
  std::uint64_t calls[2] = {};
  for (int size = 0; size < 2; ++size) {
    fleet_simulation fleet(region_settings(size == 0 ? 24 : 96, 6));
    fleet.start_all_nodes();
    BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
    fleet.run_for(seconds(10));
    fleet.platform().set_mode(simulation::platform_mode::down);
    const auto before = fleet.platform().calls();
    fleet.run_for(seconds(10));
    calls[size] = fleet.platform().calls() - before;
  }
  BOOST_TEST_MESSAGE("calls in 10 s: " << calls[0] << ", " << calls[1]);
  // Each of eight watches tries six times at 0.25 to 8 s, and hands over twice in two steps.
  constexpr std::uint64_t most = 80;
  BOOST_TEST(calls[0] <= most);
  BOOST_TEST(calls[1] <= most);
}

BOOST_AUTO_TEST_SUITE_END()
