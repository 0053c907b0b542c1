/// A planned stop: what is still taken, what is still sent, and the end of what is left.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"

#include <string>

namespace spurrack::serving {
namespace {

constexpr const char* no_time_at_stop = "stopping, no time to end it";

} // namespace

void dispatcher::begin_stop(base::time_point now, base::time_point must_end_at) {
  stages_.begin_stop(now);
  stop_.begin(now, must_end_at);
  // What waits for its stages and cannot end any more is told so now, while its client has time to
  // ask another node.
  for (auto& [client, request] : active_) {
    if (request.judge_at) {
      request.judge_at = now;
      schedule_check(request);
    }
  }
}

remaining_work dispatcher::work_ahead_of(const active_request& request,
                                         base::time_point now) const {
  remaining_work work;
  work.is_stream = request.route->kind == model::route_kind::streaming;
  work.answered_by = request.ends_at;
  const auto run =
      run_times_.upper(request.route->name, request.service, request.content->output_tokens);
  auto to_first_event = run.to_first_event;
  if (request.graph && !request.graph->done()) {
    const auto with_stages = expected_time(request, piece_standing::in_time, now);
    if (!with_stages) {
      return work;
    }
    const auto own_tokens = request.content->own_tokens();
    to_first_event += *with_stages - estimate_.first_byte_of(request.service, own_tokens);
  }
  const auto events = work.is_stream ? run.events : base::duration{};
  work.expected = to_first_event + events - passed_on_of(request, events);
  return work;
}

base::duration dispatcher::passed_on_of(const active_request& request,
                                        base::duration expected_events) {
  // A slow reader's events took the time of its pauses too, which says nothing of the rest.
  if (!request.stream_begun || request.judged_slow) {
    return {};
  }
  const base::duration passed = request.latest_event_at - request.first_event_at;
  return passed < expected_events ? passed : base::duration{};
}

bool dispatcher::refuse_at_stop(active_request& request, base::time_point now) {
  if (!stop_.has_begun()) {
    return false;
  }
  if (stop_.takes(work_ahead_of(request, now), now)) {
    ++counters_.taken_while_stopping;
    return false;
  }
  ++counters_.refused_while_stopping;
  answer_not_run(request, no_time_at_stop, now);
  return true;
}

bool dispatcher::has_time_before_stop(const active_request& request, base::time_point now) const {
  return !stop_.has_begun() || stop_.may_send(work_ahead_of(request, now), now);
}

bool dispatcher::end_at_stop(active_request& request, base::time_point now) {
  if (has_time_before_stop(request, now)) {
    return false;
  }
  ++counters_.ended_while_stopping;
  answer_not_run(request, no_time_at_stop, now);
  return true;
}

void dispatcher::abort_all_requests(base::time_point now) {
  counters_.given_up_at_stop += active_.size();
  while (!active_.empty()) {
    give_up(active_.begin()->second, "stopped before it ended", now);
  }
}

void dispatcher::note_run(const active_request& request, base::time_point now) {
  const auto& call = *request.call;
  // A stream that was taken up elsewhere, by this node or its client, or whose client held it up,
  // says nothing of a whole run.
  const bool is_whole_run =
      request.sent == 1 && !request.judged_slow && !request.content->resume_after;
  if (!is_whole_run) {
    return;
  }
  const bool has_events = request.first_event_at != base::time_point{};
  const auto first = has_events ? request.first_event_at : now;
  run_times_.note(request.route->name, request.service, request.content->output_tokens,
                  {first - call.started, now - first});
}

} // namespace spurrack::serving
