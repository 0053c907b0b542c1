/// Settings of the serving path. docs/operators/settings.md describes each with unit and default.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/residency.h"

#include <cstddef>

namespace spurrack::serving {

/// Retry budget of a service: bounds how often requests are sent to a second replica. All nodes of
/// the fleet share it.
struct retry_limits {
  /// Retries allowed, as a fraction of the requests of the service.
  double ratio = 0.1;
  /// Retries allowed in addition to that fraction, for all nodes together.
  double allowance = 10;
  /// Window over which requests and retries are counted.
  base::duration window = std::chrono::seconds(10);
};

/// Adjusts the request rate that a service publishes for its cold replicas.
struct cold_bounds {
  /// Multiplier of the published rate.
  double factor = 1;
  /// Requests per second added to the multiplied rate.
  double allowance = 0;
};

/// Limits that the machine sets for this process.
struct resource_limits {
  /// Resident memory above which the process is killed.
  std::size_t memory_bytes = 160'000'000;
  /// Maximum number of open files and sockets.
  std::size_t descriptors = 4'100;
};

/// Time after the start of a graceful stop in which a node accepts new requests that are expected
/// to end before the node exits.
struct stop_admission_windows {
  /// For streams: the time in which load balancers lead clients to other nodes, which is two
  /// readiness checks, one second apart, and half a second for their answers. The duration of a
  /// stream is the least predictable, and a stream that is cut cannot be repaired, so streams are
  /// refused after this time.
  base::duration streams = std::chrono::milliseconds(2'500);
  /// For all other requests: one second more, for clients that were not led to another node.
  /// Without this bound, overlapping requests would delay the exit, and a node that exits sooner
  /// restores its capacity sooner: in a fleet restarted six nodes at a time every two seconds under
  /// 1.8 times its load, 2,000 to 2,300 requests were refused with a time to return instead of
  /// 2,500 to 2,900.
  base::duration requests = std::chrono::milliseconds(3'500);
};

/// Number of replica exits under one request that change its quarantine state; see
/// `quarantine/crash_registry`.
struct quarantine_limits {
  /// From this number on the request is sent to only one replica each time it arrives: each arrival
  /// then tests one replica, and two nodes that do not know of each other's exits yet lose two
  /// replicas instead of four.
  std::size_t single_attempt = 2;
  /// From this number on the request is quarantined if few replicas exit without it. If a sixth of
  /// all runs end with an exit of their replica for other causes, this many exits hit one harmless
  /// request in 1,300 by chance; a limit of three would quarantine one in 200.
  std::size_t quarantine = 4;
  /// From this number on the request is quarantined if half as many replicas or more exit without
  /// it: by chance this hits one harmless request in 8,000.
  std::size_t quarantine_with_unrelated_exits = 5;
};

struct serving_settings {
  resource_limits resources;
  /// Region of each zone. Work that is confined to regions runs in no zone without an entry here.
  model::zone_regions regions;
  retry_limits retry;
  /// Bounds on requests to replicas that have just started or lost their warm caches.
  cold_bounds cold;
  /// Time for which replicas of a zone count as cold after its evacuation ends: two of their usual
  /// report intervals of 1.2 s and the delay until a report arrives.
  base::duration cold_time_after_evacuation = std::chrono::milliseconds(3000);
  /// Retry-After of a request that found no replica.
  base::duration retry_after = std::chrono::milliseconds(300);
  /// Time after which a replica is expected to have fetched the stage results that a request needs;
  /// 0 to wait for the first bytes of its answer instead.
  base::duration input_fetch_time = std::chrono::milliseconds(80);
  /// Whether requests that are not expected to meet their deadline are refused on arrival, with a
  /// time to return.
  bool refuse_early = true;
  /// Time for which the first piece of a batch waits for further pieces.
  base::duration batch_wait = std::chrono::milliseconds(10);
  /// Backoff for a replica that could not be reached; doubles up to `max_unreachable_backoff`.
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
