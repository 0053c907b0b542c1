/// A message from the decision logic to a peer.
#pragma once

#include "base/ids.h"
#include "wire/peer.pb.h"

#include <vector>

namespace spurrack::wire {

/// Message with its destination. `node::node` sets the sender fields of the envelope.
struct outgoing {
  base::network_address to;
  envelope message;
  /// The peer did not answer on the existing connection, which may be unresponsive permanently: the
  /// connection is replaced. The message may be lost by the replacement.
  bool on_new_connection = false;
};

using outbox = std::vector<outgoing>;

} // namespace spurrack::wire
