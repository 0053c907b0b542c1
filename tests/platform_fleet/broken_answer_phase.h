/// Phase of the fault soak in which living replicas break answers off or leave their ends open, and
/// replicas end and are restarted at once by a supervisor. There are no other faults, so that each
/// incomplete answer must have one of these two reasons.
#pragma once

#include "broken_answers.h"
#include "soak_fleet.h"

#include "base/random.h"

#include <cstdint>

namespace spurrack::platform_tests {

/// Not thread-safe.
class broken_answer_phase {
 public:
  broken_answer_phase(soak_fleet& fleet, soak_recorder& recorder, broken_answer_source& source,
                      std::uint64_t seed)
      : fleet_(&fleet), recorder_(&recorder), source_(&source), random_(seed) {}

  /// Runs the phase. Leaves all replicas running and published.
  void run();

 private:
  /// Ends the process of a replica and starts it again on its address, as a supervisor does: under
  /// the same id or another one.
  void restart_at_once(soak_replica& replica);

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  broken_answer_source* source_;
  base::seeded_random random_;
};

} // namespace spurrack::platform_tests
