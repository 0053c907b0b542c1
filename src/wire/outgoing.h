/// A message that decision logic wants sent to a peer.
#pragma once

#include "base/ids.h"
#include "wire/peer.pb.h"

#include <vector>

namespace spurrack::wire {

/// Message with its destination. The sender fields of the envelope are filled in by `node::node`.
struct outgoing {
  base::network_address to;
  envelope message;
  /// The peer did not answer on the connection that stands, which may be silent for good: it is
  /// replaced. The message itself may be lost with that.
  bool on_new_connection = false;
};

using outbox = std::vector<outgoing>;

} // namespace spurrack::wire
