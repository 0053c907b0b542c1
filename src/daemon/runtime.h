/// Drives one node from Asio: turns what the adapters report into events and carries out commands.
#pragma once

#include "backends/backend_client.h"
#include "daemon/operator_documents.h"
#include "daemon/serving_adapters.h"
#include "http/caller_server.h"
#include "http/operator_server.h"
#include "node/node.h"
#include "peers/peer_transport.h"
#include "publication/publication_client.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace spurrack::daemon {

/// What the serving path needs to speak with the users' platform.
struct platform_adapters {
  std::unique_ptr<serving::request_codec> codec;
  std::function<std::unique_ptr<publication::publication_client>(
      boost::asio::io_context&, const std::string& address, publication::read_observer)>
      make_store_client;
};

/// Reads the settings anew, as the start did.
using settings_loader = std::function<settings::settings_result()>;

/// Owns the node and all adapters; everything runs on the thread of the io_context.
class runtime {
 public:
  /// Binds all listeners and starts.
  /// @throws std::system_error or boost::system::system_error where an address cannot be bound.
  /// @param reread reads the settings file anew; nothing where it does not check.
  runtime(boost::asio::io_context& io, settings::daemon_settings settings,
          platform_adapters adapters, settings_loader load_settings);

 private:
  /// Queues an event; it is handled on the next turn of the io_context, never within another.
  void post(node::event input_event);
  /// Handles what was queued up to now, in order.
  void handle_queued_events();
  void handle(const node::event& input_event);
  void carry_out(node::command& command);
  void start_pipeline_interface();
  void start_serving_path();
  void log_decision(const base::event& decision);
  [[nodiscard]] std::size_t busy_connections() const;
  [[nodiscard]] process_stats stats() const;
  /// Has what an operator asks for done on the next turn of the io_context.
  std::optional<http::operator_document> handle_action(const std::string& path);
  /// Sees to it that the node is woken no later than it wants; it may be woken before.
  void schedule_wakeup();
  void begin_stop();
  void watch_signals();
  /// Reads the settings again and takes over what can change in a running process.
  void reload();
  void exit_when_idle();
  void log_answer(const execution::answer& content);
  /// The last line of a planned stop, with what became of the requests during it.
  void log_stopped() const;

  boost::asio::io_context* io_;
  settings::daemon_settings settings_;
  base::seeded_random random_;
  node::node node_;
  std::unique_ptr<peers::peer_transport> peers_;
  std::unique_ptr<backends::backend_client> backends_;
  std::unique_ptr<publication::publication_client> publication_;
  /// Set where the node serves its own interface.
  std::unique_ptr<http::caller_server> callers_;
  platform_adapters adapters_;
  settings_loader load_settings_;
  /// Set where the node serves published routes.
  std::unique_ptr<serving_adapters> serving_;
  std::shared_ptr<const model::serving_configuration> applied_configuration_;
  std::unique_ptr<http::operator_server> operators_;
  /// Events that wait for their turn.
  std::vector<node::event> queued_events_;
  boost::asio::steady_timer wakeup_;
  /// When `wakeup_` fires; unset where it is not waited for.
  std::optional<base::time_point> wakeup_at_;
  boost::asio::steady_timer exit_timer_;
  base::time_point earliest_exit_at_;
  /// The process ends by then; without a bound where no grace is set.
  base::time_point exit_deadline_ = base::time_point::max();
  boost::asio::signal_set signals_;
};

} // namespace spurrack::daemon
