#include "planned_maintenance.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// Distance between the stops of a rolling restart: a quarter of the time that one may take.
constexpr milliseconds stop_distance{2'000};
/// In a large fleet several nodes stop at once, so that the restart of all takes a minute or less.
constexpr std::size_t most_waves = 25;
constexpr milliseconds least_change_distance{150};
constexpr std::size_t change_spread_milliseconds = 400;
constexpr std::size_t storm_changes = 15;
constexpr milliseconds storm_distance{60};
/// The platform signals no process before it has had this long to start.
constexpr milliseconds start_time{1'500};

} // namespace

void planned_work::restart_all_nodes() {
  std::vector<soak_node*> left;
  for (const auto& node : fleet_->nodes) {
    left.push_back(node.get());
  }
  const auto wave_size = (left.size() + most_waves - 1) / most_waves;
  const auto storm_wave = random_->below((left.size() + wave_size - 1) / wave_size);
  for (std::size_t wave = 0; !left.empty(); ++wave) {
    for (std::size_t number = 0; number < wave_size && !left.empty(); ++number) {
      stops_.begin(*base::take_random(left, *random_));
    }
    const auto next_wave = soak_clock::now() + stop_distance;
    if (wave == storm_wave) {
      storm_of_changes();
    }
    change_until(next_wave);
  }
  stops_.wait();
}

void planned_work::change_until(soak_clock::time_point end) {
  while (soak_clock::now() < end) {
    if (random_->below(2) == 0) {
      reload_any_node();
    } else {
      ledger_->count("planned change");
      fleet_->publish_configuration(true);
    }
    std::this_thread::sleep_for(least_change_distance +
                                milliseconds(random_->below(change_spread_milliseconds)));
  }
}

void planned_work::storm_of_changes() {
  ledger_->count("planned storm");
  for (std::size_t number = 0; number < storm_changes; ++number) {
    fleet_->publish_configuration(true);
    std::this_thread::sleep_for(storm_distance);
  }
}

void planned_work::reload_any_node() {
  auto& node = *fleet_->nodes[random_->below(fleet_->nodes.size())];
  if (soak_clock::now() - node.started_at.load() < start_time) {
    return;
  }
  ledger_->count("planned reload");
  if (node.is_stopping) {
    // Its settings stay as they are: it reads them when it starts again, which may be now.
    fleet_->signal(node, SIGHUP);
  } else {
    fleet_->reload(node, random_->below(2) == 0);
  }
}

} // namespace spurrack::platform_tests
