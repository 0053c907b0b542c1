#include "http/caller_server.h"

#include "http/awaitable.h"
#include "http/caller_request_parser.h"
#include "http/connection_acceptor.h"
#include "http/count_guard.h"
#include "http/endpoint.h"
#include "http/read_deadline.h"
#include "http/request_wait.h"
#include "http/socket_options.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace spurrack::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
namespace json = boost::json;

using http_response = beast_http::response<beast_http::string_body>;

struct token_item {
  std::uint32_t offset = 0;
  std::string text;
};
struct ticket_item {
  std::string ticket;
  base::duration lifetime{};
};
using outgoing_item = std::variant<execution::answer, token_item, ticket_item>;

/// @return time at which the last bytes of the request reached this machine; the current time if
///         the kernel does not report the arrival. The kernel also knows the arrival of a request
///         that waited in the socket while this process was suspended.
base::time_point arrival_time(beast::tcp_stream& stream) {
  const auto now = base::boot_clock::now();
  tcp_info info{};
  socklen_t length = sizeof(info);
  const int failed =
      ::getsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length);
  return failed != 0 ? now : now - std::chrono::milliseconds(info.tcpi_last_data_recv);
}

/// State of a request that the node is processing.
struct caller_exchange {
  explicit caller_exchange(asio::io_context& io)
      : wake(io, asio::steady_timer::time_point::max()) {}
  /// Items to write to the caller, in order.
  std::deque<outgoing_item> items;
  /// Cancelled to wake the coroutine that waits for a change of this exchange.
  asio::steady_timer wake;
  bool is_disconnected = false;
  /// Whether `watch_for_disconnect` has ended for this exchange.
  bool has_watch_ended = false;
};

http_response make_response(beast_http::status status, const json::object& body, bool keep_alive) {
  http_response response(status, 11);
  response.set(beast_http::field::content_type, "application/json");
  response.keep_alive(keep_alive);
  response.body() = json::serialize(body) + "\n";
  response.prepare_payload();
  return response;
}

http_response make_answer(const execution::answer& content, bool keep_alive) {
  auto response = make_response(status_of(content), to_json(content), keep_alive);
  if (content.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(content.retry_after).count() + 1;
    response.set(beast_http::field::retry_after, std::to_string(seconds));
  }
  return response;
}

std::string make_event(std::string_view name, const json::object& data) {
  return "event: " + std::string(name) + "\ndata: " + json::serialize(data) + "\n\n";
}

request_fault fault_of(const boost::system::error_code& error) {
  if (error == beast::error::timeout) {
    return request_fault::receive_timeout;
  }
  if (error == beast_http::error::body_limit) {
    return request_fault::body_too_large;
  }
  if (error == beast_http::error::header_limit || error == beast_http::error::buffer_overflow) {
    return request_fault::header_too_large;
  }
  return request_fault::malformed_http;
}

class caller_server_impl final : public caller_server {
 public:
  caller_server_impl(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
                     settings::caller_limits limits, caller_observer observer)
      : io_(&io), acceptor_(io, listen,
                            [this](asio::ip::tcp::socket socket) {
                              asio::co_spawn(*io_, serve(std::move(socket)), asio::detached);
                            }),
        limits_(limits), observer_(std::move(observer)) {}

  void send_answer(base::caller_id caller, execution::answer content) override {
    push(caller, std::move(content));
  }
  void send_token(base::caller_id caller, std::uint32_t offset, std::string text) override {
    push(caller, token_item{offset, std::move(text)});
  }
  void send_ticket(base::caller_id caller, std::string ticket, base::duration lifetime) override {
    push(caller, ticket_item{std::move(ticket), lifetime});
  }
  void stop_accepting() override {
    is_stopping_ = true;
    new_connections_.begin_stop(base::boot_clock::now());
    acceptor_.stop();
  }
  [[nodiscard]] std::size_t busy_connections() const override {
    return busy_connections_ + new_connections_.awaiting_first_request(base::boot_clock::now());
  }

