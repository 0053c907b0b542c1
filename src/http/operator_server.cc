#include "http/operator_server.h"

#include "http/awaitable.h"
#include "http/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace spurrack::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

constexpr std::chrono::seconds exchange_timeout{10};
constexpr std::uint32_t max_header_bytes = 8'192;

class operator_server_impl final : public operator_server {
 public:
  operator_server_impl(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
                       document_source source, action_handler handler)
      : io_(&io), acceptor_(io, listen), document_source_(std::move(source)),
        action_handler_(std::move(handler)) {
    asio::co_spawn(io, accept_all(), asio::detached);
  }

 private:
  asio::awaitable<void> accept_all() {
    while (acceptor_.is_open()) {
      boost::system::error_code error;
      auto socket = co_await acceptor_.async_accept(await_into(error));
      if (!error) {
        asio::co_spawn(*io_, serve(std::move(socket)), asio::detached);
      }
    }
  }

  /// Serves one request per connection, since operators send few requests.
  asio::awaitable<void> serve(asio::ip::tcp::socket socket) {
    beast::tcp_stream stream(std::move(socket));
    stream.expires_after(exchange_timeout);
    beast::flat_buffer buffer;
    beast_http::request_parser<beast_http::empty_body> parser;
    parser.header_limit(max_header_bytes);
    boost::system::error_code error;
    co_await beast_http::async_read(stream, buffer, parser, await_into(error));
    if (error) {
      co_return;
    }
    auto response = make_response(parser.get());
    co_await beast_http::async_write(stream, response, await_into(error));
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
  }

  beast_http::response<beast_http::string_body>
  make_response(const beast_http::request<beast_http::empty_body>& request) {
    beast_http::response<beast_http::string_body> response(beast_http::status::not_found, 11);
    response.keep_alive(false);
    const bool is_action = action_handler_ && request.method() == beast_http::verb::post;
    if (!is_action && request.method() != beast_http::verb::get) {
      response.result(beast_http::status::method_not_allowed);
    } else if (auto document = (is_action ? action_handler_
                                          : document_source_)(std::string(request.target()))) {
      response.result(beast_http::status::ok);
      response.set(beast_http::field::content_type, document->content_type);
      response.body() = std::move(document->body);
    }
    response.prepare_payload();
    return response;
  }

  asio::io_context* io_;
  asio::ip::tcp::acceptor acceptor_;
  document_source document_source_;
  action_handler action_handler_;
};

} // namespace

std::unique_ptr<operator_server> make_operator_server(asio::io_context& io,
                                                      const std::string& listen,
                                                      document_source source,
                                                      action_handler handler) {
  const auto endpoint = parse_endpoint(listen);
  if (!endpoint) {
    throw boost::system::system_error(asio::error::invalid_argument, listen);
  }
  return std::make_unique<operator_server_impl>(io, *endpoint, std::move(source),
                                                std::move(handler));
}

} // namespace spurrack::http
