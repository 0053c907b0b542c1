/// Writes the answer to a request that is refused before it reaches the serving path.
#pragma once

#include "http/ingress_refusal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstddef>

namespace spurrack::http {

/// Bounds on what is read and discarded after a refusal.
struct discard_limits {
  /// Maximum size of the body in bytes; headers and framing come on top.
  std::size_t max_body_bytes = 0;
  std::chrono::seconds timeout{};
};

/// Writes a refusal, and then reads and discards the bytes that the client still sends: closing a
/// socket with unread bytes resets the connection, and the client might not receive the answer.
/// @param write_timeout maximum time for which the client may read nothing of the answer.
boost::asio::awaitable<void> write_refusal(boost::beast::tcp_stream& stream,
                                           const refusal& response,
                                           std::chrono::seconds write_timeout,
                                           discard_limits limits);

} // namespace spurrack::http
