/// Simulated fleets in which the nodes that read the platform's store for all others are disturbed
/// at the moment of a change. Guards against nodes that have access to the store but wait for the
/// disturbed readers, so that the change is not in force in time.
#include "disturbed_fleet.h"
#include "one_region_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

namespace {

using namespace spurrack;
using simulation::fleet_simulation;
using simulation::node_names;
using simulation::peer_access;
using simulation::readers_of;
using simulation::set_access;
using simulation::store_access;
using simulation::third_with;
using simulation::unimpaired_nodes;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time limits for a change after its publication, while one and while two disturbances last.
constexpr base::duration limit_with_one_disturbance = milliseconds(1'500);
constexpr base::duration limit_with_two_disturbances = milliseconds(2'000);
constexpr base::duration disturbance_time = seconds(6);
/// Latest publication after the begin of the disturbance.
constexpr int max_publication_delay_milliseconds = 3'000;

/// A disturbance of a fleet. `readers` are the nodes that read the configuration at its begin.
struct disturbance {
  const char* name;
  std::function<void(fleet_simulation& fleet, const node_names& readers)> begin;
};

const std::vector<disturbance>& disturbances() {
  static const std::vector<disturbance> all{
      {"store silent to the readers",
       [](auto& fleet, const auto& readers) { set_access(fleet, readers, store_access::silent); }},
      {"store refuses the readers",
       [](auto& fleet, const auto& readers) { set_access(fleet, readers, store_access::refused); }},
      {"store silent to a third of the nodes",
       [](auto& fleet, const auto& readers) {
         set_access(fleet, third_with(fleet, readers), store_access::silent);
       }},
      {"store refuses a third of the nodes",
       [](auto& fleet, const auto& readers) {
         set_access(fleet, third_with(fleet, readers), store_access::refused);
       }},
      {"readers frozen",
       [](auto& fleet, const auto& readers) {
         for (const auto& name : readers) {
           fleet.freeze_node(name, disturbance_time);
         }
       }},
      {"readers killed",
       [](auto& fleet, const auto& readers) {
         for (const auto& name : readers) {
           fleet.kill_node(name);
         }
       }},
      {"readers stopped",
       [](auto& fleet, const auto& readers) {
         for (const auto& name : readers) {
           fleet.stop_node(name);
         }
       }},
      {"readers cut from all peers",
       [](auto& fleet, const auto& readers) { set_access(fleet, readers, peer_access::none); }},
      {"readers only send",
       [](auto& fleet, const auto& readers) {
         set_access(fleet, readers, peer_access::sends_only);
       }},
      {"readers only receive",
       [](auto& fleet, const auto& readers) {
         set_access(fleet, readers, peer_access::receives_only);
       }},
      {"third of the nodes cut from all peers",
       [](auto& fleet, const auto& readers) {
         set_access(fleet, third_with(fleet, readers), peer_access::none);
       }},
      {"zone partitioned",
       [](auto& fleet, const auto& /*readers*/) {
         const auto names = fleet.node_names();
         const auto& chosen = names[fleet.random().below(names.size())];
         fleet.partition_zone(fleet.node(chosen).settings().self.zone.text(), false);
       }},
      {"loss of 3 in 100",
       [](auto& fleet, const auto& /*readers*/) { fleet.set_loss_probability(0.03); }},
      {"loss of 30 in 100",
       [](auto& fleet, const auto& /*readers*/) { fleet.set_loss_probability(0.3); }},
  };
  return all;
}

/// @return time until the last unimpaired node has `version`; at most 8 s.
base::duration time_in_force(fleet_simulation& fleet, std::uint64_t version) {
  constexpr base::duration max_time = seconds(8);
  const auto published_at = fleet.now();
  auto missing = unimpaired_nodes(fleet);
  while (!missing.empty() && fleet.now() - published_at < max_time) {
    fleet.run_for(milliseconds(10));
    std::erase_if(missing, [&](const auto& name) {
      return !fleet.is_alive(name) || simulation::has_version(fleet, name, version);
    });
  }
  return fleet.now() - published_at;
}

struct fleet_shape {
  int nodes;
  int zones;
};

/// Number of seeds for each disturbance and shape; more are run by hand.
std::uint64_t seed_count() {
  const char* text = std::getenv("SPURRACK_DISTURBANCE_SEEDS");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

/// Starts a fleet, begins the disturbances and publishes a change at a random moment.
/// @return time until the change is in force on all unimpaired nodes.
base::duration play(const fleet_shape& shape, std::uint64_t seed,
                    const std::vector<const disturbance*>& chosen) {
  fleet_simulation fleet(
      simulation::one_region_settings(shape.nodes, shape.zones, seed % 2 == 0, seed));
  fleet.start_all_nodes();
  BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
  fleet.run_for(seconds(4) + milliseconds(fleet.random().below(3'000)));
  for (const auto* each : chosen) {
    each->begin(fleet, readers_of(fleet, node::source_kind::configuration));
  }
  fleet.run_for(milliseconds(fleet.random().below(max_publication_delay_milliseconds)));
  fleet.platform().publish(std::string(model::configuration_key), simulation::configuration_of(2));
  return time_in_force(fleet, 2);
}

constexpr std::array shapes{fleet_shape{2, 1},  fleet_shape{2, 2},   fleet_shape{6, 4},
                            fleet_shape{12, 3}, fleet_shape{30, 22}, fleet_shape{40, 4}};

} // namespace

BOOST_AUTO_TEST_SUITE(reader_disturbance)

BOOST_AUTO_TEST_CASE(change_is_in_force_in_time_while_readers_are_disturbed) {
  for (const auto& each : disturbances()) {
    base::duration longest{};
    std::string worst;
    for (const auto& shape : shapes) {
      for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        const auto time = play(shape, seed, {&each});
        const auto description = std::to_string(shape.nodes) + " nodes in " +
                                 std::to_string(shape.zones) + " zones, seed " +
                                 std::to_string(seed);
        BOOST_TEST(time <= limit_with_one_disturbance, each.name << ", " << description << ": "
                                                                 << base::to_milliseconds(time)
                                                                 << " ms");
        if (time > longest) {
          longest = time;
          worst = description;
        }
      }
    }
    BOOST_TEST_MESSAGE(each.name << ": at the most " << base::to_milliseconds(longest) << " ms ("
                                 << worst << ")");
  }
}

BOOST_AUTO_TEST_CASE(change_is_in_force_in_time_while_two_disturbances_overlap) {
  base::duration longest{};
  const auto& all = disturbances();
  for (std::size_t first = 0; first < all.size(); ++first) {
    const auto& second = all[(first + 5) % all.size()];
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
      const auto time = play({40, 4}, seed, {&all[first], &second});
      BOOST_TEST(time <= limit_with_two_disturbances,
                 all[first].name << " and " << second.name << ", seed " << seed << ": "
                                 << base::to_milliseconds(time) << " ms");
      longest = std::max(longest, time);
    }
  }
  BOOST_TEST_MESSAGE("two disturbances: at the most " << base::to_milliseconds(longest) << " ms");
}

BOOST_AUTO_TEST_CASE(every_change_of_a_storm_and_of_many_routes_is_in_force_in_time) {
  fleet_simulation fleet(simulation::one_region_settings(40, 4, true, 1));
  fleet.start_all_nodes();
  BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
  fleet.run_for(seconds(4));
  constexpr std::uint64_t changes = 40;
  constexpr base::duration change_interval = milliseconds(250);
  constexpr std::uint64_t changes_in_time_limit = limit_with_one_disturbance / change_interval;
  const auto names = fleet.node_names();
  for (std::uint64_t version = 2; version < 2 + changes; ++version) {
    fleet.platform().publish(std::string(model::configuration_key),
                             simulation::configuration_of(version, 700));
    fleet.run_for(change_interval);
    for (const auto& name : names) {
      BOOST_TEST((version <= changes_in_time_limit + 1 ||
                  simulation::has_version(fleet, name, version - changes_in_time_limit)),
                 name << " at version " << version);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
