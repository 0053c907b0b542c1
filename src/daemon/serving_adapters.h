/// Network adapters of the serving path: the listener for clients, the connections to replicas and
/// the listener for the load balancer's readiness check.
#pragma once

#include "http/ingress_server.h"
#include "http/operator_server.h"
#include "serving/request_codec.h"
#include "settings/settings.h"
#include "upstream/replica_client.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace spurrack::daemon {

/// Carries out the commands of the serving path. Not thread-safe.
class serving_adapters {
 public:
  /// Binds the listeners.
  /// @param codec must outlive the adapters.
  /// @param post receives the events of clients and replicas.
  /// @param is_ready returns whether the node accepts new requests.
  /// @throws boost::system::system_error if an address cannot be bound.
  serving_adapters(boost::asio::io_context& io, const settings::serving_endpoints& endpoints,
                   const serving::serving_settings& limits, const serving::request_codec& codec,
                   const std::function<void(serving::event)>& post, std::function<bool()> is_ready);

  void carry_out(serving::command command);
  void set_limits(const model::client_limits& limits) { clients_->set_limits(limits); }
  void begin_stop() { clients_->begin_stop(); }
  void set_closes_after_answers(bool closes) { clients_->set_closes_after_answers(closes); }
  void stop_accepting() { clients_->stop_accepting(); }
  [[nodiscard]] std::size_t busy_connections() const { return clients_->busy_connections(); }
  [[nodiscard]] std::size_t client_connections() const { return clients_->connections(); }
  [[nodiscard]] const http::ingress_counters& client_counters() const {
    return clients_->counters();
  }
  [[nodiscard]] const std::shared_ptr<flow::byte_budget>& budget() const { return budget_; }
  [[nodiscard]] const upstream::connection_counters& replica_connections() const {
    return replicas_->counts();
  }

 private:
  std::shared_ptr<flow::byte_budget> budget_;
  std::unique_ptr<http::ingress_server> clients_;
  std::unique_ptr<upstream::replica_client> replicas_;
  std::unique_ptr<http::operator_server> readiness_;
};

} // namespace spurrack::daemon
