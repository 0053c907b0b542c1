/// The clients' HTTP listener of the serving path: bounds and reads requests, passes them on,
/// writes answers and streams as they come.
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

/// What the listener hands on. Called on the thread of the io_context.
struct ingress_observer {
  std::function<void(serving::request_arrived)> on_request;
  std::function<void(serving::client_disconnected)> on_disconnected;
  std::function<void(serving::client_window)> on_window_change;
};

/// What the listener may use.
struct ingress_resources {
  std::shared_ptr<flow::byte_budget> budget;
  /// Connections beyond these are refused.
  std::size_t max_connections = 0;
};

/// What slow readers led to, for metrics.
struct ingress_counters {
  std::uint64_t windows_closed = 0;
  /// Time that the replicas' sides of ended streams had to rest.
  base::duration closed_window_time{};
  /// Clients whose answer was ended as not whole because they took nothing for too long.
  std::uint64_t aborted_unread = 0;
  /// The same because they were the slowest when an answer found no memory.
  std::uint64_t aborted_for_memory = 0;
  /// Requests refused because there was no memory for their body, or no connection.
  std::uint64_t refused_for_memory = 0;
  std::uint64_t refused_connections = 0;
};

/// Not thread-safe. Commands for clients that have gone are dropped.
class ingress_server {
 public:
  ingress_server() = default;
  ingress_server(const ingress_server&) = delete;
  ingress_server& operator=(const ingress_server&) = delete;
  virtual ~ingress_server() = default;

  virtual void carry_out(serving::respond wanted) = 0;
  virtual void carry_out(serving::open_stream wanted) = 0;
  virtual void carry_out(serving::stream_data wanted) = 0;
  virtual void carry_out(serving::read_ahead wanted) = 0;
  virtual void carry_out(serving::end_stream wanted) = 0;

  /// Bounds for requests that begin from now on.
  virtual void set_limits(const model::client_limits& limits) = 0;
  /// A stop begins: answers announce that their connection closes.
  virtual void begin_stop() = 0;
  /// Stops accepting connections, after taking those that wait.
  virtual void stop_accepting() = 0;
  /// @return connections on which a request has begun to arrive and is not answered yet; during a
  ///         stop also those whose first request may still come.
  [[nodiscard]] virtual std::size_t busy_connections() const = 0;
  [[nodiscard]] virtual std::size_t connections() const = 0;
  [[nodiscard]] virtual const ingress_counters& counters() const = 0;
};

/// Binds and starts accepting.
/// @param listen `IP:port`.
/// @param codec reads requests; must outlive the server.
/// @throws boost::system::system_error where the address cannot be bound.
std::unique_ptr<ingress_server> make_ingress_server(boost::asio::io_context& io,
                                                    const std::string& listen,
                                                    const serving::request_codec& codec,
                                                    ingress_resources resources,
                                                    ingress_observer observer);

} // namespace spurrack::http
