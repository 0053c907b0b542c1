#include "execution/executor.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace spurrack::execution {
namespace {

/// A request is aborted when this number of calls of one stage have ended as `broken`.
constexpr std::uint32_t max_failures_per_stage = 4;
/// Length of the prompt prefix, in bytes, that determines the affinity to a back end.
constexpr std::size_t affinity_prefix_bytes = 64;

std::uint64_t affinity_of(const model::stage& step, const std::string& input) {
  if (step.kind != model::stage_kind::generate) {
    return 0;
  }
  const auto prefix = std::string_view(input).substr(0, affinity_prefix_bytes);
  return base::stable_hash(prefix, base::stable_hash(step.model + "/" + step.adapter)) | 1U;
}

bool is_returned_to_caller(model::stage_kind kind) {
  return kind == model::stage_kind::generate || kind == model::stage_kind::call;
}

} // namespace

executor::executor(routing::backend_table& backends, admission::stage_scheduler& scheduler,
                   event_recorder record, completion_observer report_completion,
                   base::safety_switches switches)
    : backends_(&backends), scheduler_(&scheduler), record_(std::move(record)),
      report_completion_(std::move(report_completion)), switches_(switches) {}

void executor::start(admitted_request request, base::time_point now) {
  const auto id = request.id;
  auto& active = active_[id];
  active.request = std::move(request);
  active.callers.push_back(active.request.caller);
  active.stage_input = active.request.input;
  for (const auto& step : active.request.plan->stages) {
    stage_cost cost;
    cost.stage = step.name;
    active.costs.push_back(std::move(cost));
  }
  if (const auto* local = std::get_if<local_caller>(&active.request.caller)) {
    local_callers_[local->id] = id;
  }
  deadlines_.emplace(active.request.deadline, id);
  scheduler_->add_admitted(*active.request.plan);
  if (active.request.deadline <= now) {
    abort_request(active, reason::deadline_passed, now);
    return;
  }
  enqueue(active);
}

bool executor::attach(const base::request_id& id, const caller_ref& caller) {
  const auto found = active_.find(id);
  if (found == active_.end()) {
    return false;
  }
  found->second.callers.push_back(caller);
  if (const auto* local = std::get_if<local_caller>(&caller)) {
    local_callers_[local->id] = id;
  }
  return true;
}

void executor::enqueue(active_request& active) {
  const auto& request = active.request;
  scheduler_->enqueue(*request.plan, active.stage, request.id, request.deadline,
                      affinity_of(active.current_stage(), active.stage_input));
}

void executor::dispatch_waiting(base::time_point now) {
  while (!is_dispatch_paused_) {
    const auto chosen = scheduler_->take_next(now);
    if (!chosen) {
      return;
    }
    const auto found = active_.find(chosen->request);
    if (found == active_.end()) {
      continue;
    }
    auto& active = found->second;
    if (now >= active.request.deadline) {
      abort_request(active, reason::deadline_passed, now);
      continue;
    }
    if (scheduler_->settings().refuse_expected_late &&
        now + scheduler_->expected_service_time(*active.request.plan, active.stage) >
            active.request.deadline) {
      abort_request(active, reason::deadline_unreachable, now);
      continue;
    }
    dispatch(active, chosen->backend, now);
  }
}

stage_call executor::make_call(const active_request& active, const routing::backend& target) const {
  const auto& step = active.current_stage();
  stage_call call;
  call.call = active.call->id;
  call.identity = {active.request.id, step.name, active.next_attempt - 1};
  call.backend = target.id;
  call.address = target.address;
  call.kind = step.kind;
  call.tenant = active.request.plan->tenant;
  call.model = step.model;
  call.adapter = step.adapter;
  call.input = active.stage_input;
  call.max_tokens = step.max_tokens;
  call.resume_offset = active.tokens_received;
  call.priority = active.request.plan->priority;
  call.repeatable = step.repeatable;
  call.not_after = active.request.deadline;
  return call;
}

