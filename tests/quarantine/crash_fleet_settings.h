/// Settings of the simulated fleet of `crash_fleet.h`, and the outcomes that its clients see.
#pragma once

#include "base/time.h"
#include "replica_faults.h"
#include "serving/settings.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace spurrack::quarantine {

using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct crash_fleet_settings {
  /// Seed of all random choices.
  std::uint64_t seed = 1;
  std::size_t nodes = 6;
  unsigned replicas = 12;
  /// Additional replicas that compute the pieces of the two stages of `/staged/`.
  unsigned stage_replicas = 0;
  /// Whether a crashed replica restarts under its id, with a new start time; otherwise it restarts
  /// under a new id.
  bool keeps_ids_on_restart = false;
  quarantine_limits limits = {};
  /// Minimum downtime of a crashed replica; the downtime exceeds it by up to 500 ms.
  base::duration min_downtime = milliseconds(1500);
  /// Delay of the list of replicas: of the removal of a crashed replica, and of its restart.
  base::duration publication_delay{};
  /// What callers learn from the connections of a replica that crashes.
  crash_kind crashes_by = crash_kind::closes;
  /// Time after which clients of crashing requests leave; 0 if they never leave.
  base::duration client_patience{};
  /// Time until the deadline of crashing requests.
  base::duration crashing_time_allowed = seconds(10);
  /// Emulates a policy without quarantine: nodes refuse all requests while at least two crashes of
  /// replicas are less than this time ago; 0 to disable the policy.
  base::duration route_pause{};
  /// Whether replicas answer with neither a length nor chunks: an answer ends with its connection,
  /// which the kernel also closes if the replica crashes.
  bool unframed_answers = false;
};

/// Number of attempts of clients to send one request, by outcome.
struct attempt_counts {
  std::size_t attempts = 0;
  std::size_t served = 0;
  /// Attempts that were answered with 503, so that the request was not run.
  std::size_t refused = 0;
  /// Attempts that were answered with a status other than 200 or 503, or with a stream that was
  /// cut.
  std::size_t failed = 0;
  /// Attempts that were refused because the request is quarantined.
  std::size_t quarantined = 0;
  /// Quarantined attempts whose refusal has a Retry-After header.
  std::size_t quarantined_with_retry_after = 0;
};

} // namespace spurrack::quarantine
