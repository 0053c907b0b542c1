/// A replica of the fault soak that says of itself in its answers that it leaves, or for how long
/// it wants nothing: what it gets afterwards, and whether it is used again.
#pragma once

#include "soak_fleet.h"
#include "soak_recorder.h"

#include "base/random.h"

namespace spurrack::platform_tests {

/// Runs on the thread of its owner.
class stating_replica {
 public:
  stating_replica(soak_replica& subject, soak_fleet& fleet, soak_ledger& ledger,
                  base::random_source& random)
      : subject_(&subject), fleet_(&fleet), ledger_(&ledger), random_(&random) {}

  /// It says that it leaves while the store is away, and ends some seconds later; another life
  /// begins under its id.
  void check_leaving();
  /// It turns requests away for a while and asks for pauses; it takes them again afterwards.
  void check_pauses();

 private:
  soak_replica* subject_;
  soak_fleet* fleet_;
  soak_ledger* ledger_;
  base::random_source* random_;
};

} // namespace spurrack::platform_tests
