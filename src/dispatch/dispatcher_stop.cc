/// Graceful stop: decides which requests are still accepted or sent, and aborts the requests that
/// remain at its end.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"

#include <string>

namespace spurrack::serving {
namespace {

constexpr const char* stopping_reason = "stopping, no time to end it";

} // namespace

void dispatcher::begin_stop(base::time_point now, base::time_point must_end_at) {
  stages_.begin_stop(now);
  stop_plan_.begin(now, must_end_at);
  // Requests whose stages can no longer end in time are refused now, while their clients still have
  // time to ask another node.
  for (auto& [client, request] : active_) {
    if (request.next_feasibility_check_at) {
      request.next_feasibility_check_at = now;
      schedule_check(request);
    }
  }
}

remaining_work dispatcher::remaining_work_of(const active_request& request,
                                             base::time_point now) const {
  remaining_work work;
  work.is_stream = request.route->kind == model::route_kind::streaming;
  work.runs_at_most_once = !work.is_stream && !request.route->is_repeatable();
  work.answer_deadline = request.deadline;
  const auto run = run_times_.upper_estimate(request.route->name, request.service,
                                             request.content->output_tokens);
  auto to_first_event = run.time_to_first_event;
  if (request.graph && !request.graph->is_done()) {
    const auto with_stages = expected_time_to_first_byte(request, piece_order::in_time, now);
    if (!with_stages) {
      return work;
    }
    const auto own_tokens = request.content->own_tokens();
    to_first_event +=
        *with_stages - admission_estimate_.first_byte_time_of(request.service, own_tokens);
  }
  const auto streaming_time = work.is_stream ? run.streaming_time : base::duration{};
  work.expected_duration =
      to_first_event + streaming_time - streamed_time_of(request, streaming_time);
  return work;
}

base::duration dispatcher::streamed_time_of(const active_request& request,
                                            base::duration expected_streaming_time) {
  // The events of a slow client's stream were delayed by the client's pauses, so their times say
  // nothing about the remaining time.
  if (!request.has_begun_stream || request.is_slow_client) {
    return {};
  }
  const base::duration elapsed = request.latest_event_at - request.first_event_at;
  return elapsed < expected_streaming_time ? elapsed : base::duration{};
}

bool dispatcher::refuse_while_stopping(active_request& request, base::time_point now) {
  if (!stop_plan_.has_begun()) {
    return false;
  }
  if (stop_plan_.accepts(remaining_work_of(request, now), now)) {
    ++counters_.accepted_while_stopping;
    return false;
  }
  ++counters_.refused_while_stopping;
  answer_not_run(request, stopping_reason, now);
  return true;
}

bool dispatcher::has_time_before_stop(const active_request& request, base::time_point now) const {
  return !stop_plan_.has_begun() || stop_plan_.may_send(remaining_work_of(request, now), now);
}

bool dispatcher::abort_if_late_for_stop(active_request& request, base::time_point now) {
  if (has_time_before_stop(request, now)) {
    return false;
  }
  ++counters_.ended_while_stopping;
  if (request.may_have_run) {
    answer_failed(request, status::bad_gateway, stopping_reason, end_evidence::node_stopping, now);
  } else {
    answer_not_run(request, stopping_reason, now);
  }
  return true;
}

void dispatcher::abort_all_requests(base::time_point now) {
  counters_.aborted_at_stop += active_.size();
  while (!active_.empty()) {
    abort_request(active_.begin()->second, "stopped before it ended", end_evidence::node_stopping,
                  now);
  }
}

void dispatcher::note_completed_run(const active_request& request, const open_call& call,
                                    base::time_point now) {
  // A stream that was resumed by this node or by its client, or that a slow client delayed, does
  // not show the time of a whole run.
  const bool is_whole_run =
      request.attempts == 1 && !request.is_slow_client && !request.content->resume_after;
  if (!is_whole_run) {
    return;
  }
  const bool has_events = request.first_event_at != base::time_point{};
  const auto result_began_at = has_events ? request.first_event_at : now;
  run_times_.note_run(request.route->name, request.service, request.content->output_tokens,
                      {result_began_at - call.started_at, now - result_began_at});
}

} // namespace spurrack::serving
