/// Queues the bytes of answers and writes them to clients as fast as these read, within their flow
/// control windows and the byte budget.
#pragma once

#include "base/time.h"
#include "flow/byte_budget.h"
#include "flow/stream_window.h"
#include "http/client_exchange.h"
#include "serving/events.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace spurrack::http {

/// Time after which an answer is aborted if its client reads nothing: 1.5 times the ten seconds for
/// which clients are known to stop reading.
inline constexpr std::chrono::seconds unread_timeout{15};

/// Writes the answers of all exchanges of one listener. Not thread-safe.
class answer_queue {
 public:
  /// @param on_window_change called if reading from a replica is to pause or to go on.
  answer_queue(std::shared_ptr<flow::byte_budget> budget,
               std::function<void(serving::client_window)> on_window_change);

  /// Writes bytes, or queues those that the client does not read at once.
  void push(client_exchange& client, unwritten_bytes added);
  /// Writes or queues events of a stream and reserves memory for them; aborts the answer if there
  /// is none. Memory of complete answers is not reserved here: it was reserved when they were
  /// buffered.
  void push_events(client_exchange& client, std::string bytes);
  /// Buffers the stream although its client does not read, if there is memory.
  void start_read_ahead(client_exchange& client);
  /// Aborts an answer and releases its memory; the memory of bytes that are being written is
  /// released when the write ends.
  static void abort(client_exchange& client, serving::disconnect_reason reason);
  /// Writes the queued bytes of an answer until it ends or is aborted, or the client disconnects.
  /// @return whether the complete answer was written.
  boost::asio::awaitable<bool> write(boost::beast::tcp_stream& stream, client_exchange& exchange);

 private:
  /// Writes bytes in parts. @return whether all bytes were written.
  boost::asio::awaitable<bool> write_in_parts(boost::beast::tcp_stream& stream,
                                              client_exchange& exchange, std::string_view bytes);
  /// Reports that the flow control window of a stream closed or opened. Does nothing if reading
  /// from a replica does not depend on the window: for complete answers and for ended streams.
  void report_window_change(const client_exchange& client, flow::window_change change);

  std::shared_ptr<flow::byte_budget> budget_;
  std::function<void(serving::client_window)> on_window_change_;
};

} // namespace spurrack::http
