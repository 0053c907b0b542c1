#include "upstream/replica_connections.h"

#include "http/awaitable.h"
#include "http/endpoint.h"
#include "http/socket_options.h"

#include <boost/asio/error.hpp>

namespace spurrack::upstream {

namespace asio = boost::asio;

asio::awaitable<bool> replica_connections::connect(const std::shared_ptr<call_state>& state,
                                                   const outgoing_call& call) {
  state->replica_connection =
      pool_.take(call.target.address, call.idle_time, base::boot_clock::now());
  if (state->replica_connection) {
    ++counters_->reused;
    use_tcp_user_timeout(*state->replica_connection,
                         tcp_user_timeout_of(call, base::boot_clock::now()));
    co_return true;
  }
  state->replica_connection = std::make_shared<connection>(*io_);
  const auto error = co_await open(call.target.address, *state->replica_connection,
                                   tcp_user_timeout_of(call, base::boot_clock::now()));
  co_return !error && !state->is_cancelled;
}

asio::awaitable<serving::probe_result>
replica_connections::probe(const serving::call_target& target) {
  const auto replica_connection = std::make_shared<connection>(*io_);
  const auto error = co_await open(target.address, *replica_connection, default_tcp_user_timeout);
  if (!error) {
    pool_.give_back(target.address, replica_connection, default_idle_timeout - idle_timeout_margin,
                    base::boot_clock::now());
    co_return serving::probe_result::connected;
  }
  co_return error == asio::error::connection_refused ? serving::probe_result::refused
                                                     : serving::probe_result::unresponsive;
}

void replica_connections::keep_or_close(const std::shared_ptr<call_state>& state,
                                        const outgoing_call& call, const response_parser& parser) {
  auto& replica_connection = *state->replica_connection;
  const bool is_reusable = state->is_written() && parser.is_done() && parser.keep_alive() &&
                           !parser.need_eof() && replica_connection.buffer.size() == 0;
  if (is_reusable) {
    // An idle connection needs no buffer.
    replica_connection.buffer.shrink_to_fit();
    // Keep-alive probes find a dead idle connection within the default timeout.
    use_tcp_user_timeout(replica_connection, default_tcp_user_timeout);
    pool_.give_back(call.target.address, state->replica_connection, idle_timeout_of(parser),
                    base::boot_clock::now());
  } else {
    replica_connection.stream.close();
  }
}

asio::awaitable<boost::system::error_code>
replica_connections::open(const base::network_address& address, connection& replica_connection,
                          std::chrono::milliseconds timeout) {
  const auto endpoint = http::parse_endpoint(address.text());
  if (!endpoint) {
    co_return asio::error::invalid_argument;
  }
  ++counters_->opened;
  boost::system::error_code error;
  replica_connection.stream.expires_after(connect_timeout_);
  co_await replica_connection.stream.async_connect(*endpoint, http::await_into(error));
  if (error) {
    co_return error;
  }
  replica_connection.stream.expires_never();
  http::set_tcp_options(replica_connection.stream.socket(), timeout);
  replica_connection.tcp_user_timeout = timeout;
  // Bodies are read after the kernel reports that bytes have arrived, without blocking.
  replica_connection.stream.socket().non_blocking(true, error);
  co_return error;
}

} // namespace spurrack::upstream
