/// Planned stops of real daemons: each is told to stop, awaited, and started again, while others
/// still stop.
#pragma once

#include "soak_fleet.h"

#include <list>
#include <thread>

namespace spurrack::platform_tests {

/// Used by one thread.
class planned_stops {
 public:
  planned_stops(soak_fleet& fleet, soak_ledger& ledger) : fleet_(&fleet), ledger_(&ledger) {}
  ~planned_stops() { wait(); }
  planned_stops(const planned_stops&) = delete;
  planned_stops& operator=(const planned_stops&) = delete;

  /// Begins a stop, after which the node starts again; nothing for a node that stops already.
  void begin(soak_node& node) { begin(node, true); }
  /// Begins a stop after which the node stays down.
  void begin_last(soak_node& node) { begin(node, false); }
  /// Waits until all stops are over and their nodes were started.
  void wait();

 private:
  void begin(soak_node& node, bool starts_again);
  void stop(soak_node& node, bool starts_again);

  soak_fleet* fleet_;
  soak_ledger* ledger_;
  std::list<std::thread> under_way_;
};

} // namespace spurrack::platform_tests
