/// Checks of the fault soak for self-reports: what a replica announces about itself in the headers
/// of its answers. A replica that has announced a drain must not receive requests any longer. A
/// replica that has requested a backoff must receive only a few requests during the backoff.
#pragma once

#include "soak_fleet.h"
#include "soak_recorder.h"

#include "base/random.h"

namespace spurrack::platform_tests {

/// Checks for one replica. Not thread-safe.
class self_report_check {
 public:
  self_report_check(soak_replica& replica, soak_fleet& fleet, soak_recorder& recorder,
                    base::random_source& random)
      : replica_(&replica), fleet_(&fleet), recorder_(&recorder), random_(&random) {}

  /// Makes the replica announce a drain while the store is down. Records a violation if nodes still
  /// send requests to the replica 2 s after the announcement. Then crashes the replica and restarts
  /// it under the same id.
  void check_drain_announcement();
  /// Makes the replica reject requests and request a backoff of one to three seconds. Records a
  /// violation if nodes send too many requests during the backoff. Then makes the replica accept
  /// requests again.
  void check_requested_backoff();

 private:
  soak_replica* replica_;
  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::random_source* random_;
};

} // namespace spurrack::platform_tests
