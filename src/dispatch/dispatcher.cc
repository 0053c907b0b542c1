#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"
#include "dispatch/retry_after.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Interval at which this node checks whether requests that wait for a transfer of retry budget can
/// be retried or must fail. If an answer of another node arrives earlier, they are checked at once.
constexpr base::duration budget_check_interval = std::chrono::milliseconds(25);

/// @return why the open call of a request ends, if its answer ends on `evidence`.
call_end call_end_on(end_evidence evidence) {
  switch (evidence) {
  case end_evidence::deadline_passed:
    return call_end::deadline_passed;
  case end_evidence::no_memory:
    return call_end::no_memory;
  case end_evidence::replica_restarted:
    return call_end::restarted_replica;
  case end_evidence::connection_refused:
    return call_end::connection_refused;
  case end_evidence::silence:
    return call_end::silence;
  default:
    return call_end::given_up;
  }
}

const char* reason_text(disconnect_reason reason) {
  switch (reason) {
  case disconnect_reason::unread:
    return "the client took nothing for too long";
  case disconnect_reason::no_memory:
    return "the client read slowest while memory was short";
  case disconnect_reason::closed:
    break;
  }
  return "the client left";
}

} // namespace

dispatcher::dispatcher(const fleet_peer& self, const serving_settings& settings,
                       base::random_source& random, base::incarnation incarnation,
                       decision_recorder record)
    : dispatcher_state(self, settings, random, incarnation, std::move(record)) {}

void dispatcher::set_peers(std::vector<fleet_peer> alive, std::size_t known_peers) {
  retry_budget_.set_fleet_size(known_peers + 1);
  std::map<base::zone_id, std::vector<base::node_id>> nodes;
  nodes[self_.zone].push_back(self_.node);
  for (const auto& peer : alive) {
    nodes[peer.zone].push_back(peer.node);
  }
  replicas_.set_nodes(std::move(nodes));
  engine_directory_.set_peers(alive);
  budget_exchange_.set_peers(alive);
  replica_reports_.set_peers(alive);
  relays_.set_peers(alive);
  origins_.set_peers(alive);
  crash_reports_.set_peers(alive);
  trials_.set_peers(alive);
  self_reports_.set_peers(alive);
  limits_.set_peers(alive, known_peers);
  stages_.set_peers(std::move(alive));
}

void dispatcher::handle_peer(const base::node_id& sender, const wire::stage_work& message,
                             base::time_point now) {
  stages_.handle(sender, message, now);
  process_piece_results(now);
}

void dispatcher::update(const catalog::catalog& content, base::time_point now) {
  budget_exchange_.start(now);
  const bool has_new_configuration = configuration_ != content.serving();
  if (has_new_configuration) {
    configuration_ = content.serving();
    configuration_applied_at_ = now;
    replicas_.set_configuration(configuration_);
    engine_directory_.set_configuration(configuration_);
    stages_.set_configuration(configuration_);
    if (configuration_) {
      stream_ages_.keep_routes_of(*configuration_);
      framing_habits_.keep_routes_of(*configuration_);
    }
    report_keys();
  }
  update_replicas(content, has_new_configuration, now);
  replicas_.set_evacuated(content.evacuated_zones(), now);
  stages_.on_replicas_changed();
  handle_replica_restarts(now);
  apply_removed_replicas(now);
  find_exited_replicas(now);
  report_unknown_services();
  share_origins(now);
  end_streams_of_left_versions(now);
}

void dispatcher::report_keys() {
  if (!configuration_ || !configuration_->has_tenants) {
    return;
  }
  const auto subject = "configuration " + std::to_string(configuration_->version);
  if (configuration_->keys.empty()) {
    record_(base::event_kind::entry_accepted, {}, subject,
            "no tenant holds a key: requests are refused on all routes that are not public");
  }
  if (configuration_->ambiguous_keys > 0) {
    record_(base::event_kind::entry_rejected, {}, subject,
            std::to_string(configuration_->ambiguous_keys) +
                " keys are held by several tenants and are refused");
  }
}

void dispatcher::update_replicas(const catalog::catalog& content, bool all, base::time_point now) {
  const auto changed = all ? std::nullopt : content.replicas_changed_since(applied_changes_);
  applied_changes_ = content.serving_changes();
  if (changed) {
    replicas_.update(content.replicas(), *changed, now);
  } else {
    replicas_.update(content.replicas(), now);
  }
  engine_directory_.forget_removed_engines();
}

void dispatcher::handle(const event& input_event, base::time_point now) {
  std::visit([&](const auto& typed_event) { on_event(typed_event, now); }, input_event);
}

void dispatcher::record(base::event_kind kind, const active_request& request,
                        const std::string& subject, const std::string& detail) {
  record_(kind, request.content->id, subject, detail);
}

