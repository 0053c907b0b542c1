/// Check of the fault soak: a replica announces a limit, the number of requests per second that all
/// nodes together may send to the replica. Once all nodes know the limit, the replica must not
/// receive more requests than the limit allows.
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
