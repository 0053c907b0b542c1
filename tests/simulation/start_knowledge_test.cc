/// Nodes that start while their sources of the configuration are outdated. Guards against a node
/// that is ready with a configuration older than one published before its start.
#include "one_region_fleet.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace {

using namespace spurrack;
using simulation::fleet_simulation;
using simulation::store_access;
using std::chrono::milliseconds;
using std::chrono::seconds;

void publish(fleet_simulation& fleet, std::uint64_t version) {
  fleet.platform().publish(std::string(model::configuration_key),
                           simulation::configuration_of(version));
}

/// Runs until a node is ready.
/// @return whether the node had `version` from the moment at which it was ready.
bool is_ready_with_version(fleet_simulation& fleet, const std::string& name,
                           std::uint64_t version) {
  BOOST_REQUIRE(fleet.run_until([&] { return fleet.node(name).is_ready(); }, seconds(5)));
  return simulation::has_version(fleet, name, version);
}

} // namespace

BOOST_AUTO_TEST_SUITE(start_knowledge)

BOOST_AUTO_TEST_CASE(node_is_not_ready_by_the_catalog_of_an_outdated_peer) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    fleet_simulation fleet(simulation::one_region_settings(2, 1, true, seed));
    fleet.start_all_nodes();
    BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
    fleet.run_for(seconds(3));
    fleet.kill_node("node-1");
    fleet.set_store_access("node-0", store_access::silent);
    fleet.run_for(seconds(1));
    publish(fleet, 2);
    fleet.run_for(seconds(3));
    fleet.start_node("node-1");
    BOOST_TEST(is_ready_with_version(fleet, "node-1", 2), "seed " << seed);
    BOOST_TEST(
        fleet.run_until([&] { return simulation::has_version(fleet, "node-0", 2); }, seconds(1)));
  }
}

BOOST_AUTO_TEST_CASE(node_is_not_ready_by_a_stale_listing) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    fleet_simulation fleet(simulation::one_region_settings(6, 4, true, seed));
    fleet.start_all_nodes();
    BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
    for (const auto& name : fleet.node_names()) {
      fleet.kill_node(name);
    }
    fleet.platform().keep_stale_listings_at_current_revision();
    publish(fleet, 2);
    fleet.run_for(seconds(3));
    fleet.start_all_nodes();
    for (const auto& name : fleet.node_names()) {
      BOOST_TEST(is_ready_with_version(fleet, name, 2), name << ", seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_CASE(node_that_starts_while_the_store_answers_nobody_is_ready_by_its_peers) {
  fleet_simulation fleet(simulation::one_region_settings(6, 4, true, 1));
  fleet.start_all_nodes();
  BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
  fleet.run_for(seconds(3));
  for (const auto& name : fleet.node_names()) {
    fleet.set_store_access(name, store_access::silent);
  }
  fleet.kill_node("node-1");
  fleet.run_for(seconds(4));
  fleet.start_node("node-1");
  BOOST_TEST(fleet.run_until([&] { return fleet.node("node-1").is_ready(); }, seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()
