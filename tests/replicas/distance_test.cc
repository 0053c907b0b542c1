/// Locality of zones, and choices between replicas in this node's zone, region and other regions.
#include "replicas/distance.h"

#include "base/hashing.h"
#include "base/random.h"
#include "engines/engine_chooser.h"
#include "replicas/least_loaded_chooser.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace spurrack;
using namespace spurrack::serving;
using model::locality;

namespace {

const std::string service_name = "llm";
const base::time_point now{std::chrono::hours(1)};

/// Zones `a` and `b` are north, `c` and `d` south; `e` has no region.
model::zone_regions two_regions() {
  return model::zone_regions({{base::zone_id("a"), base::region_id("north")},
                              {base::zone_id("b"), base::region_id("north")},
                              {base::zone_id("c"), base::region_id("south")},
                              {base::zone_id("d"), base::region_id("south")}});
}

model::zone_regions one_region_of_four() {
  std::map<base::zone_id, base::region_id> regions;
  for (const char* zone : {"a", "b", "c", "d"}) {
    regions[base::zone_id(zone)] = base::region_id("all");
  }
  return model::zone_regions(std::move(regions));
}

/// Replica table of a node in zone `a`, with replicas in the four zones `a` to `d`, and the two
/// policies under test: `plain` (least_loaded_chooser) and `engines` (engine_chooser).
struct chooser_fixture {
  explicit chooser_fixture(const model::zone_regions& regions, std::size_t per_zone = 3)
      : random(1), replicas(base::node_id("n"), base::zone_id("a"), settings_of(regions), random),
        plain(replicas, distance(base::zone_id("a"), regions), random),
        directory({base::node_id("self"), base::zone_id("a"), base::network_address("self")},
                  regions, replicas),
        engines(replicas, directory, distance(base::zone_id("a"), regions), plain) {
    std::map<base::replica_id, std::shared_ptr<const model::replica>> published;
    for (const std::string zone : {"a", "b", "c", "d"}) {
      for (std::size_t index = 0; index < per_zone; ++index) {
        auto made = std::make_shared<model::replica>();
        made->id = base::replica_id(zone + std::to_string(index));
        made->service = service_name;
        made->address = base::network_address(made->id.text() + ":1");
        made->zone = base::zone_id(zone);
        made->slots = 4;
        published[made->id] = made;
      }
    }
    replicas.update(published, now);
  }

  static serving_settings settings_of(const model::zone_regions& regions) {
    serving_settings settings;
    settings.regions = regions;
    return settings;
  }

  void report_load(const std::string& zone, std::uint32_t calls) {
    for (const auto& [id, state] : replicas.all()) {
      if (state.record->zone.text() == zone) {
        replicas.note_load(id, {calls, 0, 4}, now);
      }
    }
  }

  [[nodiscard]] const replica_state* choose(replica_chooser& policy, const std::string& prefix,
                                            const model::residency& allowed = {},
                                            std::uint32_t prefix_tokens = 100) {
    request_content content;
    content.model = "m";
    content.prompt_parts = {{prefix, prefix_tokens}, {"own", 10}};
    content.prompt_tokens = prefix_tokens + 10;
    const replica_requirements demand{service_name, content, allowed, excluded};
    return policy.choose(demand, now);
  }

  /// @return the zones of the preferred engines of many shared prefixes.
  std::set<std::string> preferred_zones(std::uint32_t prefix_tokens = 100) {
    std::set<std::string> zones;
    for (int prefix = 0; prefix < 50; ++prefix) {
      zones.insert(
          choose(engines, "part" + std::to_string(prefix), {}, prefix_tokens)->record->zone.text());
    }
    return zones;
  }

