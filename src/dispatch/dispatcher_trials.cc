/// Requests with a suspect: they wait for the permission to run one at a time over all nodes, until
/// a run survives or the suspect is quarantined.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"
#include "dispatch/retry_after.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Interval at which a denied trial is asked for again while requests wait for it.
constexpr base::duration trial_request_interval = std::chrono::milliseconds(100);
/// Maximum time for which a request waits for a trial; afterwards its client is told to come back.
constexpr base::duration max_trial_wait = std::chrono::milliseconds(2'000);
/// Retry-After of a request that gets no trial until suspected exits are proven or disproved: the
/// list of replicas shows an exit within some seconds.
constexpr base::duration held_retry_after = std::chrono::milliseconds(2'000);
constexpr const char* held_reason =
    "replicas fell silent while they ran this request, and it is not known yet whether they ended";

} // namespace

bool dispatcher::wait_for_trial(active_request& request, base::time_point now) {
  if (crash_registry_.empty() || request.has_trial) {
    return false;
  }
  const auto judgement = crash_registry_.judge(suspects_of(request), now);
  if (!judgement.needs_trial) {
    return false;
  }
  join_trial_queue(request, judgement.reason->digest, now);
  return true;
}

bool dispatcher::wait_for_trial_of_stages(active_request& request, base::time_point now) {
  if (request.trial_wait) {
    return true;
  }
  const bool has_run = request.call || request.held_trial;
  if (crash_registry_.empty() || request.has_trial || has_run) {
    return false;
  }
  const auto judgement = crash_registry_.judge(suspects_of(request), now);
  const bool waits =
      judgement.needs_trial && judgement.reason->kind == quarantine::suspect_kind::request;
  if (waits) {
    join_trial_queue(request, judgement.reason->digest, now);
  }
  return waits;
}

void dispatcher::join_trial_queue(active_request& request, const quarantine::suspect_digest& digest,
                                  base::time_point now) {
  request.trial_wait = pending_trial{digest, now + max_trial_wait};
  awaiting_trial_[digest].insert(request.client);
  trials_.request(digest, now);
  schedule_check(request);
}

void dispatcher::leave_trial_queue(active_request& request) {
  if (!request.trial_wait) {
    return;
  }
  const auto waiting = awaiting_trial_.find(request.trial_wait->suspect);
  waiting->second.erase(request.client);
  if (waiting->second.empty()) {
    awaiting_trial_.erase(waiting);
  }
  request.trial_wait.reset();
}

bool dispatcher::refuse_if_trial_overdue(active_request& request, base::time_point now) {
  if (!request.trial_wait || now < request.trial_wait->ends_at) {
    return false;
  }
  if (request.call) {
    // Its call may still go on.
    leave_trial_queue(request);
    return false;
  }
  ++counters_.refused_without_trial;
  answer_not_run(request, "replicas ended while they ran requests like this one", now);
  return true;
}

void dispatcher::process_trials(base::time_point now) {
  trials_.advance(now);
  for (const auto& decision : trials_.take_decisions()) {
    apply_trial_decision(decision, now);
  }
  if (awaiting_trial_.empty() || now < next_trial_request_at_) {
    return;
  }
  next_trial_request_at_ = now + trial_request_interval;
  std::vector<quarantine::suspect_digest> suspects;
  for (const auto& [digest, clients] : awaiting_trial_) {
    suspects.push_back(digest);
  }
  for (const auto& digest : suspects) {
    if (crash_registry_.quarantine_state_of(digest, now) ==
        quarantine::quarantine_state::unrestricted) {
      continue_without_trial(digest, now);
      continue;
    }
    // During the quarantine of a prompt part, requests wait for the decision on a trial.
    const auto* record = crash_registry_.find(digest);
    if (record != nullptr && record->kind == quarantine::suspect_kind::request) {
      refuse_waiting_if_held(digest, now);
    }
    if (awaiting_trial_.contains(digest)) {
      trials_.request(digest, now);
    }
  }
}

void dispatcher::apply_trial_decision(const quarantine::trial_decision& decision,
                                      base::time_point now) {
  const auto waiting = awaiting_trial_.find(decision.digest);
  if (waiting == awaiting_trial_.end()) {
    if (decision.is_granted) {
      trials_.hold(decision.digest, now);
      trials_.release(decision.digest, true, now);
    }
    return;
  }
  if (decision.is_granted) {
    auto& request = active_.at(*waiting->second.begin());
    record(base::event_kind::request_quarantined, request, "",
           "trial of digest " + decision.digest.text() + ", granted by " + decision.decided_by +
               ", " + crash_registry_.assess(decision.digest).text());
    begin_trial(request, now);
    return;
  }
  refuse_waiting_if_held(decision.digest, now);
}

void dispatcher::refuse_waiting_if_held(const quarantine::suspect_digest& digest,
                                        base::time_point now) {
  for (const auto client : std::set(awaiting_trial_.at(digest))) {
    auto& request = active_.at(client);
    const auto judgement = crash_registry_.judge(suspects_of(request), now);
    if (judgement.state == quarantine::quarantine_state::quarantined && !request.call) {
      refuse_in_quarantine(request, *judgement.reason, now);
    } else if (judgement.is_held && !request.call) {
      refuse_held(request, *judgement.reason, now);
    }
  }
}

void dispatcher::begin_trial(active_request& request, base::time_point now) {
  const auto digest = request.trial_wait->suspect;
  leave_trial_queue(request);
  request.has_trial = true;
  if (!request.held_trial) {
    request.held_trial = digest;
    trials_.hold(digest, now);
  }
  if (!request.call) {
    continue_after_trial_wait(request, now);
    return;
  }
  const auto client = request.client;
  move_stalled_call(request, now);
  const auto found = active_.find(client);
  if (found != active_.end() && found->second.has_trial) {
    // No successor is certain now.
    found->second.has_trial = false;
    release_trial(found->second, true, now);
  }
}

void dispatcher::await_trial_of_stalled_call(active_request& request, base::time_point now) {
  request.call->stalls_at = now + trial_request_interval;
  const auto judgement = crash_registry_.judge(suspects_of(request), now);
  const bool may_move = judgement.needs_trial &&
                        judgement.reason->kind == quarantine::suspect_kind::request &&
                        crash_registry_.possible_exits_of(judgement.reason->digest) <
                            crash_registry_.limits().single_attempt &&
                        has_attempt_left(request, now);
  if (may_move && !request.trial_wait) {
    join_trial_queue(request, judgement.reason->digest, now);
  }
}

void dispatcher::continue_after_trial_wait(active_request& request, base::time_point now) {
  if (request.call) {
    request.call->stalls_at = now;
    schedule_check(request);
  } else if (request.graph && !request.graph->is_done()) {
    submit_pieces(request, now);
  } else {
    send_to_replica(request, now);
  }
}

void dispatcher::release_trial(active_request& request, bool is_known, base::time_point now) {
  if (const auto digest = std::exchange(request.held_trial, std::nullopt)) {
    trials_.release(*digest, is_known, now);
  }
}

void dispatcher::refuse_held(active_request& request, const quarantine::suspect& subject,
                             base::time_point now) {
  ++counters_.refused_while_held;
  record(base::event_kind::request_quarantined, request, "",
         name_of(subject, request) + ", held, " + crash_registry_.assess(subject.digest).text());
  if (request.may_have_run || request.has_begun_stream) {
    answer_failed(request, status::bad_gateway, held_reason, end_evidence::quarantined, now);
    return;
  }
  answer_with_error(request.client, request.content->id, status::unavailable, held_reason,
                    jittered_retry_after(held_retry_after, request.deadline - now, *random_));
  finish(request, status::unavailable, held_reason, now);
}

void dispatcher::continue_without_trial(const quarantine::suspect_digest& suspect,
                                        base::time_point now) {
  for (const auto client : std::set(awaiting_trial_.at(suspect))) {
    const auto found = active_.find(client);
    if (found != active_.end() && found->second.trial_wait) {
      leave_trial_queue(found->second);
      continue_after_trial_wait(found->second, now);
    }
  }
}

} // namespace spurrack::serving
