/// Random faults that the fault soak injects into a fleet from outside. Several faults can be in
/// effect at the same time.
#pragma once

#include "foreign_entries.h"
#include "graceful_stops.h"

#include "base/random.h"

namespace spurrack::platform_tests {

/// Random faults of nodes, links, the store and replicas. Not thread-safe.
class random_faults {
 public:
  random_faults(soak_fleet& fleet, foreign_entries& foreign, soak_recorder& recorder,
                base::random_source& random)
      : fleet_(&fleet), foreign_entries_(&foreign), recorder_(&recorder), random_(&random),
        stops_(fleet, recorder) {}

  /// Injects random faults at random intervals until `end`.
  void inject_until(soak_clock::time_point end);
  /// Ends all faults, then crashes and restarts one replica. Waits until all stopping nodes have
  /// been started again. Records a violation for each node that exited unexpectedly, and starts the
  /// node again.
  /// @return the restarted replica.
  soak_replica& end_faults();

 private:
  soak_node& random_node() { return *fleet_->nodes[random_->below(fleet_->nodes.size())]; }
  soak_replica& random_replica() {
    return *fleet_->replicas[random_->below(fleet_->replicas.size())];
  }

  void inject_random_fault();
  /// Kills the process of a node and starts the node again at once. Records a violation if the
  /// process had already exited.
  void kill(soak_node& node);
  /// Suspends the process of a node with SIGSTOP.
  void suspend(soak_node& node);
  void resume_suspended_nodes();
  /// Makes a node reload its settings; the settings are valid or invalid at random.
  void reload(soak_node& node);
  /// Cuts the connections of other nodes to a node, or holds back all bytes on them, at random.
  void inject_peer_link_fault(const soak_node& node);
  /// Cuts the connections to a replica, or holds back or delays all bytes on them, at random.
  void inject_replica_link_fault(const soak_replica& replica);
  /// Publishes the store entry of a replica with the state `draining` or `ready`, at random.
  void set_random_draining(soak_replica& replica);
  /// Crashes a replica without a drain announcement and restarts the replica under the same id.
  void restart(soak_replica& replica);

  soak_fleet* fleet_;
  foreign_entries* foreign_entries_;
  soak_recorder* recorder_;
  base::random_source* random_;
  graceful_stops stops_;
  std::vector<soak_node*> suspended_nodes_;
  /// Names of the links that were given a fault or a delay since the last `end_faults`. A name may
  /// be listed several times.
  std::vector<std::string> faulty_links_;
};

} // namespace spurrack::platform_tests
