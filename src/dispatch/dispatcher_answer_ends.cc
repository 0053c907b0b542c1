/// Answers that end with their connection: they have neither a length nor chunks. A replica that
/// completes such an answer and a replica that exits close the connection alike, so the answer is
/// lost unless the replica is seen to go on afterwards. A replica that goes on may have broken the
/// answer off all the same: see dispatcher_open_ends.cc. A connection that the replica accepts, or
/// an answer to a later call, may be of a process that was started again at once: the request goes
/// on, but the exits recorded under it are kept until the process of the call is seen to have gone
/// on.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Interval at which the replica of an answer whose end is not settled is probed; longer than the
/// connect timeout of a probe.
constexpr base::duration settle_probe_interval = std::chrono::milliseconds(800);
/// Time after the end of an answer in which a new connection lets the request go on: most replicas
/// take longer to start again.
constexpr base::duration min_restart_time = std::chrono::milliseconds(800);
/// Time after which the list of replicas shows that a replica has ended: the entry of one that
/// renews it no more lapses after three heartbeats of a second or two.
constexpr base::duration restart_publication_time = std::chrono::milliseconds(5'000);

/// @return whether a run that marked no end shows nothing of the end: it brought no event, and the
///         client has none either or the stream is known to go on.
bool shows_nothing_of_end(const active_request& request) {
  const auto& events = request.events;
  return events.events_in_run() == 0 && (!request.has_begun_stream || events.goes_on());
}

} // namespace

// --- settling ------------------------------------------------------------------------------------

void dispatcher::settle_later(active_request& request, std::optional<call_answered> answer,
                              base::time_point now) {
  if (request.recomputes_beside_call) {
    drop_recomputation(request);
  }
  auto call = close_call(request, call_end::not_settled, now);
  commands_.emplace_back(probe_replica{{call.replica, call.address}});
  unsettled_ends_[call.replica].insert(request.client);
  request.unsettled_end =
      unsettled_answer_end{std::move(call), std::move(answer), now, now + settle_probe_interval};
  ++counters_.unframed_answers;
  schedule_check(request);
}

void dispatcher::handle_unframed_answer(active_request& request, const call_answered& answer,
                                        base::time_point now) {
  if (!answer.body.empty()) {
    settle_later(request, answer, now);
    return;
  }
  const auto call = close_call(request, call_end::connection_ended, now);
  request.lost_call = end_evidence::connection_ended;
  note_open_end(request, open_end_outcome::no_body, call.replica.text(), "");
  handle_lost_answer(request, call, "answer without framing and without a body", now);
}

unsettled_answer_end dispatcher::take_unsettled_end(active_request& request) {
  auto end = *std::exchange(request.unsettled_end, std::nullopt);
  const auto at_replica = unsettled_ends_.find(end.call.replica);
  at_replica->second.erase(request.client);
  if (at_replica->second.empty()) {
    unsettled_ends_.erase(at_replica);
  }
  return end;
}

std::vector<base::caller_id> dispatcher::clients_with_end_before(const base::replica_id& replica,
                                                                 base::time_point seen_at) const {
  std::vector<base::caller_id> clients;
  const auto found = unsettled_ends_.find(replica);
  if (found == unsettled_ends_.end()) {
    return clients;
  }
  for (const auto client : found->second) {
    if (active_.at(client).unsettled_end->ended_at <= seen_at) {
      clients.push_back(client);
    }
  }
  return clients;
}

void dispatcher::settle_by_probe(const replica_probed& probe, base::time_point now) {
  for (const auto client : clients_with_end_before(probe.replica, probe.began_at)) {
    auto& request = active_.at(client);
    auto& end = *request.unsettled_end;
    if (probe.result == probe_result::refused) {
      reject_end(request, "its replica refuses connections", end_evidence::connection_refused, now);
    } else if (probe.result == probe_result::connected && is_too_soon_to_restart(end, now)) {
      accept_end(request, "its replica accepts connections", false, now);
    } else if (probe.result == probe_result::connected && !end.connected_at) {
      end.connected_at = probe.began_at;
      end.next_check_at = probe.began_at + restart_publication_time;
    }
  }
}

