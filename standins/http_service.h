/// A small HTTP server shared by the stand-ins: one coroutine a connection, one handler a request.
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

/// One request with the means to answer it.
class service_exchange {
 public:
  service_exchange(boost::beast::tcp_stream& stream, service_request request)
      : stream_(&stream), request_(std::move(request)) {}

  [[nodiscard]] const service_request& request() const { return request_; }
  [[nodiscard]] std::string target() const { return std::string(request_.target()); }
  /// @return the body as an object; empty where it is not one.
  [[nodiscard]] boost::json::object body() const;
  /// Writes a whole answer.
  boost::asio::awaitable<void> reply(unsigned status, boost::json::object body);
  /// Writes bytes as they are.
  boost::asio::awaitable<bool> write(std::string text);
  /// Closes the connection; with a reset where wanted.
  void close(bool with_reset);
  [[nodiscard]] boost::beast::tcp_stream& stream() { return *stream_; }
  [[nodiscard]] bool is_closed() const { return is_closed_; }

 private:
  boost::beast::tcp_stream* stream_;
  service_request request_;
  bool is_closed_ = false;
};

using service_handler = std::function<boost::asio::awaitable<void>(service_exchange&)>;

/// Accepts on `listen_address` (`IP:port`) until the io_context stops.
/// @throws boost::system::system_error where the address cannot be bound.
void serve(boost::asio::io_context& io, const std::string& listen_address, service_handler handler);

/// Waits without blocking the thread.
boost::asio::awaitable<void> wait_for(std::chrono::nanoseconds duration);

} // namespace spurrack::standins
