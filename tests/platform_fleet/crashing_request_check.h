/// A request under which each replica ends that begins to run it, sent again and again to all
/// nodes of the fault soak: how many replicas it ends, and whether it is refused at last.
#pragma once

#include "soak_fleet.h"
#include "soak_recorder.h"

#include "base/random.h"

#include <vector>

namespace spurrack::platform_tests {

/// Runs on the thread of its owner.
class crashing_request_check {
 public:
  crashing_request_check(soak_fleet& fleet, soak_recorder& recorder, base::random_source& random);

  /// Sends it for some seconds, brings ended replicas back, and notes what was broken.
  void check();

 private:
  void send();
  /// Brings replicas back that ended some time ago.
  void restart_crashed();
  void check_limits();

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::random_source* random_;
  std::size_t send_count_ = 0;
  std::vector<soak_clock::time_point> exit_times_;
  /// Statuses of the answers, the latest last.
  std::vector<unsigned> answer_statuses_;
  std::map<soak_replica*, soak_clock::time_point> crashed_at_;
};

} // namespace spurrack::platform_tests
