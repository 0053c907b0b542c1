/// Phase of the fault soak in which one node is out of step: cut off from the other nodes and from
/// the store, or stopped, while the software of the replicas begins to change. Clients break their
/// streams off and resume them, in particular at this node.
#pragma once

#include "software_roll.h"

#include "base/random.h"

#include <chrono>
#include <cstdint>

namespace spurrack::platform_tests {

/// Not thread-safe.
class out_of_step_phase {
 public:
  out_of_step_phase(soak_fleet& fleet, soak_recorder& recorder, std::uint64_t seed)
      : fleet_(&fleet), recorder_(&recorder), random_(seed), roll_(fleet, recorder) {}

  /// Runs the phase. Leaves all nodes and replicas running and published, and replicas of two
  /// software versions.
  void run();

 private:
  /// Cuts a node off, or holds back what it receives, for a time.
  void isolate(const soak_node& node, std::chrono::milliseconds span);
  /// Sets the fault of the links from other nodes to the node and from the node to the store.
  void set_links(const soak_node& node, const std::string& fault);
  /// Stops the process of a node for a time, once or in series.
  void stop(soak_node& node, std::chrono::milliseconds span);
  std::chrono::milliseconds drawn_time(std::chrono::milliseconds least,
                                       std::chrono::milliseconds most);
  void note_fault() { fleet_->last_fault_at = soak_clock::now(); }

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::seeded_random random_;
  software_roll roll_;
};

} // namespace spurrack::platform_tests
