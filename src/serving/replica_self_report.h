/// What a replica says of itself with an answer, besides the answer: one typed value, decoded in
/// one place from every kind of answer.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace spurrack::serving {

/// Load of a replica as it told it with an answer.
struct replica_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// What an answer says of the requests that its replica takes from all nodes together.
struct announced_limit {
  /// Requests a second; nothing where it names no limit.
  std::optional<double> per_second;
  /// It names a limit that cannot be read; what it named before stands.
  bool is_unreadable = false;
};

/// What an answer says of the time for which its replica wants nothing from this node.
struct requested_backoff {
  /// From the answer on; nothing where it asks for none.
  std::optional<base::duration> span;
  /// It asks for one that cannot be read.
  bool is_unreadable = false;
};

struct replica_self_report {
  /// It leaves: it wants no new requests any more.
  bool is_draining = false;
  /// It says of its leaving what cannot be read.
  bool is_drain_unreadable = false;
  requested_backoff backoff;
  announced_limit limit;
  std::optional<replica_load> load;
  /// It tells a load that cannot be read; what it told before stands, with its age.
  bool is_load_unreadable = false;
  /// How much longer it stays cold; 0 where it does not say.
  base::duration cold_for{};
  /// It closes the connection, as leaving replicas do, and others now and then: no decision reads
  /// it.
  bool closes_connection = false;
};

} // namespace spurrack::serving
