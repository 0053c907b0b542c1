#include "http/ingress_server.h"

#include "base/time.h"
#include "http/answer_writer.h"
#include "http/awaitable.h"
#include "http/connection_acceptor.h"
#include "http/count_guard.h"
#include "http/endpoint.h"
#include "http/read_limit.h"
#include "http/socket_options.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace spurrack::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

constexpr std::size_t first_read_bytes = 4'096;
constexpr std::size_t max_connections = 1'500;
/// Longest time one write to a client may take.
constexpr std::chrono::seconds write_timeout{10};
/// After a refusal this much more is read, for this time at the most.
constexpr std::size_t max_discarded_bytes = 1'000'000;
constexpr std::chrono::seconds discard_timeout{1};
/// A client that leaves this much unread is given up.
constexpr std::size_t max_unwritten_bytes = 1'000'000;
constexpr std::chrono::milliseconds unacknowledged_limit{10'000};

/// A client whose request is being served: what is to be written to it, in order.
struct exchange {
  explicit exchange(asio::io_context& io) : wake(io, asio::steady_timer::time_point::max()) {}
  std::deque<std::string> unwritten;
  std::size_t unwritten_bytes = 0;
  asio::steady_timer wake;
  /// The answer ends with what is in `unwritten`.
  bool ended = false;
  /// The connection is to be broken off.
  bool broken = false;
  bool gone = false;
  bool watch_ended = false;
  bool head_only = false;
  /// The head of a streamed answer was written.
  bool streaming = false;
  after_answer connection = after_answer::keep_open;
};

/// A request that is refused before it reaches the serving path.
struct refusal {
  unsigned status = 400;
  std::string reason;
};

constexpr unsigned bad_request_status = 400;
const refusal crowded_refusal{503, "too many connections"};

std::string text_of(const refusal& wanted) {
  const serving::header_list headers{{"Content-Type", "application/json"}};
  const auto body = "{\"error\":\"" + wanted.reason + "\"}\n";
  return whole_answer(wanted.status, headers, body, false, after_answer::close);
}

refusal refusal_of(const boost::system::error_code& error) {
  if (error == beast::error::timeout) {
    return {408, "the request took too long to arrive"};
  }
  if (error == beast_http::error::body_limit) {
    return {413, "the body is too large"};
  }
  if (error == beast_http::error::header_limit || error == beast_http::error::buffer_overflow) {
    return {431, "the header is too large"};
  }
  return {400, "malformed request"};
}

class ingress_server_impl final : public ingress_server {
 public:
  ingress_server_impl(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
                      const serving::request_codec& codec, ingress_observer observer)
      : io_(&io), acceptor_(io, listen,
                            [this](asio::ip::tcp::socket socket) {
                              asio::co_spawn(*io_, serve(std::move(socket)), asio::detached);
                            }),
        codec_(&codec), observer_(std::move(observer)) {}

  void carry_out(serving::respond wanted) override {
    const auto found = exchanges_.find(wanted.client);
    if (found == exchanges_.end()) {
      return;
    }
    auto& client = *found->second;
    if (wanted.own_answer_to) {
      auto own = codec_->own_answer_headers(*wanted.own_answer_to);
      std::move(own.begin(), own.end(), std::back_inserter(wanted.headers));
    }
    client.connection = stopping_ ? after_answer::close : client.connection;
    client.ended = true;
    if (client.streaming) {
      // A second head inside a stream would be no answer; breaking off says that it is not whole.
      client.broken = true;
      client.wake.cancel();
      return;
    }
    push(client, whole_answer(wanted.status, wanted.headers, wanted.body, client.head_only,
                              client.connection));
  }

  void carry_out(serving::open_stream wanted) override {
    const auto found = exchanges_.find(wanted.client);
    if (found != exchanges_.end()) {
      auto& client = *found->second;
      client.connection = stopping_ ? after_answer::close : client.connection;
      client.streaming = true;
      push(client, chunked_head(wanted.status, wanted.headers, client.connection));
    }
  }

  void carry_out(serving::stream_data wanted) override {
    const auto found = exchanges_.find(wanted.client);
    if (found != exchanges_.end()) {
      push(*found->second, chunk(wanted.bytes));
    }
  }

  void carry_out(serving::end_stream wanted) override {
    const auto found = exchanges_.find(wanted.client);
    if (found == exchanges_.end()) {
      return;
    }
    found->second->ended = true;
    found->second->broken = !wanted.complete;
    push(*found->second, wanted.complete ? std::string(last_chunk) : std::string());
  }

  void set_limits(const model::client_limits& limits) override { limits_ = limits; }
  void begin_stop() override { stopping_ = true; }

  void stop_accepting() override {
    fresh_.begin_stop(base::boot_clock::now());
    acceptor_.stop();
  }

  [[nodiscard]] std::size_t busy() const override {
    return busy_ + fresh_.awaited(base::boot_clock::now());
  }
  [[nodiscard]] std::size_t connections() const override { return connections_; }

 private:
  static void push(exchange& client, std::string bytes) {
    client.unwritten_bytes += bytes.size();
    client.unwritten.push_back(std::move(bytes));
    if (client.unwritten_bytes > max_unwritten_bytes && !client.ended) {
      client.broken = true;
    }
    client.wake.cancel();
  }

  asio::awaitable<void> serve(asio::ip::tcp::socket socket) {
    ++connections_;
    prepare_socket(socket, unacknowledged_limit);
    beast::tcp_stream stream(std::move(socket));
    if (connections_ > max_connections) {
      co_await refuse(stream, crowded_refusal);
    } else {
      beast::flat_buffer buffer;
      std::optional<fresh_connections::guard> fresh(std::in_place, fresh_);
      bool go_on = true;
      while (go_on) {
        go_on = co_await serve_one(stream, buffer, fresh);
      }
    }
    boost::system::error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    stream.close();
    --connections_;
  }

  /// Serves one request. @return whether the connection may carry another.
  asio::awaitable<bool> serve_one(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                  std::optional<fresh_connections::guard>& fresh) {
    boost::system::error_code error;
    if (buffer.size() == 0) {
      stream.expires_after(limits_.idle_timeout);
      const auto received =
          co_await stream.async_read_some(buffer.prepare(first_read_bytes), await_into(error));
      if (error) {
        co_return false;
      }
      buffer.commit(received);
    }
    const count_guard busy(busy_);
    fresh.reset();
    co_return co_await read_and_answer(stream, buffer);
  }

  asio::awaitable<bool> read_and_answer(beast::tcp_stream& stream, beast::flat_buffer& buffer) {
    boost::system::error_code error;
    beast_http::request_parser<beast_http::string_body> parser;
    parser.header_limit(limits_.max_header_bytes);
    parser.body_limit(limits_.max_body_bytes);
    stream.expires_never();
    {
      const read_limit limit(stream, limits_.header_timeout);
      co_await beast_http::async_read_header(stream, buffer, parser, await_into(error));
      if (limit.passed()) {
        error = beast::error::timeout;
      }
    }
    const auto arrived_at = base::boot_clock::now();
    if (!error && parser.get()[beast_http::field::expect] == "100-continue") {
      const std::string go_ahead = "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(stream, asio::buffer(go_ahead), await_into(error));
    }
    if (!error) {
      const read_limit limit(stream, limits_.idle_timeout);
      co_await beast_http::async_read(stream, buffer, parser, await_into(error));
      if (limit.passed()) {
        error = beast::error::timeout;
      }
    }
    if (error == beast_http::error::end_of_stream || error == asio::error::connection_reset) {
      co_return false;
    }
    if (error) {
      // A named object: GCC 12 destroys an aggregate temporary of a co_await twice.
      const auto wanted = refusal_of(error);
      co_await refuse(stream, wanted);
      co_return false;
    }
    stream.expires_never();
    co_return co_await answer(stream, parser, arrived_at);
  }

  asio::awaitable<bool> answer(beast::tcp_stream& stream,
                               beast_http::request_parser<beast_http::string_body>& parser,
                               base::time_point arrived_at) {
    auto waiting = std::make_shared<exchange>(*io_);
    auto& message = parser.get();
    waiting->head_only = message.method() == beast_http::verb::head;
    waiting->connection = message.keep_alive() ? after_answer::keep_open : after_answer::close;
    auto read = codec_->read_request(
        raw_of(message, parser.content_length().has_value() || parser.chunked()));
    if (auto* bad = std::get_if<serving::bad_request>(&read)) {
      const refusal wanted{bad_request_status, bad->reason};
      co_await refuse(stream, wanted);
      co_return false;
    }
    const auto client = next_client_++;
    exchanges_[client] = waiting;
    observer_.on_request({client,
                          std::make_shared<const serving::request_content>(
                              std::get<serving::request_content>(std::move(read))),
                          arrived_at});
    asio::co_spawn(*io_, watch_for_end(stream, waiting), asio::detached);
    const bool whole = co_await write_answer(stream, *waiting);
    exchanges_.erase(client);
    if (!whole) {
      observer_.on_left({client});
    }
    // Ends the watch, which must not outlive the connection.
    boost::system::error_code ignored;
    stream.socket().cancel(ignored);
    while (!waiting->watch_ended) {
      co_await waiting->wake.async_wait(await_into(ignored));
    }
    co_return whole && waiting->connection == after_answer::keep_open;
  }

  static serving::raw_request raw_of(beast_http::request<beast_http::string_body>& message,
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

  /// Notices that a client closes its connection while it waits.
  static asio::awaitable<void> watch_for_end(beast::tcp_stream& stream,
                                             std::shared_ptr<exchange> waiting) {
    boost::system::error_code error;
    co_await stream.socket().async_wait(asio::ip::tcp::socket::wait_read, await_into(error));
    waiting->gone = waiting->gone || (!error && peer_has_closed(stream.socket()));
    waiting->watch_ended = true;
    waiting->wake.cancel();
  }

  /// @return whether the answer was written whole.
  static asio::awaitable<bool> write_answer(beast::tcp_stream& stream, exchange& waiting) {
    boost::system::error_code error;
    while (!waiting.gone) {
      if (!waiting.unwritten.empty()) {
        const auto bytes = std::move(waiting.unwritten.front());
        waiting.unwritten.pop_front();
        waiting.unwritten_bytes -= bytes.size();
        stream.expires_after(write_timeout);
        co_await asio::async_write(stream, asio::buffer(bytes), await_into(error));
        stream.expires_never();
        if (error) {
          co_return false;
        }
        continue;
      }
      if (waiting.broken) {
        co_return false;
      }
      if (waiting.ended) {
        co_return true;
      }
      co_await waiting.wake.async_wait(await_into(error));
    }
    co_return false;
  }

  static asio::awaitable<void> refuse(beast::tcp_stream& stream, const refusal& wanted) {
    boost::system::error_code error;
    const auto text = text_of(wanted);
    stream.expires_after(write_timeout);
    co_await asio::async_write(stream, asio::buffer(text), await_into(error));
    co_await discard_rest(stream);
  }

  /// Reads what the client still sends: closing with unread bytes would reset the connection and
  /// take the answer with it.
  static asio::awaitable<void> discard_rest(beast::tcp_stream& stream) {
    boost::system::error_code error;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    std::array<char, first_read_bytes> ignored{};
    stream.expires_after(discard_timeout);
    for (std::size_t discarded = 0; !error && discarded < max_discarded_bytes;) {
      discarded += co_await stream.async_read_some(asio::buffer(ignored), await_into(error));
    }
  }

  asio::io_context* io_;
  connection_acceptor acceptor_;
  fresh_connections fresh_;
  const serving::request_codec* codec_;
  ingress_observer observer_;
  model::client_limits limits_;
  bool stopping_ = false;
  std::size_t connections_ = 0;
  std::size_t busy_ = 0;
  base::caller_id next_client_ = 1;
  std::unordered_map<base::caller_id, std::shared_ptr<exchange>> exchanges_;
};

} // namespace

std::unique_ptr<ingress_server> make_ingress_server(asio::io_context& io, const std::string& listen,
                                                    const serving::request_codec& codec,
                                                    ingress_observer observer) {
  const auto endpoint = parse_endpoint(listen);
  if (!endpoint) {
    throw boost::system::system_error(asio::error::invalid_argument, listen);
  }
  return std::make_unique<ingress_server_impl>(io, *endpoint, codec, std::move(observer));
}

} // namespace spurrack::http
