/// The stages of requests: submitting pieces, taking results, making lost ones again.
#include "dispatch/dispatcher.h"
#include "dispatch/dispatcher_constants.h"
#include "stage_work/result_handle.h"

#include <utility>

namespace spurrack::serving {
void dispatcher::submit_pieces(active_request& request, base::time_point now) {
  std::map<std::uint32_t, std::vector<piece_position>> by_stage;
  for (const auto where : request.graph->take_ready()) {
    by_stage[where.stage].push_back(where);
  }
  for (const auto& [stage, positions] : by_stage) {
    submit_stage(request, positions, now);
  }
}

void dispatcher::submit_stage(active_request& request, const std::vector<piece_position>& positions,
                              base::time_point now) {
  const auto stage = positions.front().stage;
  const auto& step = request.route->stages[stage];
  const auto time_ahead =
      estimate_.prudent_time_from(*configuration_, *request.route, *request.graph, stage,
                                  request.service, request.content->own_tokens());
  piece_work common;
  common.request = request.content->id;
  common.service = step.service;
  common.stage = stage;
  common.result_bytes = step.result_bytes;
  common.due = request.arrived + request.route->target_latency - time_ahead;
  common.deadline = request.ends_at;
  common.permitted_regions = request.permitted_regions;
  common.single_attempt =
      quarantine_state_of(request, now) != quarantine::quarantine_state::unrestricted;
  if (step.start_after.empty()) {
    common.piece_key = request.content->piece_key;
  } else {
    common.inputs = request.graph->inputs_of(stage);
  }
  counters_.stage_pieces += positions.size();
  choose_zone(request, stage, common);
  std::vector<piece_work> pieces;
  for (const auto where : positions) {
    pieces.push_back(common);
    pieces.back().piece = where.piece;
  }
  const auto tickets = stages_.submit(std::move(pieces), common.zone, now);
  for (std::size_t index = 0; index < positions.size(); ++index) {
    request.pieces[tickets[index]] = positions[index];
    tickets_[tickets[index]] = request.client;
  }
}

void dispatcher::choose_zone(const active_request& request, std::uint32_t stage,
                             piece_work& work) const {
  const auto& route = *request.route;
  double result_bytes = 0;
  if (request.graph->is_last(stage)) {
    result_bytes = work.result_bytes;
  }
  // Each piece reads every input.
  std::map<base::zone_id, double> read_in;
  for (const auto before : route.stages[stage].start_after) {
    for (const auto& handle : request.graph->results_of(before)) {
      const auto* maker = replicas_.find_at(producer_of(handle));
      if (maker != nullptr) {
        read_in[maker->record->zone] += route.stages[before].result_bytes;
      }
    }
  }
  work.zone = request.zone;
  work.carried_bytes = result_bytes;
  for (const auto& [zone, bytes] : read_in) {
    if (bytes > work.carried_bytes) {
      work.zone = zone;
      work.carried_bytes = bytes;
    }
  }
}

void dispatcher::free_fetched_stage_inputs() {
  for (const auto ticket : stages_.take_fetched()) {
    const auto owner = tickets_.find(ticket);
    if (owner != tickets_.end()) {
      auto& request = active_.at(owner->second);
      request.graph->note_inputs_fetched(request.pieces.at(ticket));
      free(request.graph->take_unneeded_results(false));
    }
  }
}

bool dispatcher::take_piece_results(base::time_point now) {
  free_fetched_stage_inputs();
  // Before the results: a lost piece may end its request.
  for (const auto& lost : stages_.take_lost()) {
    const auto owner = tickets_.find(lost.ticket);
    if (owner != tickets_.end()) {
      note_lost_call(active_.at(owner->second), lost.replica, lost.incarnation_exit, now);
    }
  }
  const auto results = stages_.take_finished();
  for (const auto& finished : results) {
    const auto owner = tickets_.find(finished.ticket);
    if (owner == tickets_.end()) {
      continue;
    }
    auto& request = active_.at(owner->second);
    tickets_.erase(owner);
    on_piece_finished(request, finished.ticket, finished.outcome, now);
  }
  return !results.empty();
}

void dispatcher::on_piece_finished(active_request& request, piece_ticket ticket,
                                   const piece_outcome& outcome, base::time_point now) {
  const auto where = request.pieces.at(ticket);
  request.pieces.erase(ticket);
  if (outcome.fault == piece_fault::none) {
    request.graph->complete(where, outcome.handle);
    free(request.graph->take_unneeded_results(false));
    go_on(request, now);
    return;
  }
  if (outcome.fault == piece_fault::input_gone && request.graph->recomputations() < most_remakes) {
    const auto useless = request.graph->recompute_inputs_of(
        where, [&](const auto& handle) { return is_lost(handle, now); });
    go_on_after_loss(request, useless, now);
    return;
  }
  answer_not_run(request, "stage " + std::to_string(where.stage) + " brought no result", now);
}

bool dispatcher::is_lost(const std::string& handle, base::time_point now) const {
  const auto* maker = replicas_.find_at(producer_of(handle));
  return maker == nullptr || maker->is_replaced || maker->paused_until > now;
}

void dispatcher::recompute_final_inputs(active_request& request, base::time_point now) {
  const auto useless = request.graph->recompute_final_inputs(
      [&](const auto& handle) { return is_lost(handle, now); });
  go_on_after_loss(request, useless, now);
}

void dispatcher::go_on_after_loss(active_request& request, const std::vector<std::string>& useless,
                                  base::time_point now) {
  std::erase_if(request.pieces, [&](const auto& entry) {
    const auto& [ticket, where] = entry;
    const bool obsolete = !request.graph->is_under_way(where);
    if (obsolete) {
      stages_.cancel(ticket);
      tickets_.erase(ticket);
    }
    return obsolete;
  });
  free(useless);
  record(base::event_kind::stage_retried, request, request.route->name,
         "results were gone, made again for the " +
             std::to_string(request.graph->recomputations()) + ". time");
  submit_pieces(request, now);
}

void dispatcher::on(const stage_call_ended& what, base::time_point now) {
  if (stages_.on_call_ended(what, now)) {
    take_piece_results(now);
  }
}

void dispatcher::free(const std::vector<std::string>& handles) {
  counters_.results_freed += handles.size();
  stages_.release(handles);
}

base::zone_id dispatcher::wanted_zone(const active_request& request, base::time_point now) {
  auto demand = demand_of(request);
  demand.is_planned = true;
  if (const auto* expected = choose_for(demand, now)) {
    return expected->record->zone;
  }
  if (request.permitted_regions.permits(settings_.regions.region_of(self_.zone))) {
    return self_.zone;
  }
  return replicas_.any_accepting_zone(request.service, request.permitted_regions)
      .value_or(self_.zone);
}

} // namespace spurrack::serving
