/// Retries: attempts and retry budget, health reports of other nodes.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
// --- retry budget --------------------------------------------------------------------------------

bool dispatcher::has_attempt_left(const active_request& request, base::time_point now) {
  return request.attempts < request.max_attempts && now < request.deadline &&
         request.events.can_resume();
}

bool dispatcher::can_retry(const active_request& request, base::time_point now) const {
  return has_attempt_left(request, now) && has_time_before_stop(request, now) &&
         (request.has_trial ||
          quarantine_state_of(request, now) == quarantine::quarantine_state::unrestricted);
}

bool dispatcher::try_take_retry(active_request& request, base::time_point now) {
  if (!can_retry(request, now)) {
    return false;
  }
  if (!retry_budget_.try_take(request.service, now)) {
    ++counters_.retries_denied;
    return false;
  }
  ++counters_.retries;
  return true;
}

void dispatcher::retry_or_fail(active_request& request, base::time_point now) {
  failure_outcome outcome{status::bad_gateway, "the replica gave no whole answer", {}, false};
  if (request.route->is_repeatable()) {
    retry_or_fail_with(request, std::move(outcome), now);
  } else {
    fail_with(request, outcome, now);
  }
}

void dispatcher::send_retry(active_request& request, base::time_point now) {
  request.events.drop_partial_event();
  counters_.streams_resumed += request.has_begun_stream ? 1 : 0;
  send_to_replica(request, now);
}

void dispatcher::retry_or_fail_with(active_request& request, failure_outcome outcome,
                                    base::time_point now) {
  if (try_take_retry(request, now)) {
    send_retry(request, now);
    return;
  }
  if (can_retry(request, now) &&
      budget_exchange_.query_peers(request.service, clients_awaiting_budget_.size() + 1, now)) {
    request.pending_failure = std::move(outcome);
    clients_awaiting_budget_.push_back(request.client);
    return;
  }
  fail_with(request, outcome, now);
}

void dispatcher::fail_with(active_request& request, const failure_outcome& outcome,
                           base::time_point now) {
  if (pass_on_kept_end(request, now)) {
    return;
  }
  if (outcome.answer) {
    forward_answer(request, *outcome.answer, now);
  } else if (outcome.is_not_run) {
    answer_not_run(request, outcome.reason, now);
  } else {
    answer_failed(request, outcome.http_status, outcome.reason, request.lost_call, now);
  }
}

void dispatcher::check_requests_awaiting_budget(base::time_point now) {
  for (const auto client : std::exchange(clients_awaiting_budget_, {})) {
    const auto found = active_.find(client);
    if (found == active_.end() || !found->second.pending_failure) {
      continue;
    }
    auto& request = found->second;
    if (retry_budget_.shortfall(request.service, now) > 0 &&
        budget_exchange_.is_awaiting_answers(request.service, now)) {
      clients_awaiting_budget_.push_back(client);
      continue;
    }
    const auto outcome = *std::exchange(request.pending_failure, std::nullopt);
    if (try_take_retry(request, now)) {
      ++counters_.retries_on_transferred_budget;
      record(base::event_kind::stage_retried, request, request.service,
             "with transferred retry budget");
      send_retry(request, now);
    } else {
      fail_with(request, outcome, now);
    }
  }
}

void dispatcher::handle_peer(const base::node_id& sender, const base::network_address& address,
                             const wire::retry_lending& message, base::time_point now) {
  budget_exchange_.handle(sender, address, message, now);
  check_requests_awaiting_budget(now);
}

// --- replicas that are down ----------------------------------------------------------------------

void dispatcher::handle_peer(const base::node_id& sender, const wire::replica_news& message,
                             base::time_point now) {
  const auto ejections_before = replicas_.ejections();
  const auto down_replicas = replica_reports_.handle(sender, message, now);
  if (const auto heard_at = replica_reports_.latest_activity_at_peers()) {
    paths_.note_heard_by_peer(*heard_at);
  }
  if (replicas_.ejections() > ejections_before) {
    record_(base::event_kind::backend_ejected, {}, down_replicas.front().text(),
            "declared down by two nodes, the latest " + sender.text() + ", " +
                std::to_string(down_replicas.size()) + " in one message");
  }
  for (const auto& replica : down_replicas) {
    recheck_calls_at(replica, now);
  }
}

void dispatcher::resume_after_suspension(base::time_point now) {
  crash_reports_.resume_after_suspension(now);
  limits_.resume_after_suspension(now);
}

} // namespace spurrack::serving
