/// Failure detection of the nodes of one zone, on the simulated network.
#include "simulation/fleet_simulation.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace spurrack;
using simulation::fleet_simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

simulation::simulation_settings zone_of(int nodes) {
  simulation::simulation_settings settings;
  for (int index = 0; index < nodes; ++index) {
    settings.nodes.push_back({"n" + std::to_string(index), "a"});
  }
  return settings;
}

bool everyone_sees(const fleet_simulation& fleet, const std::string& subject,
                   wire::member_state state) {
  for (const auto& name : fleet.node_names()) {
    if (name == subject || !fleet.is_alive(name)) {
      continue;
    }
    const auto& members = fleet.node(name).members().members();
    const auto found = members.find(base::node_id(subject));
    if (found == members.end() || found->second.state != state) {
      return false;
    }
  }
  return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_detection)

BOOST_AUTO_TEST_CASE(a_death_is_known_everywhere_in_time_and_a_return_too) {
  for (const int nodes : {2, 8, 24}) {
    fleet_simulation fleet(zone_of(nodes));
    fleet.start_all_nodes();
    BOOST_TEST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
    fleet.run_for(seconds(5));
    fleet.kill_node("n1");
    BOOST_TEST(fleet.run_until([&] { return everyone_sees(fleet, "n1", wire::DEAD); }, seconds(8)),
               nodes);
    fleet.start_node("n1");
    BOOST_TEST(fleet.run_until([&] { return everyone_sees(fleet, "n1", wire::ALIVE); }, seconds(5)),
               nodes);
  }
}

BOOST_AUTO_TEST_CASE(a_short_pause_is_refuted_and_a_long_one_ends_well) {
  fleet_simulation fleet(zone_of(6));
  fleet.start_all_nodes();
  fleet.run_for(seconds(5));
  const auto before = fleet.node("n2").members().incarnation();
  fleet.freeze_node("n2", milliseconds(1500));
  fleet.run_for(seconds(8));
  BOOST_TEST(everyone_sees(fleet, "n2", wire::ALIVE));
  fleet.freeze_node("n2", seconds(30));
  fleet.run_for(seconds(10));
  BOOST_TEST(everyone_sees(fleet, "n2", wire::DEAD));
  fleet.run_for(seconds(25));
  BOOST_TEST(everyone_sees(fleet, "n2", wire::ALIVE));
  BOOST_TEST(fleet.node("n2").members().incarnation() > before);
}

BOOST_AUTO_TEST_CASE(nobody_is_suspected_for_lost_messages_alone) {
  fleet_simulation fleet(zone_of(8));
  fleet.start_all_nodes();
  fleet.run_for(seconds(5));
  fleet.set_loss(0.05);
  int deaths = 0;
  for (int second = 0; second < 120; ++second) {
    fleet.run_for(seconds(1));
    for (const auto& name : fleet.node_names()) {
      deaths += everyone_sees(fleet, name, wire::DEAD) ? 1 : 0;
    }
  }
  BOOST_TEST(deaths == 0);
}

BOOST_AUTO_TEST_SUITE_END()
