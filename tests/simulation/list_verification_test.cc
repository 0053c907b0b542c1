/// Verification of the list of replicas in fleets in virtual time. Guards against lists that count
/// as verified although they lack an entry, against nodes that find no reader, and against calls to
/// the store that grow with the number of nodes.
#include "one_region_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace {

using namespace spurrack;
using node::source_kind;
using simulation::fleet_simulation;
using simulation::store_access;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int zones = 4;

void start(fleet_simulation& fleet) {
  fleet.start_all_nodes();
  BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
  fleet.run_for(seconds(10));
}

bool is_verified(const fleet_simulation& fleet, const std::string& name, base::time_point since) {
  const auto at = fleet.node(name).knowledge(source_kind::machine_list).verified_at();
  return at && *at >= since;
}

/// @return the readers of the list of replicas.
std::vector<std::string> readers_of(fleet_simulation& fleet) {
  std::vector<std::string> readers;
  for (const auto& name : fleet.node_names()) {
    if (fleet.node(name).should_read_service(source_kind::machine_list, fleet.now())) {
      readers.push_back(name);
    }
  }
  return readers;
}

/// Lets all nodes require a verified list. @return time until the last of `names` has it.
base::duration time_to_verify(fleet_simulation& fleet, const std::vector<std::string>& names,
                              base::duration timeout) {
  const auto since = fleet.now();
  for (const auto& name : names) {
    fleet.require_verified_list(name);
  }
  const bool are_verified = fleet.run_until(
      [&] {
        return std::all_of(names.begin(), names.end(),
                           [&](const auto& name) { return is_verified(fleet, name, since); });
      },
      timeout);
  BOOST_TEST(are_verified);
  return fleet.now() - since;
}

/// Lets nodes require a verified list every 20 ms. @return number of calls to the store meanwhile.
std::uint64_t calls_while_all_ask(fleet_simulation& fleet, const std::vector<std::string>& names,
                                  base::duration span) {
  const auto calls_before = fleet.platform().calls();
  for (const auto end = fleet.now() + span; fleet.now() < end;) {
    for (const auto& name : names) {
      if (fleet.is_alive(name)) {
        fleet.require_verified_list(name);
      }
    }
    fleet.run_for(milliseconds(20));
  }
  return fleet.platform().calls() - calls_before;
}

/// Maximum number of calls per second of one reader that verifies as often as it may: each
/// verifying read is followed by a watch.
constexpr std::uint64_t max_reader_calls_per_second = 40;
/// Calls per second of the usual watches of a region, generously.
constexpr std::uint64_t usual_calls_per_second = 20;

} // namespace

BOOST_AUTO_TEST_SUITE(list_verification)

BOOST_AUTO_TEST_CASE(all_nodes_verify_their_lists_with_a_read_of_the_first_reader) {
  fleet_simulation fleet(simulation::one_region_settings(24, zones, true, 1));
  start(fleet);
  const auto calls_before = fleet.platform().calls();
  const auto span = time_to_verify(fleet, fleet.node_names(), seconds(2));
  BOOST_TEST_MESSAGE(base::to_milliseconds(span)
                     << " ms, " << fleet.platform().calls() - calls_before << " calls");
  BOOST_TEST((span <= milliseconds(200)));
}

