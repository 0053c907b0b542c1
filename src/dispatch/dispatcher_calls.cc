/// Calls of requests at replicas: choice of the replica, failures, answers and streams.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"
#include "engines/prefix_placement.h"
#include "serving/answer_status.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Number of attempts that reach no replica after which a request is refused, or fails if it may
/// have run.
constexpr std::uint32_t max_unreached_attempts = 4;
/// Time after which a call of a safe route counts as stalled, as a fraction of the target latency.
constexpr double safe_route_stall_fraction = 0.7;
/// Time without an event after which a stream counts as stalled, as a multiple of the target gap
/// between two events.
constexpr double stream_stall_factor = 2.5;
/// Time without an event after which the replica of a stream is probed if it sends nothing else
/// either, as a multiple of the target gap.
constexpr double stream_silence_factor = 1.5;
/// Minimum interval at which the events of a stream are recorded as contact with its replica;
/// recording each event would cost a look-up per event.
constexpr base::duration contact_note_interval = std::chrono::milliseconds(100);
/// Time after which a call at an engine counts as stalled if the engine must read other prompts
/// first, as a multiple of the call's expected time to the first event. If the target latency is
/// longer, it is used instead. An earlier retry would make a second engine read a long prompt
/// again, and the first event would not arrive sooner (docs/design/engines.md).
constexpr double engine_stall_factor = 2;

/// @return why a call ended that ended without an answer for the client.
call_end call_end_of(const call_failed& failure) {
  switch (failure.failure) {
  case call_failure::not_sent:
    return call_end::not_run;
  case call_failure::no_memory:
    return call_end::no_memory;
  case call_failure::may_have_run:
    break;
  }
  return failure.has_timed_out ? call_end::connection_timed_out : call_end::connection_ended;
}

/// @return a fault of an answer for the log; empty if there is none.
std::string text_of(answer_fault fault) {
  return fault == answer_fault::none ? "" : ", fault " + std::string(name_of(fault));
}

} // namespace

const replica_state* dispatcher::choose_replica(const active_request& request,
                                                base::time_point now) {
  return choose_replica_for(requirements_of(request), now);
}

const replica_state* dispatcher::choose_replica_for(const replica_requirements& demand,
                                                    base::time_point now) {
  return is_engine(demand.service) ? engine_chooser_.choose(demand, now)
                                   : plain_chooser_.choose(demand, now);
}

const std::vector<quarantine::suspect>& dispatcher::suspects_of(const active_request& request) {
  if (request.suspects.empty()) {
    request.suspects = quarantine::suspects_of(*request.content, request.tenant);
  }
  return request.suspects;
}

std::string dispatcher::digest_text(const active_request& request) {
  return ", request digest " + suspects_of(request).front().digest.text();
}

bool dispatcher::is_engine(const std::string& service) const {
  const auto* found = configuration_ ? configuration_->find_service(service) : nullptr;
  return found != nullptr && found->engine;
}

start_call dispatcher::make_call(const active_request& request, const replica_state& chosen,
                                 base::time_point now) {
  start_call new_call;
  new_call.call = next_call_++;
  new_call.target = {chosen.record->id, chosen.record->address};
  new_call.content = request.content;
  new_call.time_left = request.deadline - now;
  new_call.tenant = request.tenant;
  new_call.streaming = request.route->kind == model::route_kind::streaming;
  new_call.runs_at_most_once = !request.route->is_repeatable();
  new_call.resume_after = request.events.last_id();
  if (request.graph) {
    new_call.inputs = handles_of(request.graph->final_inputs());
  }
  new_call.is_last_attempt = request.attempts + 1 >= request.max_attempts;
  return new_call;
}

bool dispatcher::may_be_sent_now(active_request& request, base::time_point now) {
  if (request.deadline <= now) {
    abort_request(request, deadline_passed, end_evidence::deadline_passed, now);
    return false;
  }
  if (abort_if_late_for_stop(request, now) || refuse_if_quarantined(request, now) ||
      pass_on(request, now) || (needs_origin(request) && !settle_origin(request, now))) {
    return false;
  }
  if (request.graph && !request.graph->is_done()) {
    // The stages are being computed again; their last result sends the request.
    request.recomputes_beside_call = false;
    return false;
  }
  if (request.has_begun_stream && cannot_recompute(request)) {
    answer_failed(request, status::bad_gateway, "results of its stages are lost again",
                  may_end_answer(request.lost_call) ? end_evidence::inputs_lost : request.lost_call,
                  now);
    return false;
  }
  if (request.graph && request.graph->has_missing_final_inputs()) {
    // The stage results were freed after an earlier attempt, and are recomputed for this attempt.
    recompute_final_inputs(request, now);
    return false;
  }
  return !wait_for_trial(request, now);
}

