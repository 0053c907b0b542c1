/// Small HTTP server of the emulated services. One coroutine serves each connection, and a handler
/// answers each request.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json.hpp>

#include <functional>
#include <string>

namespace spurrack::standins {

using service_request = boost::beast::http::request<boost::beast::http::string_body>;

/// HTTP request, with functions to answer it. Refers to the stream of the connection, which must
/// outlive this object.
class service_exchange {
 public:
  service_exchange(boost::beast::tcp_stream& stream, service_request request)
      : stream_(&stream), request_(std::move(request)) {}

  [[nodiscard]] const service_request& request() const { return request_; }
  [[nodiscard]] std::string target() const { return std::string(request_.target()); }
  /// @return the body as a JSON object; an empty object if the body is not a JSON object.
  [[nodiscard]] boost::json::object body() const;
  /// Writes a complete answer with a JSON body.
  boost::asio::awaitable<void> reply(unsigned status, boost::json::object body);
  /// Writes bytes to the connection unchanged, such as a part of an answer.
  /// @return whether all bytes were written.
  boost::asio::awaitable<bool> write(std::string text);
  /// Closes the connection.
  /// @param with_reset whether the connection is reset (TCP RST) instead of closed gracefully.
  void close(bool with_reset);
  [[nodiscard]] boost::beast::tcp_stream& stream() { return *stream_; }
  [[nodiscard]] bool is_closed() const { return is_closed_; }

 private:
  boost::beast::tcp_stream* stream_;
  service_request request_;
  bool is_closed_ = false;
};

using service_handler = std::function<boost::asio::awaitable<void>(service_exchange&)>;

/// Starts to accept connections at `listen_address` (`IP:port`). Connections are accepted until
/// `io` stops.
/// @throws boost::system::system_error if the address is invalid or cannot be bound.
void serve(boost::asio::io_context& io, const std::string& listen_address, service_handler handler);

/// Suspends the calling coroutine for a duration without blocking the thread.
boost::asio::awaitable<void> wait_for(std::chrono::nanoseconds duration);

} // namespace spurrack::standins
