/// Results of pieces at the replicas that produced them: the memory that they use, when they are
/// freed, and how long they are kept for the replicas that fetch them.
#include "stage_work/stage_pool.h"

#include "stage_work/stage_pool_limits.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Time after a replica had no memory left for a result. Until it has passed, the memory that the
/// pool had counted as free at the replica is assumed to be used by results unknown to the pool.
constexpr base::duration unaccounted_memory_lifetime = std::chrono::milliseconds(700);
/// Maximum of the fetch time: the time after the start of a call at which the inputs of the call
/// are assumed to be fetched. The fetch time doubles each time inputs were freed too early. Keeping
/// results for longer than the time of one or two calls does more harm than good, because producers
/// are short of memory.
constexpr base::duration max_fetch_time = std::chrono::milliseconds(640);
/// Each call whose inputs were not freed too early moves the fetch time towards its configured
/// value by the difference of the two divided by this number.
constexpr int fetch_time_recovery_calls = 10;
/// If at least this fraction of the latest calls to a producer failed, the producer may have lost
/// its results.
constexpr double suspect_failure_share = 0.1;

} // namespace

void stage_pool::record_result(const open_call& call, std::size_t index,
                               const piece_outcome& outcome, base::time_point now) {
  const auto* capacity = capacity_of(call.service);
  if (outcome.handle.empty() || capacity == nullptr) {
    return;
  }
  const auto& replica = call.command.target.replica;
  const auto bytes = call.result_bytes[index];
  result_bytes_by_replica_[replica] += bytes;
  results_[outcome.handle] = {call.producer(), bytes, call.started_at};
  result_expiries_.set(outcome.handle, now + capacity->result_lifetime);
}

void stage_pool::forget_result(const std::string& handle) {
  const auto found = results_.find(handle);
  if (found != results_.end()) {
    result_bytes_by_replica_[found->second.producer.replica] -= found->second.bytes;
    results_.erase(found);
    result_expiries_.clear(handle);
    next_check_at_ = {};
  }
}

void stage_pool::forget_expired_results(base::time_point now) {
  for (const auto& handle : result_expiries_.take_due(now)) {
    forget_result(handle);
  }
}

void stage_pool::release_own(const std::string& handle) {
  const auto found = results_.find(handle);
  if (found != results_.end()) {
    release({handle, result_producer(found->second.producer)});
  }
}

void stage_pool::release(const stage_result& result) {
  forget_result(result.handle);
  const auto* replica = holder_of(*replicas_, result.producer);
  // Nothing is sent to an evacuated zone or to a draining replica; the results there expire.
  if (replica == nullptr || replicas_->is_evacuated(replica->record->zone) ||
      replicas_->has_announced_drain(*replica)) {
    return;
  }
  // The request to free the result waits until `dispatch_waiting` finds that the replica may be
  // called.
  if (replicas_->limit_of(*replica) || replica->backoff.was_requested()) {
    deferred_frees_[replica->record->id].push_back(result);
    return;
  }
  for (auto& command : commands_) {
    auto* pending = std::get_if<free_results>(&command);
    if (pending != nullptr && pending->producer.replica == result.producer.replica) {
      pending->handles.push_back(result.handle);
      return;
    }
  }
  commands_.emplace_back(
      free_results{{result.producer.replica, result.producer.address}, {result.handle}});
}

bool stage_pool::is_short_of_memory(const replica_state& replica, base::time_point now) const {
  const auto* capacity = capacity_of(replica.record->service);
  return capacity != nullptr && available_result_bytes(replica.record->id, *capacity, now) <
                                    capacity->result_capacity_bytes * low_memory_share;
}

