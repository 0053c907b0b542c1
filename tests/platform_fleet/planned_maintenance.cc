#include "planned_maintenance.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// Interval between the starts of two waves of a rolling restart. A wave is a group of nodes that
/// begin to stop together. The interval is a quarter of the grace period of a stopping node, so
/// that the waves overlap.
constexpr milliseconds stop_interval{2'000};
/// Maximum number of waves of a rolling restart, so that the restart of a large fleet takes a
/// minute or less.
constexpr std::size_t max_waves = 25;
constexpr milliseconds min_change_interval{150};
constexpr std::size_t change_interval_spread_milliseconds = 400;
constexpr std::size_t changes_per_burst = 15;
constexpr milliseconds burst_interval{60};
/// Minimum time from the start of a process to the first signal that the platform sends to it.
constexpr milliseconds min_uptime_before_signal{1'500};

} // namespace

void planned_maintenance::restart_all_nodes() {
  std::vector<soak_node*> remaining;
  for (const auto& node : fleet_->nodes) {
    remaining.push_back(node.get());
  }
  const auto wave_size = (remaining.size() + max_waves - 1) / max_waves;
  const auto burst_wave = random_->below((remaining.size() + wave_size - 1) / wave_size);
  for (std::size_t wave = 0; !remaining.empty(); ++wave) {
    for (std::size_t number = 0; number < wave_size && !remaining.empty(); ++number) {
      stops_.begin(*base::take_random(remaining, *random_));
    }
    const auto next_wave_at = soak_clock::now() + stop_interval;
    if (wave == burst_wave) {
      publish_change_burst();
    }
    make_changes_until(next_wave_at);
  }
  stops_.wait();
}

void planned_maintenance::make_changes_until(soak_clock::time_point end) {
  while (soak_clock::now() < end) {
    if (random_->below(2) == 0) {
      reload_random_node();
    } else {
      recorder_->count("planned change");
      fleet_->publish_configuration(true);
    }
    std::this_thread::sleep_for(min_change_interval +
                                milliseconds(random_->below(change_interval_spread_milliseconds)));
  }
}

void planned_maintenance::publish_change_burst() {
  recorder_->count("planned storm");
  for (std::size_t number = 0; number < changes_per_burst; ++number) {
    fleet_->publish_configuration(true);
    std::this_thread::sleep_for(burst_interval);
  }
}

void planned_maintenance::reload_random_node() {
  auto& node = *fleet_->nodes[random_->below(fleet_->nodes.size())];
  if (soak_clock::now() - node.started_at.load() < min_uptime_before_signal) {
    return;
  }
  recorder_->count("planned reload");
  if (node.is_stopping) {
    // A stopping node receives only the signal. Its settings file is not rewritten, because the
    // node may be starting again and reading the file.
    fleet_->signal(node, SIGHUP);
  } else {
    fleet_->reload(node, random_->below(2) == 0);
  }
}

} // namespace spurrack::platform_tests
