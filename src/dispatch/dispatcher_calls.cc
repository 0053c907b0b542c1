/// The calls of requests at replicas: choice, repeats, answers and streams.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"
#include "engines/prefix_placement.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Replicas that could not be reached before a request is refused.
constexpr std::uint32_t most_unreached = 4;
/// A repeatable plain call is made elsewhere after this part of the target latency.
constexpr double plain_stall_part = 0.7;
/// A resumable stream is taken up elsewhere after this many times the longest pause in time.
constexpr double stream_stall_factor = 2.5;
/// A stream is a sign of life of its replica this often; each event would cost a look-up.
constexpr base::duration heard_note_period = std::chrono::milliseconds(100);
/// A prompt on an engine with a backlog is given this many times the expected time to its first
/// event before it counts as stalled. It saves callers of long prompts a second reading of the same
/// tokens, which would bring the first event no sooner (docs/design/engines.md).
constexpr double engine_stall_factor = 2;

bool is_success(unsigned code) {
  return code >= 200 && code < 300;
}

} // namespace

const replica_state* dispatcher::choose_replica(const active_request& request,
                                                base::time_point now) {
  return choose_for(demand_of(request), now);
}

const replica_state* dispatcher::choose_for(const replica_demand& demand, base::time_point now) {
  return is_engine(demand.service) ? engines_.choose(demand, now)
                                   : plain_replicas_.choose(demand, now);
}

const quarantine::request_digest& dispatcher::digest_of(const active_request& request) {
  if (!request.digest) {
    request.digest = quarantine::digest_of(*request.content, request.tenant);
  }
  return *request.digest;
}

std::string dispatcher::identity_text(const active_request& request) {
  return ", request digest " + digest_of(request).text();
}

bool dispatcher::is_engine(const std::string& service) const {
  const auto* found = configuration_ ? configuration_->find_service(service) : nullptr;
  return found != nullptr && found->engine;
}

start_call dispatcher::call_of(const active_request& request, const replica_state& chosen,
                               base::time_point now) {
  start_call wanted;
  wanted.call = next_call_++;
  wanted.target = {chosen.record->id, chosen.record->address};
  wanted.content = request.content;
  wanted.time_left = request.ends_at - now;
  wanted.tenant = request.tenant;
  wanted.streaming = request.route->kind == model::route_kind::streaming;
  wanted.runs_at_most_once = !request.route->may_repeat();
  wanted.resume_after = request.events.last_id();
  if (request.graph) {
    wanted.inputs = request.graph->final_inputs();
  }
  return wanted;
}

void dispatcher::send_to_replica(active_request& request, base::time_point now) {
  if (request.ends_at <= now) {
    give_up(request, deadline_passed, now);
    return;
  }
  if (end_at_stop(request, now) || refuse_in_quarantine(request, now)) {
    return;
  }
  if (request.graph && request.graph->has_missing_final_inputs()) {
    // An attempt before this one had them; they are made again for the next.
    recompute_final_inputs(request, now);
    return;
  }
  const auto* chosen = choose_in_turn(request, now);
  if (chosen == nullptr) {
    return;
  }
  want_permit(request, now);
  auto wanted = call_of(request, *chosen, now);
  request.tried.insert(chosen->record->id);
  ++request.sent;
  request.call = open_call{wanted.call,
                           chosen->record->id,
                           exit_id_of(*chosen->record),
                           now,
                           std::nullopt,
                           std::nullopt,
                           std::nullopt,
                           {}};
  clients_at_[chosen->record->id].insert(request.client);
  const bool runs_at_once = !chosen->reported_load || chosen->reported_load->waiting == 0;
  if (!wanted.inputs.empty() && runs_at_once &&
      settings_.input_fetch_time > base::duration::zero()) {
    request.call->inputs_fetched_at = now + settings_.input_fetch_time;
  }
  calls_[wanted.call] = request.client;
  record(base::event_kind::stage_dispatched, request, chosen->record->id.text(),
         "attempt " + std::to_string(request.sent) + ", own calls " +
             std::to_string(chosen->in_flight) + ", " +
             std::to_string(base::to_milliseconds(wanted.time_left)) + " ms left");
  note_way(request, *chosen, now);
  const auto allowed = time_to_progress(request, *chosen, now);
  if (is_engine(request.service)) {
    directory_.note_sent(*chosen, sent_prompt_of(*request.content), now);
  }
  replicas_.call_started(chosen->record->id, now);
  ++counters_.calls;
  const auto call = wanted.call;
  commands_.emplace_back(std::move(wanted));
  if (request.window_closed) {
    commands_.emplace_back(pause_call{call});
  }
  watch_progress(request, allowed, now);
}

