/// Stages of requests: submits the pieces of stages, applies their results and recomputes lost
/// results.
#include "dispatch/dispatcher.h"
#include "dispatch/dispatcher_constants.h"

#include <utility>

namespace spurrack::serving {
void dispatcher::submit_pieces(active_request& request, base::time_point now) {
  std::map<std::uint32_t, std::vector<piece_position>> by_stage;
  for (const auto position : request.graph->take_ready()) {
    by_stage[position.stage].push_back(position);
  }
  for (const auto& [stage, positions] : by_stage) {
    submit_stage(request, positions, now);
  }
}

void dispatcher::submit_stage(active_request& request, const std::vector<piece_position>& positions,
                              base::time_point now) {
  const auto stage = positions.front().stage;
  const auto& route_stage = request.route->stages[stage];
  const auto remaining_time = admission_estimate_.conservative_time_from(
      *configuration_, *request.route, *request.graph, stage, request.service,
      request.content->own_tokens());
  piece_work shared;
  shared.request = request.content->id;
  shared.service = route_stage.service;
  shared.stage = stage;
  shared.result_bytes = route_stage.result_bytes;
  shared.due = request.arrived_at + request.route->target_latency - remaining_time;
  shared.deadline = request.deadline;
  shared.permitted_regions = request.permitted_regions;
  shared.single_attempt =
      quarantine_state_of(request, now) != quarantine::quarantine_state::unrestricted;
  if (route_stage.start_after.empty()) {
    shared.piece_key = request.content->piece_key;
  } else {
    shared.inputs = request.graph->inputs_of(stage);
  }
  counters_.stage_pieces += positions.size();
  choose_zone(request, stage, shared);
  std::vector<piece_work> pieces;
  for (const auto position : positions) {
    pieces.push_back(shared);
    pieces.back().piece = position.piece;
  }
  const auto tickets = stages_.submit(std::move(pieces), shared.zone, now);
  for (std::size_t index = 0; index < positions.size(); ++index) {
    request.pieces[tickets[index]] = positions[index];
    clients_by_ticket_[tickets[index]] = request.client;
  }
}

void dispatcher::choose_zone(const active_request& request, std::uint32_t stage,
                             piece_work& work) const {
  const auto& route = *request.route;
  double result_bytes = 0;
  if (request.graph->is_last(stage)) {
    result_bytes = work.result_bytes;
  }
  // Each piece reads all results of the preceding stages.
  std::map<base::zone_id, double> input_bytes_by_zone;
  for (const auto predecessor : route.stages[stage].start_after) {
    for (const auto& result : request.graph->results_of(predecessor)) {
      const auto* producer = holder_of(replicas_, result.producer);
      if (producer != nullptr) {
        input_bytes_by_zone[producer->record->zone] += route.stages[predecessor].result_bytes;
      }
    }
  }
  work.zone = request.expected_zone;
  work.carried_bytes = result_bytes;
  for (const auto& [zone, bytes] : input_bytes_by_zone) {
    if (bytes > work.carried_bytes) {
      work.zone = zone;
      work.carried_bytes = bytes;
    }
  }
}

void dispatcher::free_fetched_stage_inputs() {
  for (const auto ticket : stages_.take_fetched()) {
    const auto owner = clients_by_ticket_.find(ticket);
    if (owner != clients_by_ticket_.end()) {
      auto& request = active_.at(owner->second);
      request.graph->note_inputs_fetched(request.pieces.at(ticket));
      release_results(request.graph->take_unneeded_results(false));
    }
  }
}

bool dispatcher::process_piece_results(base::time_point now) {
  free_fetched_stage_inputs();
  // Lost pieces are recorded before results are applied, because a failed piece may remove its
  // request.
  for (const auto& lost : stages_.take_lost()) {
    const auto owner = clients_by_ticket_.find(lost.ticket);
    if (owner != clients_by_ticket_.end()) {
      note_lost_piece(active_.at(owner->second), lost, now);
    }
  }
  const auto results = stages_.take_finished();
  for (const auto& finished : results) {
    const auto owner = clients_by_ticket_.find(finished.ticket);
    if (owner == clients_by_ticket_.end()) {
      continue;
    }
    auto& request = active_.at(owner->second);
    clients_by_ticket_.erase(owner);
    on_piece_finished(request, finished, now);
  }
  return !results.empty();
}

void dispatcher::note_lost_piece(active_request& request, const lost_piece& lost,
                                 base::time_point now) {
  const auto started_at = lost.call_time ? now - *lost.call_time : base::time_point{};
  // A call that took that long is past its timeout, and its connection need not have ended.
  const bool is_silent = lost.call_time && *lost.call_time >= min_suspected_silence;
  note_lost_call(request, {lost.incarnation_exit, now, lost.replica, started_at}, started_at,
                 is_silent ? call_trace::abandoned : call_trace::lost, now);
  if (is_silent) {
    request.silent_pieces.insert(lost.ticket);
    watch_silence(lost.replica, now);
  }
}

void dispatcher::withdraw_silent_pieces_of(const quarantine::suspect_digest& digest,
                                           base::time_point now) {
  std::vector<base::caller_id> clients;
  for (const auto& [client, request] : active_) {
    if (!request.silent_pieces.empty() && suspects_of(request).front().digest == digest) {
      clients.push_back(client);
    }
  }
  for (const auto client : clients) {
    withdraw_silent_pieces(active_.at(client), now);
  }
}

void dispatcher::withdraw_silent_pieces(active_request& request, base::time_point now) {
  bool is_withdrawn = false;
  for (const auto ticket : std::exchange(request.silent_pieces, {})) {
    const auto found = request.pieces.find(ticket);
    if (found != request.pieces.end()) {
      request.graph->withdraw(found->second);
      request.pieces.erase(found);
      stages_.cancel(ticket);
      clients_by_ticket_.erase(ticket);
      is_withdrawn = true;
    }
  }
  if (!is_withdrawn || request.call) {
    return;
  }
  request.has_trial = false;
  release_trial(request, true, now);
  const auto judgement = crash_registry_.judge(suspects_of(request), now);
  const bool may_be_tried =
      judgement.needs_trial && crash_registry_.possible_exits_of(judgement.reason->digest) <
                                   crash_registry_.limits().single_attempt;
  if (may_be_tried) {
    continue_request(request, now);
  } else {
    answer_not_run(request, "a replica fell silent while it computed a piece", now);
  }
}

void dispatcher::on_piece_finished(active_request& request, const finished_piece& finished,
                                   base::time_point now) {
  const auto& outcome = finished.outcome;
  const auto position = request.pieces.at(finished.ticket);
  request.pieces.erase(finished.ticket);
  request.silent_pieces.erase(finished.ticket);
  if (outcome.fault == piece_fault::none) {
    request.graph->complete(position, {outcome.handle, finished.producer});
    release_results(request.graph->take_unneeded_results(false));
    continue_request(request, now);
    return;
  }
  if (request.recomputes_beside_call) {
    drop_recomputation(request);
    return;
  }
  if (outcome.fault == piece_fault::input_gone &&
      request.graph->recomputations() < max_recomputations) {
    const auto obsolete_results = request.graph->recompute_inputs_of(
        position, [&](const auto& result) { return is_result_lost(result, now); });
    resubmit_after_loss(request, obsolete_results, now);
    return;
  }
  const auto stage = "stage " + std::to_string(position.stage);
  if (outcome.fault == piece_fault::not_configured) {
    record(base::event_kind::stage_cancelled, request,
           request.route->stages[position.stage].service,
           stage + ": configuration " + std::to_string(configuration_->version) +
               " has no such stage service, the request arrived under configuration " +
               std::to_string(request.configuration_version));
    answer_not_run(request, stage + " is no longer configured", now);
    return;
  }
  answer_not_run(request, stage + " brought no result", now);
}

void dispatcher::cancel_pieces(active_request& request) {
  for (const auto& [ticket, position] : std::exchange(request.pieces, {})) {
    stages_.cancel(ticket);
    clients_by_ticket_.erase(ticket);
  }
}

bool dispatcher::is_result_lost(const stage_result& result, base::time_point now) const {
  const auto* producer = holder_of(replicas_, result.producer);
  return producer == nullptr || producer->is_replaced || producer->paused_until > now;
}

void dispatcher::recompute_final_inputs(active_request& request, base::time_point now) {
  const auto obsolete_results = request.graph->recompute_final_inputs(
      [&](const auto& result) { return is_result_lost(result, now); });
  resubmit_after_loss(request, obsolete_results, now);
}

void dispatcher::resubmit_after_loss(active_request& request,
                                     const std::vector<stage_result>& obsolete_results,
                                     base::time_point now) {
  std::erase_if(request.pieces, [&](const auto& entry) {
    const auto& [ticket, position] = entry;
    const bool is_obsolete = !request.graph->is_under_way(position);
    if (is_obsolete) {
      stages_.cancel(ticket);
      clients_by_ticket_.erase(ticket);
    }
    return is_obsolete;
  });
  release_results(obsolete_results);
  record(base::event_kind::stage_retried, request, request.route->name,
         "results were lost, recomputed for the " +
             std::to_string(request.graph->recomputations()) + ". time");
  submit_pieces(request, now);
}

void dispatcher::on_event(const stage_call_ended& ended, base::time_point now) {
  if (ended.outcome == stage_call_ended::result::failed ||
      ended.outcome == stage_call_ended::result::not_sent) {
    paths_.note_failure(now);
  }
  if (stages_.on_call_ended(ended, now)) {
    process_piece_results(now);
  }
}

void dispatcher::release_results(const std::vector<stage_result>& results) {
  counters_.results_freed += results.size();
  stages_.release(results);
}

base::zone_id dispatcher::preferred_zone(const active_request& request, base::time_point now) {
  auto demand = requirements_of(request);
  demand.is_planned = true;
  if (const auto* expected = choose_replica_for(demand, now)) {
    return expected->record->zone;
  }
  if (request.permitted_regions.permits(settings_.regions.region_of(self_.zone))) {
    return self_.zone;
  }
  return replicas_.any_accepting_zone(request.service, request.permitted_regions)
      .value_or(self_.zone);
}

} // namespace spurrack::serving
