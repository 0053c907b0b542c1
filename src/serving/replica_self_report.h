/// Self-report: what a replica reports of itself in the head of an answer. One typed value, which
/// is decoded in one place from every kind of answer.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace spurrack::serving {

/// Load that a replica reports in an answer.
struct replica_load {
  /// Number of requests that the replica is running.
  std::uint32_t running = 0;
  /// Number of requests that wait at the replica.
  std::uint32_t waiting = 0;
  /// Maximum number of requests that the replica runs at the same time.
  std::uint32_t slots = 0;
};

/// Rate limit that a replica announces in an answer, for the requests of all nodes together.
struct announced_limit {
  /// Requests per second; std::nullopt if the answer announces no limit.
  std::optional<double> per_second;
  /// Whether the answer announces a limit that cannot be parsed; the earlier limit stays in effect.
  bool is_unreadable = false;
};

/// Announcement of a replica in an answer that it is brittle: it crashes if it must reject too many
/// requests within a second for want of room.
struct announced_brittleness {
  /// Number of rejections within a second that the replica bears; std::nullopt if the answer does
  /// not announce that the replica is brittle.
  std::optional<std::uint32_t> max_rejections;
  /// Whether the answer holds an announcement that cannot be parsed; it changes nothing.
  bool is_unreadable = false;
};

/// Backoff that a replica requests from this node in an answer (Retry-After).
struct requested_backoff {
  /// Duration of the backoff, from the arrival of the answer; std::nullopt if the answer requests
  /// none.
  std::optional<base::duration> duration;
  /// Whether the answer requests a backoff that cannot be parsed.
  bool is_unreadable = false;
};

struct replica_self_report {
  /// Whether the replica drains, so that it accepts no new requests.
  bool is_draining = false;
  /// Whether the answer holds a drain announcement that cannot be parsed.
  bool is_drain_unreadable = false;
  requested_backoff backoff;
  announced_limit limit;
  announced_brittleness brittleness;
  /// std::nullopt if the answer reports no load.
  std::optional<replica_load> load;
  /// Whether the answer reports a load that cannot be parsed; the load reported earlier is then
  /// kept and ages further.
  bool is_load_unreadable = false;
  /// Time for which the replica stays cold (its caches are not warm yet); 0 if the answer does not
  /// report it.
  base::duration cold_for{};
  /// Whether the replica closes the connection after the answer. Draining replicas do so, but other
  /// replicas do so now and then as well, so no decision depends on it.
  bool closes_connection = false;
};

} // namespace spurrack::serving
