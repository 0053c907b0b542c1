/// Rolling update of the replicas of the service `model`: one replica after the other drains, ends,
/// and starts again with other software.
#pragma once

#include "soak_fleet.h"

#include <atomic>
#include <thread>

namespace spurrack::platform_tests {

/// Not thread-safe; the update runs in a thread of its own.
class software_roll {
 public:
  /// How long a replica drains before it ends.
  enum class drain : std::uint8_t {
    /// The end of a replica may cut requests, so that it counts as a fault
    /// (`soak_fleet::last_fault_at`).
    brief,
    /// Until the deadline of each request that it may have received has passed. The end of a
    /// replica is then no fault.
    until_deadlines
  };

  software_roll(soak_fleet& fleet, soak_recorder& recorder, drain length = drain::brief)
      : fleet_(&fleet), recorder_(&recorder), drain_(length) {}
  ~software_roll() { stop(); }
  software_roll(const software_roll&) = delete;
  software_roll& operator=(const software_roll&) = delete;

  void start();
  /// Ends the update after the replica that it replaces now; the service keeps several versions.
  void stop();

 private:
  void replace_replicas();
  void replace(soak_replica& replica);
  /// Notes that the drain or the end of a replica changes the fleet now.
  void note_change();

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  drain drain_;
  std::atomic<bool> should_stop_ = false;
  std::thread thread_;
};

} // namespace spurrack::platform_tests
