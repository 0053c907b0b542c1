/// HTTP listener for callers: parses requests within limits on their size and time, passes them to
/// the node, and writes answers and token streams. docs/API.md describes the interface.
///
/// A caller uses spurrack's own pipelines interface (`/v1/pipelines/`). A client of a published
/// route uses the listener in ingress_server.h instead.
#pragma once

#include "execution/answer.h"
#include "node/events.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace spurrack::http {

/// Callbacks of the listener, called on the thread of the io_context.
struct caller_observer {
  std::function<void(node::caller_arrived)> on_request;
  std::function<void(node::ticket_requested)> on_ticket_requested;
  std::function<void(node::caller_disconnected)> on_disconnected;
  /// Returns whether the node accepts new requests, for the health check of the load balancer.
  std::function<bool()> is_ready;
};

/// HTTP listener for callers. Answers, tokens and tickets for callers that have disconnected are
/// dropped. Not thread-safe.
class caller_server {
 public:
  caller_server() = default;
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;
  virtual ~caller_server() = default;

  virtual void send_answer(base::caller_id caller, execution::answer content) = 0;
  virtual void send_token(base::caller_id caller, std::uint32_t offset, std::string text) = 0;
  virtual void send_ticket(base::caller_id caller, std::string ticket, base::duration lifetime) = 0;
  /// Accepts the connections that are already established, then stops accepting. From now on, a
  /// connection is closed after the next request that arrives on it has been answered.
  virtual void stop_accepting() = 0;
  /// @return number of connections on which a request has begun to arrive and is not answered yet;
  ///         during a graceful stop also connections whose first request may still arrive.
  [[nodiscard]] virtual std::size_t busy_connections() const = 0;
};

/// Binds and starts accepting connections.
/// @param listen `IP:port`.
/// @throws boost::system::system_error if the address cannot be bound.
std::unique_ptr<caller_server> make_caller_server(boost::asio::io_context& io,
                                                  const std::string& listen,
                                                  settings::caller_limits limits,
                                                  caller_observer observer);

} // namespace spurrack::http
