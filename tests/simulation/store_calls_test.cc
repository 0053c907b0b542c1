/// Simulated fleets in one region: number of reads that a fleet sends to the platform's store, and
/// time until changes reach all nodes while only some nodes have access to the store.
#include "one_region_fleet.h"

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

/// @return settings of a fleet whose nodes are spread over several zones of one region.
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
  // Timing that the daemon derives from a change bound of 5 s.
  settings.node.service_timing.max_hold_time = seconds(15);
  settings.node.knowledge_limits = catalog::limits_for(seconds(5));
  settings.node.service_timing.max_read_interval = std::chrono::milliseconds(1'000);
  return settings;
}

/// @return number of reads that a fleet sends to the store in 48 s without changes.
std::uint64_t idle_calls(int nodes, int zones) {
  fleet_simulation fleet(region_settings(nodes, zones));
  fleet.start_all_nodes();
  BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
  fleet.run_for(seconds(10));
  const auto calls_before = fleet.platform().calls();
  fleet.run_for(seconds(48));
  return fleet.platform().calls() - calls_before;
}

/// @return whether all nodes have the configuration of `version` or a later one within `timeout`.
bool wait_for_version(fleet_simulation& fleet, std::uint64_t version, base::duration timeout) {
  const auto names = fleet.node_names();
  return fleet.run_until(
      [&] {
        return std::all_of(names.begin(), names.end(), [&](const auto& name) {
          return simulation::has_version(fleet, name, version);
        });
      },
      timeout);
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_calls)

BOOST_AUTO_TEST_CASE(number_of_store_reads_is_independent_of_nodes_and_zones) {
  const auto few_nodes = idle_calls(24, 3);
  const auto more_nodes = idle_calls(96, 3);
  const auto more_zones = idle_calls(96, 12);
  BOOST_TEST_MESSAGE("calls in 48 s: " << few_nodes << ", " << more_nodes << ", " << more_zones);
  // Two nodes in each of two zones watch two sources. The first of them reads each source at the
  // interval of confirmations, 3.85 s; the others hold their watches for 15 s.
  constexpr std::uint64_t max_calls = 56;
  BOOST_TEST(few_nodes <= max_calls);
  BOOST_TEST(more_nodes <= max_calls);
  BOOST_TEST(more_zones <= max_calls);
}

BOOST_AUTO_TEST_CASE(two_nodes_in_two_zones_watch_and_two_nodes_per_zone_relay) {
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
    relays += roles.is_relay ? 1 : 0;
  }
  BOOST_TEST(configuration == 4);
  BOOST_TEST(replicas == 4);
  BOOST_TEST(relays == 2 * zones);
}

BOOST_AUTO_TEST_CASE(change_reaches_all_nodes_while_any_two_zones_have_no_store_access) {
  constexpr int zones = 4;
  for (int first = 0; first < zones; ++first) {
    for (int second = first + 1; second < zones; ++second) {
      fleet_simulation fleet(region_settings(24, zones));
      fleet.start_all_nodes();
      BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
      fleet.run_for(seconds(10));
      fleet.block_platform_access({"z" + std::to_string(first), "z" + std::to_string(second)});
      fleet.platform().publish(std::string(model::configuration_key),
                               simulation::configuration_of(2));
      const auto published_at = fleet.now();
      BOOST_TEST(wait_for_version(fleet, 2, seconds(5)),
                 "z" << first << " and z" << second << " have no store access");
      BOOST_TEST_MESSAGE("all nodes after " << base::to_seconds(fleet.now() - published_at)
                                            << " s");
    }
  }
}

BOOST_AUTO_TEST_CASE(watches_resume_within_two_seconds_after_the_store_was_unresponsive) {
  for (const auto unresponsive_time :
       {std::chrono::milliseconds(3'300), std::chrono::milliseconds(9'000)}) {
    fleet_simulation fleet(region_settings(24, 4));
    fleet.start_all_nodes();
    BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
    fleet.run_for(seconds(10));
    fleet.hang_platform(unresponsive_time);
    fleet.run_for(unresponsive_time + seconds(1));
    fleet.platform().publish(std::string(model::configuration_key),
                             simulation::configuration_of(2));
    BOOST_TEST(wait_for_version(fleet, 2, seconds(1)), unresponsive_time.count() << " ms");
  }
}

