/// A replica of the fault soak that names how many requests a second it takes from all nodes: what
/// it gets once all nodes know, and whether it is used again when it names no limit any more.
#pragma once

#include "soak_fleet.h"
#include "soak_recorder.h"

#include "base/random.h"

namespace spurrack::platform_tests {

/// Runs on the thread of its owner.
class limited_replica {
 public:
  limited_replica(soak_replica& subject, soak_ledger& ledger, base::random_source& random)
      : subject_(&subject), ledger_(&ledger), random_(&random) {}

  /// Takes some seconds under load; the replica names no limit afterwards.
  void check();

 private:
  soak_replica* subject_;
  soak_ledger* ledger_;
  base::random_source* random_;
};

} // namespace spurrack::platform_tests
