/// Settings of the serving path. docs/operators/settings.md describes each with unit and default.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/residency.h"

#include <cstddef>

namespace spurrack::serving {

/// Bounds on sending a request to a second replica, shared by all nodes of the fleet.
struct retry_limits {
  /// Repeats allowed as a share of the requests of a service.
  double ratio = 0.1;
  /// Repeats allowed beside that share, by all nodes together.
  double allowance = 10;
  /// Length of the window over which both are counted.
  base::duration window = std::chrono::seconds(10);
};

/// What cold replicas may be sent in a second beside what their service says that they bear.
struct cold_bounds {
  /// The service's rate is multiplied by this.
  double factor = 1;
  /// Requests in a second that are added to it.
  double allowance = 0;
};

/// What the machine grants this process.
struct resource_limits {
  /// Resident memory beyond which the process is killed.
  std::size_t memory_bytes = 160'000'000;
  /// Files and sockets it may have open.
  std::size_t descriptors = 4'100;
};

/// For how long a stopping node takes new requests, besides weighing each one.
struct stop_admission_windows {
  /// Within this time clients are led to other nodes: two looks at the readiness, a second apart,
  /// and half a second for the answers. Streams are taken no longer, since how long they last is
  /// known least and nothing mends a cut one.
  base::duration streams = std::chrono::milliseconds(2'500);
  /// Any request: a second more for clients that were not led elsewhere. Requests that overlap
  /// would hold the stop up otherwise, and a stop that ends sooner gives its capacity back sooner:
  /// of a fleet restarted six at a time every two seconds under 1.8 times its load, 2,000 to 2,300
  /// requests instead of 2,500 to 2,900 were told to come back.
  base::duration requests = std::chrono::milliseconds(3'500);
};

/// How many ends under one request change how it is treated; see `quarantine/crash_registry`.
struct quarantine_limits {
  /// It may be sent once in each try, and no more: each try shows one thing, and two nodes that do
  /// not know of each other yet end two replicas instead of four.
  std::size_t single_attempt = 2;
  /// It is held back, where few replicas end without it. Where a sixth of all runs end with their
  /// replica for other reasons, chance does the same to one harmless request in 1,300; three ends
  /// would hold back one in 200.
  std::size_t quarantine = 4;
  /// The same where half as many replicas or more end without it: chance does that to one in 8,000.
  std::size_t quarantine_with_unrelated_exits = 5;
};

struct serving_settings {
  resource_limits resources;
  /// Region of each zone. What is held to regions is done in no zone that is not named.
  model::zone_regions regions;
  retry_limits retry;
  /// Bounds on what replicas get that have just started or lost what they keep warm.
  cold_bounds cold;
  /// Replicas of a zone that is given back after an evacuation are taken for cold for this time:
  /// two of their usual reports of 1.2 s and the way of the news.
  base::duration cold_time_after_evacuation = std::chrono::milliseconds(3000);
  /// How long a request that found no replica is told to stay away.
  base::duration retry_after = std::chrono::milliseconds(300);
  /// A replica has fetched the results a request needs this long after it got the request; 0 waits
  /// for its first answer.
  base::duration input_fetch_time = std::chrono::milliseconds(80);
  /// Refuse requests that are not expected to be served in time, and tell when to come back.
  bool refuse_early = true;
  /// How long the first piece of a batch waits for others to join it.
  base::duration batch_wait = std::chrono::milliseconds(10);
  /// A replica that could not be reached gets nothing for this time; doubles up to the longest.
  base::duration unreachable_backoff = std::chrono::milliseconds(400);
  base::duration max_unreachable_backoff = std::chrono::seconds(4);
  /// A replica that said it is full gets nothing for this time.
  base::duration full_backoff = std::chrono::milliseconds(60);
  /// A connection of a request that may run only once has rested no longer than this.
  base::duration single_run_max_idle_time = std::chrono::milliseconds(1500);
  /// A connection of any other request has rested no longer than this.
  base::duration max_idle_time = std::chrono::seconds(30);
  /// Longest time to open a connection to a replica.
  base::duration connect_timeout = std::chrono::milliseconds(500);
  quarantine_limits quarantine;
  stop_admission_windows stop_admission;
  /// A stopping node takes only what it expects to end within this time, and gives up what is left
  /// after it.
  base::duration max_stop_duration = std::chrono::milliseconds(7400);
};

} // namespace spurrack::serving
