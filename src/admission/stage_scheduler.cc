#include "admission/stage_scheduler.h"

#include <algorithm>
#include <utility>

namespace spurrack::admission {
namespace {

/// The expected service time of a stage is this quantile of its recorded service times.
constexpr double predicted_quantile = 0.9;
/// A call counts as stalled if it makes no progress for longer than almost all calls of its stage
/// take in total: `stall_factor` times the `stall_quantile` of the recorded service times, but at
/// least `min_stall_timeout`.
constexpr double stall_quantile = 0.99;
constexpr double stall_factor = 1.6;
constexpr std::uint64_t min_stall_samples = 50;
constexpr base::duration min_stall_timeout = std::chrono::milliseconds(100);
constexpr base::duration min_retry_after = std::chrono::milliseconds(50);
constexpr base::duration no_backend_retry_after = std::chrono::seconds(1);

/// Returns the weight of a request in the fair queue: the tenant's weight, raised or lowered
/// according to the priority. `neutral_priority` leaves the weight unchanged.
double queue_weight(const model::pipeline_plan& plan) {
  constexpr double neutral_priority = 5.0;
  return plan.weight * (1.0 + plan.priority) / (1.0 + neutral_priority);
}

} // namespace

stage_scheduler::stage_scheduler(scheduling_settings settings, routing::backend_table& backends,
                                 base::random_source& random)
    : settings_(settings), backends_(&backends), random_(&random) {}

stage_scheduler::pool_state& stage_scheduler::pool(const base::pool_id& name) {
  auto& state = pools_[name];
  if (!state.policy) {
    state.policy = routing::make_policy(settings_.policy, *random_);
  }
  return state;
}

queue_entry stage_scheduler::make_entry(const model::pipeline_plan& plan,
                                        const base::request_id& request,
                                        base::time_point deadline) {
  return {request, plan.tenant, queue_weight(plan), deadline};
}

double stage_scheduler::admitted_stages_ahead(const pool_state& state,
                                              const model::pipeline_plan& plan) const {
  const auto own = state.admitted_stages.find(plan.tenant);
  const double own_count = own == state.admitted_stages.end() ? 0.0 : own->second;
  double ahead = own_count;
  for (const auto& [tenant, count] : state.admitted_stages) {
    if (tenant != plan.tenant) {
      // Fair queueing serves each other tenant of equal weight at most as often as the tenant of
      // the plan. This estimate assumes equal weights; the queue itself applies the real weights.
      ahead += std::min<double>(count, own_count + 1);
    }
  }
  return ahead;
}

base::duration stage_scheduler::expected_wait(const base::pool_id& name,
                                              const model::pipeline_plan& plan,
                                              base::time_point now) const {
  const auto found = pools_.find(name);
  if (found == pools_.end()) {
    return base::duration::zero();
  }
  const double slots = std::max<std::uint32_t>(1, backends_->slots(name, now));
  const double waiting = admitted_stages_ahead(found->second, plan) + 1 - slots;
  if (waiting <= 0) {
    return base::duration::zero();
  }
  return base::from_seconds(waiting / slots * base::to_seconds(found->second.service_time.mean()));
}

std::optional<refusal> stage_scheduler::check_admission(const model::pipeline_plan& plan,
                                                        base::time_point deadline,
                                                        base::time_point now) const {
  base::duration wait{};
  for (const auto& step : plan.stages) {
    if (!backends_->has_backends(step.pool)) {
      return refusal{true, no_backend_retry_after};
    }
    wait = std::max(wait, expected_wait(step.pool, plan, now));
  }
  if (!settings_.refuse_expected_late) {
    return std::nullopt;
  }
  // The waits for the pools of the stages overlap in time, so only the longest of the waits is
  // added to the service time.
  const auto finish = now + wait + expected_service_time(plan, 0);
  if (finish <= deadline) {
    return std::nullopt;
  }
  return refusal{false, std::max(min_retry_after, finish - deadline)};
}

void stage_scheduler::add_admitted(const model::pipeline_plan& plan) {
  for (const auto& step : plan.stages) {
    ++pool(step.pool).admitted_stages[plan.tenant];
  }
}

void stage_scheduler::decrement_admitted_stages(pool_state& state, const base::tenant_id& tenant) {
  const auto found = state.admitted_stages.find(tenant);
  if (found != state.admitted_stages.end() && --found->second == 0) {
    state.admitted_stages.erase(found);
  }
}

void stage_scheduler::remove_admitted(const model::pipeline_plan& plan, std::size_t from_stage) {
  for (std::size_t stage = from_stage; stage < plan.stages.size(); ++stage) {
    decrement_admitted_stages(pool(plan.stages[stage].pool), plan.tenant);
  }
}

void stage_scheduler::note_stage_completed(const model::pipeline_plan& plan, std::size_t stage) {
  decrement_admitted_stages(pool(plan.stages[stage].pool), plan.tenant);
}

void stage_scheduler::enqueue(const model::pipeline_plan& plan, std::size_t stage,
                              const base::request_id& request, base::time_point deadline,
                              std::uint64_t affinity) {
  auto& state = pool(plan.stages[stage].pool);
  state.queue.push(make_entry(plan, request, deadline));
  state.affinities[request] = affinity;
}

void stage_scheduler::remove(const model::pipeline_plan& plan, std::size_t stage,
                             const base::request_id& request, base::time_point deadline) {
  auto& state = pool(plan.stages[stage].pool);
  state.queue.remove(make_entry(plan, request, deadline));
  state.affinities.erase(request);
}

std::optional<dispatch_choice> stage_scheduler::take_next(base::time_point now) {
  const bool ignore_limits = !routing::enforces_limits(settings_.policy);
  for (auto& [name, state] : pools_) {
    if (state.queue.empty()) {
      continue;
    }
    const auto candidates = backends_->candidates(name, now, ignore_limits);
    if (candidates.empty()) {
      continue;
    }
    const auto entry = state.queue.pop();
    const auto affinity = state.affinities.extract(entry->request);
    const routing::call_hint hint{affinity.empty() ? 0 : affinity.mapped()};
    return dispatch_choice{entry->request, state.policy->choose(candidates, hint).target->id};
  }
  return std::nullopt;
}

std::optional<base::time_point> stage_scheduler::next_wakeup(base::time_point now) const {
  std::optional<base::time_point> earliest;
  for (const auto& [name, state] : pools_) {
    if (state.queue.empty()) {
      continue;
    }
    const auto available = backends_->next_usable_at(name, now);
    if (available && (!earliest || *available < *earliest)) {
      earliest = available;
    }
  }
  return earliest;
}

stage_scheduler::stage_key stage_scheduler::key_of(const model::pipeline_plan& plan,
                                                   std::size_t stage) {
  const auto& step = plan.stages[stage];
  return {plan.template_name, step.name, step.model};
}

void stage_scheduler::add_service_time(const model::pipeline_plan& plan, std::size_t stage,
                                       base::duration service_time) {
  const auto& step = plan.stages[stage];
  pool(step.pool).service_time.add(service_time);
  stage_times_[key_of(plan, stage)].add(service_time);
}

base::duration stage_scheduler::expected_service_time(const model::pipeline_plan& plan,
                                                      std::size_t from_stage) const {
  base::duration total{};
  for (std::size_t stage = from_stage; stage < plan.stages.size(); ++stage) {
    const auto found = stage_times_.find(key_of(plan, stage));
    if (found != stage_times_.end()) {
      total += found->second.quantile(predicted_quantile);
    }
  }
  return total;
}

std::optional<base::duration> stage_scheduler::stall_timeout(const model::pipeline_plan& plan,
                                                             std::size_t stage) const {
  const auto found = stage_times_.find(key_of(plan, stage));
  if (found == stage_times_.end() || found->second.count() < min_stall_samples) {
    return std::nullopt;
  }
  const auto usual_seconds = base::to_seconds(found->second.quantile(stall_quantile));
  return std::max(min_stall_timeout, base::from_seconds(usual_seconds * stall_factor));
}

std::size_t stage_scheduler::waiting_requests() const {
  std::size_t total = 0;
  for (const auto& [name, state] : pools_) {
    total += state.queue.size();
  }
  return total;
}

} // namespace spurrack::admission
