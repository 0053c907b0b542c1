/// Options and state of TCP sockets that Asio does not support directly.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace spurrack::http {

/// Disables Nagle's algorithm and lets the kernel close the connection if the peer acknowledges no
/// data or keep-alive probe for `tcp_user_timeout`, so that a peer that becomes unreachable without
/// a reset is detected. Keep-alive probes start after 1 s without traffic and repeat every second.
void set_tcp_options(boost::asio::ip::tcp::socket& socket,
                     std::chrono::milliseconds tcp_user_timeout);

/// Checks without blocking whether a connection has ended.
/// @return whether the peer has closed the connection, or the connection has failed, and no bytes
///         are left to read.
bool peer_has_closed(boost::asio::ip::tcp::socket& socket);

} // namespace spurrack::http
