/// Answers whose replica marked no end: no length, no last chunk. Their end may be the end of the
/// answer, or the replica may have broken the answer off. Nobody but the replica knows, so the
/// client is never told that such an answer is whole: another run of the request shows the end, or
/// the client gets the answer as the replica gave it, ending with the connection.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"
#include "serving/answer_status.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace spurrack::serving {
namespace {

/// Time before the deadline at which a kept answer is sent, so that it reaches the client in time.
constexpr base::duration answer_delivery_time = std::chrono::milliseconds(100);

/// @return whether a body is the begin of a longer one, and so was broken off.
bool is_begin_of(std::string_view body, std::string_view longer) {
  return body.size() < longer.size() && longer.starts_with(body);
}

} // namespace

void dispatcher::note_open_end(const active_request& request, open_end_outcome outcome,
                               const std::string& subject, const std::string& detail) {
  ++counters_.open_ends[serving::name_of(outcome)];
  const auto last_id = request.events.last_id();
  const bool is_stream = request.route->kind == model::route_kind::streaming;
  record(base::event_kind::stage_completed, request, subject,
         "answer without framing, " + std::string(serving::name_of(outcome)) + ", " +
             std::to_string(request.events.events()) + " events, last id " +
             (last_id ? std::to_string(*last_id) : "none") +
             (is_stream && !request.ends_stream_with_connection ? ", the client's stream has chunks"
                                                                : "") +
             detail);
}

bool dispatcher::can_run_for_end(const active_request& request, const open_answer_end& end,
                                 base::time_point now) const {
  if (!request.route->is_repeatable() || framing_habits_.leaves_ends_open(request.route->name)) {
    return false;
  }
  if (request.graph && request.graph->has_missing_final_inputs()) {
    // All stages would have to be computed again.
    return false;
  }
  if (end.answer) {
    return request.deadline - now > end.ended_at - end.call.started_at;
  }
  return request.events.last_id().has_value();
}

void dispatcher::handle_open_end(active_request& request, open_answer_end end,
                                 base::time_point now) {
  framing_habits_.note_open_end(request.route->name);
  end = choose_kept_end(request, std::move(end), now);
  const auto subject = end.call.replica.text();
  const bool is_run_again = can_run_for_end(request, end, now) && try_take_retry(request, now);
  if (!is_run_again) {
    request.open_end.reset();
    pass_on_open_end(request, end, now);
    return;
  }
  note_open_end(request, open_end_outcome::run_again, subject, "");
  end.passed_on_at = request.deadline - answer_delivery_time;
  if (request.route->target_latency > base::duration::zero()) {
    // The client leaves if it waits much longer.
    end.passed_on_at = std::min(end.passed_on_at, now + request.route->target_latency);
  }
  request.lost_call = end_evidence::end_not_marked;
  request.open_end = std::move(end);
  schedule_check(request);
  send_retry(request, now);
}

void dispatcher::pass_on_open_end(active_request& request, const open_answer_end& end,
                                  base::time_point now) {
  const auto age =
      ", " + std::to_string(base::to_milliseconds(now - end.ended_at)) + " ms after its end";
  if (end.answer) {
    note_open_end(request, open_end_outcome::passed_on, end.call.replica.text(),
                  ", " + std::to_string(end.answer->body.size()) + " bytes" + age);
    forward_answer(request, *end.answer, now, call_end::given_up);
  } else if (request.ends_stream_with_connection) {
    note_open_end(request, open_end_outcome::passed_on, end.call.replica.text(), age);
    end_stream_in_order(request, "the stream ended without a marked end", now);
  } else {
    note_open_end(request, open_end_outcome::cannot_be_shown, end.call.replica.text(), age);
    answer_failed(request, status::bad_gateway, "its replica did not mark the end of its stream",
                  end_evidence::end_not_marked, now);
  }
}

bool dispatcher::pass_on_kept_end(active_request& request, base::time_point now) {
  if (!request.open_end) {
    return false;
  }
  const auto end = *std::exchange(request.open_end, std::nullopt);
  pass_on_open_end(request, end, now);
  return true;
}

bool dispatcher::pass_on_instead_of(active_request& request, const call_answered& answer,
                                    base::time_point now) {
  if (is_success(answer.head.status) || !request.open_end) {
    return false;
  }
  close_call(request, call_end::whole_answer, now);
  return pass_on_kept_end(request, now);
}

bool dispatcher::pass_on_overdue_end(active_request& request, base::time_point now) {
  if (!request.open_end || now < request.open_end->passed_on_at) {
    return false;
  }
  if (request.is_window_closed || now < silence_judged_from_) {
    // What the other run has brought was not read yet.
    request.open_end->passed_on_at = std::max(silence_judged_from_, now + successor_check_interval);
    return false;
  }
  return pass_on_kept_end(request, now);
}

open_answer_end dispatcher::choose_kept_end(active_request& request, open_answer_end latest,
                                            base::time_point now) {
  if (!request.open_end || !request.open_end->answer || !latest.answer) {
    return latest;
  }
  auto first = *std::exchange(request.open_end, std::nullopt);
  if (is_begin_of(first.answer->body, latest.answer->body)) {
    note_refuted_end(request, first, now);
    return latest;
  }
  if (is_begin_of(latest.answer->body, first.answer->body)) {
    note_refuted_end(request, latest, now);
  }
  return first;
}

void dispatcher::refute_open_end(active_request& request, base::time_point now) {
  if (request.open_end) {
    note_refuted_end(request, *std::exchange(request.open_end, std::nullopt), now);
  }
}

void dispatcher::note_refuted_end(const active_request& request, const open_answer_end& end,
                                  base::time_point now) {
  note_open_end(request, open_end_outcome::refuted, end.call.replica.text(), "");
  if (!end.call.relay_node) {
    replicas_.note_failure(end.call.replica, now);
  }
}

void dispatcher::note_marked_end(active_request& request, const call_answered* answer) {
  framing_habits_.note_framed(request.route->name);
  if (!request.open_end) {
    return;
  }
  const auto end = *std::exchange(request.open_end, std::nullopt);
  const bool is_same = answer == nullptr || (end.answer && end.answer->body == answer->body);
  note_open_end(request, is_same ? open_end_outcome::confirmed : open_end_outcome::replaced,
                end.call.replica.text(), "");
}

} // namespace spurrack::serving
