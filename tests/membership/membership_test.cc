/// Failure detection of the nodes of one zone, on the simulated network.
#include "simulation/fleet_simulation.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace spurrack;
using simulation::fleet_simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

simulation::simulation_settings settings_with_nodes(int nodes) {
  simulation::simulation_settings settings;
  for (int index = 0; index < nodes; ++index) {
    settings.nodes.push_back({"n" + std::to_string(index), "a"});
  }
  return settings;
}

bool is_seen_by_all_as(const fleet_simulation& fleet, const std::string& subject,
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

BOOST_AUTO_TEST_CASE(death_and_return_of_a_node_are_detected_by_all_nodes) {
  for (const int nodes : {2, 8, 24}) {
    fleet_simulation fleet(settings_with_nodes(nodes));
    fleet.start_all_nodes();
    BOOST_TEST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
    fleet.run_for(seconds(5));
    fleet.kill_node("n1");
    BOOST_TEST(
        fleet.run_until([&] { return is_seen_by_all_as(fleet, "n1", wire::DEAD); }, seconds(8)),
        nodes);
    fleet.start_node("n1");
    BOOST_TEST(
        fleet.run_until([&] { return is_seen_by_all_as(fleet, "n1", wire::ALIVE); }, seconds(5)),
        nodes);
  }
}

BOOST_AUTO_TEST_CASE(node_is_alive_again_after_short_and_long_suspensions) {
  fleet_simulation fleet(settings_with_nodes(6));
  fleet.start_all_nodes();
  fleet.run_for(seconds(5));
  const auto before = fleet.node("n2").members().incarnation();
  fleet.freeze_node("n2", milliseconds(1500));
  fleet.run_for(seconds(8));
  BOOST_TEST(is_seen_by_all_as(fleet, "n2", wire::ALIVE));
  fleet.freeze_node("n2", seconds(30));
  fleet.run_for(seconds(10));
  BOOST_TEST(is_seen_by_all_as(fleet, "n2", wire::DEAD));
  fleet.run_for(seconds(25));
  BOOST_TEST(is_seen_by_all_as(fleet, "n2", wire::ALIVE));
  BOOST_TEST(fleet.node("n2").members().incarnation() > before);
}

BOOST_AUTO_TEST_CASE(no_node_is_declared_dead_because_of_message_loss) {
  fleet_simulation fleet(settings_with_nodes(8));
  fleet.start_all_nodes();
  fleet.run_for(seconds(5));
  fleet.set_loss_probability(0.05);
  int deaths = 0;
  for (int second = 0; second < 120; ++second) {
    fleet.run_for(seconds(1));
    for (const auto& name : fleet.node_names()) {
      deaths += is_seen_by_all_as(fleet, name, wire::DEAD) ? 1 : 0;
    }
  }
  BOOST_TEST(deaths == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(membership_connections)

BOOST_AUTO_TEST_CASE(unanswered_probe_is_repeated_on_a_new_connection) {
  base::seeded_random random(1);
  membership::identity self;
  self.node = base::node_id("n0");
  self.zone = base::zone_id("a");
  self.address = base::network_address("n0:1");
  membership::membership subject(self, {}, random, [](const auto&) {});
  base::time_point now{std::chrono::hours(1)};
  wire::envelope first_message;
  first_message.set_sender("n1");
  first_message.set_sender_incarnation(1);
  first_message.set_sender_zone("a");
  first_message.set_sender_address("n1:1");
  subject.observe(first_message, now);
  bool has_probed = false;
  bool has_probed_on_new_connection = false;
  for (int tick = 0; tick < 8; ++tick) {
    wire::outbox out;
    subject.tick(now, out);
    for (const auto& message : out) {
      has_probed = has_probed || (!message.on_new_connection && message.message.has_ping());
      has_probed_on_new_connection = has_probed_on_new_connection || message.on_new_connection;
      BOOST_TEST((!message.on_new_connection || has_probed));
    }
    now += milliseconds(100);
  }
  BOOST_TEST(has_probed_on_new_connection);
}

BOOST_AUTO_TEST_SUITE_END()