void stage_pool::free_deferred_results(bool only_short_of_memory, base::time_point now) {
  for (auto entry = deferred_frees_.begin(); entry != deferred_frees_.end();) {
    auto& results = entry->second;
    std::erase_if(results, [this](const stage_result& result) {
      return holder_of(*replicas_, result.producer) == nullptr;
    });
    const auto* replica = results.empty() ? nullptr : replicas_->find(entry->first);
    if (replica != nullptr && replicas_->has_announced_drain(*replica)) {
      entry = deferred_frees_.erase(entry);
      continue;
    }
    if (only_short_of_memory && replica != nullptr && !is_short_of_memory(*replica, now)) {
      ++entry;
      continue;
    }
    const bool can_send = replica != nullptr && replicas_->may_send_to(*replica, now);
    if (replica != nullptr && !can_send) {
      replicas_->note_calls_waiting_for_permit(entry->first, 1, now);
      ++entry;
      continue;
    }
    if (can_send) {
      if (replicas_->limit_of(*replica)) {
        // The request to free counts against the limit like a call, but its answer is not awaited.
        replicas_->call_started(entry->first, now);
        replicas_->call_ended(entry->first);
      }
      commands_.emplace_back(
          free_results{{entry->first, replica->record->address}, handles_of(results)});
    }
    entry = deferred_frees_.erase(entry);
  }
}

double stage_pool::available_result_bytes(const base::replica_id& replica,
                                          const model::piece_capacity& capacity,
                                          base::time_point now) const {
  double used_bytes = 0;
  if (const auto known = result_bytes_by_replica_.find(replica);
      known != result_bytes_by_replica_.end()) {
    used_bytes += known->second;
  }
  if (const auto unaccounted = unaccounted_memory_.find(replica);
      unaccounted != unaccounted_memory_.end() && now < unaccounted->second.expires_at) {
    used_bytes += unaccounted->second.bytes;
  }
  return capacity.result_capacity_bytes * usable_memory_share - used_bytes;
}

void stage_pool::note_memory_exhausted(const open_call& call, base::time_point now) {
  const auto* capacity = capacity_of(call.service);
  if (capacity == nullptr) {
    return;
  }
  const auto& replica = call.command.target.replica;
  const auto unaccounted =
      capacity->result_capacity_bytes * usable_memory_share - result_bytes_by_replica_[replica];
  unaccounted_memory_[replica] = {std::max(0.0, unaccounted), now + unaccounted_memory_lifetime};
}

void stage_pool::note_fetched_inputs(base::time_point now) {
  for (const auto call : expected_fetches_.take_due(now)) {
    auto& open = calls_.at(call);
    open.has_reported_fetch = true;
    std::copy_if(open.tickets.begin(), open.tickets.end(), std::back_inserter(fetched_),
                 [this](piece_ticket ticket) { return pieces_.contains(ticket); });
  }
  if (const auto next = expected_fetches_.next()) {
    next_check_at_ = std::min(next_check_at_, *next);
  }
}

bool stage_pool::has_restarted_recently(const replica_state& producer, base::time_point now) const {
  const auto* capacity = capacity_of(producer.record->service);
  return capacity != nullptr && producer.restart_seen_at &&
         now - *producer.restart_seen_at < capacity->result_lifetime;
}

bool stage_pool::was_freed_too_early(piece_ticket ticket, const piece_outcome& outcome,
                                     base::time_point now) const {
  const auto found = pieces_.find(ticket);
  if (outcome.fault != piece_fault::input_gone || found == pieces_.end()) {
    return false;
  }
  // Results that a producer lost when it exited were not freed too early.
  const auto& inputs = found->second.work.inputs;
  return std::all_of(inputs.begin(), inputs.end(), [&](const stage_result& input) {
    const auto* producer = holder_of(*replicas_, input.producer);
    return producer != nullptr && !producer->is_replaced &&
           producer->failure_share < suspect_failure_share &&
           !has_restarted_recently(*producer, now);
  });
}

void stage_pool::update_fetch_time(const open_call& call, const stage_call_ended& answer,
                                   base::time_point now) {
  if (!call.has_reported_fetch || answer.pieces.empty()) {
    return;
  }
  bool freed_too_early = false;
  for (std::size_t index = 0; index < call.tickets.size() && index < answer.pieces.size();
       ++index) {
    freed_too_early =
        freed_too_early || was_freed_too_early(call.tickets[index], answer.pieces[index], now);
  }
  if (freed_too_early) {
    fetch_time_ = std::min(fetch_time_ * 2, max_fetch_time);
  } else {
    fetch_time_ -= (fetch_time_ - settings_.input_fetch_time) / fetch_time_recovery_calls;
  }
}

} // namespace spurrack::serving
