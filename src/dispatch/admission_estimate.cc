#include "dispatch/admission_estimate.h"

#include "dispatch/dispatcher_constants.h"

namespace spurrack::serving {
namespace {

/// Expected fill of a call, as a part of a full batch.
constexpr double usual_fill = 0.6;
/// Time a piece waits for a free replica where no replica is short, as a part of the time of a
/// call: a piece arrives at a random moment of the call before its own, half of which is left on
/// average.
constexpr double usual_wait_part = 0.5;

base::duration call_time_of(const model::piece_capacity& capacity) {
  const double items = usual_fill * capacity.batch;
  return capacity.call_time + base::from_seconds(base::to_seconds(capacity.item_time) * items);
}

/// Time to plan with for a stage that is still ahead: a full call and some waiting for its replica.
base::duration prudent_time_of(const model::piece_capacity& capacity) {
  return capacity.call_time + capacity.item_time * capacity.batch +
         base::scaled(capacity.call_time, usual_wait_part);
}

} // namespace

void admission_estimate::note_first_byte(const std::string& service, std::uint32_t own_tokens,
                                         base::duration took) {
  first_byte_[service].note(own_tokens, took);
}

base::duration admission_estimate::first_byte_of(const std::string& service,
                                                 std::uint32_t own_tokens) const {
  const auto known = first_byte_.find(service);
  return (known == first_byte_.end() ? first_byte_model{} : known->second).expected(own_tokens);
}

std::optional<base::duration> admission_estimate::time_left(
    const model::serving_configuration& configuration, const model::route& route,
    const stage_graph& graph, const stage_exchange& stages, const service_demand& final_call,
    std::uint32_t own_tokens, piece_order standing, base::time_point now) const {
  bool possible = true;
  const auto stage_time = [&](std::uint32_t stage) {
    const auto& name = route.stages[stage].service;
    const auto wait =
        stages.expected_wait({name, final_call.zone, final_call.permitted_regions}, standing, now);
    const auto* found = configuration.find_service(name);
    possible = possible && wait && found != nullptr && found->pieces;
    return possible ? *wait + call_time_of(*found->pieces) : base::duration::zero();
  };
  const auto stages_left = graph.time_left(stage_time);
  if (!possible) {
    return std::nullopt;
  }
  return stages_left + first_byte_of(final_call.service, own_tokens);
}

base::duration
admission_estimate::prudent_time_from(const model::serving_configuration& configuration,
                                      const model::route& route, const stage_graph& graph,
                                      std::uint32_t stage, const std::string& service,
                                      std::uint32_t own_tokens) const {
  const auto call_time = [&](std::uint32_t step) {
    const auto* found = configuration.find_service(route.stages[step].service);
    const bool known = found != nullptr && found->pieces;
    return known ? prudent_time_of(*found->pieces) : base::duration::zero();
  };
  return graph.time_from(stage, call_time) + first_byte_of(service, own_tokens);
}

} // namespace spurrack::serving
