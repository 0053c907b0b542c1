#include "graceful_stops.h"

#include <csignal>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// Maximum time from SIGTERM to the exit of a process: the grace period and slack for a busy
/// machine. A process that still runs after this time is killed, as the platform would do.
constexpr milliseconds stop_timeout{9'000};

} // namespace

void graceful_stops::begin(soak_node& node, bool should_restart) {
  if (node.is_stopping.exchange(true)) {
    return;
  }
  recorder_->count("planned stop");
  node.stop_began_at = soak_clock::now();
  fleet_->signal(node, SIGTERM);
  stop_threads_.emplace_back([this, &node, should_restart] { finish(node, should_restart); });
}

void graceful_stops::finish(soak_node& node, bool should_restart) {
  const auto node_exit = fleet_->wait_for_exit(node, stop_timeout);
  if (!node_exit.was_in_time) {
    recorder_->note_violation("LOST", node.name + " did not stop in time");
  } else if (node_exit.code != 0) {
    recorder_->note_violation("LOST", node.name + " exited after its stop with code " +
                                          std::to_string(node_exit.code));
  }
  if (should_restart) {
    fleet_->start_node(node);
    node.is_stopping = false;
  }
}

void graceful_stops::wait() {
  for (auto& thread : stop_threads_) {
    thread.join();
  }
  stop_threads_.clear();
}

} // namespace spurrack::platform_tests
