/// Observations of this node on one replica.
#pragma once

#include "base/time.h"
#include "model/serving_records.h"
#include "replicas/cold_limit.h"
#include "replicas/replica_backoff.h"
#include "replicas/replica_evidence.h"
#include "self_reports/drain_registry.h"
#include "serving/events.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace spurrack::serving {

/// Published record of a replica with the observations of this node. A default-constructed time
/// point (the epoch) means that the event has not occurred.
struct replica_state {
  std::shared_ptr<const model::replica> record;
  /// Fingerprint that distinguishes the process of the replica from others under the same id.
  self_reports::process_fingerprint process = 0;
  /// Calls of this node in flight.
  std::uint32_t in_flight = 0;
  /// Load that the replica reported last.
  std::optional<replica_load> reported_load;
  base::time_point load_reported_at;
  /// Calls of this node in flight when the load was reported.
  std::uint32_t in_flight_at_load_report = 0;
  /// Whether another process answers at the replica's address.
  bool is_replaced = false;
  /// Time before which the replica is sent no calls.
  base::time_point paused_until;
  /// Length of the latest pause after a failed connection or an ejection; zero after the replica
  /// sent something. Doubles with each further failed connection.
  base::duration unreachable_backoff{};
  /// Backoff that the replica requested of this node.
  replica_backoff backoff;
  /// Share of this node's latest calls that failed, 0 to 1.
  double failure_share = 0;
  base::time_point last_failure_at;
  base::time_point last_call_at;
  /// Whether the latest call was made to find out whether the replica has recovered.
  bool latest_call_is_trial = false;
  /// Decaying counts of this node's calls.
  call_tally calls;
  /// Time at which the replica last sent something: an answer, the head of one, or a stream event.
  base::time_point last_activity_at;
  /// Latest activity of the replica that another node reported.
  base::time_point peer_reported_activity_at;
  /// Latest observation of another node that the replica is down.
  base::time_point peer_reported_down_at;
  /// Latest time at which a call of this node made no progress while the replica sent nothing.
  base::time_point unresponsive_at;
  /// Latest time at which a connection to the replica failed.
  base::time_point unreachable_at;
  /// Excess of `reported_failure_share` over that of the other replicas of the service; 0 if it is
  /// not clearly higher.
  double reported_failure_excess = 0;
  /// Share of failed calls over this node's calls and the calls that other nodes reported.
  double reported_failure_share = 0;
  /// Time at which both were computed.
  base::time_point failures_reported_at;
  /// Load that is added because the replica requested backoffs of other nodes, as a fraction of its
  /// slots, and the time until which it is added.
  double reported_backoff_load = 0;
  base::time_point reported_backoff_until;
  /// Time until which the replica is paused because other nodes reported it down.
  base::time_point ejected_until;
  /// After a pause the replica gets a single request (probe) until it sends something or until this
  /// time. Does not bound calls with pieces: one batcher makes them, one after another.
  base::time_point probe_until;
  /// Ratio of the recent call times to the published call time, at least 1.
  double slowdown = 1;
  base::time_point slowdown_seen_at;
  /// Time until which the replica is cold: slow, so that it sustains only few requests.
  base::time_point cold_until;
  /// Tokens for the requests that this node may send to the replica while it is cold.
  cold_bucket cold_tokens;
  /// Time at which this node learned of a restart; std::nullopt if it has not seen one.
  std::optional<base::time_point> restart_seen_at;
  /// Calls that began at this time or before run at an earlier incarnation. Valid only after a
  /// restart.
  base::time_point earlier_incarnation_calls_until;
};

} // namespace spurrack::serving
