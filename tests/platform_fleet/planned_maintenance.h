/// Maintenance by an operator on the whole fleet: overlapping rolling restarts, reloads of
/// settings, single configuration changes, and bursts of configuration changes.
#pragma once

#include "graceful_stops.h"

#include "base/random.h"

namespace spurrack::platform_tests {

/// Planned maintenance of one fleet. Not thread-safe.
class planned_maintenance {
 public:
  planned_maintenance(soak_fleet& fleet, soak_recorder& recorder, base::random_source& random)
      : fleet_(&fleet), recorder_(&recorder), random_(&random), stops_(fleet, recorder) {}

  /// Restarts every node once. The restarts overlap: a node begins to stop while earlier nodes are
  /// still stopping. Meanwhile reloads settings and changes the configuration. Returns when all
  /// nodes were started again.
  void restart_all_nodes();

 private:
  /// Reloads the settings of random nodes and changes the configuration, in random order, until
  /// `end`.
  void make_changes_until(soak_clock::time_point end);
  /// Publishes many configuration changes in quick succession.
  void publish_change_burst();
  /// Makes a random node reload its settings, unless the process of the node was started only
  /// recently.
  void reload_random_node();

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::random_source* random_;
  graceful_stops stops_;
};

} // namespace spurrack::platform_tests
