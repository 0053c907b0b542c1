/// Requests with a suspected prompt part: they wait for the permission to run one at a time over
/// all nodes, until a run survives or the part is quarantined.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Interval at which a denied trial is asked for again while requests wait for it.
constexpr base::duration trial_request_interval = std::chrono::milliseconds(100);
/// Maximum time for which a request waits for a trial; afterwards its client is told to come back.
constexpr base::duration max_trial_wait = std::chrono::milliseconds(2'000);

} // namespace

bool dispatcher::wait_for_trial(active_request& request, base::time_point now) {
  if (crash_registry_.empty() || request.has_trial) {
    return false;
  }
  const auto judgement = crash_registry_.judge(suspects_of(request), now);
  if (!judgement.needs_trial) {
    return false;
  }
  request.trial_wait = pending_trial{judgement.reason->digest, now + max_trial_wait};
  awaiting_trial_[judgement.reason->digest].insert(request.client);
  trials_.request(judgement.reason->digest, now);
  schedule_check(request);
  return true;
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
    } else {
      trials_.request(digest, now);
    }
  }
}

void dispatcher::apply_trial_decision(const quarantine::trial_decision& decision,
                                      base::time_point now) {
  const auto waiting = awaiting_trial_.find(decision.digest);
  if (waiting == awaiting_trial_.end()) {
    return;
  }
  const bool is_quarantined = crash_registry_.quarantine_state_of(decision.digest, now) ==
                              quarantine::quarantine_state::quarantined;
  if (!decision.is_granted && is_quarantined) {
    for (const auto client : std::set(waiting->second)) {
      auto& request = active_.at(client);
      const auto judgement = crash_registry_.judge(suspects_of(request), now);
      refuse_in_quarantine(request, *judgement.reason, now);
    }
    return;
  }
  if (!decision.is_granted) {
    return;
  }
  auto& request = active_.at(*waiting->second.begin());
  leave_trial_queue(request);
  request.has_trial = true;
  record(base::event_kind::request_quarantined, request, "",
         "trial of prompt part digest " + decision.digest.text() + ", granted by " +
             decision.decided_by + ", " + crash_registry_.assess(decision.digest).text());
  send_to_replica(request, now);
}

void dispatcher::continue_without_trial(const quarantine::suspect_digest& suspect,
                                        base::time_point now) {
  for (const auto client : std::set(awaiting_trial_.at(suspect))) {
    const auto found = active_.find(client);
    if (found != active_.end() && found->second.trial_wait) {
      leave_trial_queue(found->second);
      send_to_replica(found->second, now);
    }
  }
}

} // namespace spurrack::serving
