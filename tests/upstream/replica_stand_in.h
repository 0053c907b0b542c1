/// A replica on loopback that accepts connections, and stays silent before it reads the bodies of
/// its calls. Its answers name the id that the call carries.
#pragma once

#include "http/awaitable.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace spurrack::upstream {

/// How the stand-in handles one call.
struct call_handling {
  /// Time between the head of the call and the first read of its body.
  std::chrono::milliseconds silence{};
  /// Whether the answer is a stream that begins before the silence.
  bool begins_stream = false;
  /// Number of interim answers (status 100) before the answer.
  std::size_t interim_answers = 0;
  /// Whether the last whole answer is sent once more, in the place of the answer to this call.
  bool repeats_last_answer = false;
  /// Whether the answer names no id.
  bool names_no_id = false;
  std::string body = "done";
};

/// Serves connections on the io_context of the test. Not thread-safe.
class replica_stand_in {
 public:
  /// @param handlings one for each call, in the order in which the calls arrive.
  replica_stand_in(boost::asio::io_context& io, std::vector<call_handling> handlings)
      : io_(&io), acceptor_(io), handlings_(std::move(handlings)) {
    const tcp::endpoint loopback(boost::asio::ip::address_v4::loopback(), 0);
    acceptor_.open(loopback.protocol());
    // Accepted connections inherit the size, which keeps bodies from fitting into the buffers.
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    acceptor_.bind(loopback);
    acceptor_.listen();
    boost::asio::co_spawn(io, accept_connections(), boost::asio::detached);
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  [[nodiscard]] std::size_t connections() const { return connections_; }

 private:
  using tcp = boost::asio::ip::tcp;
  static constexpr int receive_buffer_bytes = 65'536;
  static constexpr std::size_t max_body_bytes = 64'000'000;

  boost::asio::awaitable<void> accept_connections() {
    boost::system::error_code error;
    while (!error) {
      auto socket = std::make_shared<tcp::socket>(*io_);
      co_await acceptor_.async_accept(*socket, http::await_into(error));
      if (!error) {
        ++connections_;
        boost::asio::co_spawn(*io_, serve(socket), boost::asio::detached);
      }
    }
  }

  boost::asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (!error && next_call_ < handlings_.size()) {
      error = co_await serve_call(*socket, buffer);
    }
  }

  boost::asio::awaitable<boost::system::error_code> serve_call(tcp::socket& socket,
                                                               boost::beast::flat_buffer& buffer) {
    namespace beast_http = boost::beast::http;
    boost::system::error_code error;
    beast_http::request_parser<beast_http::string_body> parser;
    parser.body_limit(max_body_bytes);
    co_await beast_http::async_read_header(socket, buffer, parser, http::await_into(error));
    if (error) {
      co_return error;
    }
    const auto handling = handlings_.at(next_call_++);
    const std::string id(parser.get()["X-Request-Id"]);
    const std::string head =
        "HTTP/1.1 200 OK\r\n" + (handling.names_no_id ? "" : "X-Request-Id: " + id + "\r\n");
    if (handling.begins_stream) {
      const std::string begin = head + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n";
      co_await boost::asio::async_write(socket, boost::asio::buffer(begin),
                                        http::await_into(error));
    }
    boost::asio::steady_timer timer(*io_, handling.silence);
    co_await timer.async_wait(http::await_into(error));
    co_await beast_http::async_read(socket, buffer, parser, http::await_into(error));
    if (error) {
      co_return error;
    }
    std::string interim;
    for (std::size_t sent = 0; sent < handling.interim_answers; ++sent) {
      interim += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    co_await boost::asio::async_write(socket, boost::asio::buffer(interim),
                                      http::await_into(error));
    const auto surplus = handling.repeats_last_answer ? last_answer_ : std::string();
    last_answer_ = head + "Content-Length: " + std::to_string(handling.body.size()) + "\r\n\r\n" +
                   handling.body;
    const auto end = surplus + (handling.begins_stream ? "0\r\n\r\n" : last_answer_);
    co_await boost::asio::async_write(socket, boost::asio::buffer(end), http::await_into(error));
    co_return error;
  }

  boost::asio::io_context* io_;
  tcp::acceptor acceptor_;
  std::vector<call_handling> handlings_;
  std::string last_answer_;
  std::size_t next_call_ = 0;
  std::size_t connections_ = 0;
};

} // namespace spurrack::upstream