void dispatcher::settle_by_activity(const open_call& heard, base::time_point now) {
  if (heard.relay_node) {
    return;
  }
  const auto ended_by = now - min_later_activity;
  note_survived(crash_detector_.take_survived_ends(heard.replica, heard.started_at, ended_by),
                "an earlier call of its replica went on");
  if (unsettled_ends_.empty()) {
    return;
  }
  for (const auto client : clients_with_end_before(heard.replica, ended_by)) {
    auto& request = active_.at(client);
    const bool is_same_process = heard.started_at < request.unsettled_end->ended_at;
    if (is_too_soon_to_restart(*request.unsettled_end, now)) {
      accept_end(request, "its replica sent something on another connection", is_same_process, now);
    }
  }
}

void dispatcher::clear_listed_ends(base::time_point now) {
  // The calls of replicas that restarted or left the list have been taken already.
  const auto list_confirmed_at = std::min(now, replica_list_confirmed_at());
  note_survived(crash_detector_.take_listed_ends(list_confirmed_at),
                "a current list still shows its replica");
}

bool dispatcher::is_too_soon_to_restart(const unsettled_answer_end& end,
                                        base::time_point now) const {
  // After a stand of this process, the end may be older than it seems.
  return now - end.ended_at < min_restart_time && now >= silence_judged_from_;
}

bool dispatcher::accept_end_if_confirmed(active_request& request, base::time_point now) {
  if (!request.unsettled_end || !request.unsettled_end->connected_at) {
    return false;
  }
  const auto& end = *request.unsettled_end;
  const auto confirmed_at = *end.connected_at + restart_publication_time;
  const auto* replica = replicas_.find(end.call.replica);
  const bool is_same_process = replica != nullptr && !replica->is_replaced &&
                               exit_id_of(*replica->record) == end.call.incarnation_exit;
  if (now < confirmed_at || replica_list_confirmed_at() < confirmed_at || !is_same_process) {
    return false;
  }
  accept_end(request, "its replica accepts connections and has not restarted", true, now);
  return true;
}

void dispatcher::probe_unsettled_end(active_request& request, base::time_point now) {
  if (!request.unsettled_end || now < request.unsettled_end->next_check_at) {
    return;
  }
  auto& end = *request.unsettled_end;
  end.next_check_at = now + settle_probe_interval;
  if (!end.connected_at) {
    commands_.emplace_back(probe_replica{{end.call.replica, end.call.address}});
  }
}

void dispatcher::reject_ends_of_earlier_incarnation(const base::replica_id& replica,
                                                    base::time_point now) {
  for (const auto client : clients_with_end_before(replica, now)) {
    auto& request = active_.at(client);
    if (replicas_.was_sent_to_earlier_incarnation(replica,
                                                  request.unsettled_end->call.started_at)) {
      reject_end(request, "its replica restarted", end_evidence::replica_restarted, now);
    }
  }
}

// --- outcomes ------------------------------------------------------------------------------------

void dispatcher::accept_end(active_request& request, const char* evidence, bool is_same_process,
                            base::time_point now) {
  auto end = take_unsettled_end(request);
  record(base::event_kind::stage_completed, request, end.call.replica.text(),
         std::string("the answer without framing may be whole, ") + evidence + " " +
             std::to_string(base::to_milliseconds(now - end.ended_at)) + " ms after its end");
  if (is_same_process) {
    note_ended_run(request, end.call, evidence, end.ended_at, now);
  } else {
    watch_accepted_end(request, end, now);
  }
  handle_open_end(request, {std::move(end.call), std::move(end.answer), end.ended_at}, now);
}

void dispatcher::watch_accepted_end(const active_request& request, const unsettled_answer_end& end,
                                    base::time_point now) {
  note_completed_run(request, end.call, end.ended_at);
  replicas_.note_success(end.call.replica, now);
  const auto* state = replicas_.find(end.call.replica);
  if (end.call.relay_node || state == nullptr || state->record->draining || state->is_replaced) {
    return;
  }
  crash_detector_.note_accepted_end({suspects_of(request),
                                     {end.call.incarnation_exit, end.ended_at, end.call.replica},
                                     end.call.started_at});
}

void dispatcher::reject_end(active_request& request, const char* reason, end_evidence evidence,
                            base::time_point now) {
  const auto end = take_unsettled_end(request);
  request.lost_call = evidence;
  ++counters_.unframed_answers_rejected;
  note_open_end(request, open_end_outcome::replica_exited, end.call.replica.text(), "");
  leave_trace(request, end.call, call_end::connection_ended, now);
  handle_lost_answer(request, end.call,
                     std::string("the answer without framing is not known to be whole, ") + reason +
                         " " + std::to_string(base::to_milliseconds(now - end.ended_at)) +
                         " ms after its end",
                     now);
}