base::duration dispatcher::time_to_progress(const active_request& request,
                                            const replica_state& replica,
                                            base::time_point now) const {
  const auto target = request.route->target_latency;
  if (target <= base::duration::zero() || !is_engine(request.service)) {
    return target;
  }
  const auto expected = directory_.expected_wait(replica, now) +
                        directory_.prefill_time(request.content->prompt_tokens);
  return std::max(target, base::scaled(expected, engine_stall_factor));
}

void dispatcher::watch_progress(active_request& request, base::duration allowed,
                                base::time_point now) {
  request.call->stalls_at.reset();
  // A replica that is not read shows no progress, which says nothing of it.
  const bool is_read = !request.window_closed;
  if (is_read && allowed > base::duration::zero()) {
    const bool plain = request.route->kind == model::route_kind::safe;
    const double factor = plain ? plain_stall_part : 1.0;
    request.call->stalls_at = now + std::chrono::duration_cast<base::duration>(allowed * factor);
  }
  schedule_check(request);
}

dispatcher::open_call dispatcher::close_call(active_request& request) {
  auto call = *request.call;
  calls_.erase(call.id);
  replicas_.call_ended(call.replica);
  const auto at_replica = clients_at_.find(call.replica);
  at_replica->second.erase(request.client);
  if (at_replica->second.empty()) {
    clients_at_.erase(at_replica);
  }
  request.call.reset();
  return call;
}

void dispatcher::on(const call_failed& what, base::time_point now) {
  auto* request = find_by_call(what.call);
  if (request == nullptr) {
    return;
  }
  const auto call = close_call(*request);
  if (what.failure == call_failure::not_sent) {
    replicas_.note_unreachable(call.replica, now);
    --request->sent;
    record(base::event_kind::stage_retried, *request, call.replica.text(), "not reached");
    if (++request->not_sent < most_unreached) {
      send_to_replica(*request, now);
    } else if (request->may_have_run) {
      answer_failed(*request, status::bad_gateway, "replicas cannot be reached", now);
    } else {
      answer_not_run(*request, "replicas cannot be reached", now);
    }
    return;
  }
  request->may_have_run = true;
  const bool lacked_memory = what.failure == call_failure::no_memory;
  if (lacked_memory) {
    // The replica did not fail: it may be chosen again.
    request->tried.erase(call.replica);
  } else {
    replicas_.note_failure(call.replica, now);
    note_lost_call(*request, call.replica, call.incarnation_exit, now);
  }
  record(base::event_kind::stage_retried, *request, call.replica.text(),
         lacked_memory ? "no memory for the answer" : "no answer" + identity_text(*request));
  repeat_or_fail(*request, now);
}

void dispatcher::on_not_executed(active_request& request, const answer_head& head,
                                 base::time_point now) {
  const auto call = close_call(request);
  if (head.misdirected) {
    replicas_.note_replaced(call.replica);
    note_replica_ended(call.replica, "another process has its address", now);
  } else {
    replicas_.note_full(call.replica, now);
  }
  record(base::event_kind::stage_retried, request, call.replica.text(),
         "not executed, status " + std::to_string(head.status));
  if (head.status == status::conflict && request.graph &&
      request.graph->recomputations() < most_remakes &&
      request.sent < request.route->max_attempts) {
    recompute_final_inputs(request, now);
    return;
  }
  send_again_or_end(request, {status::bad_gateway, "replicas are full", {}, !request.may_have_run},
                    now);
}

void dispatcher::note_heard(open_call& call, base::time_point now) {
  if (call.heard_at == base::time_point{} || now - call.heard_at >= heard_note_period) {
    call.heard_at = now;
    replicas_.note_activity(call.replica, now);
  }
}

void dispatcher::note_answer(const base::replica_id& replica, const answer_head& head,
                             base::time_point now) {
  replicas_.note_activity(replica, now);
  if (!head.misdirected) {
    withdraw_end(replica, now);
  }
}

void dispatcher::on(const call_answered& what, base::time_point now) {
  auto* request = find_by_call(what.call);
  if (request == nullptr) {
    return;
  }
  const auto& replica = request->call->replica;
  note_answer(replica, what.head, now);
  if (what.head.not_executed || what.head.misdirected) {
    on_not_executed(*request, what.head, now);
    return;
  }
  request->may_have_run = true;
  note_survived(*request, now);
  const bool unusable = is_success(what.head.status) && (!what.head.sealed || what.head.encoded);
  const bool failed = unusable || what.head.status >= status::first_server_error;
  if (!failed) {
    replicas_.note_success(replica, now);
    if (is_success(what.head.status)) {
      note_run(*request, now);
    }
    pass_on(*request, what, now);
    return;
  }
  const auto call = close_call(*request);
  replicas_.note_failure(call.replica, now);
  record(base::event_kind::stage_retried, *request, call.replica.text(),
         "status " + std::to_string(what.head.status));
  failed_ending ending{status::bad_gateway, "the replica's answer is not valid", {}, false};
  if (!unusable && !request->stream_begun) {
    ending.answer = what;
  }
  if (request->route->may_repeat()) {
    send_again_or_end(*request, std::move(ending), now);
  } else {
    end_failed(*request, ending, now);
  }
}

