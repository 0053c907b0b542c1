/// A replica of the fault soak that says of itself in its answers that it leaves, or for how long
/// it wants nothing: what it gets afterwards, and whether it is used again.
#pragma once

#include "soak_fleet.h"
#include "soak_recorder.h"

#include "base/random.h"

namespace spurrack::platform_tests {

/// Runs on the thread of its owner.
class self_report_check {
 public:
  self_report_check(soak_replica& replica, soak_fleet& fleet, soak_recorder& recorder,
                    base::random_source& random)
      : replica_(&replica), fleet_(&fleet), recorder_(&recorder), random_(&random) {}

  /// It says that it leaves while the store is away, and ends some seconds later; another life
  /// begins under its id.
  void check_drain_announcement();
  /// It turns requests away for a while and asks for pauses; it takes them again afterwards.
  void check_requested_backoff();

 private:
  soak_replica* replica_;
  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::random_source* random_;
};

} // namespace spurrack::platform_tests
