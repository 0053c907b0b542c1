/// Pool of idle connections to replicas, by address. An idle connection is closed if bytes arrive
/// on it, since they belong to no call.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace spurrack::upstream {

/// One connection to a replica.
struct connection {
  explicit connection(boost::asio::io_context& io) : stream(io) {}
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  /// Time at which the connection was last returned to the pool.
  base::time_point idle_since;
  /// Time from which the connection, if it is still idle, is not used again.
  base::time_point idle_deadline;
  /// Number of times that the connection was returned to the pool. `connection_pool::watch_idle`
  /// compares this number, so that a watch that began in an earlier idle period does not close the
  /// connection.
  std::uint64_t idle_periods = 0;
  bool is_idle = false;
  /// Time after which the kernel closes the connection if its replica acknowledges nothing, as set
  /// for the socket; zero until it is set.
  std::chrono::milliseconds tcp_user_timeout{};
};

/// Range of idle times within which a connection may be taken from the pool.
struct idle_time_bounds {
  base::duration min{};
  base::duration max{};
};

/// Idle connections to all replicas. Not thread-safe.
class connection_pool {
 public:
  static constexpr std::size_t max_idle_per_address = 16;

  /// @return the most recently used connection whose idle time is within the bounds; null if there
  ///         is none.
  std::shared_ptr<connection> take(const base::network_address& address, idle_time_bounds bounds,
                                   base::time_point now);
  /// Returns a connection to the pool for later calls, or closes it if the pool already holds
  /// `max_idle_per_address` connections to the address.
  void give_back(const base::network_address& address, std::shared_ptr<connection> returned,
                 base::duration max_idle_time, base::time_point now);
  void close_idle(const base::network_address& address);

 private:
  using idle_connections = std::deque<std::shared_ptr<connection>>;
  /// Closes the connection if it becomes readable while it is idle.
  void watch_idle(const base::network_address& address,
                  const std::shared_ptr<connection>& returned);
  /// Closes and removes connections that are past their `idle_deadline` or no longer usable.
  void close_expired(idle_connections& idle, base::time_point now);

  std::unordered_map<base::network_address, idle_connections> idle_;
};

} // namespace spurrack::upstream
