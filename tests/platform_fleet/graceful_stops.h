/// Graceful stops of real daemons. Several stops can run at the same time.
#pragma once

#include "soak_fleet.h"

#include <list>
#include <thread>

namespace spurrack::platform_tests {

/// Not thread-safe.
class graceful_stops {
 public:
  graceful_stops(soak_fleet& fleet, soak_recorder& recorder)
      : fleet_(&fleet), recorder_(&recorder) {}
  ~graceful_stops() { wait(); }
  graceful_stops(const graceful_stops&) = delete;
  graceful_stops& operator=(const graceful_stops&) = delete;

  /// Begins a stop after which the node is started again. Does nothing if the node is stopping.
  void begin(soak_node& node) { begin(node, true); }
  /// Begins a stop after which the node stays down. Does nothing if the node is stopping.
  void begin_final(soak_node& node) { begin(node, false); }
  /// Waits until all stops have ended and their nodes were started again.
  void wait();

 private:
  void begin(soak_node& node, bool should_restart);
  /// Waits for the exit of the process, records a violation if it exits late or with an error, and
  /// starts the node again if `should_restart` is set. Runs on a thread of its own.
  void finish(soak_node& node, bool should_restart);

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  /// One thread for each stop.
  std::list<std::thread> stop_threads_;
};

} // namespace spurrack::platform_tests
