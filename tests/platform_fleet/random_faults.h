/// Faults that strike a fleet from outside by chance, in series and overlapping.
#pragma once

#include "foreign_entries.h"
#include "graceful_stops.h"

#include "base/random.h"

namespace spurrack::platform_tests {

/// Used by one thread.
class random_faults {
 public:
  random_faults(soak_fleet& fleet, foreign_entries& foreign, soak_recorder& recorder,
                base::random_source& random)
      : fleet_(&fleet), foreign_entries_(&foreign), recorder_(&recorder), random_(&random),
        stops_(fleet, recorder) {}

  void inject_until(soak_clock::time_point end);
  /// Ends all faults that last, and restarts a last replica. Nodes that stop are awaited; those
  /// that ended by themselves are noted and started again. @return that replica.
  soak_replica& end_faults();

 private:
  soak_node& random_node() { return *fleet_->nodes[random_->below(fleet_->nodes.size())]; }
  soak_replica& random_replica() {
    return *fleet_->replicas[random_->below(fleet_->replicas.size())];
  }

  void inject_random_fault();
  void kill(soak_node& node);
  void suspend(soak_node& node);
  void resume_suspended();
  void reload(soak_node& node);
  void inject_peer_link_fault(const soak_node& node);
  void inject_replica_link_fault(const soak_replica& replica);
  void set_random_draining(soak_replica& replica);
  /// A replica ends without a word and runs again under its id.
  void restart(soak_replica& replica);

  soak_fleet* fleet_;
  foreign_entries* foreign_entries_;
  soak_recorder* recorder_;
  base::random_source* random_;
  graceful_stops stops_;
  std::vector<soak_node*> suspended_nodes_;
  std::vector<std::string> faulty_links_;
};

} // namespace spurrack::platform_tests
