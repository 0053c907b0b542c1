/// Calls at replicas that send nothing. Silence, however long and seen by however many nodes, moves
/// a request elsewhere if a successor is certain, and ends no answer before its deadline.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Interval at which a stalled call that stays where it is is checked again.
constexpr base::duration stay_check_interval = std::chrono::milliseconds(250);
/// Time after a stand of this process within which it reads the bytes that waited in its sockets;
/// before, it does not judge the silence of replicas.
constexpr base::duration unread_input_time = std::chrono::milliseconds(50);

} // namespace

// --- silence -------------------------------------------------------------------------------------

bool dispatcher_state::is_replica_unresponsive(const active_request& request) const {
  return !replicas_.was_active_after(request.call->replica, last_progress_of(request));
}

base::time_point dispatcher_state::last_progress_of(const active_request& request) {
  return std::max(request.call->started_at, request.latest_event_at);
}

void dispatcher::recheck_calls_at(const base::replica_id& replica, base::time_point now) {
  const auto found = clients_by_replica_.find(replica);
  if (found == clients_by_replica_.end()) {
    return;
  }
  for (const auto client : found->second) {
    auto& request = active_.at(client);
    const bool is_watched = request.call->stalls_at && *request.call->stalls_at > now;
    const bool shows_events = request.latest_event_at > request.call->started_at;
    if (is_watched && !shows_events && request.route->is_repeatable() &&
        is_replica_unresponsive(request)) {
      request.call->stalls_at = now;
      schedule_check(request);
    }
  }
}

void dispatcher::note_stand(base::duration stand, base::time_point now) {
  latest_stand_ = stand;
  latest_stand_ended_at_ = now;
  silence_judged_from_ = now + unread_input_time;
  for (auto& [client, request] : active_) {
    if (request.call && request.call->stalls_at) {
      *request.call->stalls_at += stand;
    }
    if (request.slow_client_check_at) {
      *request.slow_client_check_at += stand;
    }
  }
  for (auto& [client, wait] : awaiting_list_) {
    wait.ends_at += stand;
  }
  stages_.resume_after_suspension(stand);
}

void dispatcher::on_stalled(active_request& request, base::time_point now) {
  auto& call = *request.call;
  if (call.relay_node) {
    // The other node watches the progress of its replica.
    call.stalls_at.reset();
    return;
  }
  if (now < silence_judged_from_) {
    call.stalls_at = silence_judged_from_;
    return;
  }
  call.was_found_stalled = true;
  if (is_replica_unresponsive(request)) {
    note_unresponsive(call, now);
  }
  if (!call.is_exit_noted && !call.restart_seen_at) {
    watch_silence(call.replica, now);
    suspect_exit_of(request, now);
  }
  if (request.route->is_repeatable() && has_attempt_left(request, now)) {
    move_stalled_call(request, now);
  } else if (call.restart_seen_at) {
    check_call_at_earlier_incarnation(request, now);
  } else {
    call.stalls_at = now + stay_check_interval;
  }
}

void dispatcher::note_unresponsive(const open_call& call, base::time_point now) {
  replicas_.note_unresponsive(call.replica, call.started_at, now);
  paths_.note_failure(now);
  if (!call.restart_seen_at && silence_probes_.begin_if_due(call.replica, now)) {
    commands_.emplace_back(probe_replica{{call.replica, call.address}});
  }
}

void dispatcher::note_progress(active_request& request, base::time_point now) {
  auto& call = *request.call;
  if (std::exchange(call.was_found_stalled, false)) {
    counters_.silences_survived.add(now - last_progress_of(request));
  }
  if (request.recomputes_beside_call) {
    drop_recomputation(request);
  }
}

void dispatcher::end_calls_at_exited_replica(const base::replica_id& replica,
                                             base::time_point refused_since, base::time_point now) {
  const auto found = clients_by_replica_.find(replica);
  if (found == clients_by_replica_.end() || replicas_.was_active_after(replica, refused_since)) {
    return;
  }
  for (const auto client : std::set(found->second)) {
    auto& request = active_.at(client);
    // What an exited replica had sent before may still wait unread.
    const bool is_read = !request.is_window_closed && request.call->stalls_at;
    if (!is_read || last_progress_of(request) >= refused_since) {
      continue;
    }
    commands_.emplace_back(cancel_call{request.call->id});
    const auto call = close_call(request, call_end::connection_refused, now);
    request.may_have_run = true;
    request.lost_call = end_evidence::connection_refused;
    ++counters_.ended_at_down_replicas;
    handle_lost_answer(request, call, "its replica refuses connections", now);
  }
}

// --- moving --------------------------------------------------------------------------------------

const replica_state* dispatcher::certain_successor(const active_request& request,
                                                   base::time_point now) {
  const bool has_inputs =
      !request.graph || (request.graph->is_done() && !request.graph->has_missing_final_inputs());
  if (!has_inputs || is_partitioned() || needs_origin(request) || !can_retry(request, now) ||
      is_version_leaving(request, now) || is_behind_waiting_requests(request, now)) {
    return nullptr;
  }
  const auto* chosen = choose_replica(request, now);
  const bool is_certain = chosen != nullptr && replicas_.is_available(*chosen, now) &&
                          replica_table::load_of(*chosen, now) < 1 &&
                          !replica_table::seems_silent(*chosen, now);
  return is_certain ? chosen : nullptr;
}

