/// Exits of replicas while they run requests: detects the exits, quarantines the requests under
/// which they happened, and ends quarantines. A call that ends without a whole answer is a lost
/// call; if its replica turns out to have exited, the exit is recorded under the request of the
/// call.
#include "dispatch/dispatcher.h"

#include "base/hashing.h"
#include "dispatch/dispatcher_constants.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace spurrack::serving {
namespace {

/// An answer of a replica disproves a recorded exit only if it arrives, and the list of replicas
/// was known to be current, at least this long after the time of the exit. If the replica had
/// exited and restarted, its new incarnation would be published by then: replicas publish their
/// entries every second or two.
constexpr base::duration min_withdrawal_age = std::chrono::seconds(5);
/// Interval at which expired records of exits are dropped; each record lives for 10 s or longer.
constexpr base::duration crash_expiry_interval = std::chrono::seconds(1);

/// Number of other replicas that are probed at once to find out whether a replica that refuses
/// connections exited, or this node is partitioned from replicas. Each round in which none accepts
/// a connection is followed by another one, with other replicas.
constexpr std::size_t probes_per_round = 4;
/// Maximum number of replicas that are probed until the question is decided or given up.
constexpr std::size_t max_path_probes = 16;
/// Interval at which activity of other replicas is checked, and other replicas are probed again, to
/// confirm that a refused replica exited.
constexpr base::duration path_check_interval = std::chrono::milliseconds(100);

/// Interval at which recent exits are compared with the rejections of brittle replicas: the last
/// rejections become known some milliseconds after the exit.
constexpr base::duration overrun_check_interval = std::chrono::milliseconds(20);
/// Maximum number of exits that are compared, the latest first.
constexpr std::size_t max_overrun_checks = 64;

constexpr const char* quarantine_reason =
    "held back: replicas ended while they ran this request; sending it again does not help";
/// Does not tell the client which part it is, since other tenants may have sent requests with it.
constexpr const char* part_quarantine_reason = "held back: replicas ended while they ran requests "
                                               "like this one; sending it again does not help";

std::string text_of(const quarantine::crash_record& record) {
  return std::string(quarantine::name_of(record.kind)) + " digest " + record.digest.text();
}

const char* reason_text(const quarantine::suspect& subject) {
  return subject.kind == quarantine::suspect_kind::request ? quarantine_reason
                                                           : part_quarantine_reason;
}

} // namespace

// --- detection -----------------------------------------------------------------------------------

void dispatcher::note_lost_call(const active_request& request,
                                const quarantine::exit_observation& exit,
                                base::time_point started_at, call_trace trace,
                                base::time_point now) {
  const auto* state = replicas_.find(exit.replica);
  // A draining replica exits as planned, so no request is the cause of the exit.
  if (state == nullptr || state->record->draining || state->is_replaced) {
    return;
  }
  const bool is_abandoned = trace == call_trace::abandoned;
  if (crash_detector_.note_lost_call(exit.replica,
                                     {suspects_of(request), exit, started_at, is_abandoned},
                                     trace == call_trace::lost, now)) {
    commands_.emplace_back(probe_replica{{exit.replica, state->record->address}});
  }
}

void dispatcher::on_event(const replica_probed& probe, base::time_point now) {
  settle_by_probe(probe, now);
  if (const auto refused_since = silence_probes_.note(probe, now)) {
    end_calls_at_exited_replica(probe.replica, *refused_since, now);
  }
  paths_.note_probed(probe.replica, probe.result == probe_result::connected, now);
  switch (probe.result) {
  case probe_result::refused:
    if (crash_detector_.refused_replicas(now).empty()) {
      path_probed_.clear();
    }
    crash_detector_.note_refused(probe.replica, now);
    break;
  case probe_result::connected:
    crash_detector_.note_connected(probe.replica, now);
    latest_connection_ = {probe.replica, now};
    confirm_refused_replicas(now);
    break;
  case probe_result::unresponsive:
    crash_detector_.note_probe_failed(probe.replica);
    suspect_exits_at(probe.replica, now);
    break;
  }
  path_probes_under_way_.erase(probe.replica);
  probe_other_replicas(now);
}

