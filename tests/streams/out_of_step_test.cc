/// Guards against a stream that goes on at another software version than the one that began it, at
/// a node which was out of step while replicas of that version joined: its list of replicas is too
/// old to show them, the nodes that know of them are not heard, and what it does not hear counts
/// for nothing.
#include "stream_fleet_check.h"

using namespace spurrack;
using namespace spurrack::streams;

namespace {

const std::vector<replica_group> one_version{{"v1", "a", 3}, {"v1", "b", 3}, {"v1", "c", 3}};

/// Time for which one version alone serves before the nodes fall out of step.
constexpr base::duration time_of_one_version = seconds(12);
/// Nodes that are out of step, and what they are cut off from.
struct out_of_step {
  std::set<std::size_t> nodes;
  bool is_cut_from_store = true;
  /// Whether the nodes exchange no messages with any node, or only none with other zones.
  bool is_cut_from_peers = false;
  std::set<std::string> cut_zones;
};

std::set<std::size_t> nodes_of_zone(const stream_fleet& fleet, const std::string& zone) {
  std::set<std::size_t> found;
  for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
    if (fleet.zone_of(index) == zone) {
      found.insert(index);
    }
  }
  return found;
}

void begin_cut(stream_fleet& fleet, const out_of_step& cut) {
  fleet.without_store = cut.is_cut_from_store ? cut.nodes : std::set<std::size_t>{};
  fleet.isolated = cut.is_cut_from_peers ? cut.nodes : std::set<std::size_t>{};
  fleet.cut_zones = cut.cut_zones;
}

void add_new_version(stream_fleet& fleet) {
  for (unsigned round = 0; round < 9; ++round) {
    fleet.add_replica("v2");
  }
}

/// Adds replicas of the new version while those of the old one leave.
void replace_old_version(stream_fleet& fleet) {
  for (const auto index : fleet.replicas_of("v1")) {
    fleet.replace_replica(index, "v2");
  }
}

using release = std::function<void(stream_fleet&)>;

/// A cut of some nodes, and a release beside it.
struct cut_beside_release {
  std::function<out_of_step(const stream_fleet&)> cut_of;
  base::duration span{};
  /// Time from the begin of the cut to the release; negative if the release comes first.
  base::duration release_delay = milliseconds(100);
  release begin_release = add_new_version;
};

/// Cuts nodes off beside a release, and breaks connections of clients meanwhile.
disturbance run_cut(const cut_beside_release& plan) {
  return [plan](stream_fleet& fleet) {
    fleet.run(time_of_one_version);
    const auto begin = fleet.now + std::max<base::duration>(-plan.release_delay, seconds(0));
    fleet.schedule(begin - fleet.now, [&fleet, plan] { begin_cut(fleet, plan.cut_of(fleet)); });
    fleet.schedule(begin + plan.release_delay - fleet.now,
                   [&fleet, plan] { plan.begin_release(fleet); });
    fleet.schedule(begin + plan.span - fleet.now, [&fleet] {
      begin_cut(fleet, {});
      fleet.publish();
    });
    const auto end = begin + std::max(plan.span, plan.release_delay) + seconds(2);
    while (fleet.now < end) {
      fleet.break_random_connection();
      fleet.run(milliseconds(30));
    }
  };
}

/// @param min_ratio least share of the resumed streams that must go on, compared with the share of
///        new streams that begin.
void check(const std::string& name, const cut_beside_release& plan, double min_ratio = 0) {
  auto settings = with(one_version);
  settings.resume_delays = {milliseconds(0), milliseconds(50), milliseconds(500)};
  settings.event_interval = milliseconds(150);
  check_order(name + ", " + std::to_string(base::to_milliseconds(plan.span)) +
                  " ms, released after " +
                  std::to_string(base::to_milliseconds(plan.release_delay)) + " ms",
              settings, run_cut(plan), min_ratio);
}

/// Checks that no stream has events of two versions for each time out of step.
void check_spans(const std::string& name,
                 const std::function<out_of_step(const stream_fleet&)>& cut_of) {
  for (const auto span : {100, 500, 1500, 2900, 5000}) {
    check(name, {.cut_of = cut_of, .span = milliseconds(span)});
  }
}

out_of_step one_node(const stream_fleet& /*fleet*/) {
  return {{4}, true, true, {}};
}

out_of_step one_zone(const stream_fleet& fleet) {
  return {nodes_of_zone(fleet, "a"), true, false, {"a"}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(out_of_step_test)

BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_a_cut_off_node_misses_a_new_one) {
  check_spans("one node, from peers and store", one_node);
}

BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_a_cut_off_zone_misses_a_new_one) {
  check_spans("one zone, from other zones and store", one_zone);
}

BOOST_AUTO_TEST_CASE(streams_keep_their_version_at_nodes_that_miss_either_peers_or_the_store) {
  check_spans("one node, from peers only", [](const auto&) {
    return out_of_step{{4}, false, true, {}};
  });
  check_spans("one node, from the store only", [](const auto&) {
    return out_of_step{{4}, true, false, {}};
  });
  check_spans("all nodes but one, from the store", [](const auto&) {
    return out_of_step{{0, 1, 2, 3, 5, 6, 7, 8}, true, false, {}};
  });
}

BOOST_AUTO_TEST_CASE(streams_keep_their_version_whenever_the_new_one_joins) {
  for (const auto delay : {-2000, -300, 1000, 2000}) {
    check("one node",
          {.cut_of = one_node, .span = seconds(3), .release_delay = milliseconds(delay)});
    check("one zone",
          {.cut_of = one_zone, .span = seconds(3), .release_delay = milliseconds(delay)});
  }
}

BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_the_old_one_leaves_meanwhile) {
  for (const auto span : {1500, 2900, 5000}) {
    check("one node",
          {.cut_of = one_node, .span = milliseconds(span), .begin_release = replace_old_version});
    check("one zone",
          {.cut_of = one_zone, .span = milliseconds(span), .begin_release = replace_old_version});
  }
}

/// The nodes hear each other, and some of them read the store for all.
BOOST_AUTO_TEST_CASE(streams_of_a_single_version_go_on_while_most_nodes_miss_the_store) {
  check("no release",
        {.cut_of =
             [](const auto&) {
               return out_of_step{{0, 1, 2, 3, 5, 6, 7, 8}, true, false, {}};
             },
         .span = seconds(5),
         .begin_release = [](auto&) {}},
        min_resumed_ratio);
}

BOOST_AUTO_TEST_SUITE_END()
