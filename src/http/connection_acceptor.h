/// Accepts connections, and stops without cutting any that a peer takes for established.
///
/// Closing a listening socket resets every connection whose handshake is complete and that was not
/// accepted yet: also those that arrive between the last accept and the close. While the last are
/// accepted, a packet filter turns new handshakes away; their peers try again and find the port
/// closed.
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

  /// Binds and starts accepting.
  /// @throws boost::system::system_error where the address cannot be bound.
  connection_acceptor(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
                      connection_handler on_connection);

  /// Hands on what has connected so far and closes shortly after.
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

/// Connections that have not carried a request yet. They hold a planned stop for a while: their
/// client may have been kept from sending, or this process from reading.
class new_connections {
 public:
  /// Counts a connection until its first request arrives, or as long as it lasts.
  class guard : public count_guard {
   public:
    explicit guard(new_connections& counted) : count_guard(counted.count_) {}
  };

  void begin_stop(base::time_point now) { stop_began_at_ = now; }
  /// @return connections for whose first request a stop waits.
  [[nodiscard]] std::size_t awaiting_first_request(base::time_point now) const;

 private:
  std::size_t count_ = 0;
  base::time_point stop_began_at_{base::time_point::max()};
};

} // namespace spurrack::http
