/// Accepts connections, and stops without resetting connections that clients consider established.
///
/// Closing a listening socket resets every connection whose handshake is complete but which was not
/// accepted yet, including connections that arrive between the last accept and the close. Therefore
/// a stop first attaches a packet filter that drops new handshakes, then accepts the connections
/// that remain, then closes the socket. Clients whose handshake was dropped retry it and find the
/// port closed.
#pragma once

#include "base/time.h"
#include "http/count_guard.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>

namespace spurrack::http {

/// Not thread-safe.
class connection_acceptor {
 public:
  using connection_handler = std::function<void(boost::asio::ip::tcp::socket)>;

  /// Binds and starts accepting connections.
  /// @throws boost::system::system_error if the address cannot be bound.
  connection_acceptor(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
                      connection_handler on_connection);

  /// Stops accepting new connections. Passes the connections that are already established to the
  /// handler and closes the socket after the handshakes in progress have completed.
  void stop();

 private:
  void accept_next();
  void accept_pending();
  void close();

  boost::asio::io_context* io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer handshake_timer_;
  connection_handler on_connection_;
};

/// Counts connections that have not carried a request yet. They delay a planned stop for a limited
/// time, since the client may have been delayed in sending its request, or this process in reading
/// it.
class new_connections {
 public:
  /// Counts a connection until its first request arrives or the connection ends.
  class guard : public count_guard {
   public:
    explicit guard(new_connections& counted) : count_guard(counted.count_) {}
  };

  void begin_stop(base::time_point now) { stop_began_at_ = now; }
  /// @return number of connections whose first request a stop waits for; 0 outside a stop.
  [[nodiscard]] std::size_t awaiting_first_request(base::time_point now) const;

 private:
  std::size_t count_ = 0;
  base::time_point stop_began_at_{base::time_point::max()};
};

} // namespace spurrack::http