void dispatcher::send_to_replica(active_request& request, base::time_point now) {
  if (!may_be_sent_now(request, now)) {
    return;
  }
  if (const auto* chosen = choose_in_turn(request, now)) {
    call_replica(request, *chosen, now);
  }
}

void dispatcher::call_replica(active_request& request, const replica_state& chosen,
                              base::time_point now) {
  request.has_trial = false;
  request.send_again_at.reset();
  request_permit(request, now);
  auto new_call = make_call(request, chosen, now);
  request.tried_replicas.insert(chosen.record->id);
  ++request.attempts;
  request.events.begin_run();
  request.call = open_call{.id = new_call.call,
                           .replica = chosen.record->id,
                           .incarnation_exit = exit_id_of(*chosen.record),
                           .started_at = now,
                           .version = chosen.record->version,
                           .address = chosen.record->address};
  note_stream_sent(request, now);
  clients_by_replica_[chosen.record->id].insert(request.client);
  const bool runs_at_once = !chosen.reported_load || chosen.reported_load->waiting == 0;
  if (!new_call.inputs.empty() && runs_at_once &&
      settings_.input_fetch_time > base::duration::zero()) {
    request.call->inputs_fetched_at = now + settings_.input_fetch_time;
  }
  clients_by_call_[new_call.call] = request.client;
  record(base::event_kind::stage_dispatched, request, chosen.record->id.text(),
         "attempt " + std::to_string(request.attempts) + ", own calls " +
             std::to_string(chosen.in_flight) + ", " +
             std::to_string(base::to_milliseconds(new_call.time_left)) + " ms left, software " +
             chosen.record->version.text());
  note_locality(request, chosen, now);
  const auto stall_timeout = progress_timeout(request, chosen, now);
  if (is_engine(request.service)) {
    engine_directory_.note_sent(chosen, sent_prompt_of(*request.content), now);
  }
  replicas_.call_started(chosen.record->id, now);
  ++counters_.calls;
  const auto call_id = new_call.call;
  commands_.emplace_back(std::move(new_call));
  if (request.is_window_closed) {
    commands_.emplace_back(pause_call{call_id});
  }
  watch_progress(request, stall_timeout, now);
}

base::duration dispatcher::progress_timeout(const active_request& request,
                                            const replica_state& replica,
                                            base::time_point now) const {
  const auto target = request.route->target_latency;
  if (target <= base::duration::zero() || !is_engine(request.service)) {
    return target;
  }
  const auto expected = engine_directory_.expected_wait(replica, now) +
                        engine_directory_.prefill_time(request.content->prompt_tokens);
  return std::max(target, base::scaled(expected, engine_stall_factor));
}

void dispatcher::watch_progress(active_request& request, base::duration timeout,
                                base::time_point now) {
  request.call->stalls_at.reset();
  request.call->silence_check_at.reset();
  // While reading from the replica is paused, missing progress says nothing about the replica.
  const bool is_read = !request.is_window_closed;
  if (is_read && timeout > base::duration::zero()) {
    const bool is_safe_route = request.route->kind == model::route_kind::safe;
    const double factor = is_safe_route ? safe_route_stall_fraction : 1.0;
    request.call->stalls_at = now + std::chrono::duration_cast<base::duration>(timeout * factor);
    const bool has_events = request.latest_event_at > request.call->started_at;
    request.call->silence_check_at =
        has_events ? now + base::scaled(request.route->gap_target, stream_silence_factor)
                   : *request.call->stalls_at - silence_probes::answer_time;
  }
  schedule_check(request);
}

