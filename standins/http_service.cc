#include "http_service.h"

#include "http/awaitable.h"
#include "http/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <utility>

namespace spurrack::standins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using spurrack::http::await_into;

constexpr std::uint64_t max_body_bytes = 64'000'000;

asio::awaitable<void> serve_connection(asio::ip::tcp::socket socket,
                                       std::shared_ptr<service_handler> handler) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  boost::system::error_code error;
  stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  while (true) {
    beast_http::request_parser<beast_http::string_body> parser;
    parser.body_limit(max_body_bytes);
    co_await beast_http::async_read(stream, buffer, parser, await_into(error));
    if (error) {
      co_return;
    }
    const bool keep_alive = parser.get().keep_alive();
    service_exchange exchange(stream, parser.release());
    co_await (*handler)(exchange);
    if (!keep_alive || exchange.is_closed()) {
      co_return;
    }
  }
}

asio::awaitable<void> accept_connections(std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
                                         std::shared_ptr<service_handler> handler) {
  while (acceptor->is_open()) {
    boost::system::error_code error;
    auto socket = co_await acceptor->async_accept(await_into(error));
    if (!error) {
      asio::co_spawn(acceptor->get_executor(), serve_connection(std::move(socket), handler),
                     asio::detached);
    }
  }
}

} // namespace

boost::json::object service_exchange::body() const {
  boost::system::error_code error;
  auto value = boost::json::parse(request_.body(), error);
  return error || !value.is_object() ? boost::json::object() : std::move(value.get_object());
}

asio::awaitable<void> service_exchange::reply(unsigned status, boost::json::object body) {
  beast_http::response<beast_http::string_body> response(static_cast<beast_http::status>(status),
                                                         11);
  response.set(beast_http::field::content_type, "application/json");
  response.keep_alive(request_.keep_alive());
  response.body() = boost::json::serialize(body);
  response.prepare_payload();
  boost::system::error_code error;
  co_await beast_http::async_write(*stream_, response, await_into(error));
  is_closed_ = is_closed_ || error;
}

asio::awaitable<bool> service_exchange::write(std::string text) {
  boost::system::error_code error;
  co_await asio::async_write(*stream_, asio::buffer(text), await_into(error));
  is_closed_ = is_closed_ || error;
  co_return !error;
}

void service_exchange::close(bool with_reset) {
  boost::system::error_code error;
  if (with_reset) {
    stream_->socket().set_option(asio::socket_base::linger(true, 0), error);
  }
  stream_->close();
  is_closed_ = true;
}

void serve(asio::io_context& io, const std::string& listen_address, service_handler handler) {
  const auto endpoint = spurrack::http::parse_endpoint(listen_address);
  if (!endpoint) {
    throw boost::system::system_error(asio::error::invalid_argument, listen_address);
  }
  auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(io, *endpoint);
  asio::co_spawn(
      io, accept_connections(acceptor, std::make_shared<service_handler>(std::move(handler))),
      asio::detached);
}

asio::awaitable<void> wait_for(std::chrono::nanoseconds duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  boost::system::error_code error;
  co_await timer.async_wait(await_into(error));
}

} // namespace spurrack::standins
