/// HTTP listener for clients of published routes: reads requests within limits on their size and
/// time, passes them to the serving path, and writes answers and streams as they arrive from the
/// replicas. Callers of spurrack's own pipelines interface use the listener in caller_server.h
/// instead.
#pragma once

#include "flow/byte_budget.h"
#include "model/serving_records.h"
#include "serving/events.h"
#include "serving/request_codec.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace spurrack::http {

/// Callbacks of the listener, called on the thread of the io_context.
struct ingress_observer {
  std::function<void(serving::request_arrived)> on_request;
  std::function<void(serving::client_disconnected)> on_disconnected;
  std::function<void(serving::client_window)> on_window_change;
};

/// Resources that the listener may use.
struct ingress_resources {
  /// Memory that this process may use for bytes of requests and answers.
  std::shared_ptr<flow::byte_budget> budget;
  /// Maximum number of open connections; further connections are refused.
  std::size_t max_connections = 0;
};

/// Counters of slow clients and of refused requests and connections, for metrics.
struct ingress_counters {
  /// Number of times that reading from a replica was paused for a slow client.
  std::uint64_t windows_closed = 0;
  /// Total time for which the flow control windows (`flow::stream_window`) of answers were closed;
  /// the time of an answer is added when it ends.
  base::duration closed_window_time{};
  /// Number of answers aborted because the client read nothing for too long.
  std::uint64_t aborted_unread = 0;
  /// Number of answers aborted because the client was one of the slowest readers when memory for
  /// answers ran short, or because there was no memory for an event of its stream.
  std::uint64_t aborted_for_memory = 0;
  /// Number of requests refused because there was no memory for their body.
  std::uint64_t refused_for_memory = 0;
  /// Number of connections refused because `max_connections` were open.
  std::uint64_t refused_connections = 0;
};

/// HTTP listener for clients. Commands for clients that have disconnected are dropped. Not
/// thread-safe.
class ingress_server {
 public:
  ingress_server() = default;
  ingress_server(const ingress_server&) = delete;
  ingress_server& operator=(const ingress_server&) = delete;
  virtual ~ingress_server() = default;

  virtual void carry_out(serving::respond command) = 0;
  virtual void carry_out(serving::open_stream command) = 0;
  virtual void carry_out(serving::stream_data command) = 0;
  virtual void carry_out(serving::read_ahead command) = 0;
  virtual void carry_out(serving::end_stream command) = 0;

  /// Sets the limits on size and time for requests that begin to arrive from now on.
  virtual void set_limits(const model::client_limits& limits) = 0;
  /// Sets whether each answer announces that the connection will be closed after this answer, so
  /// that clients turn to other nodes. Unlike a graceful stop, this can be undone.
  virtual void set_closes_after_answers(bool closes) = 0;
  /// Begins a graceful stop: from now on, each answer announces that the connection will be closed
  /// after this answer.
  virtual void begin_stop() = 0;
  /// Accepts the connections that are already established, then stops accepting.
  virtual void stop_accepting() = 0;
  /// @return number of connections on which a request has begun to arrive and is not answered yet;
  ///         during a graceful stop also connections whose first request may still arrive.
  [[nodiscard]] virtual std::size_t busy_connections() const = 0;
  /// @return number of open connections.
  [[nodiscard]] virtual std::size_t connections() const = 0;
  [[nodiscard]] virtual const ingress_counters& counters() const = 0;
};

/// Binds and starts accepting connections.
/// @param listen `IP:port`.
/// @param codec decodes requests; must outlive the server.
/// @throws boost::system::system_error if the address cannot be bound.
std::unique_ptr<ingress_server> make_ingress_server(boost::asio::io_context& io,
                                                    const std::string& listen,
                                                    const serving::request_codec& codec,
                                                    ingress_resources resources,
                                                    ingress_observer observer);

} // namespace spurrack::http
