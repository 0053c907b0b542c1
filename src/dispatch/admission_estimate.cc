#include "dispatch/admission_estimate.h"

#include "dispatch/dispatcher_constants.h"

namespace spurrack::serving {
namespace {

/// Typical number of pieces in a call, as a fraction of a full batch.
constexpr double typical_batch_fill = 0.6;
/// Time that a piece waits for a replica under moderate load, as a fraction of the call time. The
/// piece arrives at a random moment while the replica runs another call, and on average half of
/// that call remains.
constexpr double typical_wait_fraction = 0.5;

base::duration typical_call_time(const model::piece_capacity& capacity) {
  const double items = typical_batch_fill * capacity.max_pieces_per_call;
  return capacity.call_time + base::from_seconds(base::to_seconds(capacity.piece_time) * items);
}

/// @return time of a call with a full batch plus the typical wait for a replica.
base::duration conservative_stage_time(const model::piece_capacity& capacity) {
  return capacity.call_time + capacity.piece_time * capacity.max_pieces_per_call +
         base::scaled(capacity.call_time, typical_wait_fraction);
}

} // namespace

void admission_estimate::note_first_byte(const std::string& service, std::uint32_t own_tokens,
                                         base::duration duration) {
  first_byte_models_[service].record_call(own_tokens, duration);
}

base::duration admission_estimate::first_byte_time_of(const std::string& service,
                                                      std::uint32_t own_tokens) const {
  const auto found = first_byte_models_.find(service);
  return (found == first_byte_models_.end() ? first_byte_model{} : found->second)
      .expected_time(own_tokens);
}

std::optional<base::duration> admission_estimate::time_to_first_byte(
    const model::serving_configuration& configuration, const model::route& route,
    const stage_graph& graph, const stage_exchange& stages, const service_demand& final_call,
    std::uint32_t own_tokens, piece_order order, base::time_point now) const {
  bool can_serve = true;
  const auto stage_time = [&](std::uint32_t stage) {
    const auto& name = route.stages[stage].service;
    const auto wait =
        stages.expected_wait({name, final_call.zone, final_call.permitted_regions}, order, now);
    const auto* found = configuration.find_service(name);
    can_serve = can_serve && wait && found != nullptr && found->pieces;
    return can_serve ? *wait + typical_call_time(*found->pieces) : base::duration::zero();
  };
  const auto stage_time_left = graph.time_left(stage_time);
  if (!can_serve) {
    return std::nullopt;
  }
  return stage_time_left + first_byte_time_of(final_call.service, own_tokens);
}

base::duration
admission_estimate::conservative_time_from(const model::serving_configuration& configuration,
                                           const model::route& route, const stage_graph& graph,
                                           std::uint32_t stage, const std::string& service,
                                           std::uint32_t own_tokens) const {
  const auto call_time = [&](std::uint32_t index) {
    const auto* found = configuration.find_service(route.stages[index].service);
    const bool is_known = found != nullptr && found->pieces;
    return is_known ? conservative_stage_time(*found->pieces) : base::duration::zero();
  };
  return graph.time_from_start_of(stage, call_time) + first_byte_time_of(service, own_tokens);
}

} // namespace spurrack::serving
