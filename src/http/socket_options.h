/// Options and state of TCP sockets that the library has no names for.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace spurrack::http {

/// Sends small writes at once and gives the connection up where the peer acknowledges nothing for
/// `tcp_user_timeout`, so that a silent cut is noticed; where nothing is sent, keep-alive
/// probes of a second ask.
void set_tcp_options(boost::asio::ip::tcp::socket& socket,
                     std::chrono::milliseconds tcp_user_timeout);

/// @return whether a readable socket is at its end, not at further bytes.
bool peer_has_closed(boost::asio::ip::tcp::socket& socket);

} // namespace spurrack::http