active_request* dispatcher_state::find_by_call(base::call_id call) {
  const auto found = clients_by_call_.find(call);
  return found == clients_by_call_.end() ? nullptr : &active_.at(found->second);
}

// --- answers and removal -------------------------------------------------------------------------

void dispatcher::on_event(const client_disconnected& disconnection, base::time_point now) {
  const auto found = active_.find(disconnection.client);
  if (found != active_.end()) {
    finish(found->second, status::client_gone, reason_text(disconnection.reason), now,
           call_end::client_left);
  }
}

void dispatcher::answer_not_run(active_request& request, const std::string& reason,
                                base::time_point now) {
  if (request.may_have_run || request.has_begun_stream) {
    answer_failed(request, status::bad_gateway, reason, request.lost_call, now);
    return;
  }
  answer_with_error(
      request.client, request.content->id, status::unavailable, reason,
      jittered_retry_after(shortest_retry_after(request, now), request.deadline - now, *random_));
  finish(request, status::unavailable, reason, now);
}

void dispatcher::answer_failed(active_request& request, unsigned http_status,
                               const std::string& reason, end_evidence evidence,
                               base::time_point now) {
  const bool may_go_on = request.route->is_repeatable() && has_attempt_left(request, now);
  if (!may_end_answer(evidence) && may_go_on) {
    wait_for_replica(request, reason, now);
    return;
  }
  if (pass_on_kept_end(request, now)) {
    return;
  }
  record_early_end(request, reason, evidence, now);
  if (request.has_begun_stream) {
    commands_.emplace_back(end_stream{request.client, false});
    record(base::event_kind::request_answered, request, "broken off", reason);
  } else {
    answer_with_error(request.client, request.content->id, http_status, reason, {});
  }
  finish(request, http_status, reason, now, call_end_on(evidence));
}

void dispatcher::finish(active_request& request, unsigned http_status, const std::string& reason,
                        base::time_point now, call_end end) {
  if (request.call) {
    commands_.emplace_back(cancel_call{request.call->id});
    close_call(request, end, now);
  }
  if (request.unsettled_end) {
    take_unsettled_end(request);
  }
  cancel_pieces(request);
  if (request.graph) {
    release_results(request.graph->take_unneeded_results(true));
  }
  const bool is_own_answer = http_status == status::unavailable ||
                             http_status == status::bad_gateway || http_status == status::timed_out;
  if (!is_own_answer) {
    ++counters_.answers[http_status];
    record(base::event_kind::request_answered, request, std::to_string(http_status),
           reason + " after " + std::to_string(base::to_milliseconds(now - request.arrived_at)) +
               " ms");
  }
  leave_trial_queue(request);
  release_trial(request, true, now);
  leave_admission_queue(request);
  deadlines_.erase({request.deadline, request.client});
  if (request.next_check_at) {
    due_checks_.erase({*request.next_check_at, request.client});
  }
  active_.erase(request.client);
}

void dispatcher::abort_request(active_request& request, const std::string& reason,
                               end_evidence evidence, base::time_point now) {
  if (request.may_have_run || request.call) {
    answer_failed(request, status::timed_out, reason, evidence, now);
  } else {
    answer_not_run(request, reason, now);
  }
}

void dispatcher::abort_expired_requests(base::time_point now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    abort_request(active_.at(deadlines_.begin()->second), deadline_passed,
                  end_evidence::deadline_passed, now);
  }
}

std::optional<base::time_point> dispatcher::next_due_check(const active_request& request) {
  auto next = request.next_feasibility_check_at;
  const auto consider = [&](const std::optional<base::time_point>& due_at) {
    if (due_at) {
      next = next ? std::min(*next, *due_at) : *due_at;
    }
  };
  if (request.call) {
    consider(request.call->stalls_at);
    consider(request.call->silence_check_at);
    consider(request.call->inputs_fetched_at);
  }
  if (request.trial_wait) {
    consider(request.trial_wait->ends_at);
  }
  if (request.unsettled_end) {
    consider(request.unsettled_end->next_check_at);
  }
  if (request.open_end) {
    consider(request.open_end->passed_on_at);
  }
  consider(request.slow_client_check_at);
  consider(request.send_again_at);
  return next;
}

void dispatcher::schedule_check(active_request& request) {
  const auto next = next_due_check(request);
  if (!next || (request.next_check_at && *request.next_check_at <= *next)) {
    return;
  }
  if (request.next_check_at) {
    due_checks_.erase({*request.next_check_at, request.client});
  }
  request.next_check_at = next;
  due_checks_.emplace(*next, request.client);
}

