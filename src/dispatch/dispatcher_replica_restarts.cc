/// Replicas that started again under their id, and entries of replicas that cannot be used.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"
#include "model/serving_record_parser.h"

namespace spurrack::serving {
namespace {

/// A call at a life that seems over is given this time to show that its replica lives: the entry
/// may reach this node later than the new process took its first calls. As long as a replica stays
/// found lost before a request is ended for it.
constexpr base::duration life_confirm_time = std::chrono::milliseconds(500);

/// @return the name under which calls at a life that is over are kept, so that nothing they bring
///         is told of the life that began.
base::replica_id earlier_life_of(const base::replica_id& replica) {
  return base::replica_id(replica.text() + " (earlier life)");
}

} // namespace

void dispatcher::give_up_earlier_lives(base::time_point now) {
  for (const auto& restart : replicas_.take_restarts()) {
    give_up_earlier_life(restart, now);
  }
}

void dispatcher::give_up_earlier_life(const replica_restart& restart, base::time_point now) {
  const auto& replica = restart.replica;
  ++counters_.replica_restarts;
  record_(base::event_kind::backend_restarted, {}, replica.text(),
          "started again, its earlier life was at " + restart.earlier_address.text());
  note_replica_ended(replica, "it started again under its id", now);
  directory_.forget(replica);
  stages_.on_restarted(replica, now);
  commands_.emplace_back(close_connections{restart.earlier_address});
  for (auto& [client, request] : active_) {
    request.tried.erase(replica);
    if (request.graph) {
      request.graph->note_lost_results_of(restart.earlier_address);
    }
  }
  const auto found = clients_at_.find(replica);
  if (found == clients_at_.end()) {
    return;
  }
  const auto clients = found->second;
  for (const auto client : clients) {
    auto& request = active_.at(client);
    const bool shows_events = request.latest_event_at > request.call->started &&
                              now - request.latest_event_at < life_confirm_time;
    if (!shows_events && replicas_.is_at_earlier_life(replica, request.call->started)) {
      leave_earlier_life(request, now);
    } else {
      request.tried.insert(replica);
    }
  }
}

void dispatcher::leave_earlier_life(active_request& request, base::time_point now) {
  auto& call = *request.call;
  const auto replica = call.replica;
  record(base::event_kind::stage_retried, request, replica.text(), "its replica started again");
  note_end_under({digest_of(request), {call.life_end, now, replica}}, replica,
                 "it started again under its id", now);
  replicas_.call_ended(replica);
  auto& at_replica = clients_at_.at(replica);
  at_replica.erase(request.client);
  if (at_replica.empty()) {
    clients_at_.erase(replica);
  }
  call.replica = earlier_life_of(replica);
  clients_at_[call.replica].insert(request.client);
  call.life_ended_at = now;
  ++counters_.calls_at_earlier_lives;
  if (!request.window_closed) {
    call.stalls_at = now;
    schedule_check(request);
  }
}

void dispatcher::end_at_earlier_life(active_request& request, base::time_point now) {
  auto& call = *request.call;
  const auto decided_at = *call.life_ended_at + life_confirm_time;
  if (request.latest_event_at > *call.life_ended_at) {
    call.life_ended_at.reset();
    call.stalls_at = now + life_confirm_time;
  } else if (now >= decided_at) {
    ++counters_.ended_at_lost_replicas;
    answer_failed(request, status::bad_gateway, "the replica started again", now);
  } else {
    call.stalls_at = decided_at;
  }
}

void dispatcher::report_unknown_services() {
  const auto& unknown = replicas_.of_unknown_services();
  for (const auto& [id, service] : unknown) {
    const auto reported = unknown_services_.find(id);
    if (reported == unknown_services_.end() || reported->second != service) {
      ++counters_.replicas_of_unknown_services;
      record_(base::event_kind::entry_rejected, {}, std::string(model::replica_prefix) + id.text(),
              "no configuration names its service " + service);
    }
  }
  unknown_services_ = unknown;
}

} // namespace spurrack::serving
