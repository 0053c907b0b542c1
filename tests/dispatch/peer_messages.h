/// Delivery of messages between simulated dispatchers.
#pragma once

#include "dispatch/dispatcher.h"

namespace spurrack::serving {

/// Delivers a message to the part of the receiving dispatcher that handles its kind, as a node
/// does.
inline void deliver_peer_message(dispatcher& receiver, const fleet_peer& sender,
                                 const wire::envelope& message, base::time_point now) {
  if (message.has_stage_work()) {
    receiver.handle_peer(sender.node, message.stage_work(), now);
  } else if (message.has_engine_news()) {
    receiver.handle_peer(message.engine_news(), now);
  } else if (message.has_replica_news()) {
    receiver.handle_peer(sender.node, message.replica_news(), now);
  } else if (message.has_retry_lending()) {
    receiver.handle_peer(sender.node, sender.address, message.retry_lending(), now);
  } else if (message.has_relay_offer()) {
    receiver.handle_peer(sender.node, sender.address, message.relay_offer(), now);
  } else if (message.has_rate_limits()) {
    receiver.handle_peer(sender.node, message.rate_limits(), now);
  } else if (message.has_stream_origins()) {
    receiver.handle_peer(sender.node, sender.address, message.stream_origins(), now);
  } else if (message.has_crash_news()) {
    receiver.handle_peer(sender.address, message.crash_news(), now);
  }
}

} // namespace spurrack::serving
