/// Drives one node from Asio: turns what the adapters report into events and carries out commands.
#pragma once

#include "backends/backend_client.h"
#include "http/caller_server.h"
#include "http/operator_server.h"
#include "node/node.h"
#include "peers/peer_transport.h"
#include "platform/platform_client.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace spurrack::daemon {

/// Owns the node and all adapters; everything runs on the thread of the io_context.
class runtime {
 public:
  /// Binds all listeners and starts.
  /// @throws std::system_error or boost::system::system_error where an address cannot be bound.
  runtime(boost::asio::io_context& io, settings::daemon_settings settings);

 private:
  /// Queues an event; it is handled on the next turn of the io_context, never within another.
  void post(node::event what);
  void handle(const node::event& what);
  void carry_out(node::command& wanted);
  void schedule_wakeup();
  void begin_stop();
  void exit_when_written();
  void log_answer(const execution::answer& content);

  boost::asio::io_context* io_;
  settings::daemon_settings settings_;
  base::seeded_random random_;
  node::node node_;
  std::unique_ptr<peers::peer_transport> peers_;
  std::unique_ptr<backends::backend_client> backends_;
  std::unique_ptr<platform::platform_client> platform_;
  std::unique_ptr<http::caller_server> callers_;
  std::unique_ptr<http::operator_server> operators_;
  boost::asio::steady_timer wakeup_;
  boost::asio::steady_timer exit_timer_;
  base::time_point exit_not_before_;
  boost::asio::signal_set signals_;
};

} // namespace spurrack::daemon
