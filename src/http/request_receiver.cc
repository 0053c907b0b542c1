#include "http/request_receiver.h"

#include "http/awaitable.h"
#include "http/read_deadline.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <string>
#include <utility>

namespace spurrack::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

/// Maximum number of bytes of one read of a large body.
constexpr std::size_t body_read_bytes = 16'384;
/// Maximum number of bytes of a small body; larger bodies are refused first when memory is short.
constexpr std::size_t large_body_bytes = 65'536;
/// Number of copies of a body that are held at the same time: a copy for a retry and a copy that is
/// written to a replica.
constexpr std::size_t body_copies = 2;

/// Reserves memory for all copies of a body.
/// @param size number of bytes of the body that were received so far, or that Content-Length
///        announces.
/// @return whether there is enough memory.
bool reserve_body(flow::byte_reservation& reservation, std::size_t size) {
  const auto required = size * body_copies;
  const auto use =
      size > large_body_bytes ? flow::byte_use::large_body : flow::byte_use::small_body;
  return required <= reservation.bytes() || reservation.grow(use, required - reservation.bytes());
}

/// Reads a body until it is complete or memory runs out.
/// @param has_memory set to false if memory ran out.
/// @return the error of the read, if any.
asio::awaitable<boost::system::error_code>
read_body(beast::tcp_stream& stream, beast::flat_buffer& buffer,
          beast_http::request_parser<beast_http::string_body>& parser,
          flow::byte_reservation& reservation, bool& has_memory) {
  boost::system::error_code error;
  if (parser.content_length().value_or(0) > body_read_bytes || parser.chunked()) {
    // A read is limited to the capacity of the buffer.
    buffer.reserve(body_read_bytes);
  }
  while (!error && has_memory && !parser.is_done()) {
    co_await beast_http::async_read_some(stream, buffer, parser, await_into(error));
    has_memory = reserve_body(reservation, parser.get().body().size());
  }
  co_return error;
}

serving::raw_request raw_request_of(beast_http::request<beast_http::string_body>& message,
                                    bool has_body) {
  serving::raw_request raw;
  raw.method = std::string(message.method_string());
  raw.target = std::string(message.target());
  for (const auto& field : message) {
    raw.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  raw.body = std::move(message.body());
  raw.has_body = has_body;
  return raw;
}

} // namespace

asio::awaitable<receive_outcome> receive_request(beast::tcp_stream& stream,
                                                 beast::flat_buffer& buffer,
                                                 const model::client_limits& limits,
                                                 std::shared_ptr<flow::byte_budget> budget) {
  boost::system::error_code error;
  beast_http::request_parser<beast_http::string_body> parser;
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  stream.expires_never();
  {
    const read_deadline deadline(stream, limits.header_timeout);
    co_await beast_http::async_read_header(stream, buffer, parser, await_into(error));
    if (deadline.has_passed()) {
      error = beast::error::timeout;
    }
  }
  const auto arrived_at = base::boot_clock::now();
  flow::byte_reservation body_reservation(std::move(budget), flow::byte_holder::request_bodies);
  bool has_memory = error || reserve_body(body_reservation, parser.content_length().value_or(0));
  if (!error && has_memory && parser.get()[beast_http::field::expect] == "100-continue") {
    const std::string continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(stream, asio::buffer(continue_response), await_into(error));
  }
  if (!error && has_memory) {
    const read_deadline deadline(stream, limits.idle_timeout);
    error = co_await read_body(stream, buffer, parser, body_reservation, has_memory);
    if (deadline.has_passed()) {
      error = beast::error::timeout;
    }
  }
  if (error == beast_http::error::end_of_stream || error == asio::error::connection_reset) {
    co_return connection_ended{};
  }
  if (!has_memory) {
    co_return unreadable_request{memory_refusal, true};
  }
  if (error) {
    co_return unreadable_request{refusal_of(error), false};
  }
  stream.expires_never();
  auto& message = parser.get();
  const bool is_head_only = message.method() == beast_http::verb::head;
  const bool keeps_connection = message.keep_alive();
  const bool has_body = parser.content_length().has_value() || parser.chunked();
  received_request received{raw_request_of(message, has_body), std::move(body_reservation),
                            arrived_at, is_head_only, keeps_connection};
  co_return receive_outcome(std::move(received));
}

} // namespace spurrack::http
