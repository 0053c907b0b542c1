#include "http/ingress_server.h"

#include "base/time.h"
#include "http/answer_queue.h"
#include "http/answer_writer.h"
#include "http/awaitable.h"
#include "http/client_exchange.h"
#include "http/connection_acceptor.h"
#include "http/count_guard.h"
#include "http/endpoint.h"
#include "http/ingress_refusal.h"
#include "http/refusal_writer.h"
#include "http/request_receiver.h"
#include "http/request_wait.h"
#include "http/slow_readers.h"
#include "http/socket_options.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace spurrack::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

/// Time after which the kernel closes the connection to a client that acknowledges no data or keeps
/// its receive window closed; longer than `unread_timeout`, so that reachable clients are
/// disconnected by `unread_timeout`.
constexpr std::chrono::milliseconds tcp_user_timeout{16'000};
/// Size of the kernel's send buffer of a connection (the kernel doubles it, for its bookkeeping):
/// the bytes that a network link of 10 Mbit/s transfers in 50 ms, so that one client that does not
/// read fills neither the memory nor the network link.
constexpr int send_buffer_bytes = 65'536;
/// Maximum time for which the rest of a body is read and discarded after a refusal: the time in
/// which a network link of 10 Mbit/s transfers 4 MB.
constexpr std::chrono::seconds discard_timeout{4};
constexpr std::chrono::seconds discard_timeout_at_stop{1};
/// Minimum interval between two searches for the slowest clients; a search checks all clients.
constexpr base::duration min_relief_interval = std::chrono::milliseconds(100);

/// Content of a request with the memory reservation of its body.
struct content_with_memory {
  serving::request_content content;
  flow::byte_reservation body_reservation;
};

class ingress_server_impl final : public ingress_server {
 public:
  ingress_server_impl(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
                      const serving::request_codec& codec, ingress_resources resources,
                      ingress_observer observer)
      : io_(&io), acceptor_(io, listen,
                            [this](asio::ip::tcp::socket socket) {
                              asio::co_spawn(*io_, serve(std::move(socket)), asio::detached);
                            }),
        codec_(&codec), resources_(std::move(resources)), observer_(std::move(observer)),
        answers_(resources_.budget,
                 [this](serving::client_window window) { report_window_change(window); }) {
    resources_.budget->set_relief(
        [this](flow::byte_use use, std::size_t bytes) { abort_slowest_readers(use, bytes); });
  }
  ~ingress_server_impl() override { resources_.budget->set_relief(nullptr); }

  void set_closes_after_answers(bool closes) override { closes_after_answers_ = closes; }

  void carry_out(serving::respond command) override {
    const auto found = exchanges_.find(command.client);
    if (found == exchanges_.end()) {
      return;
    }
    auto& client = *found->second;
    if (command.locally_answered_request) {
      auto own_headers = codec_->local_answer_headers(*command.locally_answered_request);
      std::move(own_headers.begin(), own_headers.end(), std::back_inserter(command.headers));
    }
    client.connection = closes_after_answers() ? after_answer::close : client.connection;
    client.is_final = true;
    if (client.is_streaming) {
      // A second head inside a stream would not be a valid answer. The client recognizes the answer
      // as incomplete because the connection closes before the last chunk.
      client.is_incomplete = true;
      client.wake.cancel();
      return;
    }
    if (command.ends_with_connection && has_body(command.status) && !client.head_only) {
      begin_open_ended(client);
      answers_.push(client, {open_ended_head(command.status, command.headers), nullptr});
    } else {
      // The body of an answer to a HEAD request is absent, whatever its length.
      const bool is_length_known = !client.head_only || command.locally_answered_request;
      const auto length =
          is_length_known ? std::optional<std::size_t>(command.body.size()) : std::nullopt;
      answers_.push(
          client,
          {fixed_length_head(command.status, command.headers, length, client.connection), nullptr});
    }
    if (has_body(command.status) && !client.head_only && !command.body.empty()) {
      answers_.push(client, {std::move(command.body), std::move(command.body_memory)});
    }
  }

  void carry_out(serving::open_stream command) override {
    const auto found = exchanges_.find(command.client);
    if (found != exchanges_.end()) {
      auto& client = *found->second;
      client.connection = closes_after_answers() ? after_answer::close : client.connection;
      client.is_streaming = true;
      if (client.head_only) {
        answers_.push(client, {fixed_length_head(command.status, command.headers, std::nullopt,
                                                 client.connection),
                               nullptr});
      } else if (command.ends_with_connection) {
        begin_open_ended(client);
        answers_.push(client, {open_ended_head(command.status, command.headers), nullptr});
      } else {
        answers_.push(client,
                      {chunked_head(command.status, command.headers, client.connection), nullptr});
      }
    }
  }

  void carry_out(serving::stream_data command) override {
    const auto found = exchanges_.find(command.client);
    if (found != exchanges_.end() && !found->second->head_only) {
      auto& client = *found->second;
      answers_.push_events(client, client.ends_with_connection ? std::move(command.bytes)
                                                               : chunk(command.bytes));
    }
  }

  void carry_out(serving::read_ahead command) override {
    const auto found = exchanges_.find(command.client);
    if (found != exchanges_.end()) {
      answers_.start_read_ahead(*found->second);
    }
  }

  void carry_out(serving::end_stream command) override {
    const auto found = exchanges_.find(command.client);
    if (found == exchanges_.end()) {
      return;
    }
    auto& client = *found->second;
    client.is_final = true;
    client.is_incomplete = !command.complete;
    const bool has_last_chunk =
        command.complete && !client.ends_with_connection && !client.head_only;
    answers_.push(client, {has_last_chunk ? std::string(last_chunk) : std::string(), nullptr});
  }

  void set_limits(const model::client_limits& limits) override { limits_ = limits; }
  void begin_stop() override { is_stopping_ = true; }

  void stop_accepting() override {
    new_connections_.begin_stop(base::boot_clock::now());
    acceptor_.stop();
  }

  [[nodiscard]] std::size_t busy_connections() const override {
    return busy_connections_ + new_connections_.awaiting_first_request(base::boot_clock::now());
  }
  [[nodiscard]] std::size_t connections() const override { return connections_; }
  [[nodiscard]] const ingress_counters& counters() const override { return counters_; }

 private:
  /// Prepares the connection of an answer that ends with it: a close before the end of the answer,
  /// also one by the kernel because this process exits, resets the connection, so that the client
  /// does not take it for the end.
  static void begin_open_ended(client_exchange& client) {
    client.ends_with_connection = true;
    client.connection = after_answer::close;
    set_reset_on_close(*client.socket, true);
  }

  static void set_reset_on_close(asio::ip::tcp::socket& socket, bool resets) {
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(resets, 0), ignored);
  }

  void report_window_change(serving::client_window window) {
    counters_.windows_closed += window.open ? 0 : 1;
    observer_.on_window_change(window);
  }

  /// Aborts the answers of the slowest readers to free memory, as `flow::byte_budget` asks for it.
  void abort_slowest_readers(flow::byte_use use, std::size_t bytes) {
    const auto now = base::boot_clock::now();
    if (now < next_relief_at_) {
      return;
    }
    next_relief_at_ = now + min_relief_interval;
    std::vector<unread_answer> unread;
    for (const auto& [id, client] : exchanges_) {
      if (!client->abort_reason) {
        unread.push_back({id, client->window.unread(), client->window.stall_duration(now)});
      }
    }
    const auto selected =
        select_slowest_readers(std::move(unread), {use, bytes, resources_.budget->capacity()});
    for (const auto client : selected) {
      answer_queue::abort(*exchanges_.at(client), serving::disconnect_reason::no_memory);
    }
  }

  [[nodiscard]] bool closes_after_answers() const { return is_stopping_ || closes_after_answers_; }

  asio::awaitable<void> serve(asio::ip::tcp::socket socket) {
    ++connections_;
    set_tcp_options(socket, tcp_user_timeout);
    beast::tcp_stream stream(std::move(socket));
    boost::system::error_code option_error;
    stream.socket().set_option(asio::socket_base::send_buffer_size(send_buffer_bytes),
                               option_error);
    stream.socket().non_blocking(true, option_error);
    if (connections_ > resources_.max_connections) {
      ++counters_.refused_connections;
      co_await refuse(stream, connection_limit_refusal);
    } else {
      beast::flat_buffer buffer;
      std::optional<new_connections::guard> new_connection(std::in_place, new_connections_);
      bool keep_serving = true;
      while (keep_serving) {
        keep_serving = co_await serve_request(stream, buffer, new_connection);
      }
    }
    boost::system::error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    stream.close();
    --connections_;
  }

  /// Serves one request. @return whether the connection can be used for another request.
  asio::awaitable<bool> serve_request(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                      std::optional<new_connections::guard>& new_connection) {
    if (!co_await wait_for_request(stream, buffer, limits_.idle_timeout)) {
      co_return false;
    }
    const count_guard busy(busy_connections_);
    new_connection.reset();
    co_return co_await read_and_answer(stream, buffer);
  }

  asio::awaitable<bool> read_and_answer(beast::tcp_stream& stream, beast::flat_buffer& buffer) {
    auto outcome = co_await receive_request(stream, buffer, limits_, resources_.budget);
    if (std::holds_alternative<connection_ended>(outcome)) {
      co_return false;
    }
    if (const auto* unreadable = std::get_if<unreadable_request>(&outcome)) {
      counters_.refused_for_memory += unreadable->lacks_memory ? 1 : 0;
      co_await refuse(stream, unreadable->answer);
      co_return false;
    }
    // The connection needs no read buffer while its client waits for the answer.
    buffer.shrink_to_fit();
    co_return co_await answer(stream, std::get<received_request>(std::move(outcome)));
  }

  asio::awaitable<bool> answer(beast::tcp_stream& stream, received_request request) {
    const auto client = next_client_++;
    auto exchange =
        std::make_shared<client_exchange>(*io_, client, stream.socket(), resources_.budget);
    exchange->head_only = request.is_head_only;
    exchange->connection = request.keeps_connection ? after_answer::keep_open : after_answer::close;
    auto parsed = codec_->read_request(std::move(request.content));
    if (auto* invalid = std::get_if<serving::bad_request>(&parsed)) {
      const refusal response{bad_request_status, invalid->reason};
      co_await refuse(stream, response);
      co_return false;
    }
    exchanges_[client] = exchange;
    request.body_reservation.move_to(flow::byte_holder::kept_bodies);
    auto shared_content = std::make_shared<content_with_memory>(
        content_with_memory{std::get<serving::request_content>(std::move(parsed)),
                            std::move(request.body_reservation)});
    // The memory stays reserved as long as any reference to the content exists.
    observer_.on_request(
        {client,
         std::shared_ptr<const serving::request_content>(shared_content, &shared_content->content),
         request.arrived_at});
    shared_content.reset();
    asio::co_spawn(*io_, watch_for_disconnect(stream, exchange), asio::detached);
    const bool is_complete = co_await answers_.write(stream, *exchange);
    exchanges_.erase(client);
    record_end(*exchange);
    if (!is_complete) {
      observer_.on_disconnected(
          {client, exchange->abort_reason.value_or(serving::disconnect_reason::closed)});
    }
    // Ends `watch_for_disconnect`, which must not outlive `stream`.
    boost::system::error_code ignored;
    stream.socket().cancel(ignored);
    while (!exchange->has_watch_ended) {
      co_await exchange->wake.async_wait(await_into(ignored));
    }
    if (exchange->ends_with_connection && is_complete) {
      set_reset_on_close(stream.socket(), false);
    } else if (exchange->ends_with_connection) {
      stream.close();
    }
    co_return is_complete && exchange->connection == after_answer::keep_open;
  }

  void record_end(const client_exchange& exchange) {
    counters_.closed_window_time += exchange.window.closed_duration(base::boot_clock::now());
    counters_.aborted_unread += exchange.abort_reason == serving::disconnect_reason::unread ? 1 : 0;
    counters_.aborted_for_memory +=
        exchange.abort_reason == serving::disconnect_reason::no_memory ? 1 : 0;
  }

  /// Detects that a client closes its connection before it has received the answer.
  static asio::awaitable<void> watch_for_disconnect(beast::tcp_stream& stream,
                                                    std::shared_ptr<client_exchange> exchange) {
    boost::system::error_code error;
    co_await stream.socket().async_wait(asio::ip::tcp::socket::wait_read, await_into(error));
    exchange->is_disconnected =
        exchange->is_disconnected || (!error && peer_has_closed(stream.socket()));
    exchange->has_watch_ended = true;
    exchange->wake.cancel();
    if (exchange->is_disconnected) {
      // Cancels a write that a full send buffer blocks: it would delay the end of the exchange.
      stream.socket().cancel(error);
    }
  }

  asio::awaitable<void> refuse(beast::tcp_stream& stream, const refusal& response) {
    const discard_limits limits{limits_.max_body_bytes,
                                is_stopping_ ? discard_timeout_at_stop : discard_timeout};
    co_await write_refusal(stream, response, unread_timeout, limits);
  }

  asio::io_context* io_;
  connection_acceptor acceptor_;
  new_connections new_connections_;
  const serving::request_codec* codec_;
  ingress_resources resources_;
  ingress_observer observer_;
  answer_queue answers_;
  ingress_counters counters_;
  /// Earliest time of the next search for the slowest clients.
  base::time_point next_relief_at_;
  model::client_limits limits_;
  bool is_stopping_ = false;
  bool closes_after_answers_ = false;
  std::size_t connections_ = 0;
  std::size_t busy_connections_ = 0;
  base::caller_id next_client_ = 1;
  std::unordered_map<base::caller_id, std::shared_ptr<client_exchange>> exchanges_;
};

} // namespace

std::unique_ptr<ingress_server> make_ingress_server(asio::io_context& io, const std::string& listen,
                                                    const serving::request_codec& codec,
                                                    ingress_resources resources,
                                                    ingress_observer observer) {
  const auto endpoint = parse_endpoint(listen);
  if (!endpoint) {
    throw boost::system::system_error(asio::error::invalid_argument, listen);
  }
  return std::make_unique<ingress_server_impl>(io, *endpoint, codec, std::move(resources),
                                               std::move(observer));
}

} // namespace spurrack::http
