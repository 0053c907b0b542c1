/// Planned work of an operator on the whole fleet: rolling restarts that overlap, reloads of
/// settings, single changes of the configuration and a storm of them.
#pragma once

#include "graceful_stops.h"

#include "base/random.h"

namespace spurrack::platform_tests {

class planned_work {
 public:
  planned_work(soak_fleet& fleet, soak_ledger& ledger, base::random_source& random)
      : fleet_(&fleet), ledger_(&ledger), random_(&random), stops_(fleet, ledger) {}

  /// Stops every node once, each while earlier ones still stop, and returns when all run again.
  void restart_all_nodes();

 private:
  /// Reloads and changes until `end`.
  void change_until(soak_clock::time_point end);
  void storm_of_changes();
  void reload_any_node();

  soak_fleet* fleet_;
  soak_ledger* ledger_;
  base::random_source* random_;
  planned_stops stops_;
};

} // namespace spurrack::platform_tests
