/// Replicas of the fault soak that send nothing for a while and then go on where they were: one
/// replica, a third of all, or all of a service.
#pragma once

#include "soak_fleet.h"

#include "base/random.h"

#include <atomic>
#include <thread>
#include <vector>

namespace spurrack::platform_tests {

/// Begins and ends random silences, which may overlap. A silence is no fault: requests keep their
/// full checks, and `soak_fleet::last_fault_at` stays as it is. Not thread-safe; the silences are
/// controlled by a thread of their own.
class silent_replicas {
 public:
  silent_replicas(soak_fleet& fleet, soak_recorder& recorder, std::uint64_t seed)
      : fleet_(&fleet), recorder_(&recorder), random_(seed) {}
  ~silent_replicas() { stop(); }
  silent_replicas(const silent_replicas&) = delete;
  silent_replicas& operator=(const silent_replicas&) = delete;

  void start();
  /// Ends all silences and begins no others.
  void stop();

 private:
  enum class silence_kind : std::uint8_t {
    stopped_process, ///< The replica accepts connections, but reads and writes nothing.
    held_link        ///< No byte passes in either direction, and new connections hang.
  };
  struct silence {
    soak_replica* replica = nullptr;
    silence_kind kind = silence_kind::stopped_process;
    soak_clock::time_point end;
  };

  void run();
  /// Begins a silence of a random group of replicas, without those that are silent already.
  void begin_silences();
  void end_silences_due(soak_clock::time_point now);
  [[nodiscard]] std::vector<soak_replica*> random_group();
  [[nodiscard]] bool is_silent(const soak_replica& replica) const;
  /// Makes a replica silent or lets it go on.
  void apply(const silence& changed, bool is_silent) const;

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::seeded_random random_;
  std::vector<silence> silences_;
  std::atomic<bool> should_stop_ = false;
  std::thread thread_;
};

} // namespace spurrack::platform_tests
