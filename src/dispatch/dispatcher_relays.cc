/// Requests that this node passes on to another node, because it is partitioned from all replicas.
/// The other node serves such a request as that of a client: it counts the request against the
/// retry budget, the limits and the quarantine, and computes its stages.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"
#include "serving/answer_status.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Time without any byte from a replica after which this node tells others that it hears from none.
constexpr base::duration recently_heard = std::chrono::milliseconds(1000);

/// @return name under which a call at another node is kept where others have the replica.
base::replica_id relay_name(const base::node_id& node) {
  return base::replica_id("node " + node.text());
}

} // namespace

void dispatcher::handle_peer(const base::node_id& sender, const base::network_address& address,
                             const wire::relay_offer& message, base::time_point now) {
  const bool hears_replicas = paths_.state() < path_state::suspected &&
                              replicas_.was_any_active_after(now - recently_heard);
  if (relays_.handle(sender, address, message, hears_replicas, now)) {
    paths_.note_heard_by_peer(now);
  }
}

std::optional<relay> dispatcher::choose_relay(const active_request& request, base::time_point now) {
  if (!is_partitioned() || request.content->was_passed_on || !has_attempt_left(request, now)) {
    return std::nullopt;
  }
  return relays_.choose(request.permitted_regions, settings_.regions, now);
}

bool dispatcher::pass_on(active_request& request, base::time_point now) {
  const auto chosen = choose_relay(request, now);
  if (!chosen) {
    return false;
  }
  start_call passed;
  passed.call = next_call_++;
  passed.target = {relay_name(chosen->node), chosen->client_address};
  passed.content = request.content;
  passed.time_left = request.deadline - now;
  passed.passes_on = true;
  passed.streaming = request.route->kind == model::route_kind::streaming;
  passed.runs_at_most_once = !request.route->is_repeatable();
  passed.resume_after = request.events.last_id();
  if (passed.resume_after && !request.content->first_attempt) {
    passed.first_attempt = request.content->id;
  }
  passed.attempts_left = request.max_attempts - request.attempts;
  passed.is_last_attempt = true;
  request.attempts += passed.attempts_left;
  request.events.begin_run();
  const open_call call{.id = passed.call,
                       .replica = passed.target.replica,
                       .started_at = now,
                       .attempts = passed.attempts_left,
                       .relay_node = chosen->node};
  request.call = call;
  clients_by_replica_[passed.target.replica].insert(request.client);
  clients_by_call_[passed.call] = request.client;
  relays_.note_started(chosen->node);
  ++counters_.passed_on;
  record(base::event_kind::request_forwarded, request, chosen->node.text(),
         "partitioned from all replicas, with " + std::to_string(passed.attempts_left) + " of " +
             std::to_string(request.max_attempts) + " attempts");
  const auto call_id = passed.call;
  commands_.emplace_back(std::move(passed));
  if (request.is_window_closed) {
    commands_.emplace_back(pause_call{call_id});
  }
  return true;
}

void dispatcher::on_relay_answer(active_request& request, const call_answered& answered,
                                 base::time_point now) {
  const auto& head = answered.head;
  // The other node promises with these statuses that the request has not run and will not run.
  const bool is_not_run = !head.sealed && (head.status == status::unavailable ||
                                           head.status == status::too_many_requests);
  request.may_have_run = request.may_have_run || !is_not_run;
  const bool has_content = !answered.ends_with_connection || !answered.body.empty();
  const bool is_valid = !is_success(head.status) || (head.sealed && !head.encoded && has_content);
  const bool contradicts_earlier_attempt = is_not_run && request.may_have_run;
  if (contradicts_earlier_attempt && !may_end_answer(request.lost_call)) {
    // The request was passed on for a call that may have gone on.
    request.attempts -= close_call(request, call_end::relay_ended, now).attempts;
    answer_failed(request, status::bad_gateway, "the other node refused it", request.lost_call,
                  now);
    return;
  }
  if (!is_valid || contradicts_earlier_attempt) {
    answer_failed(request, status::bad_gateway, "the other node's answer is not valid",
                  end_evidence::relay_failed, now);
    return;
  }
  if (!pass_on_instead_of(request, answered, now)) {
    forward_answer(request, answered, now);
  }
}

} // namespace spurrack::serving
