/// Check of the fault soak (fault_soak.cc) with a crashing request: every replica that starts to
/// run this request crashes. The nodes must quarantine the request, that is, refuse it, after only
/// a few replicas have crashed.
#pragma once

#include "soak_fleet.h"
#include "soak_recorder.h"

#include "base/random.h"

#include <vector>

namespace spurrack::platform_tests {

/// Check with the crashing request. Not thread-safe.
class crashing_request_check {
 public:
  crashing_request_check(soak_fleet& fleet, soak_recorder& recorder, base::random_source& random);

  /// Sends the crashing request repeatedly to random nodes and restarts the crashed replicas. Then
  /// records the violations (see `check_limits`) and waits for `settle_time`.
  void check();

 private:
  void send();
  /// Records the replicas that the crashing request has crashed since the last call of this
  /// function, and restarts each replica whose downtime is over.
  void restart_crashed_replicas();
  /// Records a violation if too many replicas crashed in total, one if too many crashed after all
  /// nodes knew of the first crashes, and one if the last request that the check sent was not
  /// refused.
  void check_limits();

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::random_source* random_;
  std::size_t send_number_ = 0;
  /// Time of each crash, in ascending order.
  std::vector<soak_clock::time_point> crash_times_;
  /// HTTP statuses of the answers to the crashing request, in the order of sending.
  std::vector<unsigned> answer_statuses_;
  /// Time of the crash of each replica that has not been restarted yet.
  std::map<soak_replica*, soak_clock::time_point> crashed_at_;
};

} // namespace spurrack::platform_tests
