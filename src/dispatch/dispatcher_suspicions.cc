/// Suspected exits: a replica fell silent while it ran a request, and others are heard. The
/// suspicion convicts nobody; it lets the request run at one replica at a time over all nodes until
/// the list of replicas proves the exit, or the same process is heard again.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Time after which a current list no longer shows a replica that exited: three heartbeats of a
/// second or two.
constexpr base::duration exit_publication_time = std::chrono::seconds(5);

} // namespace

base::time_point dispatcher::last_heard_of(const replica_state& replica) const {
  return std::max(replica.last_activity_at, replica.peer_reported_activity_at);
}

bool dispatcher::hears_others_after(const base::replica_id& replica, base::time_point when) const {
  const bool has_connected = latest_connection_.at > when && latest_connection_.replica != replica;
  return has_connected || replicas_.was_other_active_after(replica, when);
}

bool dispatcher::seems_exited(const replica_state& replica, base::time_point silent_since,
                              base::time_point now) const {
  return !replica.record->draining && now >= silence_judged_from_ &&
         now - silent_since >= min_suspected_silence &&
         silence_probes_.is_unanswered(replica.record->id, silent_since, now) &&
         hears_others_after(replica.record->id, silent_since);
}

void dispatcher::watch_silence(const base::replica_id& replica, base::time_point now) {
  const auto* state = replicas_.find(replica);
  if (state == nullptr || state->is_replaced) {
    return;
  }
  if (silence_probes_.begin_if_due(replica, now)) {
    commands_.emplace_back(probe_replica{{replica, state->record->address}});
  }
  silence_checks_.try_emplace(replica, now + silence_probes::answer_time);
}

void dispatcher::check_silence_of(active_request& request, base::time_point now) {
  if (!request.call || !request.call->silence_check_at || now < *request.call->silence_check_at) {
    return;
  }
  request.call->silence_check_at.reset();
  const auto* state = replicas_.find(request.call->replica);
  if (state == nullptr || request.call->relay_node) {
    return;
  }
  const base::time_point silent_at =
      std::max(last_progress_of(request), last_heard_of(*state)) + min_suspected_silence;
  if (now < silent_at) {
    request.call->silence_check_at = silent_at;
  } else {
    watch_silence(request.call->replica, now);
  }
}

void dispatcher::check_silences(base::time_point now) {
  std::vector<base::replica_id> due;
  std::erase_if(silence_checks_, [&](const auto& check) {
    if (check.second <= now) {
      due.push_back(check.first);
    }
    return check.second <= now;
  });
  for (const auto& replica : due) {
    suspect_exits_at(replica, now);
  }
}

void dispatcher::suspect_exit_of(active_request& request, base::time_point now) {
  auto& call = *request.call;
  if (call.relay_node || call.restart_seen_at || call.is_exit_noted) {
    return;
  }
  const auto* state = replicas_.find(call.replica);
  if (state == nullptr) {
    note_unpublished_exit(request, call, now);
    return;
  }
  const bool is_same_process =
      !state->is_replaced && exit_id_of(*state->record) == call.incarnation_exit;
  const auto silent_since = std::max(last_progress_of(request), last_heard_of(*state));
  if (!is_same_process || !seems_exited(*state, silent_since, now)) {
    return;
  }
  call.is_exit_noted = true;
  note_suspected_exit(suspects_of(request),
                      {call.incarnation_exit, call.replica, call.started_at, silent_since, now},
                      "it is silent and answers no new connection, others are heard", now);
  release_trial(request, true, now);
}

void dispatcher::suspect_exits_at(const base::replica_id& replica, base::time_point now) {
  if (const auto found = clients_by_replica_.find(replica); found != clients_by_replica_.end()) {
    for (const auto client : found->second) {
      suspect_exit_of(active_.at(client), now);
    }
  }
  const auto* state = replicas_.find(replica);
  if (state == nullptr || state->is_replaced) {
    return;
  }
  for (const auto& call : crash_detector_.lost_calls_of(replica)) {
    const auto silent_since = std::max(call.started_at, last_heard_of(*state));
    if (exit_id_of(*state->record) == call.exit.exit && seems_exited(*state, silent_since, now)) {
      note_suspected_exit(call.suspects,
                          {call.exit.exit, replica, call.started_at, silent_since, now},
                          "its call has ended, and it answers no new connection", now);
    }
  }
}

