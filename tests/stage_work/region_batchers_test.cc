/// Choice of the region in which pieces run, in a fleet of several regions.
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

/// Two nodes in each of six zones; each zone has at least three replicas of service `pool`.
struct regional_fleet : exchange_fleet {
  regional_fleet() : exchange_fleet(node_count, zone_count, residency_settings()) {
    for (const auto& zone : residency_zones) {
      for (const char* number : {"-0", "-1", "-2"}) {
        auto name = "pool-" + zone;
        published.add_replica(name.append(number), "pool", zone);
      }
    }
    for (auto& node : nodes) {
      node->replicas.update(published.content.replicas(), now);
      node->subject.set_configuration(published.content.serving());
    }
    run(seconds(3));
  }

  /// Submits pieces at each node of the region `north`, with the zone of the node as preferred
  /// zone.
  /// @param pieces number of pieces per node.
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

  /// Answers all calls during `span`.
  /// @return number of pieces that ran in each region; "" stands for the zone without region.
  std::map<std::string, std::size_t> pieces_by_region(base::duration span) {
    std::map<std::string, std::size_t> piece_counts;
    run_answering(span, [&](const exchange_node&, const start_stage_call& call) {
      const auto zone = call.target.replica.text().substr(5, 1);
      const auto region = residency_regions().region_of(base::zone_id(zone));
      piece_counts[region ? region->text() : ""] += call.items.size();
    });
    return piece_counts;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(region_batchers_test, regional_fleet)

BOOST_AUTO_TEST_CASE(pieces_run_in_their_region) {
  submit_in_north(4);
  const auto piece_counts = pieces_by_region(seconds(1));
  BOOST_TEST(piece_counts.size() == 1U);
  BOOST_TEST(piece_counts.at("north") == 16U);
}

BOOST_AUTO_TEST_CASE(pieces_spill_over_if_their_region_has_a_long_queue) {
  submit_in_north(100);
  auto piece_counts = pieces_by_region(seconds(4));
  BOOST_TEST(piece_counts["north"] > 0U);
  BOOST_TEST(piece_counts["south"] + piece_counts["west"] + piece_counts[""] > 0U);
}

BOOST_AUTO_TEST_CASE(pieces_return_to_their_region_after_the_queue_drains) {
  submit_in_north(100);
  pieces_by_region(seconds(5));
  submit_in_north(4);
  const auto piece_counts = pieces_by_region(seconds(1));
  BOOST_TEST(piece_counts.size() == 1U);
  BOOST_TEST(piece_counts.at("north") == 16U);
}

BOOST_AUTO_TEST_SUITE_END()
