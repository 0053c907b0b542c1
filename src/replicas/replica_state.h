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
  /// Fingerprint that distinguishes the process of the replica from other processes under its id.
  self_reports::process_fingerprint process = 0;
  /// Number of calls of this node in flight.
  std::uint32_t in_flight = 0;
  std::optional<replica_load> reported_load;
  base::time_point load_reported_at;
  std::uint32_t in_flight_at_load_report = 0;
  /// Whether another process answers at the replica's address.
  bool is_replaced = false;
  /// Time before which the replica is sent no calls.
  base::time_point paused_until;
  /// Length of the latest pause after a failed connection or an ejection; doubles with each further
  /// failed connection. Zero once the replica has sent something since.
  base::duration unreachable_backoff{};
  /// Time at which the latest pause after a failed connection or a call without progress began.
  base::time_point silent_pause_at;
  replica_backoff backoff;
  /// Share of this node's latest calls that failed, 0 to 1.
  double failure_share = 0;
  base::time_point last_failure_at;
  base::time_point last_call_at;
  /// Whether the latest call was made to find out whether the replica has recovered.
  bool latest_call_is_trial = false;
  /// Decaying counts of this node's successful and failed calls.
  call_tally calls;
  /// Time at which the replica last sent something: an answer, the head of an answer or a stream
  /// event.
  base::time_point last_activity_at;
  /// Latest time at which the replica sent something to another node, according to health reports
  /// of other nodes.
  base::time_point peer_reported_activity_at;
  /// Latest time at which another node found the replica down, according to health reports of other
  /// nodes.
  base::time_point peer_reported_down_at;
  /// Latest time at which a call of this node made no progress while the replica sent nothing.
  base::time_point unresponsive_at;
  /// Latest time at which a connection to the replica failed.
  base::time_point unreachable_at;
  /// Excess of `reported_failure_share` over the mean share of the other replicas of the service; 0
  /// if the excess is too small to show a fault of this replica.
  double reported_failure_excess = 0;
  /// Share of failed calls to the replica among this node's calls and the calls that other nodes
  /// reported.
  double reported_failure_share = 0;
  /// Time at which `reported_failure_share` and `reported_failure_excess` were computed.
  base::time_point failures_reported_at;
  /// Load that is added to the replica's load because the replica requested backoffs from other
  /// nodes, as a fraction of its slots.
  double reported_backoff_load = 0;
  /// Time until which `reported_backoff_load` is added.
  base::time_point reported_backoff_until;
  /// Time until which the replica is paused because other nodes reported it down.
  base::time_point ejected_until;
  /// Time until which the replica gets no further request because it was sent a probe: the first
  /// request after a pause. Reset when the replica sends something. Does not hold back calls with
  /// pieces: a single node, the batcher, makes them one after another.
  base::time_point probe_until;
  /// Ratio of the recent call times to the published call time, at least 1.
  double slowdown = 1;
  /// Time at which `slowdown` was computed.
  base::time_point slowdown_seen_at;
  /// Time until which the replica is cold: it has just started or lost its caches, is slow and
  /// sustains only few requests.
  base::time_point cold_until;
  /// Tokens for the requests that this node may send to the replica while it is cold.
  cold_bucket cold_tokens;
  /// Time at which this node learned of the replica's latest restart; std::nullopt if this node
  /// knows of no restart of the replica.
  std::optional<base::time_point> restart_seen_at;
  /// Calls that began at this time or earlier were sent to an earlier incarnation. Valid only after
  /// a restart.
  base::time_point earlier_incarnation_calls_until;
};

} // namespace spurrack::serving
