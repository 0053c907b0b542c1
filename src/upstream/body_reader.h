/// Reads the body of an answer as it arrives. A connection on which nothing has arrived holds no
/// room for it, so that what waits for a slow client or replica costs neither memory nor time.
#pragma once

#include "upstream/connection_pool.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <string>

namespace spurrack::upstream {

using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// Takes as much of a body out of what was received as is there.
/// @param received of which the parsed bytes are removed; bytes of framing that are not whole stay.
/// @param parser whose head is done.
/// @param body to which the body's bytes are added.
/// @return the error of bytes that are no body; none where more are needed.
boost::system::error_code parse_received_body(boost::beast::flat_buffer& received,
                                              response_parser& parser, std::string& body);

/// Waits until some of a body has arrived and takes it, one read of the connection at the most.
/// The socket does not block.
/// @param max_bytes of one read.
/// @param body to which the body's bytes are added; it may be none where only framing came.
/// @return the error, if any: a connection that ended too early is `end_of_stream`.
boost::asio::awaitable<boost::system::error_code> read_some_body(connection& source,
                                                                 response_parser& parser,
                                                                 std::size_t max_bytes,
                                                                 std::string& body);

} // namespace spurrack::upstream
