/// The callers' HTTP listener: bounds and parses requests, passes them on, writes answers and token
/// streams. docs/API.md describes the interface.
#pragma once

#include "execution/answer.h"
#include "node/events.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace spurrack::http {

/// What the listener hands on. Called on the thread of the io_context.
struct caller_observer {
  std::function<void(node::caller_arrived)> on_request;
  std::function<void(node::ticket_wanted)> on_ticket_wanted;
  std::function<void(node::caller_left)> on_disconnected;
  /// Whether the node takes new requests, for the balancer's health check.
  std::function<bool()> is_ready;
};

/// Not thread-safe.
class caller_server {
 public:
  caller_server() = default;
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;
  virtual ~caller_server() = default;

  /// Answers to callers that have gone are dropped.
  virtual void send_answer(base::caller_id caller, execution::answer content) = 0;
  virtual void send_token(base::caller_id caller, std::uint32_t offset, std::string text) = 0;
  virtual void send_ticket(base::caller_id caller, std::string ticket, base::duration lifetime) = 0;
  /// Stops accepting connections, after taking those that wait; those open go on, each until its
  /// next answer.
  virtual void stop_accepting() = 0;
  /// @return connections on which a request has begun to arrive and is not answered yet; during a
  ///         stop also those whose first request may still come.
  [[nodiscard]] virtual std::size_t busy_connections() const = 0;
};

/// Binds and starts accepting.
/// @param listen `IP:port`.
/// @throws boost::system::system_error where the address cannot be bound.
std::unique_ptr<caller_server> make_caller_server(boost::asio::io_context& io,
                                                  const std::string& listen,
                                                  settings::caller_limits limits,
                                                  caller_observer observer);

} // namespace spurrack::http
