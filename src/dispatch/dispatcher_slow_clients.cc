/// Clients that read more slowly than their replica answers: when reading from the replica is
/// paused, when its call is cancelled and later resumed after the last event, and when the rest of
/// the stream is buffered.
#include "dispatch/dispatcher.h"

#include <utility>

namespace spurrack::serving {
namespace {

/// A call paused for this long is cancelled ("let go") or buffered: well before the replica would
/// cut the answer off, which it does when it stays unread for some seconds, and longer than the
/// pauses of links that lose packets.
constexpr base::duration longest_rest = std::chrono::milliseconds(1'500);

} // namespace

void dispatcher::on(const client_window& what, base::time_point now) {
  const auto found = active_.find(what.client);
  if (found == active_.end()) {
    return;
  }
  auto& request = found->second;
  if (what.open) {
    go_on_with_stream(request, now);
  } else {
    pause_stream(request, now);
  }
}

void dispatcher::pause_stream(active_request& request, base::time_point now) {
  request.window_closed = true;
  request.slow_reader_due = now + longest_rest;
  if (request.call) {
    request.call->stalls_at.reset();
    commands_.emplace_back(pause_call{request.call->id});
  }
  schedule_check(request);
}

void dispatcher::go_on_with_stream(active_request& request, base::time_point now) {
  request.window_closed = false;
  request.slow_reader_due.reset();
  if (std::exchange(request.let_go, false)) {
    ++counters_.streams_taken_up;
    record(base::event_kind::stage_retried, request, "", "the client reads on");
    send_to_replica(request, now);
  } else if (request.call) {
    commands_.emplace_back(resume_call{request.call->id});
    watch_progress(request, request.route->target_latency, now);
  }
}

void dispatcher::on(const answer_paused& what, base::time_point now) {
  if (auto* request = find_by_call(what.call)) {
    request->call->stalls_at.reset();
    note_heard(*request->call, now);
  }
}

void dispatcher::on(const answer_resumed& what, base::time_point now) {
  if (auto* request = find_by_call(what.call)) {
    watch_progress(*request, request->route->target_latency, now);
  }
}

bool dispatcher::can_be_let_go(const active_request& request) {
  // Results of stages would have to be made again for the second attempt.
  return request.call && request.stream_begun && request.route->may_repeat() && !request.graph &&
         request.events.last_id().has_value();
}

void dispatcher::judge_slow(active_request& request) {
  if (!std::exchange(request.judged_slow, true)) {
    ++counters_.clients_judged_slow;
    record(base::event_kind::client_slow, request, request.call ? request.call->replica.text() : "",
           std::to_string(request.events.events()) + " events passed on");
  }
}

void dispatcher::decide_on_slow_reader(active_request& request, base::time_point now) {
  request.slow_reader_due.reset();
  if (!request.call) {
    // Between two calls: the next one starts paused and is judged then.
    if (!request.let_go) {
      request.slow_reader_due = now + longest_rest;
    }
    return;
  }
  judge_slow(request);
  // A stopping node may be gone before the client reads on; what is buffered can still be read.
  const bool may_wait = !stop_.has_begun() && can_be_let_go(request);
  if (!may_wait || !may_send_again(request, now)) {
    commands_.emplace_back(widen_window{request.client});
    // Without memory now the call stays paused; it is looked at again.
    request.slow_reader_due = now + longest_rest;
    return;
  }
  commands_.emplace_back(cancel_call{request.call->id});
  const auto call = close_call(request);
  // The replica did not fail, and likely still keeps the prompt: it may be chosen again.
  request.tried.erase(call.replica);
  request.events.restart();
  count_partial_event(request);
  request.let_go = true;
  ++counters_.streams_let_go;
  record(base::event_kind::stage_cancelled, request, call.replica.text(),
         "let go until the client reads on");
}

bool dispatcher::count_partial_event(active_request& request) {
  if (!budget_) {
    return true;
  }
  if (!request.partial_event) {
    request.partial_event.emplace(budget_, flow::byte_holder::partial_events);
  }
  auto& counted = *request.partial_event;
  const auto wanted = request.events.partial_bytes();
  if (wanted <= counted.bytes()) {
    counted.shrink(counted.bytes() - wanted);
    return true;
  }
  return counted.grow(flow::byte_use::stream_event, wanted - counted.bytes());
}

} // namespace spurrack::serving