void dispatcher::on_event(const call_failed& failure, base::time_point now) {
  auto* request = find_by_call(failure.call);
  if (request == nullptr) {
    return;
  }
  const auto call = close_call(*request, call_end_of(failure), now);
  const bool is_answer_faulty = failure.fault != answer_fault::none;
  if (call.relay_node) {
    relays_.note_unreachable(*call.relay_node);
  } else if (failure.failure != call_failure::no_memory && !is_answer_faulty) {
    paths_.note_failure(now);
  }
  if (failure.failure == call_failure::not_sent) {
    replicas_.note_unreachable(call.replica, now);
    request->attempts -= call.attempts;
    record(base::event_kind::stage_retried, *request, call.replica.text(), "not reached");
    if (++request->unreached_attempts < max_unreached_attempts) {
      send_to_replica(*request, now);
    } else if (request->may_have_run) {
      answer_failed(*request, status::bad_gateway, "replicas cannot be reached", request->lost_call,
                    now);
    } else {
      answer_not_run(*request, "replicas cannot be reached", now);
    }
    return;
  }
  request->may_have_run = true;
  const bool lacked_memory = failure.failure == call_failure::no_memory;
  request->lost_call = lacked_memory ? end_evidence::no_memory : evidence_of(failure.has_timed_out);
  if (lacked_memory) {
    // The replica did not fail, so it may be chosen again.
    request->tried_replicas.erase(call.replica);
  } else {
    replicas_.note_failure(call.replica, now);
  }
  record(base::event_kind::stage_retried, *request, call.replica.text(),
         lacked_memory ? "no memory for the answer"
                       : "no answer" + text_of(failure.fault) + digest_text(*request));
  retry_or_fail(*request, now);
}

end_evidence dispatcher::evidence_of(bool has_timed_out) {
  return has_timed_out ? end_evidence::silence : end_evidence::connection_ended;
}

void dispatcher::on_not_executed(active_request& request, const answer_head& head,
                                 base::time_point now) {
  const auto call = close_call(request, call_end::not_run, now);
  if (head.misdirected) {
    replicas_.note_replaced(call.replica);
    prove_suspicions(call.incarnation_exit, std::nullopt, "another process has its address", now);
    note_replica_exit(call.replica, "another process has its address", now);
  } else {
    replicas_.note_full(call.replica, now);
  }
  if (!may_end_answer(request.lost_call)) {
    // A call that may have gone on was given up for this attempt, which did not run.
    request.attempts -= call.attempts;
  }
  record(base::event_kind::stage_retried, request, call.replica.text(),
         "not executed, status " + std::to_string(head.status));
  if (head.status == status::conflict && request.graph &&
      request.graph->recomputations() < max_recomputations &&
      request.attempts < request.max_attempts) {
    recompute_final_inputs(request, now);
    return;
  }
  retry_or_fail_with(request, {status::bad_gateway, "replicas are full", {}, !request.may_have_run},
                     now);
}

void dispatcher::note_contact(open_call& call, base::time_point now) {
  if (call.contact_noted_at == base::time_point{} ||
      now - call.contact_noted_at >= contact_note_interval) {
    call.contact_noted_at = now;
    replicas_.note_activity(call.replica, now);
    disprove_suspicions(call, now);
    settle_by_activity(call, now);
  }
}

void dispatcher::note_answer(active_request& request, const answer_head& head,
                             base::time_point now) {
  const auto& call = *request.call;
  replicas_.note_activity(call.replica, now);
  note_progress(request, now);
  if (!head.misdirected) {
    disprove_suspicions(call, now);
    withdraw_exit(call.replica, now);
    settle_by_activity(call, now);
  }
}

void dispatcher::on_event(const call_answered& answered, base::time_point now) {
  auto* request = find_by_call(answered.call);
  if (request == nullptr) {
    return;
  }
  if (request->call->relay_node) {
    on_relay_answer(*request, answered, now);
    return;
  }
  const auto& replica = request->call->replica;
  note_answer(*request, answered.head, now);
  if (answered.head.not_executed || answered.head.misdirected) {
    on_not_executed(*request, answered.head, now);
    return;
  }
  request->may_have_run = true;
  const bool is_unusable =
      is_success(answered.head.status) && (!answered.head.sealed || answered.head.encoded);
  const bool has_failed = is_unusable || answered.head.status >= status::first_server_error;
  if (!has_failed) {
    if (is_success(answered.head.status)) {
      if (answered.ends_with_connection) {
        handle_unframed_answer(*request, answered, now);
        return;
      }
      // Only a success shows that the run came to its end: a replica may fail a request before it
      // runs it.
      note_survived(*request, "its answer was whole", now);
      note_completed_run(*request, *request->call, now);
      note_marked_end(*request, &answered);
    }
    replicas_.note_success(replica, now);
    if (!pass_on_instead_of(*request, answered, now)) {
      forward_answer(*request, answered, now);
    }
    return;
  }
  const auto call = close_call(*request, call_end::failed_answer, now);
  request->lost_call = end_evidence::replica_failed;
  replicas_.note_failure(call.replica, now);
  record(base::event_kind::stage_retried, *request, call.replica.text(),
         "status " + std::to_string(answered.head.status));
  failure_outcome outcome{status::bad_gateway, "the replica's answer is not valid", {}, false};
  if (!is_unusable && !request->has_begun_stream) {
    outcome.answer = answered;
  }
  if (request->route->is_repeatable()) {
    retry_or_fail_with(*request, std::move(outcome), now);
  } else {
    fail_with(*request, outcome, now);
  }
}

