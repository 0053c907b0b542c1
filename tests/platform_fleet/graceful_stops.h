/// Graceful stops of real daemons. A daemon that receives SIGTERM completes its requests and exits
/// within the grace period. Several daemons can be stopping at the same time.
#pragma once

#include "soak_fleet.h"

#include <list>
#include <thread>

namespace spurrack::platform_tests {

/// Stops nodes gracefully, checks that their processes exit in time with code 0, and starts the
/// nodes again. The destructor waits for all stopping nodes. Not thread-safe.
class graceful_stops {
 public:
  graceful_stops(soak_fleet& fleet, soak_recorder& recorder)
      : fleet_(&fleet), recorder_(&recorder) {}
  ~graceful_stops() { wait(); }
  graceful_stops(const graceful_stops&) = delete;
  graceful_stops& operator=(const graceful_stops&) = delete;

  /// Sends SIGTERM to a node and returns without waiting for the exit of its process. A separate
  /// thread waits for the exit and then starts the node again. Does nothing if the node is already
  /// stopping.
  void begin(soak_node& node) { begin(node, true); }
  /// As `begin`, but does not start the node again.
  void begin_final(soak_node& node) { begin(node, false); }
  /// Waits until the processes of all stopping nodes have exited, and until the nodes that `begin`
  /// stopped were started again.
  void wait();

 private:
  void begin(soak_node& node, bool should_restart);
  /// Waits until the process of a node exits, and records a violation if it exits late or with an
  /// error. Then starts the node again if `should_restart` is true. Runs on a separate thread for
  /// each stopping node.
  void finish(soak_node& node, bool should_restart);

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  /// Threads that run `finish`, one for each node that was stopped since the last `wait`.
  std::list<std::thread> stop_threads_;
};

} // namespace spurrack::platform_tests
