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
};

using outbox = std::vector<outgoing>;

} // namespace spurrack::wire
