/// Guards against streams that join events of two software versions after the nodes that knew their
/// origins were lost: a node that has just started, or that missed changes of the list of replicas,
/// has seen only one version and takes that for evidence that there was no other.
#include "stream_fleet_check.h"

using namespace spurrack;
using namespace spurrack::streams;

namespace {

const std::vector<replica_group> three_each{{"v1", "a", 3}, {"v1", "b", 3}, {"v1", "c", 3}};
const std::vector<replica_group> two_versions{{"v1", "a", 2}, {"v2", "a", 2}, {"v1", "b", 2},
                                              {"v2", "b", 2}, {"v1", "c", 2}, {"v2", "c", 2}};
/// Time from the drain of a replica to its end (`stream_fleet::drain_replica`).
constexpr base::duration drain_time = seconds(2);
constexpr base::duration downtime = seconds(1);

/// Streams that last for seconds, and clients that return after the nodes did.
stream_fleet_settings returning_clients(std::vector<replica_group> replicas) {
  auto settings = with(std::move(replicas));
  settings.event_interval = milliseconds(250);
  settings.resume_delays = {seconds(2), milliseconds(2500), seconds(4)};
  return settings;
}

/// Replaces all replicas of a version at once.
void replace_version(stream_fleet& fleet, const std::string& from, const std::string& to) {
  for (const auto index : fleet.replicas_of(from)) {
    if (!fleet.replicas[index].is_draining) {
      fleet.replace_replica(index, to);
    }
  }
}

using node_set = std::set<std::size_t>;

node_set no_node(const stream_fleet& /*fleet*/) {
  return {};
}

/// Rolls v1 to v2 at once, and kills nodes some time after the last replica of v1 began to drain.
disturbance roll_and_kill(base::duration after_drain, base::duration spread,
                          const std::function<node_set(const stream_fleet&)>& survivors = no_node) {
  return [after_drain, spread, survivors](stream_fleet& fleet) {
    replace_version(fleet, "v1", "v2");
    fleet.run(after_drain);
    fleet.kill_nodes_except(survivors(fleet), spread, downtime);
    fleet.run(seconds(5));
  };
}

/// Checks that no stream has events of two versions; few resumed streams need go on.
void check_versions(const std::string& name, const stream_fleet_settings& settings,
                    const disturbance& disturb) {
  check_order(name, settings, disturb, 0);
}

node_set nodes_of_zone(const stream_fleet& fleet, const std::string& zone) {
  node_set found;
  for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
    if (fleet.zone_of(index) == zone) {
      found.insert(index);
    }
  }
  return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lost_nodes_test)

BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_it_left_before_all_nodes_were_lost) {
  const auto settings = returning_clients(three_each);
  check_versions("at once", settings,
                 roll_and_kill(drain_time + milliseconds(100), milliseconds(0)));
  check_versions("within two seconds", settings,
                 roll_and_kill(drain_time - seconds(1), seconds(2)));
}

BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_it_leaves_while_all_nodes_are_down) {
  const auto settings = returning_clients(three_each);
  check_versions("leaves", settings, roll_and_kill(drain_time - milliseconds(500), seconds(0)));
  check_versions("begins to leave", settings, roll_and_kill(milliseconds(10), seconds(0)));
}

BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_one_node_or_zone_survives) {
  const auto settings = returning_clients(three_each);
  const auto kill_at = drain_time + milliseconds(100);
  check_versions("one node", settings,
                 roll_and_kill(kill_at, seconds(0), [](const auto&) { return node_set{4}; }));
  check_versions("one zone", settings, roll_and_kill(kill_at, seconds(0), [](const auto& fleet) {
                   return nodes_of_zone(fleet, "b");
                 }));
}

BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_one_of_several_left_before_all_nodes_were_lost) {
  const auto lose_nodes = [](stream_fleet& fleet) {
    for (const auto index : fleet.replicas_of("v1")) {
      fleet.drain_replica(index);
    }
    fleet.run(drain_time + milliseconds(50));
    fleet.kill_nodes_except({}, seconds(0), downtime);
    fleet.run(seconds(5));
  };
  check_versions("two versions", returning_clients(two_versions), lose_nodes);
  auto three = two_versions;
  three.push_back({"v3", "b", 1});
  check_versions("three versions", returning_clients(three), [&](stream_fleet& fleet) {
    for (const auto index : fleet.replicas_of("v3")) {
      fleet.drain_replica(index);
    }
    lose_nodes(fleet);
  });
}

/// A replica of a new version is tried and taken back.
BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_a_new_one_was_rolled_back) {
  check_versions("rolled back", returning_clients(three_each), [](stream_fleet& fleet) {
    std::vector<unsigned> tried;
    for (unsigned number = 0; number < 5; ++number) {
      tried.push_back(fleet.add_replica("v2"));
    }
    fleet.run(seconds(2));
    for (const auto index : tried) {
      fleet.drain_replica(index);
    }
    fleet.run(drain_time + milliseconds(50));
    fleet.kill_nodes_except({}, seconds(0), downtime);
    fleet.run(seconds(5));
  });
}

/// Nodes start while the store does not answer, and learn of the replicas late.
BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_the_store_is_down_when_the_nodes_start) {
  check_versions("store down", returning_clients(three_each), [](stream_fleet& fleet) {
    replace_version(fleet, "v1", "v2");
    fleet.run(drain_time + milliseconds(50));
    fleet.kill_nodes_except({}, seconds(0), downtime);
    for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
      fleet.without_store.insert(index);
    }
    fleet.run(milliseconds(1800));
    fleet.without_store.clear();
    fleet.publish();
    fleet.run(seconds(4));
  });
}

/// No node of a zone learns of a version that comes and goes, because the store does not answer
/// these nodes for a while and then lists the replicas anew. The other nodes are lost.
BOOST_AUTO_TEST_CASE(streams_keep_their_version_at_nodes_that_missed_a_version) {
  check_versions("missed version", returning_clients(three_each), [](stream_fleet& fleet) {
    const auto gapped = nodes_of_zone(fleet, "a");
    fleet.without_store = gapped;
    std::vector<unsigned> tried;
    for (unsigned number = 0; number < 6; ++number) {
      tried.push_back(fleet.add_replica("v2"));
    }
    fleet.cut_zones = {"a"};
    fleet.run(seconds(2));
    for (const auto index : tried) {
      fleet.drain_replica(index);
    }
    fleet.run(drain_time + milliseconds(50));
    fleet.cut_zones.clear();
    fleet.without_store.clear();
    fleet.publish();
    fleet.kill_nodes_except(gapped, seconds(0), seconds(6));
    fleet.run(seconds(5));
  });
}

/// Some nodes cannot reach the replicas and pass requests on to others.
BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_partitioned_nodes_pass_them_on) {
  check_versions("passed on", returning_clients(three_each), [](stream_fleet& fleet) {
    replace_version(fleet, "v1", "v2");
    fleet.run(drain_time + milliseconds(50));
    fleet.kill_nodes_except({}, seconds(0), downtime);
    fleet.run(downtime + milliseconds(50));
    for (const std::size_t node : {0U, 4U}) {
      fleet.set_cut_from_replicas(node, true);
    }
    fleet.run(seconds(4));
    for (const std::size_t node : {0U, 4U}) {
      fleet.set_cut_from_replicas(node, false);
    }
  });
}

/// The nodes that survive know that there was one version alone, so that streams go on.
BOOST_AUTO_TEST_CASE(streams_of_a_single_version_go_on_if_one_zone_survives) {
  check_order("one zone survives", returning_clients(three_each), [](stream_fleet& fleet) {
    fleet.run(seconds(2));
    fleet.kill_nodes_except(nodes_of_zone(fleet, "b"), seconds(0), downtime);
    fleet.run(seconds(5));
  });
}

BOOST_AUTO_TEST_SUITE_END()
