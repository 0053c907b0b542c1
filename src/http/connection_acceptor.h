/// Accepts connections, and stops without resetting connections that clients consider established.
/// In this file, a client is the process that connects to the listening socket.
///
/// Closing a listening socket resets every connection whose handshake is complete but which was not
/// accepted yet, including connections that arrive between the last accept and the close. Therefore
/// a stop first attaches a packet filter that drops new handshakes, then accepts the connections
/// whose handshake is complete, then closes the socket. Clients whose handshake was dropped retry
/// it and find the port closed.
#pragma once

#include "base/time.h"
#include "http/count_guard.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>

namespace spurrack::http {

/// Listening socket that passes each accepted connection to a handler. Not thread-safe.
class connection_acceptor {
 public:
  using connection_handler = std::function<void(boost::asio::ip::tcp::socket)>;

  /// Binds and starts accepting connections.
  /// @throws boost::system::system_error if the address cannot be bound.
  connection_acceptor(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
                      connection_handler on_connection);

  /// Stops accepting new connections. Passes the connections that are already established to the
  /// handler, and closes the socket once the handshakes in progress have had time to complete.
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

/// Counts new connections: connections on which no request has arrived yet. A graceful stop waits
/// for a limited time for the first request of a new connection, since the client may have been
/// delayed in sending the request, or this process in reading it. Not thread-safe.
class new_connections {
 public:
  /// Counts a connection until its first request arrives or the connection ends.
  class guard : public count_guard {
   public:
    explicit guard(new_connections& counted) : count_guard(counted.count_) {}
  };

  void begin_stop(base::time_point now) { stop_began_at_ = now; }
  /// @return number of connections whose first request a graceful stop waits for; 0 before a stop
  ///         begins and once the stop no longer waits for them.
  [[nodiscard]] std::size_t awaiting_first_request(base::time_point now) const;

 private:
  std::size_t count_ = 0;
  base::time_point stop_began_at_{base::time_point::max()};
};

} // namespace spurrack::http