bool dispatcher_state::is_version_leaving(const active_request& request,
                                          base::time_point now) const {
  return request.bound_version &&
         replicas_
                 .version_availability_of(request.service, *request.bound_version,
                                          request.permitted_regions, now)
                 .leaving > 0;
}

void dispatcher::move_stalled_call(active_request& request, base::time_point now) {
  if (!request.has_trial &&
      quarantine_state_of(request, now) != quarantine::quarantine_state::unrestricted) {
    await_trial_of_stalled_call(request, now);
    return;
  }
  auto& call = *request.call;
  // A replica that restarted has ended the call; a call at a silent replica may still go on.
  const bool has_ended = call.restart_seen_at && choose_replica(request, now) != nullptr;
  const bool is_passed_on = choose_relay(request, now).has_value();
  const auto* successor = has_ended || is_passed_on ? nullptr : certain_successor(request, now);
  const bool may_move =
      can_retry(request, now) && (has_ended || is_passed_on || successor != nullptr);
  if (!may_move) {
    recompute_beside_call(request, now);
    call.stalls_at = now + successor_check_interval;
    return;
  }
  if (!try_take_retry(request, now)) {
    // The other calls at the replica will need retries too.
    budget_exchange_.query_peers(request.service, clients_by_replica_.at(call.replica).size(), now);
    call.stalls_at = now + successor_check_interval;
    return;
  }
  give_up_stalled_call(request, now);
  if (successor != nullptr) {
    call_replica(request, *successor, now);
  } else {
    send_to_replica(request, now);
  }
}

void dispatcher::give_up_stalled_call(active_request& request, base::time_point now) {
  commands_.emplace_back(cancel_call{request.call->id});
  const auto call = close_call(request, call_end::silence, now);
  replicas_.note_stalled(call.replica, call.started_at, now);
  paths_.note_failure(now);
  request.may_have_run = true;
  request.lost_call =
      call.restart_seen_at ? end_evidence::replica_restarted : end_evidence::silence;
  if (request.recomputes_beside_call && !request.graph->is_done()) {
    drop_recomputation(request);
  }
  request.recomputes_beside_call = false;
  request.events.drop_partial_event();
  ++counters_.calls_moved;
  record(base::event_kind::stage_retried, request, call.replica.text(), "no progress");
}

void dispatcher::wait_for_replica(active_request& request, const std::string& reason,
                                  base::time_point now) {
  record(base::event_kind::stage_retried, request, request.service,
         "waits for a replica, evidence " + std::string(serving::name_of(request.lost_call)) +
             ": " + reason);
  leave_admission_queue(request);
  leave_trial_queue(request);
  if (request.graph && !request.graph->is_done()) {
    drop_recomputation(request);
  }
  // No replica is known to have failed the request.
  request.tried_replicas.clear();
  request.send_again_at = now + successor_check_interval;
  schedule_check(request);
}

void dispatcher::send_again_if_due(active_request& request, base::time_point now) {
  if (!request.send_again_at || now < *request.send_again_at) {
    return;
  }
  request.send_again_at = now + successor_check_interval;
  const auto* chosen = choose_replica(request, now);
  const bool may_be_sent = (chosen != nullptr && replicas_.is_available(*chosen, now)) ||
                           choose_relay(request, now).has_value();
  if (may_be_sent && !cannot_recompute(request) && try_take_retry(request, now)) {
    request.send_again_at.reset();
    send_to_replica(request, now);
  }
}

// --- stages --------------------------------------------------------------------------------------

void dispatcher::recompute_beside_call(active_request& request, base::time_point now) {
  // Before its first event, the call may still fetch the present results.
  const bool lacks_inputs = request.graph && request.has_begun_stream && request.graph->is_done() &&
                            request.graph->has_missing_final_inputs() && !cannot_recompute(request);
  if (!lacks_inputs || !can_retry(request, now) ||
      retry_budget_.shortfall(request.service, now) > 0) {
    return;
  }
  // The replica may go on any moment, and computing the stages again takes about as long as the
  // first time. Waiting for as long before costs at most twice the time of the better choice.
  const auto began_at = std::max(request.first_event_at, request.call->started_at);
  const base::duration time_again = began_at - request.arrived_at;
  const bool is_worth_it =
      now - last_progress_of(request) >= time_again && now + time_again <= request.deadline;
  if (is_worth_it) {
    request.recomputes_beside_call = true;
    recompute_final_inputs(request, now);
  }
}

bool dispatcher_state::cannot_recompute(const active_request& request) {
  return request.graph && request.graph->has_missing_final_inputs() &&
         request.graph->recomputations() >= max_recomputations;
}

void dispatcher::drop_recomputation(active_request& request) {
  request.recomputes_beside_call = false;
  cancel_pieces(request);
  request.graph->drop_unfinished();
  release_results(request.graph->take_unneeded_results(true));
}

} // namespace spurrack::serving
