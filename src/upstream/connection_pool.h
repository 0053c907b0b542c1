/// Kept connections to replicas, by address. A connection that rests is watched: whatever arrives
/// on it belongs to no call, so it is closed.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

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
  base::time_point idle_since;
  base::time_point idle_deadline;
  /// Counts the times it was taken and given back; lets the watch of an earlier rest end quietly.
  std::uint64_t idle_periods = 0;
  bool is_idle = false;
};

/// How long a connection that is taken may have rested.
struct idle_time_bounds {
  base::duration min{};
  base::duration max{};
};

/// Not thread-safe.
class connection_pool {
 public:
  static constexpr std::size_t max_idle_per_address = 16;

  /// @return a resting connection, the one used last; null where none is fit.
  std::shared_ptr<connection> take(const base::network_address& address, idle_time_bounds bounds,
                                   base::time_point now);
  /// Keeps a connection for later calls.
  /// @param lifetime how long it may rest.
  void give_back(const base::network_address& address, std::shared_ptr<connection> returned,
                 base::duration lifetime, base::time_point now);
  /// Closes all that rest at an address.
  void close_idle(const base::network_address& address);

 private:
  using idle_connections = std::deque<std::shared_ptr<connection>>;
  void watch_idle(const base::network_address& address,
                  const std::shared_ptr<connection>& returned);
  void close_expired(idle_connections& idle, base::time_point now);

  std::unordered_map<base::network_address, idle_connections> idle_;
};

} // namespace spurrack::upstream
