#include "backends/http_backend_client.h"

#include "backends/call_codec.h"
#include "http/awaitable.h"
#include "http/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <array>
#include <deque>
#include <unordered_map>
#include <utility>

namespace spurrack::backends {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using execution::call_status;

constexpr base::duration connect_timeout = std::chrono::milliseconds(400);
constexpr std::size_t max_idle_connections_per_backend = 16;
constexpr std::uint64_t max_answer_bytes = 16'000'000;
constexpr std::size_t max_read_bytes = 4'096;

using connection = beast::tcp_stream;

/// @return whether an idle connection is open and has no bytes to read; unexpected bytes or a close
///         make the connection unusable.
bool is_reusable(connection& stream) {
  char byte = 0;
  const auto received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// State of an active call.
struct call_state {
  execution::stage_call call;
  std::shared_ptr<connection> stream;
  bool is_cancelled = false;
  bool has_written_bytes = false;
};

class http_backend_client final : public backend_client {
 public:
  http_backend_client(asio::io_context& io, call_observer observer)
      : io_(&io), observer_(std::move(observer)) {}

  void start(const execution::stage_call& call) override {
    auto state = std::make_shared<call_state>();
    state->call = call;
    calls_[call.call] = state;
    asio::co_spawn(*io_, run(state), asio::detached);
  }

  void cancel(base::call_id call) override {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
      return;
    }
    found->second->is_cancelled = true;
    if (found->second->stream) {
      found->second->stream->close();
    }
    calls_.erase(found);
  }

 private:
  asio::awaitable<void> run(std::shared_ptr<call_state> state) {
    execution::call_result result;
    result.call = state->call.call;
    result.status = call_status::never_sent;
    if (co_await connect(*state) && !state->is_cancelled) {
      result = co_await exchange(*state);
    }
    if (state->is_cancelled) {
      co_return;
    }
    if (result.status != call_status::completed && state->stream) {
      state->stream->close();
    }
    calls_.erase(state->call.call);
    observer_.on_result(std::move(result));
  }

  asio::awaitable<bool> connect(call_state& state) {
    // If a back end closes an idle connection while a call is being written to it, it is unknown
    // whether the call ran. Therefore calls that must not be repeated use a new connection.
    if (state.call.repeatable) {
      state.stream = take_idle(state.call.address);
      if (state.stream) {
        co_return true;
      }
    }
    const auto endpoint = spurrack::http::parse_endpoint(state.call.address.text());
    if (!endpoint) {
      co_return false;
    }
    state.stream = std::make_shared<connection>(*io_);
    state.stream->expires_after(connect_timeout);
    boost::system::error_code error;
    co_await state.stream->async_connect(*endpoint, spurrack::http::await_into(error));
    if (!error) {
      state.stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
    }
    co_return !error;
  }

  asio::awaitable<execution::call_result> exchange(call_state& state) {
    execution::call_result result;
    result.call = state.call.call;
    result.status = call_status::never_sent;
    http::request<http::string_body> request(
        http::verb::post, "/v1/stages/" + std::string(model::name_of(state.call.kind)), 11);
    request.set(http::field::host, state.call.address.text());
    request.set(http::field::content_type, "application/json");
    const auto now = base::boot_clock::now();
    request.body() = encode_call(state.call, now);
    request.prepare_payload();
    // Last check of the clock before bytes are sent: after a suspension of the process, the call
    // may have expired and must not be sent.
    if (now >= state.call.not_after) {
      co_return result;
    }
    state.has_written_bytes = true;
    result.status = call_status::broken;
    state.stream->expires_after(state.call.not_after - now);
    boost::system::error_code error;
    co_await http::async_write(*state.stream, request, spurrack::http::await_into(error));
    if (error) {
      co_return result;
    }
    co_return co_await read_answer(state, std::move(result));
  }

  asio::awaitable<execution::call_result> read_answer(call_state& state,
                                                      execution::call_result result) {
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(max_answer_bytes);
    boost::system::error_code error;
    co_await http::async_read_header(*state.stream, buffer, parser,
                                     spurrack::http::await_into(error));
    if (error) {
      co_return result;
    }
    switch (parser.get().result()) {
    case http::status::ok:
      break;
    case http::status::too_many_requests:
      result.status = call_status::refused_overloaded;
      co_return result;
    case http::status::service_unavailable:
      result.status = call_status::refused_leaving;
      co_return result;
    case http::status::bad_request:
    case http::status::not_found:
    case http::status::unprocessable_entity:
      result.status = call_status::rejected;
      co_return result;
    default:
      co_return result;
    }
    const bool is_streaming = parser.get()[http::field::content_type] == "text/event-stream";
    std::optional<execution::call_result> received_result;
    if (is_streaming) {
      received_result = co_await read_events(state, buffer, parser);
    } else {
      received_result = co_await read_document(state, buffer, parser);
    }
    if (received_result) {
      result = *received_result;
      if (parser.is_done() && parser.keep_alive() && buffer.size() == 0 && state.call.repeatable) {
        keep_idle(state.call.address, state.stream);
      }
    }
    co_return result;
  }

  /// Reads the next bytes of the body.
  /// @return the bytes, which may be none at the end of the body or if only framing arrived;
  ///         std::nullopt on an error.
  static asio::awaitable<std::optional<std::string>>
  read_chunk(call_state& state, beast::flat_buffer& buffer,
             http::response_parser<http::buffer_body>& parser) {
    std::array<char, max_read_bytes> chunk{};
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    boost::system::error_code error;
    co_await http::async_read_some(*state.stream, buffer, parser,
                                   spurrack::http::await_into(error));
    if (error && error != http::error::need_buffer) {
      co_return std::nullopt;
    }
    co_return std::string(chunk.data(), chunk.size() - parser.get().body().size);
  }

  asio::awaitable<std::optional<execution::call_result>>
  read_document(call_state& state, beast::flat_buffer& buffer,
                http::response_parser<http::buffer_body>& parser) {
    std::string body;
    while (!parser.is_done()) {
      const auto received = co_await read_chunk(state, buffer, parser);
      if (!received) {
        co_return std::nullopt;
      }
      body += *received;
    }
    co_return decode_result(state.call.call, body);
  }

  asio::awaitable<std::optional<execution::call_result>>
  read_events(call_state& state, beast::flat_buffer& buffer,
              http::response_parser<http::buffer_body>& parser) {
    event_stream_decoder decoder(state.call.call);
    std::optional<execution::call_result> final_result;
    while (!parser.is_done()) {
      const auto received = co_await read_chunk(state, buffer, parser);
      if (!received || state.is_cancelled) {
        co_return std::nullopt;
      }
      auto items = decoder.feed(*received);
      if (!items) {
        co_return std::nullopt;
      }
      for (auto& item : *items) {
        if (item.token) {
          observer_.on_token(std::move(*item.token));
        } else {
          final_result = std::move(item.result);
        }
        if (state.is_cancelled) {
          co_return std::nullopt;
        }
      }
    }
    co_return final_result;
  }

  std::shared_ptr<connection> take_idle(const base::network_address& address) {
    auto& idle = idle_[address];
    while (!idle.empty()) {
      auto stream = std::move(idle.back());
      idle.pop_back();
      if (is_reusable(*stream)) {
        return stream;
      }
      stream->close();
    }
    return nullptr;
  }

  void keep_idle(const base::network_address& address, const std::shared_ptr<connection>& stream) {
    auto& idle = idle_[address];
    if (idle.size() < max_idle_connections_per_backend) {
      stream->expires_never();
      idle.push_back(stream);
    }
  }

  asio::io_context* io_;
  call_observer observer_;
  std::unordered_map<base::call_id, std::shared_ptr<call_state>> calls_;
  std::unordered_map<base::network_address, std::deque<std::shared_ptr<connection>>> idle_;
};

} // namespace

std::unique_ptr<backend_client> make_http_backend_client(asio::io_context& io,
                                                         call_observer observer) {
  return std::make_unique<http_backend_client>(io, std::move(observer));
}

} // namespace spurrack::backends