  base::seeded_random random;
  replica_table replicas;
  least_loaded_chooser plain;
  engine_directory directory;
  engine_chooser engines;
  std::set<base::replica_id> excluded;
};

using text_set = std::set<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(distance_test)

BOOST_AUTO_TEST_CASE(locality_is_same_zone_same_region_or_elsewhere) {
  const distance from_a(base::zone_id("a"), two_regions());
  BOOST_TEST((from_a.locality_of(base::zone_id("a")) == locality::zone));
  BOOST_TEST((from_a.locality_of(base::zone_id("b")) == locality::region));
  BOOST_TEST((from_a.locality_of(base::zone_id("c")) == locality::elsewhere));
  BOOST_TEST(
      (two_regions().locality_between(base::zone_id("c"), base::zone_id("d")) == locality::region));
}

BOOST_AUTO_TEST_CASE(all_other_zones_are_elsewhere_for_a_zone_without_region) {
  const distance from_e(base::zone_id("e"), two_regions());
  BOOST_TEST((from_e.locality_of(base::zone_id("e")) == locality::zone));
  BOOST_TEST((from_e.locality_of(base::zone_id("a")) == locality::elsewhere));
  BOOST_TEST((from_e.locality_of(base::zone_id("f")) == locality::elsewhere));
}

BOOST_AUTO_TEST_CASE(farther_localities_cost_more) {
  constexpr double megabyte = 1e6;
  BOOST_TEST(distance::load_cost(locality::zone) < distance::load_cost(locality::region));
  BOOST_TEST(distance::load_cost(locality::region) < distance::load_cost(locality::elsewhere));
  BOOST_TEST(distance::cost_seconds(locality::zone, megabyte) <
             distance::cost_seconds(locality::region, megabyte));
  BOOST_TEST(distance::cost_seconds(locality::region, megabyte) <
             distance::cost_seconds(locality::elsewhere, megabyte));
}

BOOST_AUTO_TEST_CASE(a_shared_prefix_prefers_engines_of_the_same_region) {
  chooser_fixture fixture(two_regions());
  BOOST_TEST(fixture.preferred_zones() == (text_set{"a", "b"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_long_shared_prefix_prefers_engines_of_all_permitted_regions) {
  constexpr std::uint32_t long_prefix = 13'000;
  chooser_fixture fixture(two_regions());
  BOOST_TEST(fixture.preferred_zones(long_prefix) == (text_set{"a", "b", "c", "d"}),
             boost::test_tools::per_element());
  const auto allowed = model::residency::within({base::region_id("south")});
  for (int prefix = 0; prefix < 50; ++prefix) {
    const auto name = "part" + std::to_string(prefix);
    const auto* preferred = fixture.choose(fixture.engines, name, allowed, long_prefix);
    BOOST_TEST(two_regions().region_of(preferred->record->zone)->text() == "south");
  }
}

BOOST_AUTO_TEST_CASE(prompts_leave_a_busy_region_when_the_wait_costs_more_than_the_distance) {
  chooser_fixture fixture(two_regions());
  for (const std::string zone : {"a", "b"}) {
    fixture.report_load(zone, 5);
  }
  BOOST_TEST(fixture.preferred_zones() == (text_set{"a"}), boost::test_tools::per_element());
  for (const std::string zone : {"a", "b"}) {
    fixture.report_load(zone, 10);
  }
  for (const std::string zone : {"c", "d"}) {
    fixture.report_load(zone, 0);
  }
  BOOST_TEST(fixture.preferred_zones() == (text_set{"c", "d"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(requests_with_one_prefix_spill_over_to_one_engine) {
  chooser_fixture fixture(two_regions());
  for (const std::string zone : {"a", "b"}) {
    fixture.report_load(zone, 10);
  }
  for (const std::string zone : {"c", "d"}) {
    fixture.report_load(zone, 0);
  }
  const auto* preferred = fixture.choose(fixture.engines, "part");
  for (int again = 0; again < 20; ++again) {
    BOOST_TEST(fixture.choose(fixture.engines, "part") == preferred);
  }
}

BOOST_AUTO_TEST_CASE(requests_go_elsewhere_if_no_replica_of_the_region_accepts_work) {
  chooser_fixture fixture(two_regions());
  fixture.replicas.set_evacuated({base::zone_id("a"), base::zone_id("b")}, now);
  BOOST_TEST(fixture.preferred_zones() == (text_set{"c", "d"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(requests_go_elsewhere_if_all_replicas_of_the_region_fail) {
  chooser_fixture fixture(two_regions());
  constexpr int failures = 30;
  for (const auto& [id, state] : fixture.replicas.all()) {
    for (int failure = 0; failure < failures && state.record->zone < base::zone_id("c");
         ++failure) {
      fixture.replicas.note_failure(id, now);
    }
  }
  for (const std::string zone : {"c", "d"}) {
    fixture.report_load(zone, 0);
  }
  BOOST_TEST(fixture.choose(fixture.plain, "part")->record->zone >= base::zone_id("c"));
}

BOOST_AUTO_TEST_CASE(a_request_confined_to_another_region_gets_an_engine_there) {
  chooser_fixture fixture(two_regions());
  const auto allowed = model::residency::within({base::region_id("south")});
  const auto* preferred = fixture.choose(fixture.engines, "part", allowed);
  BOOST_REQUIRE(preferred != nullptr);
  BOOST_TEST(two_regions().region_of(preferred->record->zone)->text() == "south");
}

/// Expected choices in a fleet of one region: all zones except this node's have the same cost.
struct single_region_rule {
  static double cost_of(const replica_state& state) {
    constexpr double other_zone = 0.5;
    constexpr double failing = 3.0;
    return replica_table::load_of(state, now) +
           (state.record->zone.text() == "a" ? 0 : other_zone) + failing * state.failure_share;
  }

  /// @return the lowest cost of all replicas.
  static double least_cost(const chooser_fixture& fixture) {
    double least = 1e9;
    for (const auto& [id, state] : fixture.replicas.all()) {
      least = std::min(least, cost_of(state));
    }
    return least;
  }

  /// @return the preferred engine of a shared prefix; null if the load of all engines is at or
  ///         above `load_bound`.
  static const replica_state* preferred_engine_of(const chooser_fixture& fixture,
                                                  const std::string& prefix) {
    constexpr double load_bound = 0.6;
    const auto affinity = base::stable_hash(prefix, base::stable_hash("m")) | 1U;
    const replica_state* best = nullptr;
    std::uint64_t best_rank = 0;
    for (const auto& [id, state] : fixture.replicas.all()) {
      const auto rank = base::stable_hash(id.text(), affinity);
      if (replica_table::load_of(state, now) < load_bound &&
          (best == nullptr || rank >= best_rank)) {
        best = &state;
        best_rank = rank;
      }
    }
    return best;
  }
};

BOOST_AUTO_TEST_CASE(a_fleet_of_one_region_decides_as_without_regions) {
  base::seeded_random drawn(7);
  constexpr double tolerance = 0.02 * 3;
  for (int fixture_number = 0; fixture_number < 200; ++fixture_number) {
    chooser_fixture fixture(one_region_of_four());
    const auto load_limit = 1 + drawn.below(12);
    for (const auto& [id, state] : fixture.replicas.all()) {
      fixture.replicas.note_load(id, {static_cast<std::uint32_t>(drawn.below(load_limit)), 0, 4},
                                 now);
      if (drawn.below(4) == 0) {
        fixture.replicas.note_failure(id, now);
      }
    }
    const auto prefix = "part" + std::to_string(fixture_number);
    const auto* preferred = single_region_rule::preferred_engine_of(fixture, prefix);
    const auto* engine = fixture.choose(fixture.engines, prefix);
    const auto* plain = fixture.choose(fixture.plain, prefix);
    const auto least = single_region_rule::least_cost(fixture);
    BOOST_TEST(single_region_rule::cost_of(*plain) <= least + tolerance);
    if (preferred != nullptr) {
      BOOST_TEST(engine == preferred);
    } else {
      BOOST_TEST(single_region_rule::cost_of(*engine) <= least + tolerance);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
