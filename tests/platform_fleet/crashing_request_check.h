/// Check of the fault soak (fault_soak.cc) with a crashing request: every replica that starts to
/// run this request crashes. Clients send the request repeatedly to random nodes. Checks that few
/// replicas crash and that the nodes quarantine the request.
#pragma once

#include "soak_fleet.h"
#include "soak_recorder.h"

#include "base/random.h"

#include <vector>

namespace spurrack::platform_tests {

/// Sends the crashing request and restarts the replicas that crashed. Not thread-safe.
class crashing_request_check {
 public:
  crashing_request_check(soak_fleet& fleet, soak_recorder& recorder, base::random_source& random);

  /// Sends the crashing request repeatedly, restarts crashed replicas, records violations, and
  /// waits until the fleet has settled.
  void check();

 private:
  /// Sends the crashing request once to a random node.
  void send();
  /// Records new crashes and restarts replicas whose downtime is over.
  void restart_crashed();
  /// Records a violation if too many replicas crashed or if the last request was not refused.
  void check_limits();

  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::random_source* random_;
  std::size_t send_number_ = 0;
  /// Time of each crash, in ascending order.
  std::vector<soak_clock::time_point> crash_times_;
  /// Statuses of the answers, in the order of the requests.
  std::vector<unsigned> answer_statuses_;
  /// Replicas that are down, with the time of their crash.
  std::map<soak_replica*, soak_clock::time_point> crashed_at_;
};

} // namespace spurrack::platform_tests
