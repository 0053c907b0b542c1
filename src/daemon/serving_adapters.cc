#include "daemon/serving_adapters.h"

#include "flow/resource_plan.h"

#include <utility>

namespace spurrack::daemon {
namespace {

/// Chooses the adapter of each command.
struct command_router {
  http::ingress_server* clients;
  upstream::replica_client* replicas;

  void operator()(serving::start_call& wanted) const { replicas->start(std::move(wanted)); }
  void operator()(serving::start_stage_call& wanted) const { replicas->start(std::move(wanted)); }
  void operator()(serving::free_results& wanted) const { replicas->start(std::move(wanted)); }
  void operator()(serving::close_connections& wanted) const {
    replicas->close_idle(wanted.address);
  }
  void operator()(serving::probe_replica& wanted) const {
    replicas->probe(std::move(wanted.target));
  }
  void operator()(serving::cancel_call& wanted) const { replicas->cancel(wanted.call); }
  void operator()(serving::pause_call& wanted) const { replicas->pause(wanted.call); }
  void operator()(serving::resume_call& wanted) const { replicas->resume(wanted.call); }
  template <typename client_command>
  void operator()(client_command& wanted) const {
    clients->carry_out(std::move(wanted));
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
           [post](serving::client_disconnected left) { post(left); },
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

void serving_adapters::carry_out(serving::command wanted) {
  std::visit(command_router{clients_.get(), replicas_.get()}, wanted);
}

} // namespace spurrack::daemon
