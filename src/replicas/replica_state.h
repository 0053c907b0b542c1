/// What a node has seen of one replica.
#pragma once

#include "base/time.h"
#include "model/serving_records.h"
#include "replica_statements/departure_book.h"
#include "replicas/cold_limit.h"
#include "replicas/replica_backoff.h"
#include "replicas/replica_evidence.h"
#include "serving/events.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace spurrack::serving {

/// One replica with what this node has seen of it.
struct replica_state {
  std::shared_ptr<const model::replica> record;
  /// Tells its process apart from others under the same id.
  replica_statements::process_mark process = 0;
  /// Calls of this node that are under way.
  std::uint32_t in_flight = 0;
  /// Load the replica reported last, and when.
  std::optional<replica_load> reported_load;
  base::time_point load_reported_at;
  /// Own calls under way when the load was reported.
  std::uint32_t in_flight_at_load_report = 0;
  /// The replica said itself that it leaves, or its address belongs to another.
  bool is_replaced = false;
  /// Nothing is sent before this time.
  base::time_point paused_until;
  base::duration next_pause{};
  /// The pause that it asked this node for.
  replica_backoff backoff;
  /// Share of the latest calls that failed, 0 to 1; when one failed last, and when one was made.
  double failure_share = 0;
  base::time_point last_failure_at;
  base::time_point last_call_at;
  /// The latest call was made to see whether it is well again.
  bool is_on_trial = false;
  /// Calls of this node of late.
  call_tally calls;
  /// Latest sign of life: an answer, its beginning, or an event of a stream.
  base::time_point last_activity_at;
  /// Latest sign of life that another node reported, and latest time one reported it lost.
  base::time_point peer_reported_activity_at;
  base::time_point peer_reported_down_at;
  /// Latest time a call of this node was found without progress while nothing was heard.
  base::time_point unresponsive_at;
  /// Latest time a connection to it failed.
  base::time_point unreachable_at;
  /// Share of the calls of all nodes that failed, as far as they reported, beyond that of the other
  /// replicas of its service, and when it was learned.
  double reported_failure_excess = 0;
  double reported_failure_share = 0;
  base::time_point failures_reported_at;
  /// Load that it is taken to have besides, since it asked other nodes for pauses, and until when.
  double reported_backoff_load = 0;
  base::time_point reported_backoff_until;
  /// It rests until then because others found it lost, not this node.
  base::time_point ejected_until;
  /// After a rest it is given one request until it is heard, or until this time. Calls with pieces
  /// are not bound by it: one gatherer makes them, one after another.
  base::time_point probe_until;
  /// How many times as long as published its calls took of late, and when that was seen last.
  double slowdown = 1;
  base::time_point slowdown_seen_at;
  /// It is slow until then and bears few requests.
  base::time_point cold_until;
  /// Requests that this node may send it while it is cold.
  cold_bucket cold_tokens;
  /// When this node learned that it had started again; nothing where it has not seen that.
  std::optional<base::time_point> restart_seen_at;
  /// Calls that began until then are at an earlier life; only after a restart.
  base::time_point earlier_incarnation_calls_until;
};

} // namespace spurrack::serving
