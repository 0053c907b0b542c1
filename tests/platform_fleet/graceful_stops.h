/// Planned stops of real daemons: each is told to stop, awaited, and started again, while others
/// still stop.
#pragma once

#include "soak_fleet.h"

#include <list>
#include <thread>

namespace spurrack::platform_tests {

/// Used by one thread.
class graceful_stops {
 public:
  graceful_stops(soak_fleet& fleet, soak_recorder& recorder)
      : fleet_(&fleet), recorder_(&recorder) {}
  ~graceful_stops() { wait(); }
  graceful_stops(const graceful_stops&) = delete;
  graceful_stops& operator=(const graceful_stops&) = delete;

  /// Begins a stop, after which the node starts again; nothing for a node that stops already.
  void begin(soak_node& node) { begin(node, true); }
  /// Begins a stop after which the node stays down.
  void begin_final(soak_node& node) { begin(node, false); }
  /// Waits until all stops are over and their nodes were started.
  void wait();

 private:
  void begin(soak_node& node, bool should_restart);
  void finish(soak_node& node, bool should_restart);

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  std::list<std::thread> stop_threads_;
};

} // namespace spurrack::platform_tests
