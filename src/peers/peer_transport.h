/// Transport of messages between this node and other nodes, its peers. Delivery is best effort:
/// messages may be lost or arrive late.
#pragma once

#include "base/ids.h"
#include "wire/outgoing.h"

#include <functional>

namespace spurrack::peers {

/// Called with each message from an authenticated peer, on the thread of the io_context.
using message_handler = std::function<void(wire::envelope)>;

/// Sends messages to peers and receives their messages. Not thread-safe.
class peer_transport {
 public:
  peer_transport() = default;
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;
  virtual ~peer_transport() = default;

  /// Sends without blocking. A message that cannot be queued immediately is dropped and counted.
  virtual void send(const wire::outgoing& message) = 0;
  /// @return number of messages that were dropped because they could not be queued.
  [[nodiscard]] virtual std::uint64_t dropped_messages() const = 0;
};

} // namespace spurrack::peers
