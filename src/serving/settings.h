/// Settings of the serving path. docs/operators/settings.md describes each with unit and default.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/residency.h"

#include <cstddef>

namespace spurrack::serving {

/// Retry budget of a service: limits how often requests are sent to a second replica. All nodes of
/// the fleet share the budget.
struct retry_limits {
  /// Retries allowed per `window`, as a fraction of the requests of the service in that time.
  double ratio = 0.1;
  /// Retries allowed per `window` in addition to that fraction, for all nodes together.
  double allowance = 10;
  /// Length of the window over which requests and retries are counted.
  base::duration window = std::chrono::seconds(10);
};

/// Limit on the requests that all nodes together send to a cold replica (one that has just started
/// or lost its warm caches). The limit is the rate that the replica's service is configured to
/// sustain while cold, multiplied by `factor`, plus `allowance`.
struct cold_bounds {
  /// Multiplier of the rate that is configured for cold replicas of the service.
  double factor = 1;
  /// Requests per second that are added to the configured rate of cold replicas after it was
  /// multiplied by `factor`.
  double allowance = 0;
};

/// Limits that the machine sets for this process.
struct resource_limits {
  /// Resident memory above which the process is killed.
  std::size_t memory_bytes = 160'000'000;
  /// Maximum number of open files and sockets.
  std::size_t descriptors = 4'100;
};

/// Times after the start of a graceful stop during which a node accepts new requests that are
/// expected to end before the node exits.
struct stop_admission_windows {
  /// Time for which streams are accepted. It is the time that load balancers need to direct clients
  /// to other nodes: two readiness checks at intervals of one second, and half a second for their
  /// answers. Later streams are refused, since the duration of a stream is the least predictable
  /// and a stream that is cut off cannot be repaired.
  base::duration streams = std::chrono::milliseconds(2'500);
  /// Time for which all other requests are accepted: one second longer than streams, for clients
  /// that were not directed to another node. Without this limit, requests that overlap each other
  /// would delay the exit of the node. A node that exits sooner is back sooner: in a fleet under
  /// 1.8 times its load that was restarted six nodes at a time, every two seconds, 2,000 to 2,300
  /// requests were refused with a Retry-After; without this limit, it was 2,500 to 2,900.
  base::duration requests = std::chrono::milliseconds(3'500);
};

/// Numbers of replica exits under one request at which the quarantine state of the request changes.
/// `quarantine/crash_registry.h` defines exits and quarantine states.
struct quarantine_limits {
  /// Number of exits at which the request is limited to a single attempt: each time it arrives, it
  /// is sent to only one replica. Each arrival then shows whether the request crashes a replica,
  /// and two nodes that have not yet exchanged the exits that they observed lose two replicas
  /// instead of four.
  std::size_t single_attempt = 2;
  /// Number of exits at which the request is quarantined if few replicas recently exited without
  /// running it: fewer than half as many as exited while they ran it. If a sixth of all runs end
  /// with an exit of the replica for other reasons, one harmless request in 1,300 has this number
  /// of exits by chance; a limit of three exits would quarantine one harmless request in 200.
  std::size_t quarantine = 4;
  /// Number of exits at which the request is quarantined if many replicas recently exited without
  /// running it: at least half as many as exited while they ran it. If a sixth of all runs end with
  /// an exit of the replica for other reasons, one harmless request in 8,000 has this number of
  /// exits by chance.
  std::size_t quarantine_with_unrelated_exits = 5;
  /// Number of exits at which requests with a prompt part are quarantined. One more is required if
  /// the recent exits of replicas that ran no request with the part are `many_unrelated_exits`
  /// times as many. It is higher than that of a request, since it refuses many requests at once.
  std::size_t prompt_part_quarantine = 5;
  std::size_t many_unrelated_exits = 2;
};

struct serving_settings {
  /// Address at which this node accepts the requests of clients, for other nodes; empty if the node
  /// does not know an address that other nodes can use.
  base::network_address client_address;
  resource_limits resources;
  /// Maximum number of bytes of an event of a stream. A call whose replica sends a longer one is
  /// ended.
  std::size_t max_event_bytes = 262'144;
  /// Region of each zone. Work that is confined to regions does not run in a zone that is missing
  /// here.
  model::zone_regions regions;
  retry_limits retry;
  cold_bounds cold;
  /// Time for which the replicas of a zone count as cold after an evacuation of the zone ended. It
  /// covers two usual report intervals of the replicas (1.2 s each) and the delay until a report
  /// arrives.
  base::duration cold_time_after_evacuation = std::chrono::milliseconds(3000);
  /// Retry-After in the refusal of a request for which no replica is available.
  base::duration retry_after = std::chrono::milliseconds(300);
  /// Expected time from sending a request to a replica until the replica has fetched the stage
  /// results that the request needs. The results may be freed after this time. 0 to free them only
  /// after the first bytes of the replica's answer.
  base::duration input_fetch_time = std::chrono::milliseconds(80);
  /// Whether requests that are not expected to be served in time are refused on arrival, with a
  /// Retry-After.
  bool refuse_early = true;
  /// Maximum time for which the first piece of a batch waits for further pieces.
  base::duration batch_wait = std::chrono::milliseconds(10);
  /// First backoff for a replica that could not be reached; each further backoff is twice as long,
  /// up to `max_unreachable_backoff`.
  base::duration unreachable_backoff = std::chrono::milliseconds(400);
  base::duration max_unreachable_backoff = std::chrono::seconds(4);
  /// Backoff for a replica that answered that it is full.
  base::duration full_backoff = std::chrono::milliseconds(60);
  /// Maximum idle time of a connection that is reused for a request that may run only once.
  base::duration single_run_max_idle_time = std::chrono::milliseconds(1500);
  /// Maximum idle time of a connection that is reused for any other request.
  base::duration max_idle_time = std::chrono::seconds(30);
  /// Timeout for opening a connection to a replica.
  base::duration connect_timeout = std::chrono::milliseconds(500);
  quarantine_limits quarantine;
  stop_admission_windows stop_admission;
  /// Duration of a graceful stop: a stopping node accepts only requests that it expects to end
  /// within this time, and aborts the remaining requests after it.
  base::duration max_stop_duration = std::chrono::milliseconds(7400);
};

} // namespace spurrack::serving