BOOST_AUTO_TEST_CASE(partitioned_zone_with_store_access_watches_the_store) {
  constexpr int zones = 4;
  for (int zone = 0; zone < zones; ++zone) {
    fleet_simulation fleet(region_settings(24, zones));
    fleet.start_all_nodes();
    BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
    fleet.run_for(seconds(10));
    fleet.partition_zone("z" + std::to_string(zone), false);
    fleet.platform().publish(std::string(model::configuration_key),
                             simulation::configuration_of(2));
    BOOST_TEST(wait_for_version(fleet, 2, seconds(4)), "z" << zone << " is partitioned");
  }
}

BOOST_AUTO_TEST_CASE(number_of_reads_of_a_store_that_is_down_is_independent_of_fleet_size) {
  std::uint64_t calls[2] = {};
  for (int size = 0; size < 2; ++size) {
    fleet_simulation fleet(region_settings(size == 0 ? 24 : 96, 6));
    fleet.start_all_nodes();
    BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
    fleet.run_for(seconds(10));
    fleet.platform().set_mode(simulation::platform_mode::down);
    const auto calls_before = fleet.platform().calls();
    fleet.run_for(seconds(10));
    calls[size] = fleet.platform().calls() - calls_before;
  }
  BOOST_TEST_MESSAGE("calls in 10 s: " << calls[0] << ", " << calls[1]);
  // There are eight watches. In 10 s the node responsible for a watch tries to read the store six
  // times, at intervals that grow from 0.25 s to 8 s. It also hands the watch over twice: each time
  // a second node tries one read and hands the watch over to a third node, which also tries one
  // read.
  constexpr std::uint64_t max_calls = 80;
  BOOST_TEST(calls[0] <= max_calls);
  BOOST_TEST(calls[1] <= max_calls);
}

// Guards against knowledge that grows older than other nodes wait for, or against reads that
// multiply, because an answer with a change confirms only the time at which its read was sent.
BOOST_AUTO_TEST_CASE(a_change_costs_few_reads_and_does_not_delay_confirmations) {
  for (const auto interval : {std::chrono::milliseconds(300), std::chrono::milliseconds(1'100),
                              std::chrono::milliseconds(5'300)}) {
    fleet_simulation fleet(region_settings(24, 4));
    fleet.start_all_nodes();
    BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
    fleet.run_for(seconds(10));
    const auto calls_before = fleet.platform().calls();
    std::uint64_t changes = 0;
    base::duration oldest{};
    for (const auto end = fleet.now() + seconds(48); fleet.now() < end;) {
      fleet.platform().publish(std::string(model::configuration_key),
                               simulation::configuration_of(2 + ++changes));
      for (const auto until = fleet.now() + interval; fleet.now() < until;) {
        fleet.run_for(std::chrono::milliseconds(50));
        for (const auto& name : fleet.node_names()) {
          const auto age =
              fleet.node(name).knowledge(node::source_kind::configuration).age(fleet.now());
          oldest = std::max(oldest, age.value_or(base::duration{}));
        }
      }
    }
    BOOST_TEST_MESSAGE(changes << " changes: " << fleet.platform().calls() - calls_before
                               << " calls in 48 s, oldest knowledge "
                               << base::to_milliseconds(oldest) << " ms");
    // Each change ends the watches of both sources at the four readers.
    constexpr std::uint64_t idle_calls_in_48_seconds = 56;
    BOOST_TEST(fleet.platform().calls() - calls_before <= idle_calls_in_48_seconds + 8 * changes);
    BOOST_TEST((oldest <= catalog::limits_for(seconds(5)).max_age));
  }
}

BOOST_AUTO_TEST_SUITE_END()
