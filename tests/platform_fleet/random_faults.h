/// Faults that strike a fleet from outside by chance, in series and overlapping.
#pragma once

#include "foreign_entries.h"
#include "graceful_stops.h"

#include "base/random.h"

namespace spurrack::platform_tests {

/// Used by one thread.
class random_faults {
 public:
  random_faults(soak_fleet& fleet, foreign_entries& foreign, soak_ledger& ledger,
                base::random_source& random)
      : fleet_(&fleet), foreign_(&foreign), ledger_(&ledger), random_(&random),
        stops_(fleet, ledger) {}

  void strike_until(soak_clock::time_point end);
  /// Ends all faults that last, and restarts a last replica. Nodes that stop are awaited; those
  /// that ended by themselves are noted and started again. @return that replica.
  soak_replica& heal();

 private:
  soak_node& any_node() { return *fleet_->nodes[random_->below(fleet_->nodes.size())]; }
  soak_replica& any_replica() { return *fleet_->replicas[random_->below(fleet_->replicas.size())]; }

  void strike();
  void kill(soak_node& node);
  void freeze(soak_node& node);
  void thaw();
  void reload(soak_node& node);
  void disturb_peer_link(const soak_node& node);
  void disturb_replica_link(const soak_replica& replica);
  void drain_or_return(soak_replica& replica);
  /// A replica ends without a word and runs again under its id.
  void restart(soak_replica& replica);

  soak_fleet* fleet_;
  foreign_entries* foreign_;
  soak_ledger* ledger_;
  base::random_source* random_;
  planned_stops stops_;
  std::vector<soak_node*> frozen_;
  std::vector<std::string> links_;
};

} // namespace spurrack::platform_tests