void executor::dispatch(active_request& active, const base::backend_id& backend,
                        base::time_point now) {
  const auto* target = backends_->find(backend);
  active.call = call_in_flight{next_call_++, backend, now, now};
  ++active.next_attempt;
  ++active.costs[active.stage].attempts;
  active.tracker.call_started(active.current_stage().repeatable);
  backends_->call_started(backend);
  calls_[active.call->id] = active.request.id;
  commands_.emplace_back(start_call{make_call(active, *target)});
  record_(base::event_kind::stage_dispatched, active.request.id, backend.text(),
          active.current_stage().name);
}

executor::active_request* executor::find_by_call(base::call_id call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return nullptr;
  }
  const auto request = active_.find(found->second);
  return request == active_.end() ? nullptr : &request->second;
}

bool executor::is_valid_answer(const active_request& active, const call_result& result) const {
  const call_identity expected{active.request.id, active.current_stage().name,
                               active.next_attempt - 1};
  const bool is_complete = active.current_stage().kind != model::stage_kind::generate ||
                           result.tokens == active.tokens_received;
  const bool is_identity_valid = result.identity == expected || !switches_.answer_identity_check;
  return is_complete && is_identity_valid;
}

void executor::on_result(const call_result& result, base::time_point now) {
  auto* active = find_by_call(result.call);
  if (active == nullptr) {
    ++counters_.late_answers;
    record_(base::event_kind::late_answer_dropped, result.identity.request, result.identity.stage,
            std::string(name_of(result.status)));
    return;
  }
  auto checked_result = result;
  if (result.status == call_status::completed && !is_valid_answer(*active, result)) {
    ++counters_.misdirected_answers;
    checked_result.status = call_status::broken;
  }
  const auto call = *active->call;
  active->call.reset();
  calls_.erase(result.call);
  const bool completed = checked_result.status == call_status::completed;
  const auto elapsed = now - call.started_at;
  if (result.reported_in_flight > 0) {
    backends_->record_load(call.backend, result.reported_in_flight, now);
  }
  if (backends_->call_ended(call.backend, completed ? std::optional(elapsed) : std::nullopt, now)) {
    record_(base::event_kind::backend_ejected, {}, call.backend.text(), "slower than its pool");
  }
  if (completed) {
    scheduler_->add_service_time(*active->request.plan, active->stage, elapsed);
    complete_stage(*active, checked_result, now);
    return;
  }
  if (checked_result.status == call_status::broken) {
    active->costs[active->stage].wasted_time += elapsed;
  }
  handle_failure(*active, checked_result, call.backend, now);
}

void executor::complete_stage(active_request& active, const call_result& result,
                              base::time_point now) {
  const auto& step = active.current_stage();
  auto& cost = active.costs[active.stage];
  cost.backend_time += result.backend_time;
  cost.tokens += result.tokens;
  active.tracker.call_completed(step.repeatable);
  scheduler_->retry_budget_of(step.pool).add_success();
  record_(base::event_kind::stage_completed, active.request.id, step.name, "");
  auto output = step.kind == model::stage_kind::generate ? active.generated : result.output;
  if (is_returned_to_caller(step.kind)) {
    active.outputs.push_back({step.name, output});
  }
  scheduler_->note_stage_completed(*active.request.plan, active.stage);
  ++active.stage;
  active.stage_input = std::move(output);
  active.generated.clear();
  active.tokens_received = 0;
  active.failures = 0;
  active.next_attempt = 1;
  if (active.stage == active.request.plan->stages.size()) {
    finish(active, model::outcome::completed, reason::none, now);
    return;
  }
  enqueue(active);
}