void dispatcher::probe_other_replicas(base::time_point now) {
  if (!path_probes_under_way_.empty() || !crash_detector_.has_refused_replicas(now)) {
    return;
  }
  const auto refused = crash_detector_.refused_replicas(now);
  if (refused.empty()) {
    return;
  }
  // Replicas that were probed since the first refusal show nothing new.
  auto excluded = crash_detector_.watched_replicas();
  excluded.insert(excluded.end(), path_probed_.begin(), path_probed_.end());
  for (const auto* other : replicas_.replicas_on_different_paths(excluded, probes_per_round)) {
    if (path_probed_.size() < max_path_probes) {
      path_probed_.push_back(other->record->id);
      path_probes_under_way_.insert(other->record->id);
      commands_.emplace_back(probe_replica{{other->record->id, other->record->address}});
    }
  }
  if (path_probed_.empty()) {
    note_timed_exit(refused.front().replica, "it refuses connections, no other is known", now);
  }
}

void dispatcher::confirm_refused_replicas(base::time_point now) {
  if (!crash_detector_.has_refused_replicas(now)) {
    return;
  }
  for (const auto& [replica, lost_at] : crash_detector_.refused_replicas(now)) {
    const bool has_connected =
        latest_connection_.at > lost_at && latest_connection_.replica != replica;
    if (has_connected) {
      note_timed_exit(replica, "it refuses connections and another replica accepts them", now);
    } else if (replicas_.was_other_active_after(replica, lost_at + min_later_activity)) {
      note_timed_exit(replica, "it refuses connections and open ones to others work", now);
    }
  }
}

void dispatcher::find_exited_replicas(base::time_point now) {
  for (const auto& replica : crash_detector_.watched_replicas()) {
    if (replicas_.find(replica) == nullptr) {
      note_replica_exit(replica, "it is published no longer", now);
    }
  }
  for (const auto& replica : crash_detector_.replicas_with_accepted_ends()) {
    if (replicas_.find(replica) == nullptr) {
      note_replica_exit(replica, "it is published no longer", now);
    }
  }
}

void dispatcher::note_timed_exit(const base::replica_id& replica, const char* evidence,
                                 base::time_point now) {
  for (const auto& call : crash_detector_.take_lost_calls(replica)) {
    prove_suspicions(call.exit.exit, now, evidence, now);
    note_exit_under_request(call, replica, evidence, now);
  }
}

void dispatcher::note_replica_exit(const base::replica_id& replica, const char* evidence,
                                   base::time_point now) {
  auto calls = crash_detector_.take_lost_calls(replica);
  auto accepted_ends = crash_detector_.take_accepted_ends(replica);
  std::move(accepted_ends.begin(), accepted_ends.end(), std::back_inserter(calls));
  for (auto& call : calls) {
    // The calls may have ended for another reason before the replica exited.
    call.exit.call_started_at = {};
    note_exit_under_request(call, replica, evidence, now);
  }
}

void dispatcher::note_exit_under_request(const quarantine::lost_call& call,
                                         const base::replica_id& replica, const char* evidence,
                                         base::time_point now) {
  auto observation = call.exit;
  observation.request = base::stable_hash(call.suspects.front().digest.bytes());
  for (const auto& subject : call.suspects) {
    const auto change = crash_registry_.note_exit(subject, observation, now);
    if (!change.has_new_information) {
      continue;
    }
    ++counters_.crashes_under_requests;
    record_(base::event_kind::request_crashed_replica, {}, replica.text(),
            text_of(*crash_registry_.find(subject.digest)) + ", " + evidence + ", its call ended " +
                std::to_string(base::to_milliseconds(now - call.exit.at)) + " ms ago, exit " +
                std::to_string(call.exit.exit) + ", " +
                crash_registry_.assess(subject.digest).text());
    crash_reports_.note_changed(subject.digest);
    if (trials_.has_run(subject.digest)) {
      crash_reports_.send_at_once(subject.digest, now);
      trials_.note_outcome(subject.digest, now);
    }
    if (change.begins_quarantine) {
      newly_quarantined_.push_back(subject.digest);
    }
  }
}

void dispatcher::handle_peer(const base::network_address& address, const wire::crash_news& message,
                             base::time_point now) {
  for (const auto& learned : crash_reports_.handle(address, message, now)) {
    const auto* known = crash_registry_.find(learned.digest);
    record_(base::event_kind::request_crashed_replica, {}, address.text(),
            (known == nullptr ? learned.digest.text() : text_of(*known)) +
                ", told by another node, " + crash_registry_.assess(learned.digest).text());
    if (learned.begins_quarantine) {
      newly_quarantined_.push_back(learned.digest);
    }
    if (learned.is_suspected) {
      hold_runs_of(learned.digest, now);
    }
  }
  trials_.handle(address, message, now);
  apply_told_exits(now);
}

