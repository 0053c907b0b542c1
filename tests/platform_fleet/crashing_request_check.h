/// Check of the fault soak (fault_soak.cc) with a crashing request: every replica that starts to
/// run this request crashes. Few replicas may crash before the nodes quarantine the request, that
/// is, refuse it.
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

  /// Sends the crashing request repeatedly to random nodes, restarts crashed replicas and records
  /// violations. Then waits for `settle_time`.
  void check();

 private:
  void send();
  /// Records the crashes since the last call, and restarts each replica whose downtime is over.
  void restart_crashed_replicas();
  /// Records a violation if too many replicas crashed, and another one if the last request was not
  /// refused.
  void check_limits();

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::random_source* random_;
  std::size_t send_number_ = 0;
  /// Time of each crash, in ascending order.
  std::vector<soak_clock::time_point> crash_times_;
  /// HTTP statuses of the answers, in the order of the requests.
  std::vector<unsigned> answer_statuses_;
  /// Time of the crash of each replica that has not been restarted yet.
  std::map<soak_replica*, soak_clock::time_point> crashed_at_;
};

} // namespace spurrack::platform_tests