void dispatcher::check_requests(base::time_point now) {
  while (!due_checks_.empty() && due_checks_.begin()->first <= now) {
    const auto client = due_checks_.begin()->second;
    auto& request = active_.at(client);
    due_checks_.erase(due_checks_.begin());
    request.next_check_at.reset();
    if (!abort_if_infeasible(request, now) && !refuse_if_trial_overdue(request, now) &&
        !accept_end_if_confirmed(request, now) && !pass_on_overdue_end(request, now)) {
      probe_unsettled_end(request, now);
      check_silence_of(request, now);
      free_fetched_inputs(request, now);
      if (request.call && request.call->stalls_at && *request.call->stalls_at <= now) {
        on_stalled(request, now);
      } else if (request.slow_client_check_at && *request.slow_client_check_at <= now) {
        handle_slow_client(request, now);
      } else {
        send_again_if_due(request, now);
      }
    }
    // Each of these may have removed the request.
    if (const auto found = active_.find(client); found != active_.end()) {
      schedule_check(found->second);
    }
  }
}

void dispatcher::free_fetched_inputs(active_request& request, base::time_point now) {
  if (!request.call || !request.call->inputs_fetched_at || now < *request.call->inputs_fetched_at) {
    return;
  }
  if (is_replica_unresponsive(request)) {
    // A silent replica may not have fetched anything yet.
    request.call->inputs_fetched_at = now + settings_.input_fetch_time;
  } else {
    request.call->inputs_fetched_at.reset();
    release_results(request.graph->take_unneeded_results(true));
  }
}

void dispatcher::advance(base::time_point now) {
  abort_expired_requests(now);
  advance_self_reports(now);
  check_requests_awaiting_budget(now);
  origins_.advance(now);
  process_origin_findings(now);
  process_list_waits(now);
  if (next_share_check_at_ <= now) {
    ask_for_versions(now);
    share_origins(now);
  }
  check_requests(now);
  stages_.dispatch_waiting(now);
  if (process_piece_results(now)) {
    // Finished pieces may allow other stages to begin.
    stages_.dispatch_waiting(now);
  }
  check_paths(now);
  replica_reports_.advance(now);
  advance_crashes(now);
}

std::optional<base::time_point> dispatcher::next_wakeup(base::time_point now) const {
  auto earliest = stages_.next_wakeup(now);
  const auto consider = [&](base::time_point due_at) {
    earliest = earliest ? std::min(*earliest, due_at) : due_at;
  };
  if (!deadlines_.empty()) {
    consider(deadlines_.begin()->first);
  }
  if (!due_checks_.empty()) {
    consider(due_checks_.begin()->first);
  }
  if (const auto next_report_at = replica_reports_.next_wakeup()) {
    consider(*next_report_at);
  }
  if (const auto next_report_at = crash_reports_.next_wakeup()) {
    consider(*next_report_at);
  }
  if (const auto next_question_at = trials_.next_wakeup()) {
    consider(*next_question_at);
  }
  for (const auto& [replica, check_at] : silence_checks_) {
    consider(check_at);
  }
  if (!awaiting_trial_.empty()) {
    consider(next_trial_request_at_);
  }
  if (const auto next_round_at = paths_.next_wakeup()) {
    consider(*next_round_at);
  }
  if (crash_detector_.has_refused_replicas(now)) {
    consider(next_path_check_at_);
  }
  if (!clients_awaiting_budget_.empty()) {
    consider(now + budget_check_interval);
  }
  if (const auto next_origin_at = origins_.next_wakeup()) {
    consider(*next_origin_at);
  }
  for (const auto& [client, wait] : awaiting_list_) {
    consider(wait.ends_at);
  }
  if (const auto next_limit_at = limits_.next_wakeup()) {
    consider(*next_limit_at);
  }
  if (const auto next_self_report_at = self_reports_.next_wakeup()) {
    consider(*next_self_report_at);
  }
  if (!admission_queues_.empty()) {
    consider(next_queue_check_at_);
  }
  return earliest;
}

wire::outbox dispatcher::take_messages() {
  auto messages = stages_.take_messages();
  auto engine_messages = engine_directory_.take_messages();
  auto budget_messages = budget_exchange_.take_messages();
  auto report_messages = replica_reports_.take_messages();
  auto crash_messages = crash_reports_.take_messages();
  auto trial_messages = trials_.take_messages();
  auto relay_messages = relays_.take_messages();
  auto origin_messages = origins_.take_messages();
  auto limit_messages = limits_.take_messages();
  auto self_report_messages = self_reports_.take_messages();
  for (auto* list :
       {&engine_messages, &budget_messages, &report_messages, &crash_messages, &limit_messages,
        &self_report_messages, &relay_messages, &origin_messages, &trial_messages}) {
    std::move(list->begin(), list->end(), std::back_inserter(messages));
  }
  return messages;
}

command_list dispatcher::take_commands() {
  auto commands = std::exchange(commands_, {});
  auto stage_commands = stages_.take_commands();
  std::move(stage_commands.begin(), stage_commands.end(), std::back_inserter(commands));
  return commands;
}

} // namespace spurrack::serving
