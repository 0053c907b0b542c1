/// What a replica reports of itself in the head of an answer: one typed value, decoded in one place
/// from every kind of answer.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace spurrack::serving {

/// Load that a replica reports in an answer: requests that run, requests that wait, and slots.
struct replica_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// Rate limit that a replica announces in an answer. It bounds the requests of all nodes together.
struct announced_limit {
  /// Requests per second; std::nullopt if the answer announces no limit.
  std::optional<double> per_second;
  /// The answer announces a limit that cannot be parsed; the earlier limit stays in effect.
  bool is_unreadable = false;
};

/// Backoff that a replica requests from this node in an answer (Retry-After).
struct requested_backoff {
  /// Counted from the answer; std::nullopt if the answer requests no backoff.
  std::optional<base::duration> span;
  /// The answer requests a backoff that cannot be parsed.
  bool is_unreadable = false;
};

/// All that one answer reports of its replica.
struct replica_self_report {
  /// The replica drains: it accepts no new requests.
  bool is_draining = false;
  /// The answer holds a drain announcement that cannot be parsed.
  bool is_drain_unreadable = false;
  requested_backoff backoff;
  announced_limit limit;
  std::optional<replica_load> load;
  /// The answer reports a load that cannot be parsed; the earlier load is kept, with its age.
  bool is_load_unreadable = false;
  /// Time for which the replica stays cold; 0 if the answer does not report it.
  base::duration cold_for{};
  /// The replica closes the connection after the answer. Draining replicas do that and other
  /// replicas now and then, so no decision depends on it.
  bool closes_connection = false;
};

} // namespace spurrack::serving
