/// Replicas that restarted under their id, and replicas of services that are not configured.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"
#include "model/serving_record_parser.h"

namespace spurrack::serving {
namespace {

/// Time for which this node waits for an event of a call that seems to have been sent to an earlier
/// incarnation of its replica. If no event arrives in this time and the request cannot be retried,
/// the request fails. The wait is needed because the call may in fact run at the new incarnation:
/// the entry of a restarted replica may reach this node after the new process accepted its first
/// calls. Equal to the time for which a replica must stay declared down before requests at it fail.
constexpr base::duration restart_confirm_time = std::chrono::milliseconds(500);

/// @return replica id given to calls that were sent to an earlier incarnation, so that their
///         outcomes do not count for the current incarnation.
base::replica_id earlier_incarnation_of(const base::replica_id& replica) {
  return base::replica_id(replica.text() + " (earlier incarnation)");
}

} // namespace

void dispatcher::handle_replica_restarts(base::time_point now) {
  for (const auto& restart : replicas_.take_restarts()) {
    handle_replica_restart(restart, now);
  }
}

void dispatcher::handle_replica_restart(const replica_restart& restart, base::time_point now) {
  const auto& replica = restart.replica;
  ++counters_.replica_restarts;
  record_(base::event_kind::backend_restarted, {}, replica.text(),
          "restarted, its earlier incarnation was at " + restart.earlier_address.text());
  prove_suspicions(restart.earlier_exit, std::nullopt, "it restarted under its id", now);
  note_replica_exit(replica, "it restarted under its id", now);
  engine_directory_.forget(replica);
  stages_.on_replica_restarted(replica, now);
  commands_.emplace_back(close_connections{restart.earlier_address});
  for (auto& [client, request] : active_) {
    request.tried_replicas.erase(replica);
    if (request.graph) {
      request.graph->note_lost_results_of(replica, restart.earlier_exit);
    }
  }
  reject_ends_of_earlier_incarnation(replica, now);
  const auto found = clients_by_replica_.find(replica);
  if (found == clients_by_replica_.end()) {
    return;
  }
  const auto clients = found->second;
  for (const auto client : clients) {
    auto& request = active_.at(client);
    if (end_call_at_other_software(request, now)) {
      continue;
    }
    const bool shows_events = request.latest_event_at > request.call->started_at &&
                              now - request.latest_event_at < restart_confirm_time;
    if (!shows_events &&
        replicas_.was_sent_to_earlier_incarnation(replica, request.call->started_at)) {
      detach_from_restarted_replica(request, now);
    } else {
      request.tried_replicas.insert(replica);
    }
  }
}

void dispatcher::detach_from_restarted_replica(active_request& request, base::time_point now) {
  auto& call = *request.call;
  const auto replica = call.replica;
  record(base::event_kind::stage_retried, request, replica.text(), "its replica restarted");
  note_exit_under_request({suspects_of(request), {call.incarnation_exit, now, replica}}, replica,
                          "it restarted under its id", now);
  replicas_.call_ended(replica);
  auto& at_replica = clients_by_replica_.at(replica);
  at_replica.erase(request.client);
  if (at_replica.empty()) {
    clients_by_replica_.erase(replica);
  }
  call.replica = earlier_incarnation_of(replica);
  clients_by_replica_[call.replica].insert(request.client);
  call.restart_seen_at = now;
  ++counters_.calls_at_earlier_incarnations;
  if (!request.is_window_closed) {
    call.stalls_at = now;
    schedule_check(request);
  }
}

void dispatcher::check_call_at_earlier_incarnation(active_request& request, base::time_point now) {
  auto& call = *request.call;
  const auto decision_deadline = *call.restart_seen_at + restart_confirm_time;
  if (request.latest_event_at > *call.restart_seen_at) {
    call.restart_seen_at.reset();
    call.stalls_at = now + restart_confirm_time;
  } else if (now >= decision_deadline) {
    ++counters_.ended_at_down_replicas;
    answer_failed(request, status::bad_gateway, "the replica started again",
                  end_evidence::replica_restarted, now);
  } else {
    call.stalls_at = decision_deadline;
  }
}

void dispatcher::report_unknown_services() {
  const auto& unknown = replicas_.replicas_of_unknown_services();
  for (const auto& [id, service] : unknown) {
    const auto reported = reported_unknown_services_.find(id);
    if (reported == reported_unknown_services_.end() || reported->second != service) {
      ++counters_.replicas_of_unknown_services;
      record_(base::event_kind::entry_rejected, {}, std::string(model::replica_prefix) + id.text(),
              "no configuration names its service " + service);
    }
  }
  reported_unknown_services_ = unknown;
}

} // namespace spurrack::serving
