#include "http/ingress_server.h"

#include "base/time.h"
#include "flow/stream_window.h"
#include "http/answer_writer.h"
#include "http/awaitable.h"
#include "http/client_exchange.h"
#include "http/connection_acceptor.h"
#include "http/count_guard.h"
#include "http/endpoint.h"
#include "http/ingress_refusal.h"
#include "http/read_deadline.h"
#include "http/socket_options.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

constexpr std::size_t first_read_bytes = 4'096;
/// Maximum number of bytes of one read of a large body.
constexpr std::size_t body_read_bytes = 16'384;
/// Time after which an answer is aborted if its client reads nothing: 1.5 times the ten seconds for
/// which clients are known to stop reading.
constexpr std::chrono::seconds unread_timeout{15};
/// Time after which the kernel closes the connection to a client that acknowledges no data or keeps
/// its receive window closed; longer than `unread_timeout`, so that reachable clients are
/// disconnected by `unread_timeout`.
constexpr std::chrono::milliseconds tcp_user_timeout{16'000};
/// Size of the kernel's send buffer of a connection (the kernel doubles it, for its bookkeeping):
/// the bytes that a network link of 10 Mbit/s transfers in 50 ms, so that one client that does not
/// read fills neither the memory nor the network link.
constexpr int send_buffer_bytes = 65'536;
/// Maximum number of bytes of one write; other connections are served between two writes.
constexpr std::size_t max_write_bytes = 16'384;
/// Maximum time for which the rest of a body is read and discarded after a refusal: the time in
/// which a network link of 10 Mbit/s transfers 4 MB.
constexpr std::chrono::seconds discard_timeout{4};
constexpr std::chrono::seconds discard_timeout_at_stop{1};
/// Maximum number of bytes of headers and framing that are discarded after a refusal, in addition
/// to the body.
constexpr std::size_t max_discarded_framing_bytes = 65'536;
/// Maximum number of bytes of a small body; larger bodies are refused first when memory is short.
constexpr std::size_t large_body_bytes = 65'536;
/// Number of copies of a body that are held at the same time: a copy for a retry and a copy that is
/// written to a replica.
constexpr std::size_t body_copies = 2;
/// Time for which a client must have read nothing before its answer may be aborted to free memory:
/// longer than the pauses in reading that lost packets cause.
constexpr base::duration min_stall_duration = std::chrono::seconds(2);
/// Minimum interval between two searches for the slowest clients; a search checks all clients.
constexpr base::duration min_relief_interval = std::chrono::milliseconds(100);
/// A search for the slowest clients frees at least the fraction 1 / `relief_divisor` of the byte
/// budget, if the answers that may be aborted hold as much.
constexpr std::size_t relief_divisor = 20;

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
        codec_(&codec), resources_(std::move(resources)), observer_(std::move(observer)) {
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
      push(client, {open_ended_head(command.status, command.headers), nullptr});
    } else {
      // The body of an answer to a HEAD request is absent, whatever its length.
      const bool is_length_known = !client.head_only || command.locally_answered_request;
      const auto length =
          is_length_known ? std::optional<std::size_t>(command.body.size()) : std::nullopt;
      push(client, {fixed_length_head(command.status, command.headers, length, client.connection),
                    nullptr});
    }
    if (has_body(command.status) && !client.head_only && !command.body.empty()) {
      push(client, {std::move(command.body), std::move(command.body_memory)});
    }
  }

  void carry_out(serving::open_stream command) override {
    const auto found = exchanges_.find(command.client);
    if (found != exchanges_.end()) {
      auto& client = *found->second;
      client.connection = closes_after_answers() ? after_answer::close : client.connection;
      client.is_streaming = true;
      if (client.head_only) {
        push(client,
             {fixed_length_head(command.status, command.headers, std::nullopt, client.connection),
              nullptr});
      } else if (command.ends_with_connection) {
        begin_open_ended(client);
        push(client, {open_ended_head(command.status, command.headers), nullptr});
      } else {
        push(client, {chunked_head(command.status, command.headers, client.connection), nullptr});
      }
    }
  }

  void carry_out(serving::stream_data command) override {
    const auto found = exchanges_.find(command.client);
    if (found != exchanges_.end() && !found->second->head_only) {
      auto& client = *found->second;
      push_events(client,
                  client.ends_with_connection ? std::move(command.bytes) : chunk(command.bytes));
    }
  }

  void carry_out(serving::read_ahead command) override {
    const auto found = exchanges_.find(command.client);
    if (found != exchanges_.end() &&
        resources_.budget->ensure_capacity(flow::byte_use::buffered_stream,
                                           flow::stream_window::max_window_bytes)) {
      auto& client = *found->second;
      report_window_change(client, client.window.start_read_ahead(base::boot_clock::now()));
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
    push(client, {has_last_chunk ? std::string(last_chunk) : std::string(), nullptr});
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
  void push(client_exchange& client, unwritten_bytes added) {
    if (client.abort_reason) {
      return;
    }
    write_at_once(client, added);
    const auto size = added.remaining_bytes().size();
    if (size > 0) {
      client.unwritten.push_back(std::move(added));
      report_window_change(client, client.window.add(size, resources_.budget->utilization(),
                                                     base::boot_clock::now()));
    } else {
      client.reservation.shrink(added.reserved_bytes);
    }
    if (size > 0 || client.is_final) {
      client.wake.cancel();
    }
  }

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

  /// Writes as many bytes as the socket accepts without blocking, so that an event needs neither a
  /// timer nor a wake-up while its client keeps reading. Errors are ignored: the next asynchronous
  /// write reports them.
  static void write_at_once(client_exchange& client, unwritten_bytes& added) {
    const bool is_idle = !client.is_writing && client.unwritten.empty();
    if (!is_idle || client.is_disconnected || added.bytes.empty() ||
        !client.socket->non_blocking()) {
      return;
    }
    const auto part_bytes = std::min(max_write_bytes, added.bytes.size());
    boost::system::error_code reported_by_next_write;
    added.written_bytes = client.socket->write_some(asio::buffer(added.bytes.data(), part_bytes),
                                                    reported_by_next_write);
  }

  /// Queues events of a stream and reserves memory for them. Memory of complete answers is not
  /// reserved here: it was reserved when they were buffered.
  void push_events(client_exchange& client, std::string bytes) {
    const auto size = bytes.size();
    if (client.window.is_reading_ahead() &&
        !resources_.budget->ensure_capacity(flow::byte_use::buffered_stream, size)) {
      report_window_change(client, client.window.close(base::boot_clock::now()));
    }
    if (client.abort_reason || !client.reservation.grow(flow::byte_use::stream_event, size)) {
      abort_answer(client, serving::disconnect_reason::no_memory);
      return;
    }
    push(client, {std::move(bytes), nullptr, size});
  }

  /// Reports that the flow control window of a stream closed or opened. Does nothing if reading
  /// from a replica does not depend on the window: for complete answers and for ended streams.
  void report_window_change(const client_exchange& client, flow::window_change change) {
    if (!client.is_streaming || client.is_final || change == flow::window_change::none) {
      return;
    }
    const bool is_open = change == flow::window_change::opened;
    counters_.windows_closed += is_open ? 0 : 1;
    observer_.on_window_change({client.id, is_open});
  }

  /// Aborts an answer and releases its memory; the memory of bytes that are being written is
  /// released when the write ends.
  void abort_answer(client_exchange& client, serving::disconnect_reason reason) {
    if (client.abort_reason) {
      return;
    }
    client.abort_reason = reason;
    for (const auto& unwritten : client.unwritten) {
      client.reservation.shrink(unwritten.reserved_bytes);
    }
    client.unwritten.clear();
    boost::system::error_code ignored;
    client.socket->cancel(ignored);
    client.wake.cancel();
  }

  /// Aborts answers of clients that have read nothing for `min_stall_duration`, in descending order
  /// of unread bytes times stall duration, until enough memory is freed.
  /// @param use purpose for which memory is lacking. For a stream event, which was already read
  ///        from a replica, the answer to any stalled client may be aborted. For all other uses,
  ///        only answers with more unread bytes than two maximum windows are aborted.
  /// @param bytes number of bytes requested for `use`.
  void abort_slowest_readers(flow::byte_use use, std::size_t bytes) {
    const auto now = base::boot_clock::now();
    if (now < next_relief_at_) {
      return;
    }
    next_relief_at_ = now + min_relief_interval;
    struct slow_reader {
      double byte_seconds;
      client_exchange* client;
    };
    const auto min_unread =
        use == flow::byte_use::stream_event ? 0 : flow::stream_window::max_window_bytes * 2;
    std::vector<slow_reader> slow_readers;
    for (const auto& [id, client] : exchanges_) {
      const auto stalled = client->window.stall_duration(now);
      const auto unread = client->window.unread();
      if (stalled >= min_stall_duration && unread > min_unread && !client->abort_reason) {
        slow_readers.push_back(
            {static_cast<double>(unread) * base::to_seconds(stalled), client.get()});
      }
    }
    std::sort(
        slow_readers.begin(), slow_readers.end(),
        [](const slow_reader& a, const slow_reader& b) { return a.byte_seconds > b.byte_seconds; });
    // Frees more than is requested, so that searches, which check all clients, stay rare.
    bytes = std::max(bytes, resources_.budget->capacity() / relief_divisor);
    std::size_t freed = 0;
    for (auto next = slow_readers.begin(); next != slow_readers.end() && freed < bytes; ++next) {
      freed += next->client->window.unread();
      abort_answer(*next->client, serving::disconnect_reason::no_memory);
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
    const count_guard busy(busy_connections_);
    new_connection.reset();
    co_return co_await read_and_answer(stream, buffer);
  }

  asio::awaitable<bool> read_and_answer(beast::tcp_stream& stream, beast::flat_buffer& buffer) {
    boost::system::error_code error;
    beast_http::request_parser<beast_http::string_body> parser;
    parser.header_limit(limits_.max_header_bytes);
    parser.body_limit(limits_.max_body_bytes);
    stream.expires_never();
    {
      const read_deadline deadline(stream, limits_.header_timeout);
      co_await beast_http::async_read_header(stream, buffer, parser, await_into(error));
      if (deadline.has_passed()) {
        error = beast::error::timeout;
      }
    }
    const auto arrived_at = base::boot_clock::now();
    flow::byte_reservation body_reservation(resources_.budget, flow::byte_holder::request_bodies);
    bool has_memory = error || reserve_body(body_reservation, parser.content_length().value_or(0));
    if (!error && has_memory && parser.get()[beast_http::field::expect] == "100-continue") {
      const std::string continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(stream, asio::buffer(continue_response), await_into(error));
    }
    if (!error && has_memory) {
      const read_deadline deadline(stream, limits_.idle_timeout);
      error = co_await read_body(stream, buffer, parser, body_reservation, has_memory);
      if (deadline.has_passed()) {
        error = beast::error::timeout;
      }
    }
    if (error == beast_http::error::end_of_stream || error == asio::error::connection_reset) {
      co_return false;
    }
    if (!has_memory) {
      ++counters_.refused_for_memory;
      co_await refuse(stream, memory_refusal);
      co_return false;
    }
    if (error) {
      // The refusal is a named object because GCC 12 destroys an aggregate temporary in a co_await
      // expression twice.
      const auto response = refusal_of(error);
      co_await refuse(stream, response);
      co_return false;
    }
    stream.expires_never();
    // The connection needs no read buffer while its client waits for the answer.
    buffer.shrink_to_fit();
    co_return co_await answer(stream, parser, arrived_at, std::move(body_reservation));
  }

  /// Reserves memory for all copies of a body.
  /// @param size number of bytes of the body that were received so far, or that Content-Length
  ///        announces.
  /// @return whether there is enough memory.
  static bool reserve_body(flow::byte_reservation& reservation, std::size_t size) {
    const auto required = size * body_copies;
    const auto use =
        size > large_body_bytes ? flow::byte_use::large_body : flow::byte_use::small_body;
    return required <= reservation.bytes() || reservation.grow(use, required - reservation.bytes());
  }

  /// Reads a body until it is complete or memory runs out.
  /// @param has_memory set to false if memory ran out.
  /// @return the error of the read, if any.
  static asio::awaitable<boost::system::error_code>
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

  asio::awaitable<bool> answer(beast::tcp_stream& stream,
                               beast_http::request_parser<beast_http::string_body>& parser,
                               base::time_point arrived_at,
                               flow::byte_reservation body_reservation) {
    const auto client = next_client_++;
    auto exchange =
        std::make_shared<client_exchange>(*io_, client, stream.socket(), resources_.budget);
    auto& message = parser.get();
    exchange->head_only = message.method() == beast_http::verb::head;
    exchange->connection = message.keep_alive() ? after_answer::keep_open : after_answer::close;
    auto parsed = codec_->read_request(
        raw_request_of(message, parser.content_length().has_value() || parser.chunked()));
    if (auto* invalid = std::get_if<serving::bad_request>(&parsed)) {
      const refusal response{bad_request_status, invalid->reason};
      co_await refuse(stream, response);
      co_return false;
    }
    exchanges_[client] = exchange;
    body_reservation.move_to(flow::byte_holder::kept_bodies);
    auto shared_content = std::make_shared<content_with_memory>(content_with_memory{
        std::get<serving::request_content>(std::move(parsed)), std::move(body_reservation)});
    // The memory stays reserved as long as any reference to the content exists.
    observer_.on_request(
        {client,
         std::shared_ptr<const serving::request_content>(shared_content, &shared_content->content),
         arrived_at});
    shared_content.reset();
    asio::co_spawn(*io_, watch_for_disconnect(stream, exchange), asio::detached);
    const bool is_complete = co_await write_answer(stream, *exchange);
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

  static serving::raw_request raw_request_of(beast_http::request<beast_http::string_body>& message,
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

  /// @return whether the complete answer was written.
  asio::awaitable<bool> write_answer(beast::tcp_stream& stream, client_exchange& exchange) {
    boost::system::error_code error;
    while (!exchange.is_disconnected && !exchange.abort_reason) {
      if (!exchange.unwritten.empty()) {
        const auto next = std::move(exchange.unwritten.front());
        exchange.unwritten.pop_front();
        exchange.is_writing = true;
        const bool written = co_await write_in_parts(stream, exchange, next.remaining_bytes());
        exchange.is_writing = false;
        exchange.reservation.shrink(next.reserved_bytes);
        if (!written) {
          co_return false;
        }
        continue;
      }
      if (exchange.is_incomplete) {
        co_return false;
      }
      if (exchange.is_final) {
        co_return true;
      }
      co_await exchange.wake.async_wait(await_into(error));
    }
    co_return false;
  }

  /// @return whether all bytes were written.
  asio::awaitable<bool> write_in_parts(beast::tcp_stream& stream, client_exchange& exchange,
                                       std::string_view bytes) {
    boost::system::error_code error;
    for (std::size_t written = 0; written < bytes.size();) {
      const auto part_bytes = std::min(max_write_bytes, bytes.size() - written);
      stream.expires_after(unread_timeout);
      const auto accepted = co_await stream.async_write_some(
          asio::buffer(bytes.data() + written, part_bytes), await_into(error));
      stream.expires_never();
      if (error == beast::error::timeout) {
        exchange.abort_reason = serving::disconnect_reason::unread;
      }
      if (error || exchange.is_disconnected || exchange.abort_reason) {
        co_return false;
      }
      written += accepted;
      report_window_change(exchange, exchange.window.consume(accepted, base::boot_clock::now()));
    }
    co_return true;
  }

  asio::awaitable<void> refuse(beast::tcp_stream& stream, const refusal& response) {
    boost::system::error_code error;
    const auto text = text_of(response);
    stream.expires_after(unread_timeout);
    co_await asio::async_write(stream, asio::buffer(text), await_into(error));
    co_await discard_rest(stream);
  }

  /// Reads and discards the bytes that the client still sends: closing a socket with unread bytes
  /// resets the connection, and the client might not receive the answer.
  asio::awaitable<void> discard_rest(beast::tcp_stream& stream) {
    boost::system::error_code error;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    std::array<char, first_read_bytes> ignored{};
    stream.expires_after(is_stopping_ ? discard_timeout_at_stop : discard_timeout);
    const auto max_bytes = limits_.max_body_bytes + max_discarded_framing_bytes;
    for (std::size_t discarded = 0; !error && discarded < max_bytes;) {
      discarded += co_await stream.async_read_some(asio::buffer(ignored), await_into(error));
    }
  }

  asio::io_context* io_;
  connection_acceptor acceptor_;
  new_connections new_connections_;
  const serving::request_codec* codec_;
  ingress_resources resources_;
  ingress_observer observer_;
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
