/// Simulated fleets without faults: time from the publication of a configuration until the last
/// node has it. Guards against nodes that no push of a change reaches and that find the change only
/// by a comparison of catalogs, up to 1.5 s later; the larger the fleet, the more such nodes.
#include "one_region_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace {

using namespace spurrack;
using simulation::fleet_simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @return times after the publication at which the nodes had `version`, ascending.
std::vector<base::duration> arrival_times(fleet_simulation& fleet, std::uint64_t version) {
  const auto published_at = fleet.now();
  auto missing = fleet.node_names();
  std::vector<base::duration> times;
  while (!missing.empty() && fleet.now() - published_at < seconds(5)) {
    fleet.run_for(milliseconds(10));
    std::erase_if(missing, [&](const auto& name) {
      const bool is_in_force = simulation::has_version(fleet, name, version);
      if (is_in_force) {
        times.push_back(fleet.now() - published_at);
      }
      return is_in_force;
    });
  }
  times.resize(fleet.node_names().size(), seconds(5));
  return times;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_spread)

BOOST_AUTO_TEST_CASE(change_is_in_force_on_all_nodes_within_300_ms) {
  for (const int nodes : {30, 100, 300}) {
    for (const int zones : {4, 6}) {
      fleet_simulation fleet(simulation::one_region_settings(nodes, zones, true, 1));
      fleet.start_all_nodes();
      BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
      fleet.run_for(seconds(5));
      base::duration longest{};
      std::size_t late = 0;
      for (std::uint64_t version = 2; version < 7; ++version) {
        fleet.platform().publish(std::string(model::configuration_key),
                                 simulation::configuration_of(version));
        const auto times = arrival_times(fleet, version);
        longest = std::max(longest, times.back());
        late += static_cast<std::size_t>(std::count_if(
            times.begin(), times.end(), [](auto time) { return time > milliseconds(300); }));
        BOOST_TEST_MESSAGE(nodes << " nodes in " << zones << " zones: first "
                                 << base::to_milliseconds(times.front()) << ", median "
                                 << base::to_milliseconds(times[times.size() / 2]) << ", last "
                                 << base::to_milliseconds(times.back()) << " ms");
        fleet.run_for(milliseconds(1'700));
      }
      BOOST_TEST(longest <= milliseconds(300), nodes << " nodes in " << zones
                                                     << " zones: the last node after "
                                                     << base::to_milliseconds(longest) << " ms, "
                                                     << late << " nodes late in five changes");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