// Guards against readers of an older build, which ignore position queries.
BOOST_AUTO_TEST_CASE(lists_are_verified_although_readers_ignore_queries) {
  for (std::size_t silent = 1; silent <= 4; ++silent) {
    fleet_simulation fleet(simulation::one_region_settings(24, zones, true, silent));
    start(fleet);
    const auto readers = readers_of(fleet);
    BOOST_REQUIRE(readers.size() == 4U);
    for (std::size_t index = 0; index < silent; ++index) {
      fleet.ignore_messages(readers[index], wire::envelope::kPositionQuery);
    }
    const auto span = time_to_verify(fleet, fleet.node_names(), seconds(3));
    BOOST_TEST_MESSAGE(silent << " silent: " << base::to_milliseconds(span) << " ms");
    BOOST_TEST((span <= milliseconds(1'200)));
  }
}

BOOST_AUTO_TEST_CASE(lists_are_verified_although_a_reader_has_no_store_access) {
  for (const auto access : {store_access::refused, store_access::silent}) {
    for (std::size_t index = 0; index < 4; ++index) {
      fleet_simulation fleet(simulation::one_region_settings(24, zones, true, index + 1));
      start(fleet);
      const auto readers = readers_of(fleet);
      BOOST_REQUIRE(readers.size() == 4U);
      fleet.set_store_access(readers[index], access);
      const auto span = time_to_verify(fleet, fleet.node_names(), seconds(3));
      BOOST_TEST((span <= milliseconds(700)), base::to_milliseconds(span) << " ms");
    }
  }
}

BOOST_AUTO_TEST_CASE(calls_to_the_store_do_not_grow_with_the_nodes_that_ask) {
  constexpr std::uint64_t span_seconds = 5;
  for (const int nodes : {24, 96}) {
    fleet_simulation fleet(simulation::one_region_settings(nodes, zones, true, 1));
    start(fleet);
    const auto calls = calls_while_all_ask(fleet, fleet.node_names(), seconds(span_seconds));
    BOOST_TEST_MESSAGE(nodes << " nodes: " << calls << " calls in " << span_seconds << " s");
    // The readers verify by reads of their own.
    BOOST_TEST(calls <= span_seconds * (4 * max_reader_calls_per_second + usual_calls_per_second));
  }
}

// A zone that is lost breaks the streams of all nodes at once.
BOOST_AUTO_TEST_CASE(calls_to_the_store_are_bounded_if_a_zone_is_lost_and_all_others_ask) {
  constexpr std::uint64_t span_seconds = 3;
  for (int lost = 0; lost < zones; ++lost) {
    fleet_simulation fleet(simulation::one_region_settings(64, zones, true, 1));
    start(fleet);
    const auto lost_zone = "z" + std::to_string(lost);
    std::vector<std::string> others;
    for (const auto& name : fleet.node_names()) {
      if (fleet.node(name).settings().self.zone.text() != lost_zone) {
        others.push_back(name);
      }
    }
    fleet.partition_zone(lost_zone, true);
    const auto lost_at = fleet.now();
    const auto calls = calls_while_all_ask(fleet, others, seconds(span_seconds));
    BOOST_TEST_MESSAGE(lost_zone << ": " << calls << " calls in " << span_seconds << " s");
    // Beside the readers, nodes may read themselves while the readers are in the lost zone.
    const auto own_reads =
        2 * static_cast<std::uint64_t>(node::position_queries::own_reads_per_second);
    BOOST_TEST(calls <= span_seconds *
                            (4 * max_reader_calls_per_second + usual_calls_per_second + own_reads));
    time_to_verify(fleet, others, seconds(1));
    for (const auto& name : fleet.node_names()) {
      const bool is_lost = std::find(others.begin(), others.end(), name) == others.end();
      BOOST_TEST((!is_lost || !is_verified(fleet, name, lost_at + milliseconds(1))));
    }
  }
}

// Guards against a verified list that lacks an entry which was published before, while messages are
// lost, nodes stand, and nodes lose their peers or the store.
BOOST_AUTO_TEST_CASE(a_verified_list_has_all_entries_that_were_published_before) {
  struct published_entry {
    std::string key;
    base::revision revision = 0;
    base::time_point at;
  };
  std::size_t verified = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    fleet_simulation fleet(simulation::one_region_settings(16, zones, true, seed));
    start(fleet);
    fleet.set_loss_probability(0.1);
    const auto names = fleet.node_names();
    std::vector<published_entry> published;
    for (int step = 0; step < 600; ++step) {
      const auto& name = names[fleet.random().below(names.size())];
      if (fleet.random().below(10) == 0) {
        const std::string key = std::string(model::replica_prefix) + "i-" + std::to_string(step);
        wire::published_replica record;
        record.set_id("i-" + std::to_string(step));
        record.set_service("s");
        record.set_address("10.0.0.1:80");
        record.set_zone("z0");
        record.set_version("v1");
        published.push_back(
            {key, fleet.platform().publish(key, record.SerializeAsString()), fleet.now()});
      }
      switch (fleet.random().below(25)) {
      case 0:
        fleet.freeze_node(name, milliseconds(100 + fleet.random().below(2'000)));
        break;
      case 1:
        fleet.set_store_access(name, store_access::silent);
        break;
      case 2:
        fleet.set_peer_access(name, simulation::peer_access::none);
        break;
      case 3:
        fleet.set_peer_access(name, simulation::peer_access::receives_only);
        break;
      default:
        fleet.set_store_access(name, store_access::reachable);
        fleet.set_peer_access(name, simulation::peer_access::both_ways);
      }
      fleet.require_verified_list(names[fleet.random().below(names.size())]);
      fleet.run_for(milliseconds(20));
      for (const auto& other : names) {
        const auto at = fleet.node(other).knowledge(source_kind::machine_list).verified_at();
        for (const auto& entry : published) {
          if (at && entry.at < *at) {
            ++verified;
            BOOST_REQUIRE_MESSAGE(fleet.node(other).published_catalog().revision_of(entry.key) >=
                                      entry.revision,
                                  other << " lacks " << entry.key << ", seed " << seed);
          }
        }
      }
    }
  }
  BOOST_TEST_MESSAGE(verified << " entries checked");
  BOOST_TEST(verified > 10'000U);
}

BOOST_AUTO_TEST_SUITE_END()
