/// The calls of requests at replicas: choice, repeats, answers and streams.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"

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

bool is_success(unsigned code) {
  return code >= 200 && code < 300;
}

} // namespace

const replica_state* dispatcher::choose_replica(const active_request& request,
                                                base::time_point now) {
  const auto* service = configuration_ ? configuration_->find_service(request.service) : nullptr;
  const replica_demand demand{request.service, *request.content, request.allowed_regions,
                              request.tried};
  const bool is_engine = service != nullptr && service->engine;
  return is_engine ? engines_.choose(demand, now) : plain_replicas_.choose(demand, now);
}

void dispatcher::send_to_replica(active_request& request, base::time_point now) {
  if (request.ends_at <= now) {
    give_up(request, now);
    return;
  }
  if (request.graph && request.graph->has_freed_final_inputs()) {
    // An attempt before this one had them; they are made again for the next.
    remake_final_inputs(request, now);
    return;
  }
  const auto* chosen = choose_replica(request, now);
  if (chosen == nullptr) {
    if (request.may_have_run) {
      answer_failed(request, status::bad_gateway, "no replica is left", now);
    } else {
      answer_not_run(request, "no replica", now);
    }
    return;
  }
  start_call wanted;
  wanted.call = next_call_++;
  wanted.target = {chosen->record->id, chosen->record->address};
  wanted.content = request.content;
  wanted.time_left = request.ends_at - now;
  wanted.tenant = request.tenant;
  wanted.streaming = request.route->kind == model::route_kind::streaming;
  wanted.runs_at_most_once = !request.route->may_repeat();
  wanted.resume_after = request.events.last_id();
  if (request.graph) {
    wanted.inputs = request.graph->final_inputs();
  }
  request.tried.insert(chosen->record->id);
  ++request.sent;
  request.call = open_call{wanted.call, chosen->record->id, now, std::nullopt, std::nullopt};
  const bool runs_at_once = !chosen->told || chosen->told->waiting == 0;
  if (!wanted.inputs.empty() && runs_at_once &&
      settings_.input_fetch_time > base::duration::zero()) {
    request.call->inputs_fetched_at = now + settings_.input_fetch_time;
  }
  calls_[wanted.call] = request.client;
  record(base::event_kind::stage_dispatched, request, chosen->record->id.text(),
         "attempt " + std::to_string(request.sent) + ", own calls " +
             std::to_string(chosen->in_flight) + ", " +
             std::to_string(base::to_milliseconds(wanted.time_left)) + " ms left");
  replicas_.call_started(chosen->record->id, now);
  ++counters_.calls;
  const auto call = wanted.call;
  commands_.emplace_back(std::move(wanted));
  if (request.window_closed) {
    commands_.emplace_back(pause_call{call});
  }
  watch_progress(request, request.route->target_latency, now);
}

void dispatcher::watch_progress(active_request& request, base::duration allowed,
                                base::time_point now) {
  request.call->stalls_at.reset();
  // A replica that is not read shows no progress, which says nothing of it.
  const bool is_read = !request.window_closed;
  if (is_read && request.route->may_repeat() && allowed > base::duration::zero()) {
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
  request.call.reset();
  return call;
}

bool dispatcher::may_send_again(active_request& request, base::time_point now) {
  if (request.sent >= request.route->max_attempts || request.ends_at <= now) {
    return false;
  }
  if (!retries_.take(request.service, now)) {
    ++counters_.repeats_denied;
    return false;
  }
  ++counters_.repeats;
  return true;
}

void dispatcher::on(const call_failed& what, base::time_point now) {
  auto* request = find_by_call(what.call);
  if (request == nullptr) {
    return;
  }
  const auto call = close_call(*request);
  if (what.fate == call_fate::not_sent) {
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
  replicas_.note_failure(call.replica, now);
  request->may_have_run = true;
  record(base::event_kind::stage_retried, *request, call.replica.text(), "no answer");
  repeat_or_fail(*request, now);
}

void dispatcher::repeat_or_fail(active_request& request, base::time_point now) {
  if (request.route->may_repeat() && may_send_again(request, now)) {
    request.events.restart();
    counters_.streams_resumed += request.stream_begun ? 1 : 0;
    send_to_replica(request, now);
    return;
  }
  answer_failed(request, status::bad_gateway, "the replica gave no whole answer", now);
}

void dispatcher::on_not_executed(active_request& request, const answer_head& head,
                                 base::time_point now) {
  const auto call = close_call(request);
  if (head.misdirected) {
    replicas_.note_left(call.replica);
  } else {
    replicas_.note_full(call.replica, now);
  }
  record(base::event_kind::stage_retried, request, call.replica.text(),
         "not executed, status " + std::to_string(head.status));
  if (head.status == status::conflict && request.graph && request.graph->remakes() < most_remakes &&
      request.sent < request.route->max_attempts) {
    remake_final_inputs(request, now);
    return;
  }
  if (may_send_again(request, now)) {
    send_to_replica(request, now);
  } else if (request.may_have_run) {
    answer_failed(request, status::bad_gateway, "replicas are full", now);
  } else {
    answer_not_run(request, "replicas are full", now);
  }
}

void dispatcher::note_state(const base::replica_id& replica, const answer_head& head,
                            base::time_point now) {
  if (head.load) {
    replicas_.note_load(replica, *head.load, now);
  }
  replicas_.note_cold(replica, head.cold_for, now);
}

void dispatcher::on(const call_answered& what, base::time_point now) {
  auto* request = find_by_call(what.call);
  if (request == nullptr) {
    return;
  }
  const auto& replica = request->call->replica;
  note_state(replica, what.head, now);
  if (what.head.not_executed || what.head.misdirected) {
    on_not_executed(*request, what.head, now);
    return;
  }
  request->may_have_run = true;
  const bool unusable = is_success(what.head.status) && (!what.head.sealed || what.head.encoded);
  const bool failed = unusable || what.head.status >= status::first_server_error;
  if (!failed) {
    replicas_.note_success(replica);
    pass_on(*request, what, now);
    return;
  }
  const auto call = close_call(*request);
  replicas_.note_failure(call.replica, now);
  if (request->route->may_repeat() && may_send_again(*request, now)) {
    record(base::event_kind::stage_retried, *request, call.replica.text(),
           "status " + std::to_string(what.head.status));
    send_to_replica(*request, now);
  } else if (unusable || request->stream_begun) {
    answer_failed(*request, status::bad_gateway, "the replica's answer is not valid", now);
  } else {
    pass_on(*request, what, now);
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
  note_state(replica, what.head, now);
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
    estimate_.note_first_byte(request.service, request.content->own_tokens(),
                              now - request.call->started);
  }
  if (request.graph) {
    free(request.graph->take_unneeded(true));
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
  const auto call = close_call(*request);
  if (what.complete && !request->events.has_partial()) {
    begin_stream(*request, now);
    replicas_.note_success(call.replica);
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
  record(base::event_kind::stage_retried, *request, call.replica.text(), "the stream broke off");
  repeat_or_fail(*request, now);
}

} // namespace spurrack::serving
