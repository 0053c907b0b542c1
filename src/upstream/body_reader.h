/// Reads the body of an answer as it arrives. A connection has no buffer while no bytes have
/// arrived, so that connections that wait for a slow client or replica use neither memory nor
/// processor time.
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

/// Maximum number of bytes of incomplete framing that are kept: the size line of a chunk with its
/// extensions, or the trailer of a body. These bytes carry no content, and no budget counts them.
inline constexpr std::size_t max_framing_bytes = 16'384;

/// Parses the received bytes of a body as far as possible.
/// @param received bytes read from the connection; the parsed bytes are removed, incomplete framing
///        stays.
/// @param parser must have parsed the head.
/// @param body text to which the parsed bytes of the body are appended.
/// @return the error if the bytes are not a valid body, or hold more than `max_framing_bytes` of
///         incomplete framing; no error if more bytes are needed.
boost::system::error_code parse_received_body(boost::beast::flat_buffer& received,
                                              response_parser& parser, std::string& body);

/// Parses the bytes that were already received. If they include no bytes of the body, waits until
/// bytes arrive, reads at most once from the connection, and parses what was read.
/// @param source connection to read from; its socket must be non-blocking.
/// @param max_bytes maximum number of bytes to read.
/// @param body text to which the parsed bytes of the body are appended; unchanged if only framing
///        arrived.
/// @return the error, if any: `end_of_stream` if the connection ended before the body was complete.
boost::asio::awaitable<boost::system::error_code> read_some_body(connection& source,
                                                                 response_parser& parser,
                                                                 std::size_t max_bytes,
                                                                 std::string& body);

} // namespace spurrack::upstream