void dispatcher::forward_answer(active_request& request, const call_answered& answer,
                                base::time_point now, call_end open_call_end) {
  if (request.has_begun_stream) {
    record_early_end(request,
                     "the replica answered with status " + std::to_string(answer.head.status),
                     end_evidence::replica_failed, now);
    commands_.emplace_back(end_stream{request.client, false});
  } else {
    commands_.emplace_back(respond{request.client, std::nullopt, answer.head.status,
                                   answer.head.headers, answer.body, answer.body_memory,
                                   answer.ends_with_connection});
    counters_.first_byte.add(now - request.arrived_at);
  }
  finish(request, answer.head.status, "the replica's answer", now, open_call_end);
}

// --- streams -------------------------------------------------------------------------------------

void dispatcher::on_event(const stream_opened& opened, base::time_point now) {
  auto* request = find_by_call(opened.call);
  if (request == nullptr) {
    return;
  }
  const auto replica = request->call->replica;
  note_answer(*request, opened.head, now);
  request->may_have_run = true;
  if (!opened.head.sealed || opened.head.encoded) {
    commands_.emplace_back(cancel_call{opened.call});
    replicas_.note_failure(replica, now);
    close_call(*request, call_end::failed_answer, now);
    request->lost_call = end_evidence::replica_failed;
    retry_or_fail(*request, now);
    return;
  }
  if (!request->has_begun_stream) {
    request->stream_head = opened.head;
    request->ends_stream_with_connection = opened.ends_with_connection;
  }
  record(base::event_kind::stage_completed, *request, replica.text(),
         "head of the stream after " +
             std::to_string(base::to_milliseconds(now - request->call->started_at)) + " ms");
}

void dispatcher::begin_stream(active_request& request, base::time_point now) {
  if (request.has_begun_stream) {
    return;
  }
  request.has_begun_stream = true;
  commands_.emplace_back(open_stream{request.client, request.stream_head->status,
                                     request.stream_head->headers,
                                     request.ends_stream_with_connection});
  counters_.first_byte.add(now - request.arrived_at);
  record(base::event_kind::stage_completed, request, "",
         "first event after " + std::to_string(base::to_milliseconds(now - request.arrived_at)) +
             " ms");
  if (request.call) {
    engine_directory_.note_first_event(request.content->own_tokens(),
                                       now - request.call->started_at);
    admission_estimate_.note_first_byte(request.service, request.content->own_tokens(),
                                        now - request.call->started_at);
  }
  if (request.graph) {
    release_results(request.graph->take_unneeded_results(true));
  }
}

void dispatcher::note_event(active_request& request, base::time_point now) {
  if (request.first_event_at == base::time_point{}) {
    request.first_event_at = now;
  } else {
    request.longest_event_gap =
        std::max<base::duration>(request.longest_event_gap, now - request.latest_event_at);
  }
  request.latest_event_at = now;
}

void dispatcher::on_event(const stream_bytes& chunk, base::time_point now) {
  auto* request = find_by_call(chunk.call);
  if (request == nullptr) {
    return;
  }
  auto whole_events = request->events.feed(chunk.bytes);
  const bool is_event_too_long = request->events.partial_bytes() > settings_.max_event_bytes;
  if (!is_event_too_long && !reserve_partial_event(*request)) {
    answer_failed(*request, status::bad_gateway, "no memory for an event that is not whole",
                  end_evidence::no_memory, now);
    return;
  }
  if (request->open_end && request->events.shows_more()) {
    refute_open_end(*request, now);
  }
  if (!whole_events.empty()) {
    forward_events(*request, std::move(whole_events), now);
  }
  if (is_event_too_long) {
    break_off_long_event(*request, now);
  }
}

void dispatcher::forward_events(active_request& request, std::string whole_events,
                                base::time_point now) {
  begin_stream(request, now);
  bind_stream(request, now);
  note_progress(request, now);
  note_event(request, now);
  note_contact(*request.call, now);
  commands_.emplace_back(stream_data{request.client, std::move(whole_events)});
  if (request.call->relay_node) {
    // The other node watches the progress of its replica.
    return;
  }
  const auto stall_timeout =
      std::chrono::duration_cast<base::duration>(request.route->gap_target * stream_stall_factor);
  watch_progress(request, stall_timeout, now);
}

} // namespace spurrack::serving
