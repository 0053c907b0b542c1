/// Runs one node on an Asio io_context: passes events from the network adapters to the node, and
/// carries out the commands of the node through the adapters.
#pragma once

#include "backends/backend_client.h"
#include "daemon/event_pump.h"
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

/// Adapters of the serving path to the protocols of the users' platform: the codec for requests,
/// and the factory for clients of the platform's store.
struct platform_adapters {
  std::unique_ptr<serving::request_codec> codec;
  std::function<std::unique_ptr<publication::publication_client>(
      boost::asio::io_context&, const std::string& address, publication::read_observer)>
      make_store_client;
};

/// Function that reads the settings file again.
using settings_loader = std::function<settings::settings_result()>;

/// Owns the node and all adapters; everything runs on the thread of the io_context.
class runtime {
 public:
  /// Binds all listeners and starts the node.
  /// @throws std::system_error or boost::system::system_error if an address cannot be bound.
  /// @param load_settings called on SIGHUP; its result has no value if the settings file cannot be
  ///        read or is invalid.
  runtime(boost::asio::io_context& io, settings::daemon_settings settings,
          platform_adapters adapters, settings_loader load_settings);

 private:
  /// Queues an event for the node. The node receives the event in a later handler of the
  /// io_context, never while the node is handling another event.
  void post(node::event input_event);
  void handle(const node::event& input_event);
  /// Handles the events that waited during a stand of the loop; the last one is `time_passed`.
  void handle_unread(const std::vector<node::event>& events);
  /// Logs a stand of the loop and tells the node.
  void note_stand(const loop_stand& stand);
  void carry_out_all(node::command_list commands);
  /// Applies what an event changed in the state of the node to the adapters, and logs a change of
  /// its readiness.
  void note_changes(bool was_ready);
  void carry_out(node::command& command);
  void start_pipeline_interface();
  void start_serving_path();
  void log_event(const base::event& entry);
  [[nodiscard]] std::size_t busy_connections() const;
  [[nodiscard]] process_stats stats() const;
  /// Queues the action that an operator requested.
  /// @return the answer to the operator; std::nullopt if the path names no action.
  std::optional<http::operator_document> handle_action(const std::string& path);
  void begin_stop();
  void watch_signals();
  /// Reads the settings again and applies those that can change in a running process: the seeds.
  void reload();
  /// Stops the io_context once no connection is busy, but not before `earliest_exit_at_`, and at
  /// the latest at `exit_deadline_`.
  void exit_when_idle();
  void log_answer(const execution::answer& content);
  /// Writes the last log line of a graceful stop. If the node serves published routes, the line
  /// shows how many requests the node accepted, refused, ended without sending them to a replica,
  /// and aborted during the stop.
  void log_stopped() const;

  boost::asio::io_context* io_;
  settings::daemon_settings settings_;
  base::seeded_random random_;
  node::node node_;
  std::unique_ptr<peers::peer_transport> peers_;
  std::unique_ptr<backends::backend_client> backends_;
  std::unique_ptr<publication::publication_client> publication_;
  /// Listener for requests on pipeline templates; null if the node serves published routes.
  std::unique_ptr<http::caller_server> callers_;
  platform_adapters adapters_;
  settings_loader load_settings_;
  /// Null if the node does not serve published routes.
  std::unique_ptr<serving_adapters> serving_;
  /// Published configuration whose limits on clients are in effect.
  std::shared_ptr<const model::serving_configuration> applied_configuration_;
  std::unique_ptr<http::operator_server> operators_;
  event_pump pump_;
  boost::asio::steady_timer exit_timer_;
  base::time_point earliest_exit_at_;
  /// Time from which a stopping process exits even if connections are busy. `time_point::max()`
  /// before the stop begins, and always if the node does not serve published routes.
  base::time_point exit_deadline_ = base::time_point::max();
  boost::asio::signal_set signals_;
};

} // namespace spurrack::daemon
