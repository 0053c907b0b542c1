/// Clients that read more slowly than their replica answers: reading from the replica is paused.
/// After a while the call is cancelled and the stream is later resumed after its last event, or the
/// remainder of the stream is buffered.
#include "dispatch/dispatcher.h"

#include <utility>

namespace spurrack::serving {
namespace {

/// Time for which a call stays paused before its stream is suspended or the remainder is buffered.
/// It is well below the time, some seconds, after which a replica breaks off an unread answer, and
/// longer than the pauses of links that lose packets.
constexpr base::duration max_call_pause = std::chrono::milliseconds(1'500);

} // namespace

void dispatcher::on_event(const client_window& window_change, base::time_point now) {
  const auto found = active_.find(window_change.client);
  if (found == active_.end()) {
    return;
  }
  auto& request = found->second;
  if (window_change.open) {
    resume_stream(request, now);
  } else {
    pause_stream(request, now);
  }
}

void dispatcher::pause_stream(active_request& request, base::time_point now) {
  request.is_window_closed = true;
  request.slow_client_check_at = now + max_call_pause;
  if (request.call) {
    request.call->stalls_at.reset();
    commands_.emplace_back(pause_call{request.call->id});
  }
  schedule_check(request);
}

void dispatcher::resume_stream(active_request& request, base::time_point now) {
  request.is_window_closed = false;
  request.slow_client_check_at.reset();
  if (std::exchange(request.is_suspended, false)) {
    ++counters_.suspended_streams_resumed;
    record(base::event_kind::stage_retried, request, "", "the client reads on");
    send_to_replica(request, now);
  } else if (request.call) {
    commands_.emplace_back(resume_call{request.call->id});
    watch_progress(request, request.route->target_latency, now);
  }
}

void dispatcher::on_event(const answer_paused& pause, base::time_point now) {
  if (auto* request = find_by_call(pause.call)) {
    request->call->stalls_at.reset();
    replicas_.note_activity(request->call->replica, now);
  }
}

void dispatcher::on_event(const answer_resumed& resumption, base::time_point now) {
  if (auto* request = find_by_call(resumption.call)) {
    watch_progress(*request, request->route->target_latency, now);
  }
}

bool dispatcher::can_suspend(const active_request& request) {
  // A request with stages is not suspended: the results of its stages would have to be recomputed
  // for the second attempt.
  return request.call && request.has_begun_stream && request.route->is_repeatable() &&
         !request.graph && request.events.last_id().has_value();
}

void dispatcher::mark_slow_client(active_request& request) {
  if (!std::exchange(request.is_slow_client, true)) {
    ++counters_.slow_clients;
    record(base::event_kind::client_slow, request, request.call ? request.call->replica.text() : "",
           std::to_string(request.events.events()) + " events forwarded");
  }
}

void dispatcher::handle_slow_client(active_request& request, base::time_point now) {
  request.slow_client_check_at.reset();
  if (!request.call) {
    // The request has no call now. If its stream is suspended, no check is needed. Otherwise it is
    // between two calls: the next call starts paused, and the request is checked again later.
    if (!request.is_suspended) {
      request.slow_client_check_at = now + max_call_pause;
    }
    return;
  }
  mark_slow_client(request);
  // A stopping node may exit before the client reads on; a buffered stream can still be read.
  const bool can_wait = !stop_plan_.has_begun() && can_suspend(request);
  if (!can_wait || !try_take_retry(request, now)) {
    commands_.emplace_back(read_ahead{request.client});
    // If there is no memory to buffer the remainder, the call stays paused and is checked again.
    request.slow_client_check_at = now + max_call_pause;
    return;
  }
  commands_.emplace_back(cancel_call{request.call->id});
  const auto call = close_call(request, call_end::client_too_slow, now);
  request.lost_call = end_evidence::client_too_slow;
  // The replica did not fail and probably still has the prompt cached, so it may be chosen again.
  request.tried_replicas.erase(call.replica);
  request.events.drop_partial_event();
  reserve_partial_event(request);
  request.is_suspended = true;
  ++counters_.streams_suspended;
  record(base::event_kind::stage_cancelled, request, call.replica.text(),
         "suspended until the client reads on");
}

bool dispatcher::reserve_partial_event(active_request& request) {
  if (!byte_budget_) {
    return true;
  }
  if (!request.partial_event_reservation) {
    request.partial_event_reservation.emplace(byte_budget_, flow::byte_holder::partial_events);
  }
  auto& reservation = *request.partial_event_reservation;
  const auto needed_bytes = request.events.partial_bytes();
  if (needed_bytes <= reservation.bytes()) {
    reservation.shrink(reservation.bytes() - needed_bytes);
    return true;
  }
  return reservation.grow(flow::byte_use::stream_event, needed_bytes - reservation.bytes());
}

} // namespace spurrack::serving