void dispatcher::find_overrun_replicas(base::time_point now) {
  const auto& brittle_replicas = self_reports_.brittle_replicas();
  if (brittle_replicas.empty() || now < next_overrun_check_at_) {
    return;
  }
  next_overrun_check_at_ = now + overrun_check_interval;
  for (const auto& exit : crash_registry_.latest_exits(max_overrun_checks, now)) {
    if (brittle_replicas.was_overrun(exit.replica, exit.at) &&
        crash_registry_.mark_overrun(exit.key())) {
      record_(base::event_kind::request_cleared, {}, exit.replica.text(),
              "the replica crashed because it was overrun, exit " + std::to_string(exit.exit) +
                  " counts under no request");
    }
  }
}

void dispatcher::apply_told_exits(base::time_point now) {
  for (const auto& told : crash_reports_.take_told_exits()) {
    prove_suspicions(told.exit, told.at, "another node saw it exit", now);
    for (auto& call : crash_detector_.take_calls_lost_to(told.exit, told.at)) {
      call.exit.call_started_at = {};
      note_exit_under_request(call, call.exit.replica, "another node saw it exit", now);
    }
    const auto clients = clients_by_replica_.find(told.replica);
    if (clients == clients_by_replica_.end()) {
      continue;
    }
    for (const auto client : clients->second) {
      const auto& request = active_.at(client);
      const auto& call = *request.call;
      const bool ran_at_exit = call.incarnation_exit == told.exit && call.started_at < told.at &&
                               request.latest_event_at < told.at &&
                               !replicas_.was_active_after(told.replica, told.at);
      if (ran_at_exit) {
        note_exit_under_request({suspects_of(request), {told.exit, told.at, told.replica}},
                                told.replica, "another node saw it exit during the call", now);
      }
    }
  }
}

void dispatcher::advance_crashes(base::time_point now) {
  if (now >= next_crash_expiry_at_) {
    next_crash_expiry_at_ = now + crash_expiry_interval;
    clear_listed_ends(now);
    for (const auto& [replica, calls] :
         crash_detector_.drop_expired(std::min(now, replica_list_confirmed_at()), now)) {
      record_(base::event_kind::request_cleared, {}, replica.text(),
              std::to_string(calls) + " lost calls are dropped, no evidence that it exited");
    }
    crash_registry_.expire(now);
    check_suspicions(now);
  }
  check_silences(now);
  if (now >= next_path_check_at_ && crash_detector_.has_refused_replicas(now)) {
    next_path_check_at_ = now + path_check_interval;
    confirm_refused_replicas(now);
    // Replicas that refused too may have restarted.
    path_probed_.clear();
    probe_other_replicas(now);
  }
  find_overrun_replicas(now);
  // Quarantines begin and pieces are withdrawn here and not when the exit is recorded or suspected,
  // because both may remove the very request that is being processed then.
  for (const auto& digest : std::exchange(newly_quarantined_, {})) {
    begin_quarantine(digest, now);
  }
  for (const auto& digest : std::exchange(newly_suspected_, {})) {
    withdraw_silent_pieces_of(digest, now);
  }
  process_trials(now);
  crash_reports_.advance(now);
}

// --- release -------------------------------------------------------------------------------------

void dispatcher::withdraw_exit(const base::replica_id& replica, base::time_point now) {
  if (crash_registry_.empty()) {
    return;
  }
  const auto* state = replicas_.find(replica);
  if (state == nullptr) {
    return;
  }
  const auto exit_id = exit_id_of(*state->record);
  const auto exited_at = crash_registry_.exit_time_of(exit_id);
  if (exited_at && now - *exited_at >= min_withdrawal_age &&
      replica_list_confirmed_at() >= *exited_at + min_withdrawal_age &&
      crash_registry_.withdraw(exit_id, now)) {
    record_(base::event_kind::request_cleared, {}, replica.text(),
            "the replica answered in the incarnation that seemed to have exited " +
                std::to_string(base::to_milliseconds(now - *exited_at)) + " ms ago");
  }
}

void dispatcher::note_survived(const active_request& request, const char* evidence,
                               base::time_point survived_at) {
  if (crash_registry_.empty()) {
    return;
  }
  for (const auto& subject : suspects_of(request)) {
    if (!crash_registry_.note_survived(subject.digest, survived_at)) {
      continue;
    }
    ++counters_.requests_cleared;
    record(base::event_kind::request_cleared, request, "",
           name_of(subject, request) + ", a run with it ended and its replica survived, " +
               evidence);
    crash_reports_.note_changed(subject.digest);
  }
}

