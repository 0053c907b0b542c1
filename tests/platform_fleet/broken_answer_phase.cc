#include "broken_answer_phase.h"

#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds phase_duration{8'000};
constexpr milliseconds min_restart_interval{200};
constexpr std::size_t restart_interval_spread_milliseconds = 500;
/// Time that a supervisor takes to start a process that has ended.
constexpr milliseconds min_start_time{5};
constexpr std::size_t start_time_spread_milliseconds = 96;
/// Maximum time until a started replica renews its store entry. Its earlier entry is still there.
constexpr std::size_t max_publication_milliseconds = 500;

} // namespace

void broken_answer_phase::run() {
  const auto end = soak_clock::now() + phase_duration;
  source_->set_active(true);
  while (soak_clock::now() < end) {
    restart_at_once(*fleet_->replicas[random_.below(fleet_->replicas.size())]);
    std::this_thread::sleep_for(min_restart_interval +
                                milliseconds(random_.below(restart_interval_spread_milliseconds)));
  }
  source_->set_active(false);
}

void broken_answer_phase::restart_at_once(soak_replica& replica) {
  const bool has_new_id = random_.below(2) == 0;
  fleet_->last_restart_at_once = soak_clock::now();
  replica.crash();
  std::this_thread::sleep_for(min_start_time +
                              milliseconds(random_.below(start_time_spread_milliseconds)));
  if (has_new_id) {
    recorder_->count("restart at once with another id");
    fleet_->unpublish(replica);
    replica.restart_with(replica.version());
  } else {
    recorder_->count("restart at once");
    replica.restart();
    std::this_thread::sleep_for(milliseconds(random_.below(max_publication_milliseconds)));
  }
  fleet_->publish(replica);
}

} // namespace spurrack::platform_tests
