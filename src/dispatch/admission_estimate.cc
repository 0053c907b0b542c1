#include "dispatch/admission_estimate.h"

#include "dispatch/dispatcher_constants.h"

namespace spurrack::serving {
namespace {

/// Expected fill of a call, as a part of a full batch.
constexpr double typical_batch_fill = 0.6;
/// Time a piece waits for a free replica where no replica is short, as a part of the time of a
/// call: a piece arrives at a random moment of the call before its own, half of which is left on
/// average.
constexpr double typical_wait_fraction = 0.5;

base::duration typical_call_time(const model::piece_capacity& capacity) {
  const double items = typical_batch_fill * capacity.batch;
  return capacity.call_time + base::from_seconds(base::to_seconds(capacity.item_time) * items);
}

/// Time to plan with for a stage that is still ahead: a full call and some waiting for its replica.
base::duration conservative_stage_time(const model::piece_capacity& capacity) {
  return capacity.call_time + capacity.item_time * capacity.batch +
         base::scaled(capacity.call_time, typical_wait_fraction);
}

} // namespace

void admission_estimate::note_first_byte(const std::string& service, std::uint32_t own_tokens,
                                         base::duration duration) {
  first_byte_models_[service].note(own_tokens, duration);
}

base::duration admission_estimate::first_byte_time_of(const std::string& service,
                                                      std::uint32_t own_tokens) const {
  const auto found = first_byte_models_.find(service);
  return (found == first_byte_models_.end() ? first_byte_model{} : found->second)
      .expected(own_tokens);
}

std::optional<base::duration> admission_estimate::time_to_first_byte(
    const model::serving_configuration& configuration, const model::route& route,
    const stage_graph& graph, const stage_exchange& stages, const service_demand& final_call,
    std::uint32_t own_tokens, piece_standing order, base::time_point now) const {
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
  return graph.time_from(stage, call_time) + first_byte_time_of(service, own_tokens);
}

} // namespace spurrack::serving