void dispatcher::note_survived(const std::vector<quarantine::lost_call>& calls,
                               const char* evidence) {
  for (const auto& call : calls) {
    for (const auto& subject : call.suspects) {
      const auto* known = crash_registry_.find(subject.digest);
      const bool has_later_exit = known != nullptr && known->last_exit_at() > call.exit.at;
      if (has_later_exit || !crash_registry_.note_survived(subject.digest, call.exit.at)) {
        continue;
      }
      ++counters_.requests_cleared;
      record_(base::event_kind::request_cleared, {}, call.exit.replica.text(),
              std::string(quarantine::name_of(subject.kind)) + " digest " + subject.digest.text() +
                  ", a run with it ended and its replica survived, " + evidence);
      crash_reports_.note_changed(subject.digest);
    }
  }
}

bool dispatcher::release_suspect(const quarantine::suspect_digest& digest, base::time_point now) {
  const bool was_known = crash_registry_.release(digest, now);
  if (was_known) {
    record_(base::event_kind::request_cleared, {}, "",
            "digest " + digest.text() + ", released by an operator");
    crash_reports_.note_changed(digest);
  }
  return was_known;
}

// --- quarantine ----------------------------------------------------------------------------------

std::string dispatcher::name_of(const quarantine::suspect& subject, const active_request& request) {
  const auto& suspects = suspects_of(request);
  const auto position = static_cast<std::size_t>(&subject - suspects.data());
  return position == 0 ? "request digest " + subject.digest.text()
                       : "prompt part " + request.content->prompt_parts[position - 1].id +
                             ", digest " + subject.digest.text();
}

quarantine::quarantine_state dispatcher::quarantine_state_of(const active_request& request,
                                                             base::time_point now) const {
  return crash_registry_.empty() ? quarantine::quarantine_state::unrestricted
                                 : crash_registry_.judge(suspects_of(request), now).state;
}

bool dispatcher::refuse_if_quarantined(active_request& request, base::time_point now) {
  if (crash_registry_.empty() || request.has_trial) {
    return false;
  }
  const auto judgement = crash_registry_.judge(suspects_of(request), now);
  if (judgement.is_held && !request.call) {
    refuse_held(request, *judgement.reason, now);
    return true;
  }
  if (judgement.state != quarantine::quarantine_state::quarantined) {
    return false;
  }
  const bool may_be_tried =
      judgement.needs_trial && !request.may_have_run &&
      crash_registry_.is_trial_due(*crash_registry_.find(judgement.reason->digest), now);
  if (may_be_tried) {
    return false;
  }
  refuse_in_quarantine(request, *judgement.reason, now);
  return true;
}

void dispatcher::refuse_in_quarantine(active_request& request, const quarantine::suspect& subject,
                                      base::time_point now) {
  const bool is_whole_request = subject.kind == quarantine::suspect_kind::request;
  crash_registry_.note_refused(subject.digest, now);
  ++(is_whole_request ? counters_.refused_in_quarantine : counters_.refused_for_prompt_part);
  record(base::event_kind::request_quarantined, request, "",
         name_of(subject, request) + ", " + crash_registry_.assess(subject.digest).text());
  const auto* reason = reason_text(subject);
  if (request.may_have_run || request.has_begun_stream) {
    answer_failed(request, status::bad_gateway, reason, end_evidence::quarantined, now);
    return;
  }
  // The answer states that the request was not run. It has no Retry-After time because a retry does
  // not help.
  answer_with_error(request.client, request.content->id, status::unavailable, reason, {});
  finish(request, status::unavailable, reason, now);
}

void dispatcher::begin_quarantine(const quarantine::suspect_digest& digest, base::time_point now) {
  const auto* found = crash_registry_.find(digest);
  if (found == nullptr) {
    return;
  }
  ++counters_.quarantines;
  record_(base::event_kind::request_quarantined, {}, "",
          text_of(*found) + ", quarantined, " + crash_registry_.assess(digest).text() +
              ", the latest " + std::to_string(base::to_milliseconds(now - found->last_exit_at())) +
              " ms ago");
  std::vector<base::caller_id> clients;
  for (const auto& [client, request] : active_) {
    const bool shows_events = request.call && request.latest_event_at > request.call->started_at;
    const auto& suspects = suspects_of(request);
    const bool has_suspect =
        std::any_of(suspects.begin(), suspects.end(),
                    [&](const quarantine::suspect& subject) { return subject.digest == digest; });
    if (!shows_events && has_suspect) {
      clients.push_back(client);
    }
  }
  for (const auto client : clients) {
    auto& request = active_.at(client);
    // The called replica may run the request before it notices that its connection is closed.
    request.may_have_run = request.may_have_run || request.call.has_value();
    refuse_if_quarantined(request, now);
  }
}

} // namespace spurrack::serving