void dispatcher::note_ended_run(const active_request& request, const open_call& call,
                                const char* evidence, base::time_point ended_at,
                                base::time_point now) {
  if (!call.relay_node) {
    note_survived(request, evidence, ended_at);
  }
  note_completed_run(request, call, ended_at);
  replicas_.note_success(call.replica, now);
}

void dispatcher::handle_lost_answer(active_request& request, const open_call& call,
                                    const std::string& detail, base::time_point now) {
  replicas_.note_failure(call.replica, now);
  record(base::event_kind::stage_retried, request, call.replica.text(),
         detail + digest_text(request));
  retry_or_fail(request, now);
}

void dispatcher::complete_stream(active_request& request, base::time_point now) {
  if (request.stream_key) {
    origins_.note_completed(*request.stream_key);
  }
  end_stream_in_order(request, "the stream is complete", now);
}

void dispatcher::end_stream_in_order(active_request& request, const std::string& reason,
                                     base::time_point now) {
  begin_stream(request, now);
  if (request.first_event_at == base::time_point{}) {
    // No new event arrived, for example because the client resumed the stream after its last
    // event. The end of the stream is then the first message to the client and counts as its
    // first event.
    request.first_event_at = now;
  }
  commands_.emplace_back(end_stream{request.client, true});
  finish(request, request.stream_head->status,
         reason + ", first event at " +
             std::to_string(base::to_milliseconds(request.first_event_at - request.arrived_at)) +
             " ms, longest pause " +
             std::to_string(base::to_milliseconds(request.longest_event_gap)) + " ms,",
         now);
}

void dispatcher::break_off_stream(active_request& request, const stream_closed& closed,
                                  base::time_point now) {
  const auto call = close_call(
      request, closed.has_timed_out ? call_end::connection_timed_out : call_end::connection_ended,
      now);
  request.lost_call = evidence_of(closed.has_timed_out);
  const bool is_answer_faulty = closed.fault != answer_fault::none;
  if (!call.relay_node && !is_answer_faulty) {
    paths_.note_failure(now);
  }
  handle_lost_answer(request, call,
                     "the stream broke off" +
                         (is_answer_faulty
                              ? ", fault " + std::string(serving::name_of(closed.fault))
                              : std::string()),
                     now);
}

void dispatcher::break_off_long_event(active_request& request, base::time_point now) {
  const auto bytes = request.events.partial_bytes();
  commands_.emplace_back(cancel_call{request.call->id});
  const auto call = close_call(request, call_end::failed_answer, now);
  request.may_have_run = true;
  request.lost_call = end_evidence::replica_failed;
  request.events.drop_partial_event();
  reserve_partial_event(request);
  ++counters_.long_events;
  handle_lost_answer(request, call,
                     "an event has no end after " + std::to_string(bytes) + " bytes, at most " +
                         std::to_string(settings_.max_event_bytes) + " are allowed",
                     now);
}

void dispatcher::on_event(const stream_closed& closed, base::time_point now) {
  auto* request = find_by_call(closed.call);
  if (request == nullptr) {
    return;
  }
  const bool is_from_replica = !request->call->relay_node;
  const auto replica = request->call->replica.text();
  const bool is_broken_off = !closed.complete || request->events.has_partial() ||
                             (closed.ends_with_connection && shows_nothing_of_end(*request));
  if (is_broken_off && closed.complete && closed.ends_with_connection) {
    note_open_end(*request,
                  request->events.has_partial() ? open_end_outcome::inside_event
                                                : open_end_outcome::no_body,
                  replica, "");
  }
  if (is_broken_off) {
    break_off_stream(*request, closed, now);
  } else if (closed.ends_with_connection && is_from_replica) {
    settle_later(*request, std::nullopt, now);
  } else if (closed.ends_with_connection) {
    // The other node has settled the end, and has run the request again if that could show more.
    request->open_end.reset();
    pass_on_open_end(*request,
                     {close_call(*request, call_end::relay_ended, now), std::nullopt, now}, now);
  } else {
    const auto call = close_call(*request, call_end::whole_answer, now);
    note_ended_run(*request, call, "its answer was whole", now, now);
    note_marked_end(*request, nullptr);
    complete_stream(*request, now);
  }
}

} // namespace spurrack::serving
