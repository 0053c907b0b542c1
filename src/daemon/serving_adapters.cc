#include "daemon/serving_adapters.h"

#include "flow/resource_plan.h"

#include <utility>

namespace spurrack::daemon {
namespace {

/// Passes each command to the adapter that carries it out.
struct command_router {
  http::ingress_server* clients;
  upstream::replica_client* replicas;

  void operator()(serving::start_call& command) const { replicas->start(std::move(command)); }
  void operator()(serving::start_stage_call& command) const { replicas->start(std::move(command)); }
  void operator()(serving::free_results& command) const { replicas->start(std::move(command)); }
  void operator()(serving::close_connections& command) const {
    replicas->close_idle(command.address);
  }
  void operator()(serving::probe_replica& command) const {
    replicas->probe(std::move(command.target));
  }
  void operator()(serving::cancel_call& command) const { replicas->cancel(command.call); }
  void operator()(serving::pause_call& command) const { replicas->pause(command.call); }
  void operator()(serving::resume_call& command) const { replicas->resume(command.call); }
  template <typename client_command>
  void operator()(client_command& command) const {
    clients->carry_out(std::move(command));
  }
};

} // namespace

serving_adapters::serving_adapters(boost::asio::io_context& io,
                                   const settings::serving_endpoints& endpoints,
                                   const serving::serving_settings& limits,
                                   const serving::request_codec& codec,
                                   const std::function<void(serving::event)>& post,
                                   std::function<bool()> is_ready)
    : budget_(std::make_shared<flow::byte_budget>(
          flow::budget_capacity(limits.resources.memory_bytes))),
      clients_(http::make_ingress_server(
          io, endpoints.listen, codec,
          {budget_, flow::client_connections(limits.resources.descriptors)},
          {[post](serving::request_arrived arrived) { post(std::move(arrived)); },
           [post](serving::client_disconnected disconnection) { post(disconnection); },
           [post](serving::client_window window) { post(window); }})),
      replicas_(upstream::make_replica_client(io, codec, limits, budget_, post)),
      readiness_(http::make_operator_server(
          io, endpoints.readiness_listen,
          [is_ready = std::move(is_ready)](
              const std::string& /*path*/) -> std::optional<http::operator_document> {
            if (!is_ready()) {
              return std::nullopt;
            }
            return http::operator_document{"application/json", "{\"ready\":true}\n"};
          })) {}

void serving_adapters::carry_out(serving::command command) {
  std::visit(command_router{clients_.get(), replicas_.get()}, command);
}

} // namespace spurrack::daemon
