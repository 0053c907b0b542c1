/// Peer messages over ZeroMQ: one ROUTER socket to receive, one DEALER socket per peer to send,
/// CURVE encryption if keys are set. Only plain ZeroMQ sockets are used; spurrack itself implements
/// routing and membership.
#pragma once

#include "peers/peer_transport.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>

namespace spurrack::peers {

/// Binds and starts receiving.
/// @param io drives the transport; must outlive it.
/// @param listen `IP:port`.
/// @throws std::system_error if the address cannot be bound.
std::unique_ptr<peer_transport> make_zmq_transport(boost::asio::io_context& io,
                                                   const std::string& listen,
                                                   const std::optional<settings::curve_keys>& keys,
                                                   message_handler handler);

} // namespace spurrack::peers
