/// Check of the fault soak: a replica announces in its answers that it drains, or requests a
/// backoff, and must receive no requests, or few requests, afterwards.
#pragma once

#include "soak_fleet.h"
#include "soak_recorder.h"

#include "base/random.h"

namespace spurrack::platform_tests {

/// Not thread-safe.
class self_report_check {
 public:
  self_report_check(soak_replica& replica, soak_fleet& fleet, soak_recorder& recorder,
                    base::random_source& random)
      : replica_(&replica), fleet_(&fleet), recorder_(&recorder), random_(&random) {}

  /// Announces a drain while the store is down, observes the replica for some seconds, then crashes
  /// and restarts it under its id.
  void check_drain_announcement();
  /// Rejects requests and requests a backoff for one to three seconds, then accepts requests again.
  void check_requested_backoff();

 private:
  soak_replica* replica_;
  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::random_source* random_;
};

} // namespace spurrack::platform_tests