void dispatcher::pass_on(active_request& request, const call_answered& answer,
                         base::time_point now) {
  if (request.stream_begun) {
    commands_.emplace_back(end_stream{request.client, false});
  } else {
    commands_.emplace_back(respond{request.client, std::nullopt, answer.head.status,
                                   answer.head.headers, answer.body, answer.held});
    counters_.first_byte.add(now - request.arrived);
  }
  finish(request, answer.head.status, "the replica's answer", now);
}

// --- streams -------------------------------------------------------------------------------------

void dispatcher::on(const stream_opened& what, base::time_point now) {
  auto* request = find_by_call(what.call);
  if (request == nullptr) {
    return;
  }
  const auto replica = request->call->replica;
  note_answer(replica, what.head, now);
  request->may_have_run = true;
  if (!what.head.sealed || what.head.encoded) {
    commands_.emplace_back(cancel_call{what.call});
    replicas_.note_failure(replica, now);
    close_call(*request);
    repeat_or_fail(*request, now);
    return;
  }
  if (!request->stream_begun) {
    request->stream_head = what.head;
  }
  record(base::event_kind::stage_completed, *request, replica.text(),
         "head of the stream after " +
             std::to_string(base::to_milliseconds(now - request->call->started)) + " ms");
}

void dispatcher::begin_stream(active_request& request, base::time_point now) {
  if (request.stream_begun) {
    return;
  }
  request.stream_begun = true;
  commands_.emplace_back(
      open_stream{request.client, request.stream_head->status, request.stream_head->headers});
  counters_.first_byte.add(now - request.arrived);
  record(base::event_kind::stage_completed, request, "",
         "first event after " + std::to_string(base::to_milliseconds(now - request.arrived)) +
             " ms");
  if (request.call) {
    directory_.note_first_event(request.content->own_tokens(), now - request.call->started);
    estimate_.note_first_byte(request.service, request.content->own_tokens(),
                              now - request.call->started);
  }
  if (request.graph) {
    free(request.graph->take_unneeded_results(true));
  }
}

void dispatcher::note_event(active_request& request, base::time_point now) {
  if (request.first_event_at == base::time_point{}) {
    request.first_event_at = now;
  } else {
    request.longest_pause =
        std::max<base::duration>(request.longest_pause, now - request.latest_event_at);
  }
  request.latest_event_at = now;
}

void dispatcher::on(const stream_bytes& what, base::time_point now) {
  auto* request = find_by_call(what.call);
  if (request == nullptr) {
    return;
  }
  auto whole = request->events.feed(what.bytes);
  if (!count_partial_event(*request)) {
    answer_failed(*request, status::bad_gateway, "no memory for an event that is not whole", now);
    return;
  }
  if (whole.empty()) {
    return;
  }
  begin_stream(*request, now);
  note_event(*request, now);
  note_heard(*request->call, now);
  commands_.emplace_back(stream_data{request->client, std::move(whole)});
  const auto pause =
      std::chrono::duration_cast<base::duration>(request->route->gap_target * stream_stall_factor);
  watch_progress(*request, pause, now);
}

void dispatcher::on(const stream_closed& what, base::time_point now) {
  auto* request = find_by_call(what.call);
  if (request == nullptr) {
    return;
  }
  const bool is_whole = what.complete && !request->events.has_partial();
  if (is_whole) {
    note_run(*request, now);
    note_survived(*request, now);
  }
  const auto call = close_call(*request);
  if (is_whole) {
    begin_stream(*request, now);
    if (request->first_event_at == base::time_point{}) {
      // Without a new event its end is the first that the client hears of it.
      request->first_event_at = now;
    }
    replicas_.note_success(call.replica, now);
    commands_.emplace_back(end_stream{request->client, true});
    finish(*request, request->stream_head->status,
           "the stream is complete, first event at " +
               std::to_string(base::to_milliseconds(request->first_event_at - request->arrived)) +
               " ms, longest pause " +
               std::to_string(base::to_milliseconds(request->longest_pause)) + " ms,",
           now);
    return;
  }
  replicas_.note_failure(call.replica, now);
  note_lost_call(*request, call.replica, call.incarnation_exit, now);
  record(base::event_kind::stage_retried, *request, call.replica.text(),
         "the stream broke off" + identity_text(*request));
  repeat_or_fail(*request, now);
}

} // namespace spurrack::serving
