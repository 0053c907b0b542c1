/// Check of the fault soak: a replica announces a limit for the requests per second that all nodes
/// together may send to it. The replica must not receive more requests after all nodes know the
/// limit.
#pragma once

#include "soak_fleet.h"
#include "soak_recorder.h"

#include "base/random.h"

namespace spurrack::platform_tests {

/// Checks the limit of one replica. Not thread-safe.
class rate_limit_check {
 public:
  rate_limit_check(soak_replica& replica, soak_recorder& recorder, base::random_source& random)
      : replica_(&replica), recorder_(&recorder), random_(&random) {}

  /// Lets the replica announce a random limit, observes the requests that reach the replica for
  /// 6 s after all nodes know the limit, records a violation if there are too many, and withdraws
  /// the limit.
  void check();

 private:
  soak_replica* replica_;
  soak_recorder* recorder_;
  base::random_source* random_;
};

} // namespace spurrack::platform_tests
