#include "http/answer_queue.h"

#include "http/awaitable.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace spurrack::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

/// Maximum number of bytes of one write; other connections are served between two writes.
constexpr std::size_t max_write_bytes = 16'384;

/// Writes as many bytes as the socket accepts without blocking, so that an event needs neither a
/// timer nor a wake-up while its client keeps reading. Errors are ignored: the next asynchronous
/// write reports them.
void write_at_once(client_exchange& client, unwritten_bytes& added) {
  const bool is_idle = !client.is_writing && client.unwritten.empty();
  if (!is_idle || client.is_disconnected || added.bytes.empty() || !client.socket->non_blocking()) {
    return;
  }
  const auto part_bytes = std::min(max_write_bytes, added.bytes.size());
  boost::system::error_code reported_by_next_write;
  added.written_bytes = client.socket->write_some(asio::buffer(added.bytes.data(), part_bytes),
                                                  reported_by_next_write);
}

} // namespace

answer_queue::answer_queue(std::shared_ptr<flow::byte_budget> budget,
                           std::function<void(serving::client_window)> on_window_change)
    : budget_(std::move(budget)), on_window_change_(std::move(on_window_change)) {}

void answer_queue::push(client_exchange& client, unwritten_bytes added) {
  if (client.abort_reason) {
    return;
  }
  write_at_once(client, added);
  const auto size = added.remaining_bytes().size();
  if (size > 0) {
    client.unwritten.push_back(std::move(added));
    report_window_change(client,
                         client.window.add(size, budget_->utilization(), base::boot_clock::now()));
  } else {
    client.reservation.shrink(added.reserved_bytes);
  }
  if (size > 0 || client.is_final) {
    client.wake.cancel();
  }
}

void answer_queue::push_events(client_exchange& client, std::string bytes) {
  const auto size = bytes.size();
  if (client.window.is_reading_ahead() &&
      !budget_->ensure_capacity(flow::byte_use::buffered_stream, size)) {
    report_window_change(client, client.window.close(base::boot_clock::now()));
  }
  if (client.abort_reason || !client.reservation.grow(flow::byte_use::stream_event, size)) {
    abort(client, serving::disconnect_reason::no_memory);
    return;
  }
  push(client, {std::move(bytes), nullptr, size});
}

void answer_queue::start_read_ahead(client_exchange& client) {
  if (budget_->ensure_capacity(flow::byte_use::buffered_stream,
                               flow::stream_window::max_window_bytes)) {
    report_window_change(client, client.window.start_read_ahead(base::boot_clock::now()));
  }
}

void answer_queue::report_window_change(const client_exchange& client, flow::window_change change) {
  if (!client.is_streaming || client.is_final || change == flow::window_change::none) {
    return;
  }
  on_window_change_({client.id, change == flow::window_change::opened});
}

void answer_queue::abort(client_exchange& client, serving::disconnect_reason reason) {
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

asio::awaitable<bool> answer_queue::write(beast::tcp_stream& stream, client_exchange& exchange) {
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

asio::awaitable<bool> answer_queue::write_in_parts(beast::tcp_stream& stream,
                                                   client_exchange& exchange,
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

} // namespace spurrack::http
