/// A request under which each replica ends that begins to run it, sent again and again to all
/// nodes of the fault soak: how many replicas it ends, and whether it is refused at last.
#pragma once

#include "soak_fleet.h"
#include "soak_recorder.h"

#include "base/random.h"

#include <vector>

namespace spurrack::platform_tests {

/// Runs on the thread of its owner.
class crashing_request {
 public:
  crashing_request(soak_fleet& fleet, soak_ledger& ledger, base::random_source& random);

  /// Sends it for some seconds, brings ended replicas back, and notes what was broken.
  void check();

 private:
  void send();
  /// Brings replicas back that ended some time ago.
  void restart_ended();
  void check_bounds();

  soak_fleet* fleet_;
  soak_ledger* ledger_;
  base::random_source* random_;
  std::size_t tries_ = 0;
  std::vector<soak_clock::time_point> ends_;
  /// Statuses of the answers, the latest last.
  std::vector<unsigned> answers_;
  std::map<soak_replica*, soak_clock::time_point> away_;
};

} // namespace spurrack::platform_tests
