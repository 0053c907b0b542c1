/// State of one request of a client while the serving path processes it, and the bytes of its
/// answer that wait to be written. Used by the listener for clients of published routes only.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "flow/byte_budget.h"
#include "flow/stream_window.h"
#include "http/answer_writer.h"
#include "serving/events.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace spurrack::http {

/// Bytes of an answer to write to a client (a head, a body or a chunk), and their memory
/// reservation.
struct unwritten_bytes {
  std::string bytes;
  /// Memory reservation of the body of a complete answer; null for all other bytes.
  std::shared_ptr<const serving::memory_reservation> body_memory;
  /// Number of bytes reserved in `client_exchange::reservation`: the size of `bytes` if they are
  /// stream events, 0 otherwise.
  std::size_t reserved_bytes = 0;
  /// Number of bytes at the start of `bytes` that the socket already accepted, without blocking,
  /// before the rest was queued.
  std::size_t written_bytes = 0;
  [[nodiscard]] std::string_view remaining_bytes() const {
    return std::string_view(bytes).substr(written_bytes);
  }
};

/// State of a request that the serving path is processing, and of its answer.
struct client_exchange {
  client_exchange(boost::asio::io_context& io, base::caller_id client,
                  boost::asio::ip::tcp::socket& connection_socket,
                  std::shared_ptr<flow::byte_budget> budget)
      : id(client), socket(&connection_socket),
        reservation(std::move(budget), flow::byte_holder::unwritten_streams),
        window(base::boot_clock::now()), wake(io, boost::asio::steady_timer::time_point::max()) {}
  base::caller_id id;
  /// Socket of the client's connection; outlives the exchange.
  boost::asio::ip::tcp::socket* socket;
  /// Bytes to write to the client, in order.
  std::deque<unwritten_bytes> unwritten;
  /// Memory reservation of the stream events that are not written to the client yet.
  flow::byte_reservation reservation;
  flow::stream_window window;
  /// Cancelled to wake the coroutine that waits for a change of this exchange.
  boost::asio::steady_timer wake;
  /// Whether the answer ends with the bytes in `unwritten`.
  bool is_final = false;
  /// Whether the answer ends incomplete: the connection is closed after the bytes in `unwritten`.
  bool is_incomplete = false;
  bool is_disconnected = false;
  /// Set if the answer was aborted: no more bytes are written.
  std::optional<serving::disconnect_reason> abort_reason;
  /// Whether `watch_for_disconnect` has ended for this exchange.
  bool has_watch_ended = false;
  /// Whether an asynchronous write is in progress; later bytes must wait until it ends.
  bool is_writing = false;
  bool head_only = false;
  /// Whether the answer is a stream whose head was queued.
  bool is_streaming = false;
  /// Whether the answer has neither a length nor chunks, so that the end of the connection is its
  /// end. Until the answer is complete, each close of the connection resets it.
  bool ends_with_connection = false;
  after_answer connection = after_answer::keep_open;
};

} // namespace spurrack::http
