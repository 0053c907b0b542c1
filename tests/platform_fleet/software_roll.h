/// Rolling update of the replicas of the service `model` during the faults of the soak: one replica
/// after the other drains, ends, and starts again with other software.
#pragma once

#include "soak_fleet.h"

#include <atomic>
#include <thread>

namespace spurrack::platform_tests {

/// Not thread-safe; the update runs in a thread of its own.
class software_roll {
 public:
  software_roll(soak_fleet& fleet, soak_recorder& recorder)
      : fleet_(&fleet), recorder_(&recorder) {}
  ~software_roll() { stop(); }
  software_roll(const software_roll&) = delete;
  software_roll& operator=(const software_roll&) = delete;

  void start();
  /// Ends the update after the replica that it replaces now; the service keeps several versions.
  void stop();

 private:
  void replace_replicas();
  void replace(soak_replica& replica);

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  std::atomic<bool> should_stop_ = false;
  std::thread thread_;
};

} // namespace spurrack::platform_tests
