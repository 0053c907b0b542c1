#include "graceful_stops.h"

#include <csignal>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// The platform kills what has not ended this long after the signal; with the slack of one busy
/// machine.
constexpr milliseconds stop_grace{9'000};

} // namespace

void planned_stops::begin(soak_node& node, bool starts_again) {
  if (node.is_stopping.exchange(true)) {
    return;
  }
  ledger_->count("planned stop");
  fleet_->signal(node, SIGTERM);
  under_way_.emplace_back([this, &node, starts_again] { stop(node, starts_again); });
}

void planned_stops::stop(soak_node& node, bool starts_again) {
  const auto end = fleet_->wait_for_end(node, stop_grace);
  if (!end.in_time) {
    ledger_->note_violation("LOST", node.name + " did not end its stop in time");
  } else if (end.code != 0) {
    ledger_->note_violation("LOST", node.name + " ended its stop with " + std::to_string(end.code));
  }
  if (starts_again) {
    fleet_->start_node(node);
    node.is_stopping = false;
  }
}

void planned_stops::wait() {
  for (auto& thread : under_way_) {
    thread.join();
  }
  under_way_.clear();
}

} // namespace spurrack::platform_tests
