/// Waits on an open connection for the next request.
#pragma once

#include "base/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace spurrack::http {

/// Reads the first bytes of a request into `buffer`; returns at once if it holds bytes.
/// @return false if none arrive within `idle_timeout`, or the connection has ended.
boost::asio::awaitable<bool> wait_for_request(boost::beast::tcp_stream& stream,
                                              boost::beast::flat_buffer& buffer,
                                              base::duration idle_timeout);

} // namespace spurrack::http
