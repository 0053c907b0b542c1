/// Connections to replicas: opens them, lends them to calls, and keeps those that can carry another
/// call.
#pragma once

#include "serving/settings.h"
#include "upstream/client_reports.h"
#include "upstream/connection_pool.h"
#include "upstream/replica_call.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>

namespace spurrack::upstream {

/// Not thread-safe. Must outlive its coroutines.
class replica_connections {
 public:
  /// @param counters counts opened and reused connections; must outlive this object.
  replica_connections(boost::asio::io_context& io, base::duration connect_timeout,
                      connection_counters& counters)
      : io_(&io), connect_timeout_(connect_timeout), counters_(&counters) {}

  /// Takes an idle connection from the pool or opens a new connection. @return whether the call has
  /// a connection.
  boost::asio::awaitable<bool> connect(const std::shared_ptr<call_state>& state,
                                       const outgoing_call& call);
  /// Opens a connection to a replica and keeps it for later calls. @return what it shows of the
  /// replica.
  boost::asio::awaitable<serving::probe_result> probe(const serving::call_target& target);
  /// Returns the connection of a call to the pool if it can carry another call; closes it
  /// otherwise.
  /// @param parser the answer to the call, as far as it was read.
  void keep_or_close(const std::shared_ptr<call_state>& state, const outgoing_call& call,
                     const response_parser& parser);
  /// Closes the idle connections to an address; active calls continue.
  void close_idle(const base::network_address& address) { pool_.close_idle(address); }

 private:
  /// Opens a new connection. @return the error, if any.
  /// @param timeout TCP user timeout of the connection.
  boost::asio::awaitable<boost::system::error_code> open(const base::network_address& address,
                                                         connection& replica_connection,
                                                         std::chrono::milliseconds timeout);

  boost::asio::io_context* io_;
  base::duration connect_timeout_;
  connection_counters* counters_;
  connection_pool pool_;
};

} // namespace spurrack::upstream
