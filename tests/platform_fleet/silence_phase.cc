#include "silence_phase.h"

#include <csignal>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// Time in which series of planned work begin.
constexpr milliseconds work_time{16'000};
constexpr milliseconds interval_in_series{120};
constexpr std::size_t max_series_length = 4;
/// Time between two series. The cuts in the quiet part of this time are compared with those beside
/// a change.
constexpr milliseconds min_series_interval{1'500};
constexpr std::size_t series_interval_spread_milliseconds = 3'000;
/// Time from the begin of a drain or an evacuation to its end.
constexpr milliseconds min_reversal_delay{1'000};
constexpr std::size_t reversal_delay_spread_milliseconds = 3'000;
constexpr milliseconds poll_interval{20};
constexpr std::size_t max_unused_routes = 300;
/// Longer than the time that clients give their requests.
constexpr milliseconds min_route_timeout{9'000};
constexpr std::size_t route_timeout_spread_milliseconds = 20'000;
/// Minimum time from the start of a process to the first signal that the platform sends to it.
constexpr milliseconds min_uptime_before_signal{1'500};

} // namespace

void silence_phase::run() {
  fleet_->last_change_at = soak_clock::now();
  fleet_->has_silences = true;
  silences_.start();
  note_change("software roll");
  roll_.start();
  const auto end = soak_clock::now() + work_time;
  while (soak_clock::now() < end) {
    begin_series();
    wait_until(soak_clock::now() + min_series_interval +
               milliseconds(random_.below(series_interval_spread_milliseconds)));
  }
  // The silences go on until the last planned work has ended.
  roll_.stop();
  stops_.wait();
  revert_due(soak_clock::time_point::max());
  fleet_->publish_configuration(true);
  silences_.stop();
  fleet_->has_silences = false;
}

void silence_phase::begin_series() {
  const auto length = 1 + random_.below(max_series_length);
  for (std::size_t number = 0; number < length; ++number) {
    begin_random_work();
    wait_until(soak_clock::now() + interval_in_series);
  }
}

void silence_phase::begin_random_work() {
  switch (random_.below(6)) {
  case 0:
  case 1:
    publish_random_configuration();
    break;
  case 2:
    begin_drain();
    break;
  case 3:
    begin_evacuation();
    break;
  case 4:
    reload_random_node();
    break;
  default:
    stop_random_node();
    break;
  }
}

void silence_phase::publish_random_configuration() {
  configuration_contents contents;
  contents.has_extra_key = random_.below(2) == 0;
  contents.unused_routes = random_.below(2) == 0 ? 0 : random_.below(max_unused_routes + 1);
  if (random_.below(2) == 0) {
    contents.route_timeout =
        min_route_timeout + milliseconds(random_.below(route_timeout_spread_milliseconds));
  }
  note_change("configuration");
  fleet_->publish_configuration(contents);
}

void silence_phase::begin_drain() {
  auto& replica = *fleet_->replicas[random_.below(fleet_->replicas.size())];
  // The software roll drains the replicas of the service `model`.
  if (replica.service() == "model") {
    return;
  }
  note_change("drain");
  replica.set_draining(true);
  fleet_->publish(replica);
  revert_later([this, &replica] {
    replica.set_draining(false);
    fleet_->publish(replica);
  });
}

void silence_phase::begin_evacuation() {
  note_change("evacuation");
  fleet_->set_evacuated(evacuated_zone, true);
  revert_later([this] { fleet_->set_evacuated(evacuated_zone, false); });
}

void silence_phase::reload_random_node() {
  auto& node = *fleet_->nodes[random_.below(fleet_->nodes.size())];
  if (soak_clock::now() - node.started_at.load() < min_uptime_before_signal) {
    return;
  }
  note_change("reload");
  if (node.is_stopping) {
    // The node may be starting again and reading its settings file, so that the file stays.
    fleet_->signal(node, SIGHUP);
  } else {
    fleet_->reload(node, random_.below(2) == 0);
  }
}

void silence_phase::stop_random_node() {
  auto& node = *fleet_->nodes[random_.below(fleet_->nodes.size())];
  if (node.is_stopping || soak_clock::now() - node.started_at.load() < min_uptime_before_signal) {
    return;
  }
  note_change("stop");
  stops_.begin(node);
}

void silence_phase::note_change(const std::string& label) {
  recorder_->count("beside silences: " + label);
  fleet_->last_change_at = soak_clock::now();
}

void silence_phase::revert_later(std::function<void()> revert) {
  const auto delay =
      min_reversal_delay + milliseconds(random_.below(reversal_delay_spread_milliseconds));
  reversals_.push_back({soak_clock::now() + delay, std::move(revert)});
}

void silence_phase::revert_due(soak_clock::time_point now) {
  std::erase_if(reversals_, [&](const auto& candidate) {
    const bool is_due = candidate.due <= now;
    if (is_due) {
      fleet_->last_change_at = soak_clock::now();
      candidate.revert();
    }
    return is_due;
  });
}

void silence_phase::wait_until(soak_clock::time_point end) {
  while (soak_clock::now() < end) {
    revert_due(soak_clock::now());
    std::this_thread::sleep_for(poll_interval);
  }
}

} // namespace spurrack::platform_tests
