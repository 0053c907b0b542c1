/// Planned work of an operator on the whole fleet: rolling restarts that overlap, reloads of
/// settings, single changes of the configuration and a storm of them.
#pragma once

#include "graceful_stops.h"

#include "base/random.h"

namespace spurrack::platform_tests {

class planned_maintenance {
 public:
  planned_maintenance(soak_fleet& fleet, soak_recorder& recorder, base::random_source& random)
      : fleet_(&fleet), recorder_(&recorder), random_(&random), stops_(fleet, recorder) {}

  /// Stops every node once, each while earlier ones still stop, and returns when all run again.
  void restart_all_nodes();

 private:
  /// Reloads and changes until `end`.
  void make_changes_until(soak_clock::time_point end);
  void publish_change_burst();
  void reload_random_node();

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::random_source* random_;
  graceful_stops stops_;
};

} // namespace spurrack::platform_tests
