/// Phase of the fault soak without faults: replicas are silent for a while (`silent_replicas`)
/// beside planned work in series, whose parts overlap.
#pragma once

#include "graceful_stops.h"
#include "silent_replicas.h"
#include "software_roll.h"

#include "base/random.h"

#include <functional>
#include <vector>

namespace spurrack::platform_tests {

/// Not thread-safe.
class silence_phase {
 public:
  /// @param seed determines the silences and the planned work.
  silence_phase(soak_fleet& fleet, soak_recorder& recorder, std::uint64_t seed)
      : fleet_(&fleet), recorder_(&recorder), random_(seed), silences_(fleet, recorder, ~seed),
        stops_(fleet, recorder), roll_(fleet, recorder, software_roll::drain::until_deadlines) {}

  /// Runs the phase for some 25 s. Returns when all silences and all planned work have ended and
  /// the stopped nodes were started again.
  void run();

 private:
  /// Planned work that ends later, such as a drain.
  struct reversal {
    soak_clock::time_point due;
    std::function<void()> revert;
  };

  /// Begins one to four kinds of planned work in quick succession.
  void begin_series();
  void begin_random_work();
  void publish_random_configuration();
  void begin_drain();
  void begin_evacuation();
  void reload_random_node();
  void stop_random_node();
  /// Notes that planned work begins or ends now.
  void note_change(const std::string& label);
  void revert_later(std::function<void()> revert);
  void revert_due(soak_clock::time_point now);
  /// Waits, and ends planned work that becomes due meanwhile.
  void wait_until(soak_clock::time_point end);

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::seeded_random random_;
  std::vector<reversal> reversals_;
  silent_replicas silences_;
  graceful_stops stops_;
  software_roll roll_;
};

} // namespace spurrack::platform_tests
