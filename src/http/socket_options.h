/// Options and state of TCP sockets that Asio does not support directly.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace spurrack::http {

/// Disables Nagle's algorithm, and lets the kernel close the connection if the peer acknowledges
/// neither data nor keep-alive probes for `tcp_user_timeout`. This detects a peer that becomes
/// unreachable without sending a reset. Keep-alive probes start after 1 s without traffic and
/// repeat every second.
void set_tcp_options(boost::asio::ip::tcp::socket& socket,
                     std::chrono::milliseconds tcp_user_timeout);

/// Sets the time after which the kernel closes the connection if the peer acknowledges neither data
/// nor keep-alive probes, or keeps its receive window closed while bytes wait to be sent.
void set_tcp_user_timeout(boost::asio::ip::tcp::socket& socket,
                          std::chrono::milliseconds tcp_user_timeout);

/// Checks without blocking whether a connection has ended.
/// @return true if no received bytes are left to read and the connection has ended: the peer has
///         closed it, or it has failed.
bool peer_has_closed(boost::asio::ip::tcp::socket& socket);

} // namespace spurrack::http
