/// Runs a simulated fleet with many seeds, and checks that no stream joins events of two software
/// versions and that resumed streams go on.
#pragma once

#include "stream_fleet.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace spurrack::streams {

inline constexpr std::uint64_t seed_count = 20;
/// Minimum share of resumed streams that go on, compared with the share of new streams that begin.
inline constexpr double min_resumed_ratio = 0.95;

/// Time from the start of the nodes to the first stream. The platform promises twice as much.
inline constexpr base::duration time_before_load = seconds(5);

/// Disturbs a loaded fleet for some ten seconds.
using disturbance = std::function<void(stream_fleet&)>;

inline stream_fleet::totals run_seeds(const stream_fleet_settings& settings,
                                      const disturbance& disturb) {
  stream_fleet::totals sum;
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    auto with_seed = settings;
    with_seed.seed = seed;
    stream_fleet fleet(with_seed);
    fleet.run_without_load(time_before_load);
    fleet.run(seconds(2));
    disturb(fleet);
    fleet.finish();
    const auto counted = fleet.count();
    sum.streams += counted.streams;
    sum.begun += counted.begun;
    sum.complete += counted.complete;
    sum.resumed += counted.resumed;
    sum.went_on += counted.went_on;
    sum.mixed += counted.mixed;
    sum.out_of_order += counted.out_of_order;
    sum.refused_although_known += counted.refused_although_known;
    sum.origin_messages += counted.origin_messages;
    sum.origin_bytes += counted.origin_bytes;
    for (const auto& [reason, count] : counted.lost) {
      sum.lost[reason] += count;
    }
  }
  return sum;
}

inline void check_order(const std::string& name, const stream_fleet_settings& settings,
                        const disturbance& disturb, double min_ratio = min_resumed_ratio) {
  const auto sum = run_seeds(settings, disturb);
  std::string lost;
  for (const auto& [reason, count] : sum.lost) {
    lost += "\n  " + std::to_string(count) + " x " + reason;
  }
  BOOST_TEST_MESSAGE(
      name << ": " << sum.streams << " streams, " << sum.begun << " begun, " << sum.complete
           << " complete, " << sum.resumed << " resumed, " << sum.went_on << " of them went on, "
           << sum.mixed << " mixed, " << sum.refused_although_known << " refusals although known, "
           << sum.origin_messages << " messages of " << sum.origin_bytes << " bytes" << lost);
  BOOST_TEST(sum.resumed > 0U, name << ": no stream was resumed");
  BOOST_TEST(sum.mixed == 0U, name << ": " << sum.mixed << " of " << sum.streams
                                   << " streams have events of two software versions");
  BOOST_TEST(sum.out_of_order == 0U, name << ": events are missing or repeated");
  const auto begun_share = static_cast<double>(sum.begun) / static_cast<double>(sum.streams);
  const auto resumed_share = static_cast<double>(sum.went_on) / static_cast<double>(sum.resumed);
  BOOST_TEST(resumed_share >= min_ratio * begun_share,
             name << ": " << resumed_share << " of the resumed streams went on, " << begun_share
                  << " of the new ones began" << lost);
}

inline stream_fleet_settings with(std::vector<replica_group> replicas) {
  stream_fleet_settings settings;
  settings.replicas = std::move(replicas);
  return settings;
}

} // namespace spurrack::streams
