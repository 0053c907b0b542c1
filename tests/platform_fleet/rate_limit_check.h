/// Check of the fault soak for a replica that announces a limit: the number of requests per second
/// that all nodes together may send to the replica.
#pragma once

#include "soak_fleet.h"
#include "soak_recorder.h"

#include "base/random.h"

namespace spurrack::platform_tests {

/// Check of the limit of one replica. Not thread-safe.
class rate_limit_check {
 public:
  rate_limit_check(soak_replica& replica, soak_recorder& recorder, base::random_source& random)
      : replica_(&replica), recorder_(&recorder), random_(&random) {}

  /// Makes the replica announce a random limit and waits until all nodes know the limit. Then
  /// observes for 6 s which requests reach the replica, records a violation if there are too many
  /// requests, and withdraws the limit.
  void check();

 private:
  soak_replica* replica_;
  soak_recorder* recorder_;
  base::random_source* random_;
};

} // namespace spurrack::platform_tests