void executor::note_backend_failure(const call_result& result, const base::backend_id& backend,
                                    base::time_point now) {
  switch (result.status) {
  case call_status::never_sent:
  case call_status::broken:
    backends_->note_call_failure(backend, now);
    break;
  case call_status::refused_overloaded:
    backends_->note_overload(backend, now);
    break;
  case call_status::refused_leaving: {
    const auto* target = backends_->find(backend);
    if (target != nullptr && backends_->mark_draining(backend, target->generation)) {
      record_(base::event_kind::backend_leaving, {}, backend.text(), "refused a call");
    }
    break;
  }
  default:
    break;
  }
}

void executor::handle_failure(active_request& active, const call_result& result,
                              const base::backend_id& backend, base::time_point now) {
  const bool repeatable = active.current_stage().repeatable;
  note_backend_failure(result, backend, now);
  switch (result.status) {
  case call_status::never_sent:
  case call_status::refused_overloaded:
  case call_status::refused_leaving:
    active.tracker.call_refused(repeatable);
    break;
  case call_status::rejected:
    active.tracker.call_completed(repeatable);
    abort_request(active, reason::backend_failed, now);
    return;
  default:
    if (!repeatable && switches_.no_repeat_after_send) {
      abort_request(active, reason::backend_failed, now);
      return;
    }
    active.tracker.call_completed(repeatable);
    break;
  }
  retry_or_abort(active, result.status, now);
}

void executor::retry_or_abort(active_request& active, call_status status, base::time_point now) {
  const auto& step = active.current_stage();
  if (now >= active.request.deadline) {
    abort_request(active, reason::deadline_passed, now);
    return;
  }
  // Only broken calls count against the retry budget. A refusal costs the back end almost nothing,
  // so the request is queued again without a token of the budget.
  if (status == call_status::broken) {
    ++active.failures;
    if (active.failures >= max_failures_per_stage ||
        !scheduler_->retry_budget_of(step.pool).try_take()) {
      abort_request(active, reason::retries_exhausted, now);
      return;
    }
  }
  if (!backends_->has_backends(step.pool)) {
    abort_request(active, reason::no_backend, now);
    return;
  }
  ++counters_.retries;
  record_(base::event_kind::stage_retried, active.request.id, step.name,
          std::string(name_of(status)));
  enqueue(active);
}

void executor::on_token(const call_token& token, base::time_point now) {
  auto* active = find_by_call(token.call);
  if (active == nullptr || token.offset != active->tokens_received) {
    return;
  }
  ++active->tokens_received;
  active->call->last_progress_at = now;
  active->generated += token.text;
  if (!active->request.stream) {
    return;
  }
  if (const auto* local = std::get_if<local_caller>(&active->request.caller)) {
    commands_.emplace_back(send_token{local->id, token.offset, token.text});
  }
}

void executor::cancel_current_stage(active_request& active, base::time_point now) {
  if (!active.call) {
    scheduler_->remove(*active.request.plan, active.stage, active.request.id,
                       active.request.deadline);
    return;
  }
  abandon_call(active, now);
  record_(base::event_kind::stage_cancelled, active.request.id, active.current_stage().name, "");
}

void executor::abandon_call(active_request& active, base::time_point now) {
  active.costs[active.stage].wasted_time += now - active.call->started_at;
  backends_->call_ended(active.call->backend, std::nullopt, now);
  calls_.erase(active.call->id);
  commands_.emplace_back(cancel_call{active.call->id});
  ++counters_.cancelled_calls;
  active.call.reset();
}

bool executor::is_stalled(const active_request& active, base::time_point now) const {
  if (!active.call || !active.current_stage().repeatable) {
    return false;
  }
  const auto timeout = scheduler_->stall_timeout(*active.request.plan, active.stage);
  return timeout && now - active.call->last_progress_at > *timeout;
}

