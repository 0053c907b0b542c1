/// Reads one request of a client of published routes from its connection, within limits on size,
/// time and memory.
#pragma once

#include "base/time.h"
#include "flow/byte_budget.h"
#include "http/ingress_refusal.h"
#include "model/serving_records.h"
#include "serving/request_codec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <variant>

namespace spurrack::http {

/// Request that arrived completely.
struct received_request {
  serving::raw_request content;
  /// Memory reservation of the body, for all copies of it.
  flow::byte_reservation body_reservation;
  /// Time at which the head of the request had arrived.
  base::time_point arrived_at;
  bool is_head_only = false;
  /// Whether the client wants to use the connection for further requests.
  bool keeps_connection = false;
};

/// Request that is refused because it could not be read.
struct unreadable_request {
  refusal answer;
  /// Whether there was no memory for the body.
  bool lacks_memory = false;
};

/// The client ended the connection before the request was complete.
struct connection_ended {};

using receive_outcome = std::variant<connection_ended, unreadable_request, received_request>;

/// Reads a request. The deadlines of `limits` leave the connection open, so that a refusal can be
/// written. Bytes of a further request stay in `buffer`.
/// @param limits must outlive the read; a change of them is in effect at once.
/// @param budget memory for the body.
boost::asio::awaitable<receive_outcome> receive_request(boost::beast::tcp_stream& stream,
                                                        boost::beast::flat_buffer& buffer,
                                                        const model::client_limits& limits,
                                                        std::shared_ptr<flow::byte_budget> budget);

} // namespace spurrack::http
