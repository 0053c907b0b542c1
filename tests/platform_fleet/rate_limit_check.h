/// A replica of the fault soak that names how many requests a second it takes from all nodes: what
/// it gets once all nodes know, and whether it is used again when it names no limit any more.
#pragma once

#include "soak_fleet.h"
#include "soak_recorder.h"

#include "base/random.h"

namespace spurrack::platform_tests {

/// Runs on the thread of its owner.
class rate_limit_check {
 public:
  rate_limit_check(soak_replica& replica, soak_recorder& recorder, base::random_source& random)
      : replica_(&replica), recorder_(&recorder), random_(&random) {}

  /// Takes some seconds under load; the replica names no limit afterwards.
  void check();

 private:
  soak_replica* replica_;
  soak_recorder* recorder_;
  base::random_source* random_;
};

} // namespace spurrack::platform_tests