void dispatcher::note_suspected_exit(const std::vector<quarantine::suspect>& suspects,
                                     const quarantine::suspected_exit& suspicion,
                                     const char* evidence, base::time_point now) {
  // Prompt parts are in many requests, so that a silent replica would hold up all of them. They are
  // judged by proven exits.
  const auto& subject = suspects.front();
  if (!crash_registry_.note_suspected(subject, suspicion).has_new_information) {
    return;
  }
  ++counters_.suspected_exits;
  record_(base::event_kind::request_crashed_replica, {}, suspicion.replica.text(),
          std::string(quarantine::name_of(subject.kind)) + " digest " + subject.digest.text() +
              ", suspected, " + evidence + ", silent for " +
              std::to_string(base::to_milliseconds(now - suspicion.silent_since)) + " ms, exit " +
              std::to_string(suspicion.exit) + ", " +
              crash_registry_.assess(subject.digest).text());
  crash_reports_.note_changed(subject.digest);
  if (trials_.has_run(subject.digest)) {
    crash_reports_.send_at_once(subject.digest, now);
    trials_.note_outcome(subject.digest, now);
  }
  hold_runs_of(subject.digest, now);
  newly_suspected_.push_back(subject.digest);
}

void dispatcher::disprove_suspicions(const open_call& call, base::time_point now) {
  crash_detector_.note_heard(call.replica, now);
  silence_probes_.note_heard(call.replica);
  const quarantine::disproved_exit sign{call.incarnation_exit, call.started_at, now};
  if (crash_registry_.suspected().is_disproved_by(sign)) {
    disprove_suspicions(sign, call.replica, "it went on with an earlier call");
  }
}

void dispatcher::disprove_suspicions(const quarantine::disproved_exit& sign,
                                     const base::replica_id& replica, const char* evidence) {
  ++counters_.disproved_exits;
  record_(base::event_kind::request_cleared, {}, replica.text(),
          std::string("the suspected exit ") + std::to_string(sign.exit) + " has not happened, " +
              evidence);
  for (const auto& digest : crash_registry_.disprove_suspected(sign)) {
    crash_reports_.note_changed(digest);
  }
}

void dispatcher::prove_suspicions(replica_exit exit, std::optional<base::time_point> exited_at,
                                  const char* evidence, base::time_point now) {
  for (const auto& [digest, change] : crash_registry_.prove_suspected(exit, exited_at, now)) {
    ++counters_.proven_exits;
    record_(base::event_kind::request_crashed_replica, {}, "",
            "digest " + digest.text() + ", the suspected exit " + std::to_string(exit) +
                " is proven, " + evidence + ", " + crash_registry_.assess(digest).text());
    crash_reports_.note_changed(digest);
    if (change.begins_quarantine) {
      newly_quarantined_.push_back(digest);
    }
  }
}

void dispatcher::apply_removed_replicas(base::time_point now) {
  for (const auto& removed : replicas_.take_removed()) {
    if (removed.was_draining) {
      continue;
    }
    prove_suspicions(removed.exit, std::nullopt, "it is published no longer", now);
    const auto found = clients_by_replica_.find(removed.replica);
    if (found == clients_by_replica_.end()) {
      continue;
    }
    for (const auto client : found->second) {
      auto& call = *active_.at(client).call;
      if (call.incarnation_exit == removed.exit && !call.unpublished_at) {
        call.unpublished_at = now;
      }
    }
  }
}

void dispatcher::check_suspicions(base::time_point now) {
  const auto suspected = crash_registry_.suspected().all();
  const auto list_confirmed_at = std::min(now, replica_list_confirmed_at());
  for (const auto& [key, suspicion] : suspected) {
    const auto* state = replicas_.find(suspicion.replica);
    if (state == nullptr || exit_id_of(*state->record) != suspicion.exit) {
      continue;
    }
    if (state->record->draining) {
      disprove_suspicions({suspicion.exit, {}, now}, suspicion.replica,
                          "it announces a planned end");
    } else if (list_confirmed_at >= suspicion.noted_at + exit_publication_time) {
      disprove_suspicions({suspicion.exit, {}, list_confirmed_at}, suspicion.replica,
                          "a current list still shows it");
    }
  }
}

void dispatcher::hold_runs_of(const quarantine::suspect_digest& digest, base::time_point now) {
  for (auto& [client, request] : active_) {
    const bool runs = (request.call && !request.call->relay_node && !request.call->is_exit_noted) ||
                      !request.pieces.empty();
    if (runs && !request.held_trial && suspects_of(request).front().digest == digest) {
      request.held_trial = digest;
      trials_.hold(digest, now);
    }
  }
}

} // namespace spurrack::serving
