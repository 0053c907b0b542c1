/// Check of the fault soak: a replica announces a limit for the requests per second of all nodes
/// together, and must not receive more once all nodes know the limit.
#pragma once

#include "soak_fleet.h"
#include "soak_recorder.h"

#include "base/random.h"

namespace spurrack::platform_tests {

/// Not thread-safe.
class rate_limit_check {
 public:
  rate_limit_check(soak_replica& replica, soak_recorder& recorder, base::random_source& random)
      : replica_(&replica), recorder_(&recorder), random_(&random) {}

  /// Announces a random limit, observes the requests of the clients for 6 s, and withdraws the
  /// limit.
  void check();

 private:
  soak_replica* replica_;
  soak_recorder* recorder_;
  base::random_source* random_;
};

} // namespace spurrack::platform_tests