 private:
  void push(base::caller_id caller, outgoing_item item) {
    const auto found = exchanges_.find(caller);
    if (found == exchanges_.end()) {
      return;
    }
    found->second->items.push_back(std::move(item));
    found->second->wake.cancel();
  }

  asio::awaitable<void> serve(asio::ip::tcp::socket socket) {
    ++connections_;
    beast::tcp_stream stream(std::move(socket));
    boost::system::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    if (connections_ > limits_.max_connections) {
      co_await refuse(stream, request_fault::too_many_connections, "try another node");
    } else {
      beast::flat_buffer buffer;
      std::optional<new_connections::guard> new_connection(std::in_place, new_connections_);
      bool keep_serving = true;
      while (keep_serving) {
        keep_serving = co_await serve_request(stream, buffer, new_connection);
      }
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    --connections_;
  }

  /// Serves one request. @return whether the connection can be used for another request.
  asio::awaitable<bool> serve_request(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                      std::optional<new_connections::guard>& new_connection) {
    if (!co_await wait_for_request(stream, buffer, limits_.idle_timeout)) {
      co_return false;
    }
    boost::system::error_code error;
    const count_guard busy(busy_connections_);
    new_connection.reset();
    beast_http::request_parser<beast_http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser.body_limit(limits_.max_body_bytes);
    stream.expires_never();
    {
      const read_deadline deadline(stream, limits_.receive_timeout);
      co_await beast_http::async_read(stream, buffer, parser, await_into(error));
      if (deadline.has_passed()) {
        error = beast::error::timeout;
      }
    }
    if (error == beast_http::error::end_of_stream || error == asio::error::connection_reset) {
      co_return false;
    }
    if (error) {
      co_await refuse(stream, fault_of(error), error.message());
      co_return false;
    }
    stream.expires_never();
    const bool keep_alive = parser.get().keep_alive() && !is_stopping_;
    co_return co_await answer(stream, parse_caller_request(parser.get()), keep_alive);
  }

  asio::awaitable<bool> answer(beast::tcp_stream& stream, parsed_request request, bool keep_alive) {
    if (const auto* fault = std::get_if<refused_request>(&request)) {
      co_return co_await write(
          stream,
          make_response(status_of(fault->fault), to_json(fault->fault, fault->detail), keep_alive));
    }
    if (const auto* health = std::get_if<health_request>(&request)) {
      const bool is_healthy = !health->readiness || observer_.is_ready();
      const json::object body{{"ready", observer_.is_ready()}};
      co_return co_await write(stream,
                               make_response(is_healthy ? beast_http::status::ok
                                                        : beast_http::status::service_unavailable,
                                             body, keep_alive));
    }
    co_return co_await submit_and_answer(stream, std::move(request), keep_alive);
  }

  asio::awaitable<bool> submit_and_answer(beast::tcp_stream& stream, parsed_request request,
                                          bool keep_alive) {
    const auto caller = next_caller_++;
    auto exchange = std::make_shared<caller_exchange>(*io_);
    exchanges_[caller] = exchange;
    bool is_streaming = false;
    if (auto* ticket = std::get_if<ticket_request>(&request)) {
      observer_.on_ticket_requested({caller, std::move(ticket->token_sha256)});
    } else {
      auto& content = std::get<execution::caller_request>(request);
      is_streaming = content.stream;
      observer_.on_request({caller, std::move(content), arrival_time(stream)});
    }
    asio::co_spawn(*io_, watch_for_disconnect(stream, exchange), asio::detached);
    const bool keep_serving = co_await write_items(stream, *exchange, is_streaming, keep_alive);
    exchanges_.erase(caller);
    if (exchange->is_disconnected || !keep_serving) {
      observer_.on_disconnected({caller});
    }
    // Ends `watch_for_disconnect`, which must not outlive `stream`.
    boost::system::error_code ignored;
    stream.socket().cancel(ignored);
    co_await wait_for_watch(*exchange);
    co_return keep_serving;
  }

  /// Detects that a caller closes its connection before it has received the answer.
  static asio::awaitable<void> watch_for_disconnect(beast::tcp_stream& stream,
                                                    std::shared_ptr<caller_exchange> exchange) {
    boost::system::error_code error;
    co_await stream.socket().async_wait(asio::ip::tcp::socket::wait_read, await_into(error));
    exchange->is_disconnected = !error && peer_has_closed(stream.socket());
    exchange->has_watch_ended = true;
    exchange->wake.cancel();
  }

  static asio::awaitable<void> wait_for_watch(caller_exchange& exchange) {
    while (!exchange.has_watch_ended) {
      boost::system::error_code error;
      co_await exchange.wake.async_wait(await_into(error));
    }
  }

  asio::awaitable<bool> write_items(beast::tcp_stream& stream, caller_exchange& exchange,
                                    bool is_streaming, bool keep_alive) {
    bool is_head_written = false;
    while (!exchange.is_disconnected) {
      if (exchange.items.empty()) {
        boost::system::error_code error;
        co_await exchange.wake.async_wait(await_into(error));
        continue;
      }
      auto item = std::move(exchange.items.front());
      exchange.items.pop_front();
      if (const auto* token = std::get_if<token_item>(&item)) {
        if (is_streaming && !co_await write_token(stream, *token, is_head_written)) {
          co_return false;
        }
        is_head_written = true;
        continue;
      }
      if (const auto* ticket = std::get_if<ticket_item>(&item)) {
        const json::object body{{"ticket", ticket->ticket},
                                {"expires_in_ms", base::to_milliseconds(ticket->lifetime)}};
        co_return co_await write(stream, make_response(beast_http::status::ok, body, keep_alive));
      }
      const auto& content = std::get<execution::answer>(item);
      if (is_head_written) {
        co_await write_text(stream, make_event("answer", to_json(content)));
        co_return false;
      }
      co_return co_await write(stream, make_answer(content, keep_alive));
    }
    co_return false;
  }

  /// Writes a token event; writes the head of the answer first if `is_head_written` is false. The
  /// end of the connection marks the end of the stream.
  static asio::awaitable<bool> write_token(beast::tcp_stream& stream, const token_item& token,
                                           bool is_head_written) {
    std::string text;
    if (!is_head_written) {
      text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    }
    text += make_event("token", {{"offset", token.offset}, {"text", token.text}});
    co_return co_await write_text(stream, std::move(text));
  }

  static asio::awaitable<bool> write_text(beast::tcp_stream& stream, std::string text) {
    boost::system::error_code error;
    stream.expires_after(write_timeout);
    co_await asio::async_write(stream, asio::buffer(text), await_into(error));
    stream.expires_never();
    co_return !error;
  }

  static asio::awaitable<bool> write(beast::tcp_stream& stream, http_response response) {
    boost::system::error_code error;
    stream.expires_after(write_timeout);
    co_await beast_http::async_write(stream, response, await_into(error));
    stream.expires_never();
    co_return !error && response.keep_alive();
  }

  static asio::awaitable<void> refuse(beast::tcp_stream& stream, request_fault fault,
                                      std::string detail) {
    co_await write(stream, make_response(status_of(fault), to_json(fault, detail), false));
  }

  static constexpr std::chrono::seconds write_timeout{10};

  asio::io_context* io_;
  connection_acceptor acceptor_;
  new_connections new_connections_;
  settings::caller_limits limits_;
  caller_observer observer_;
  bool is_stopping_ = false;
  std::size_t connections_ = 0;
  /// Number of connections on which a request has begun to arrive and the last byte of its answer
  /// is not written yet.
  std::size_t busy_connections_ = 0;
  base::caller_id next_caller_ = 1;
  std::unordered_map<base::caller_id, std::shared_ptr<caller_exchange>> exchanges_;
};

} // namespace

std::unique_ptr<caller_server> make_caller_server(asio::io_context& io, const std::string& listen,
                                                  settings::caller_limits limits,
                                                  caller_observer observer) {
  const auto endpoint = parse_endpoint(listen);
  if (!endpoint) {
    throw boost::system::system_error(asio::error::invalid_argument, listen);
  }
  return std::make_unique<caller_server_impl>(io, *endpoint, limits, std::move(observer));
}

} // namespace spurrack::http
