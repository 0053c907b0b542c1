/// How far pieces go for a replica, in a fleet of several regions.
#include "exchange_fleet.h"
#include "residency_fixture.h"

#include <map>
#include <string>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int node_count = 12;
constexpr int zone_count = 6;

/// Two nodes and three replicas of service `pool` in each of six zones.
struct regional_fleet : exchange_fleet {
  regional_fleet() : exchange_fleet(node_count, zone_count, residency_settings()) {
    for (const auto& zone : residency_zones) {
      for (const char* number : {"-0", "-1", "-2"}) {
        auto name = "pool-" + zone;
        world.add_replica(name.append(number), "pool", zone);
      }
    }
    for (auto& node : nodes) {
      node->replicas.update(world.content.replicas(), now);
      node->subject.set_configuration(world.content.serving());
    }
    run(seconds(3));
  }

  /// Every node of the north submits pieces that are best made there.
  void submit_in_north(int pieces) {
    for (auto& node : nodes) {
      const auto& zone = node->identity.zone;
      if (residency_regions().region_of(zone) == base::region_id("north")) {
        for (int piece = 0; piece < pieces; ++piece) {
          submit(*node, zone);
        }
      }
    }
  }

  /// @return pieces made in each region; the zone without region is "".
  std::map<std::string, std::size_t> made_in(base::duration span) {
    std::map<std::string, std::size_t> made;
    run_answering(span, [&](const exchange_node&, const start_stage_call& call) {
      const auto zone = call.target.replica.text().substr(5, 1);
      const auto region = residency_regions().region_of(base::zone_id(zone));
      made[region ? region->text() : ""] += call.items.size();
    });
    return made;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(region_batchers_test, regional_fleet)

BOOST_AUTO_TEST_CASE(pieces_are_made_in_their_region) {
  submit_in_north(4);
  const auto made = made_in(seconds(1));
  BOOST_TEST(made.size() == 1U);
  BOOST_TEST(made.at("north") == 16U);
}

BOOST_AUTO_TEST_CASE(pieces_go_elsewhere_when_their_region_has_a_long_queue) {
  submit_in_north(100);
  auto made = made_in(seconds(4));
  BOOST_TEST(made["north"] > 0U);
  BOOST_TEST(made["south"] + made["west"] + made[""] > 0U);
}

BOOST_AUTO_TEST_CASE(pieces_come_home_when_the_queue_is_gone) {
  submit_in_north(100);
  made_in(seconds(5));
  submit_in_north(4);
  const auto made = made_in(seconds(1));
  BOOST_TEST(made.size() == 1U);
  BOOST_TEST(made.at("north") == 16U);
}

BOOST_AUTO_TEST_SUITE_END()