void executor::retry_stalled_calls(base::time_point now) {
  std::vector<base::request_id> stalled;
  for (const auto& [id, active] : active_) {
    if (is_stalled(active, now)) {
      stalled.push_back(id);
    }
  }
  // Sorted because `active_` is unordered and simulation runs must be reproducible.
  std::sort(stalled.begin(), stalled.end());
  for (const auto& id : stalled) {
    auto& active = active_.at(id);
    const auto backend = active.call->backend;
    abandon_call(active, now);
    call_result stalled_result;
    stalled_result.status = call_status::broken;
    handle_failure(active, stalled_result, backend, now);
  }
}

void executor::abort_request(active_request& active, reason failure_reason, base::time_point now) {
  const auto outcome =
      switches_.truthful_outcome ? active.tracker.failure_outcome() : model::outcome::not_run;
  cancel_current_stage(active, now);
  finish(active, outcome, failure_reason, now);
}

void executor::finish(active_request& active, model::outcome outcome, reason failure_reason,
                      base::time_point now) {
  answer content;
  content.outcome = outcome;
  content.failure_reason = failure_reason;
  content.request = active.request.id;
  content.costs = active.costs;
  if (outcome == model::outcome::completed) {
    content.outputs = std::move(active.outputs);
  } else if (outcome != model::outcome::unknown) {
    const auto refusal =
        scheduler_->check_admission(*active.request.plan, now + active.request.plan->deadline, now);
    content.retry_after = refusal ? refusal->retry_after : base::duration::zero();
  }
  scheduler_->remove_admitted(*active.request.plan, active.stage);
  count(active, content);
  record_(base::event_kind::request_answered, content.request, std::string(model::name_of(outcome)),
          std::string(name_of(failure_reason)));
  report_completion_(content);
  for (const auto& caller : active.callers) {
    if (const auto* local = std::get_if<local_caller>(&caller)) {
      local_callers_.erase(local->id);
    }
    commands_.emplace_back(send_answer{caller, content});
  }
  deadlines_.erase({active.request.deadline, active.request.id});
  active_.erase(content.request);
}

void executor::count(const active_request& active, const answer& content) {
  const auto& plan = *active.request.plan;
  auto& totals = counters_.pipelines[{plan.tenant, plan.template_name}];
  ++totals.outcomes[static_cast<std::size_t>(content.outcome)];
  for (const auto& cost : content.costs) {
    auto& total = totals.stages[cost.stage];
    total.backend_time += cost.backend_time;
    total.wasted_time += cost.wasted_time;
    if (content.outcome != model::outcome::completed) {
      total.wasted_time += cost.backend_time;
    }
    total.tokens += cost.tokens;
    total.attempts += cost.attempts;
  }
  if (content.failure_reason != reason::none) {
    ++counters_.refusals[content.failure_reason];
  }
}

void executor::count_refusal(const pipeline_key& key, const answer& refusal) {
  if (!key.tenant.empty()) {
    ++counters_.pipelines[key].outcomes[static_cast<std::size_t>(refusal.outcome)];
  }
  ++counters_.refusals[refusal.failure_reason];
}

void executor::on_caller_gone(base::caller_id caller, base::time_point now) {
  const auto found = local_callers_.find(caller);
  if (found == local_callers_.end()) {
    return;
  }
  const auto request = active_.find(found->second);
  local_callers_.erase(found);
  if (request == active_.end()) {
    return;
  }
  auto& active = request->second;
  std::erase(active.callers, caller_ref(local_caller{caller}));
  const bool has_non_repeatable_call_in_flight = active.call && !active.current_stage().repeatable;
  if (active.callers.empty() && !has_non_repeatable_call_in_flight) {
    abort_request(active, reason::caller_gone, now);
  }
}

void executor::expire(base::time_point now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const auto found = active_.find(deadlines_.begin()->second);
    abort_request(found->second, reason::deadline_passed, now);
  }
}

std::optional<base::time_point> executor::next_deadline() const {
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return deadlines_.begin()->first;
}

command_list executor::take_commands() {
  return std::exchange(commands_, {});
}

} // namespace spurrack::execution
