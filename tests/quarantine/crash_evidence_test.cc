/// Guards against a crashing request that crashes more replicas because nodes misread how their
/// calls end: nodes that are partitioned from all replicas, replicas that crash because they are
/// overrun, replicas that fall silent, and replicas that crash twice before a restart is published.
#include "crash_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::quarantine;

namespace {

constexpr std::uint64_t seed_count = 20;
/// Maximum number of replicas that one request may crash.
constexpr std::size_t max_exits = 5;
/// Time after the fourth exit under a request from which the request crashes no further replica.
constexpr base::duration known_after = seconds(1);
constexpr std::size_t known_exits = 4;
constexpr base::duration observed_time = seconds(20);

const std::vector<path_fault> all_path_faults{path_fault::hangs, path_fault::is_reset,
                                              path_fault::refuses_new};

/// Records of one fleet in which faults begin and end while requests are sent.
void send_beside_faults(crash_fleet& fleet, const std::vector<std::string>& bodies) {
  const auto end = fleet.now + observed_time;
  while (fleet.now < end) {
    for (const auto& body : bodies) {
      fleet.send_request(fleet.random.below(fleet.nodes.size()), "/stream/", body);
    }
    fleet.run(milliseconds(100 + fleet.random.below(400)));
  }
}

/// Checks the number and the times of the exits under each crashing request, and that no other
/// request is quarantined.
void check_limits(const crash_fleet& fleet) {
  for (const auto& body : fleet.crashing_bodies) {
    const auto found = fleet.exits_under.find(body);
    if (found == fleet.exits_under.end()) {
      continue;
    }
    const auto& exits = found->second;
    BOOST_TEST(exits.size() <= max_exits);
    if (exits.size() > known_exits) {
      BOOST_TEST(base::to_milliseconds(exits.back() - exits[known_exits - 1]) <=
                 base::to_milliseconds(known_after));
    }
  }
  for (const auto& body : fleet.quarantined_bodies()) {
    BOOST_TEST(fleet.crashing_bodies.contains(body), body + " was quarantined");
  }
}

crash_fleet_settings settings_of(std::uint64_t seed) {
  return {.seed = seed, .keeps_ids_on_restart = seed % 2 == 0};
}

/// Partitions nodes from all replicas for 8 s, from a random time within the first 3 s.
void schedule_partition(crash_fleet& fleet, std::size_t partitioned_nodes, path_fault fault) {
  const base::duration begins_after = milliseconds(fleet.random.below(3'000));
  for (std::size_t node = 0; node < partitioned_nodes; ++node) {
    fleet.schedule(begins_after, [&fleet, node, fault] { fleet.set_path_fault(node, fault); });
    fleet.schedule(begins_after + seconds(8),
                   [&fleet, node] { fleet.set_path_fault(node, path_fault::none); });
  }
}

/// Makes replicas brittle from a random time within the first 2 s, for 10 s.
void schedule_brittleness(crash_fleet& fleet, unsigned brittle_replicas) {
  constexpr unsigned max_rejections = 6;
  constexpr std::size_t room = 3;
  const base::duration begins_after = milliseconds(fleet.random.below(2'000));
  fleet.schedule(begins_after, [&fleet, brittle_replicas] {
    for (unsigned index = 0; index < brittle_replicas; ++index) {
      fleet.make_brittle(index, max_rejections, room);
    }
  });
  fleet.schedule(begins_after + seconds(10), [&fleet] { fleet.end_brittleness(); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_evidence_test)

BOOST_AUTO_TEST_CASE(few_replicas_crash_beside_nodes_partitioned_from_all_replicas) {
  for (const auto fault : all_path_faults) {
    for (std::size_t partitioned_nodes = 1; partitioned_nodes <= 5; ++partitioned_nodes) {
      for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        crash_fleet fleet(settings_of(seed));
        fleet.crashing_bodies = {"guilty"};
        fleet.harmless_per_second = 20;
        fleet.clients_retry = true;
        fleet.run(seconds(1));
        schedule_partition(fleet, partitioned_nodes, fault);
        send_beside_faults(fleet, {"guilty"});
        BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault) << ", " << partitioned_nodes
                                    << " nodes, seed " << seed) {
          check_limits(fleet);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(no_request_is_quarantined_beside_partitioned_nodes_without_a_crashing_one) {
  for (const auto fault : all_path_faults) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      crash_fleet fleet(settings_of(seed));
      fleet.harmless_per_second = 60;
      fleet.clients_retry = true;
      fleet.run(seconds(1));
      schedule_partition(fleet, 1 + seed % 5, fault);
      send_beside_faults(fleet, {"common"});
      BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault) << ", seed " << seed) {
        check_limits(fleet);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(few_replicas_crash_beside_brittle_replicas) {
  for (const unsigned brittle_replicas : {1U, 4U, 12U}) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      crash_fleet fleet(settings_of(seed));
      fleet.crashing_bodies = {"guilty"};
      fleet.harmless_per_second = 60;
      fleet.clients_retry = true;
      fleet.run(seconds(1));
      schedule_brittleness(fleet, brittle_replicas);
      send_beside_faults(fleet, {"guilty"});
      BOOST_TEST_CONTEXT(brittle_replicas << " replicas, seed " << seed) {
        check_limits(fleet);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(no_request_is_quarantined_because_replicas_are_overrun) {
  std::size_t falls = 0;
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    crash_fleet fleet(settings_of(seed));
    fleet.harmless_per_second = 80;
    fleet.clients_retry = true;
    fleet.run(seconds(1));
    schedule_brittleness(fleet, 12);
    send_beside_faults(fleet, {"common"});
    falls += fleet.falls;
    BOOST_TEST_CONTEXT("seed " << seed) {
      check_limits(fleet);
    }
  }
  BOOST_TEST_MESSAGE(falls << " falls of overrun replicas");
}

BOOST_AUTO_TEST_CASE(few_replicas_crash_beside_replicas_that_fall_silent) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    crash_fleet fleet(settings_of(seed));
    fleet.crashing_bodies = {"guilty"};
    fleet.harmless_per_second = 20;
    fleet.clients_retry = true;
    fleet.run(seconds(1));
    for (unsigned round = 0; round < 40; ++round) {
      fleet.schedule(milliseconds(500 * round), [&fleet] {
        fleet.silence(fleet.random_replica(), milliseconds(800 + fleet.random.below(700)));
      });
    }
    send_beside_faults(fleet, {"guilty"});
    BOOST_TEST_CONTEXT("seed " << seed) {
      check_limits(fleet);
    }
  }
}

BOOST_AUTO_TEST_CASE(few_replicas_crash_beside_partitioned_nodes_and_brittle_replicas) {
  for (const auto fault : all_path_faults) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      crash_fleet fleet(settings_of(seed));
      fleet.crashing_bodies = {"guilty", "guilty-too"};
      fleet.harmless_per_second = 40;
      fleet.clients_retry = true;
      fleet.run(seconds(1));
      schedule_partition(fleet, 1 + seed % 5, fault);
      schedule_brittleness(fleet, 6);
      send_beside_faults(fleet, {"guilty", "guilty-too"});
      BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault) << ", seed " << seed) {
        check_limits(fleet);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(few_replicas_crash_if_their_restarts_are_published_late) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    auto settings = settings_of(seed);
    settings.keeps_ids_on_restart = true;
    settings.replicas = 4;
    settings.stage_replicas = 4;
    settings.min_downtime = milliseconds(400);
    settings.publication_delay = milliseconds(500 + 500 * (seed % 10));
    crash_fleet fleet(settings);
    fleet.crashing_bodies = {"guilty"};
    fleet.harmless_per_second = 20;
    fleet.run(seconds(1));
    send_beside_faults(fleet, {"guilty"});
    BOOST_TEST_CONTEXT("seed " << seed) {
      check_limits(fleet);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
