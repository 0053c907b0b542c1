#include "stage_work/stage_pool.h"

#include "stage_work/stage_pool_limits.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace spurrack::serving {
namespace {

/// Maximum number of attempts at a piece: after this number of failed or lost calls, the piece
/// finishes with its last fault.
constexpr std::uint32_t max_calls_per_piece = 4;
/// The timeout of a call is its expected duration times this factor, plus `call_timeout_margin`.
constexpr double call_timeout_factor = 4.0;
/// Maximum interval at which the pool checks whether replicas can be called, while pieces or
/// requests to free results wait for a replica.
constexpr base::duration queue_check_interval = std::chrono::milliseconds(25);
/// Fixed part of the timeout of a call.
constexpr base::duration call_timeout_margin = std::chrono::milliseconds(400);

} // namespace

stage_pool::stage_pool(replica_table& replicas, const serving_settings& settings,
                       std::function<base::call_id()> next_call, decision_recorder record)
    : replicas_(&replicas), settings_(settings), next_call_(std::move(next_call)),
      record_(std::move(record)), fetch_time_(settings.input_fetch_time) {}

void stage_pool::set_configuration(
    std::shared_ptr<const model::serving_configuration> configuration) {
  configuration_ = std::move(configuration);
  next_check_at_ = {};
}

const model::piece_capacity* stage_pool::capacity_of(const std::string& name) const {
  const auto* found = configuration_ ? configuration_->find_service(name) : nullptr;
  return found == nullptr || !found->pieces ? nullptr : &*found->pieces;
}

piece_ticket stage_pool::submit(piece_work work, base::time_point now) {
  const auto ticket = next_ticket_++;
  const auto& queue = queues_[work.service];
  const auto* capacity = capacity_of(work.service);
  pieces_[ticket] = {std::move(work), now};
  enqueue(ticket);
  const bool is_full_batch = capacity == nullptr || queue.size() >= capacity->max_pieces_per_call;
  next_check_at_ =
      is_full_batch ? base::time_point{} : std::min(next_check_at_, now + settings_.batch_wait);
  return ticket;
}

void stage_pool::enqueue(piece_ticket ticket) {
  const auto& work = pieces_.at(ticket).work;
  queues_[work.service].insert({work.due, ticket});
  waiting_deadlines_.set(ticket, work.deadline);
}

void stage_pool::dequeue(service_queue& queue, const queue_position& position) {
  queue.erase(position);
  waiting_deadlines_.clear(position.ticket);
}

void stage_pool::remove_waiting(piece_ticket ticket) {
  const auto& work = pieces_.at(ticket).work;
  auto& queue = queues_[work.service];
  dequeue(queue, {work.due, ticket});
  if (queue.empty()) {
    drain_rates_[work.service].note_emptied();
  }
}

void stage_pool::cancel(piece_ticket ticket) {
  const auto found = pieces_.find(ticket);
  if (found == pieces_.end()) {
    return;
  }
  remove_waiting(ticket);
  pieces_.erase(found);
}

std::size_t stage_pool::calls_under_way(const std::string& service) const {
  const auto found = call_counts_by_service_.find(service);
  return found == call_counts_by_service_.end() ? 0 : found->second;
}

std::size_t stage_pool::waiting_count(const std::string& service) const {
  const auto found = queues_.find(service);
  return found == queues_.end() ? 0 : found->second.size();
}

std::size_t stage_pool::waiting_in_time_count(const std::string& service,
                                              base::time_point now) const {
  const auto found = queues_.find(service);
  if (found == queues_.end()) {
    return 0;
  }
  const auto& queue = found->second;
  const auto first_in_time = queue.upper_bound({now, std::numeric_limits<piece_ticket>::max()});
  return static_cast<std::size_t>(std::distance(first_in_time, queue.end()));
}

std::optional<double> stage_pool::drain_rate_of(const std::string& service,
                                                base::time_point now) const {
  const auto found = drain_rates_.find(service);
  return found == drain_rates_.end() ? std::nullopt : found->second.per_second(now);
}

void stage_pool::finish(piece_ticket ticket, piece_outcome outcome, result_producer producer) {
  pieces_.erase(ticket);
  finished_.push_back({ticket, std::move(outcome), std::move(producer)});
}

void stage_pool::requeue(piece_ticket ticket, piece_fault fault) {
  const auto found = pieces_.find(ticket);
  if (found == pieces_.end()) {
    return;
  }
  const bool is_final_attempt = fault == piece_fault::lost && found->second.work.single_attempt;
  if (is_final_attempt || found->second.attempts >= max_calls_per_piece) {
    finish(ticket, {fault, {}});
    return;
  }
  enqueue(ticket);
}

void stage_pool::apply_outcome(piece_ticket ticket, const piece_outcome& outcome,
                               const result_producer& producer) {
  if (!pieces_.contains(ticket)) {
    if (!outcome.handle.empty()) {
      release({outcome.handle, producer});
    }
    return;
  }
  switch (outcome.fault) {
  case piece_fault::out_of_memory:
    --pieces_.at(ticket).attempts;
    requeue(ticket, outcome.fault);
    break;
  case piece_fault::error:
  case piece_fault::lost:
    requeue(ticket, outcome.fault);
    break;
  default:
    finish(ticket, outcome, producer);
    break;
  }
}

void stage_pool::note_lost_pieces(const open_call& call, base::time_point now) {
  for (const auto ticket : call.tickets) {
    const auto found = pieces_.find(ticket);
    if (found != pieces_.end()) {
      auto& piece = found->second;
      ++piece.lost_calls;
      piece.backoff_ends_at =
          piece.lost_calls >= lost_calls_before_isolation ? now + lost_piece_backoff : now;
    }
  }
  report_lost_pieces(call, now);
}

void stage_pool::apply_answer(const open_call& call, const stage_call_ended& answer,
                              base::time_point now) {
  const auto& replica = call.command.target.replica;
  switch (answer.outcome) {
  case stage_call_ended::result::answered:
    replicas_->note_success(replica, now);
    note_call_time(call, now);
    for (std::size_t index = 0; index < call.tickets.size(); ++index) {
      if (answer.pieces[index].fault == piece_fault::out_of_memory) {
        note_memory_exhausted(call, now);
      }
      record_result(call, index, answer.pieces[index], now);
      apply_outcome(call.tickets[index], answer.pieces[index], call.producer());
    }
    return;
  case stage_call_ended::result::refused:
    replicas_->note_activity(replica, now);
    note_occupied(call, now);
    break;
  case stage_call_ended::result::misdirected:
    replicas_->note_replaced(replica);
    break;
  case stage_call_ended::result::not_sent:
    replicas_->note_unreachable(replica, now);
    break;
  case stage_call_ended::result::failed:
    if (answer.has_timed_out) {
      give_up_pieces(call, now);
      replicas_->note_stalled(replica, call.started_at, now);
      return;
    }
    note_lost_pieces(call, now);
    replicas_->note_failure(replica, now);
    replicas_->note_full(replica, now);
    break;
  }
  const bool was_not_run = answer.outcome != stage_call_ended::result::failed;
  for (const auto ticket : call.tickets) {
    const auto found = pieces_.find(ticket);
    if (found != pieces_.end() && was_not_run && found->second.attempts > 0) {
      --found->second.attempts;
    }
    requeue(ticket, was_not_run ? piece_fault::not_run : piece_fault::lost);
  }
}

void stage_pool::note_occupied(const open_call& call, base::time_point now) {
  const auto& replica = call.command.target.replica;
  if (const auto* capacity = capacity_of(call.service)) {
    replicas_->note_occupied(replica, nominal_call_time(*capacity, call.tickets.size()), now);
  } else {
    replicas_->note_full(replica, now);
  }
}

void stage_pool::note_call_time(const open_call& call, base::time_point now) {
  const auto* capacity = capacity_of(call.service);
  if (capacity != nullptr) {
    replicas_->note_call_time(call.command.target.replica, now - call.started_at,
                              nominal_call_time(*capacity, call.tickets.size()), now);
  }
}

void stage_pool::release_call(const open_call& call) {
  const auto& replica = call.command.target.replica;
  replicas_->call_ended(replica);
  --call_counts_by_replica_[replica];
  --call_counts_by_service_[call.service];
  call_timeouts_.clear(call.command.call);
  expected_fetches_.clear(call.command.call);
  for (const auto bytes : call.result_bytes) {
    result_bytes_by_replica_[replica] -= bytes;
  }
}

void stage_pool::on_replica_restarted(const base::replica_id& replica, base::time_point now) {
  std::vector<base::call_id> interrupted;
  for (const auto& [call, open] : calls_) {
    if (open.command.target.replica == replica &&
        replicas_->was_sent_to_earlier_incarnation(replica, open.started_at)) {
      interrupted.push_back(call);
    }
  }
  std::sort(interrupted.begin(), interrupted.end());
  for (const auto call : interrupted) {
    cancel_call_of_earlier_incarnation(call, now);
  }
  std::vector<std::string> lost_results;
  for (const auto& [handle, result] : results_) {
    if (result.producer.replica == replica &&
        replicas_->was_sent_to_earlier_incarnation(replica, result.call_started_at)) {
      lost_results.push_back(handle);
    }
  }
  for (const auto& handle : lost_results) {
    forget_result(handle);
  }
  unaccounted_memory_.erase(replica);
  deferred_frees_.erase(replica);
  next_check_at_ = {};
}

void stage_pool::cancel_call_of_earlier_incarnation(base::call_id call, base::time_point now) {
  const auto found = calls_.find(call);
  const auto open = std::move(found->second);
  calls_.erase(found);
  commands_.emplace_back(cancel_call{call});
  release_call(open);
  note_lost_pieces(open, now);
  record_(base::event_kind::stage_retried, open.command.items.front().request,
          open.command.target.replica.text(),
          "call " + std::to_string(call) + ": its replica restarted after " +
              std::to_string(base::to_milliseconds(now - open.started_at)) + " ms");
  for (const auto ticket : open.tickets) {
    requeue(ticket, piece_fault::lost);
  }
}

bool stage_pool::on_call_ended(const stage_call_ended& ended, base::time_point now) {
  const auto found = calls_.find(ended.call);
  if (found == calls_.end()) {
    return false;
  }
  const auto open = std::move(found->second);
  calls_.erase(found);
  next_check_at_ = {};
  release_call(open);
  update_fetch_time(open, ended, now);
  record_call_end(open, ended, now);
  apply_answer(open, ended, now);
  return true;
}

void stage_pool::record_call_end(const open_call& call, const stage_call_ended& answer,
                                 base::time_point now) const {
  std::string faults;
  for (const auto& piece : answer.pieces) {
    if (piece.fault != piece_fault::none) {
      faults += " " + std::to_string(static_cast<int>(piece.fault));
    }
  }
  record_(base::event_kind::stage_completed, call.command.items.front().request,
          call.command.target.replica.text(),
          "call " + std::to_string(call.command.call) + " ended " +
              std::to_string(static_cast<int>(answer.outcome)) + " after " +
              std::to_string(base::to_milliseconds(now - call.started_at)) + " ms" +
              (faults.empty() ? "" : ", piece faults" + faults));
}

void stage_pool::drop_expired(base::time_point now) {
  for (const auto ticket : waiting_deadlines_.take_due(now)) {
    remove_waiting(ticket);
    finish(ticket, {piece_fault::expired, {}});
  }
}

bool stage_pool::is_batch_due(const service_queue& queue, const model::piece_capacity& capacity,
                              base::time_point now) const {
  if (queue.size() >= capacity.max_pieces_per_call) {
    return true;
  }
  return std::any_of(queue.begin(), queue.end(), [&](const queue_position& position) {
    return now - pieces_.at(position.ticket).submitted_at >= settings_.batch_wait;
  });
}

stage_pool::residency_list stage_pool::residencies_in(const service_queue& queue) const {
  residency_list residencies;
  for (const auto& position : queue) {
    const auto& residency = pieces_.at(position.ticket).work.permitted_regions;
    if (std::find(residencies.begin(), residencies.end(), residency) == residencies.end()) {
      residencies.push_back(residency);
    }
  }
  return residencies;
}

bool stage_pool::may_serve(const replica_state& replica, const model::residency& residency) const {
  return replicas_->permits(residency, replica) && (!filter_ || filter_(replica, residency));
}

bool stage_pool::may_serve_any(const replica_state& replica,
                               const residency_list& residencies) const {
  return std::any_of(
      residencies.begin(), residencies.end(),
      [&](const model::residency& residency) { return may_serve(replica, residency); });
}

std::vector<const replica_state*>
stage_pool::replicas_with_free_slot(const std::string& name, const model::piece_capacity& capacity,
                                    const residency_list& residencies, base::time_point now) const {
  auto found = replicas_->accepting_calls(name, now);
  std::erase_if(found, [&](const replica_state* state) {
    const auto calls = call_counts_by_replica_.find(state->record->id);
    const auto under_way = calls == call_counts_by_replica_.end() ? 0 : calls->second;
    const bool has_free_slot = under_way < capacity.slots && may_serve_any(*state, residencies);
    const bool can_send = has_free_slot && replicas_->may_send_to(*state, now);
    if (has_free_slot && !can_send) {
      replicas_->note_calls_waiting_for_permit(state->record->id, 1, now);
    }
    return !can_send;
  });
  std::stable_partition(found.begin(), found.end(), [&](const replica_state* state) {
    return replica_table::slowdown_of(*state, now) < slow_replica_slowdown;
  });
  return found;
}

std::vector<piece_ticket> stage_pool::waiting_tickets() const {
  std::vector<piece_ticket> tickets;
  for (const auto& [name, queue] : queues_) {
    const auto waiting = waiting_tickets(name);
    tickets.insert(tickets.end(), waiting.begin(), waiting.end());
  }
  return tickets;
}

std::vector<piece_ticket> stage_pool::waiting_tickets(const std::string& service) const {
  std::vector<piece_ticket> tickets;
  const auto found = queues_.find(service);
  if (found != queues_.end()) {
    for (const auto& position : found->second) {
      tickets.push_back(position.ticket);
    }
  }
  return tickets;
}

void stage_pool::start_call(const std::string& name, const std::vector<queue_position>& batch,
                            service_queue& queue, const replica_state& replica,
                            const model::piece_capacity& capacity, base::time_point now) {
  open_call open;
  open.service = name;
  open.started_at = now;
  open.incarnation_exit = exit_id_of(*replica.record);
  open.command.call = next_call_();
  open.command.target = {replica.record->id, replica.record->address};
  open.command.runs_at_most_once =
      std::any_of(batch.begin(), batch.end(), [&](const queue_position& position) {
        return pieces_.at(position.ticket).work.single_attempt;
      });
  for (const auto& position : batch) {
    dequeue(queue, position);
    auto& piece = pieces_.at(position.ticket);
    ++piece.attempts;
    const auto& work = piece.work;
    open.command.items.push_back({work.request, work.stage, work.piece, work.deadline - now,
                                  work.piece_key, handles_of(work.inputs)});
    open.tickets.push_back(position.ticket);
    open.result_bytes.push_back(work.result_bytes);
    if (!work.inputs.empty() && settings_.input_fetch_time > base::duration::zero()) {
      const base::time_point fetched_at = now + fetch_time_;
      expected_fetches_.set(open.command.call, fetched_at);
      next_check_at_ = std::min(next_check_at_, fetched_at);
    }
    result_bytes_by_replica_[replica.record->id] += work.result_bytes;
  }
  drain_rates_[name].note_dispatched(batch.size(), queue.size(), now);
  record_(
      base::event_kind::stage_dispatched, open.command.items.front().request,
      replica.record->id.text(),
      "call " + std::to_string(open.command.call) + " of " + name + ", " +
          std::to_string(batch.size()) + " pieces, " + std::to_string(queue.size()) +
          " waiting, bytes of results at the replica: " +
          std::to_string(static_cast<std::int64_t>(result_bytes_by_replica_[replica.record->id])));
  const auto expected_duration = base::scaled(nominal_call_time(capacity, open.tickets.size()),
                                              replica_table::slowdown_of(replica, now));
  call_timeouts_.set(open.command.call, now + base::scaled(expected_duration, call_timeout_factor) +
                                            call_timeout_margin);
  commands_.emplace_back(open.command);
  replicas_->call_started(replica.record->id, now);
  ++call_counts_by_replica_[replica.record->id];
  ++call_counts_by_service_[name];
  calls_.emplace(open.command.call, std::move(open));
}

void stage_pool::dispatch_service(const std::string& name, service_queue& queue,
                                  base::time_point now) {
  const auto* capacity = capacity_of(name);
  if (capacity == nullptr) {
    while (!queue.empty()) {
      const auto ticket = queue.begin()->ticket;
      dequeue(queue, {queue.begin()->due, ticket});
      finish(ticket, {piece_fault::not_configured, {}});
    }
    return;
  }
  if (queue.empty()) {
    return;
  }
  if (!is_batch_due(queue, *capacity, now)) {
    next_check_at_ = std::min(next_check_at_, now + settings_.batch_wait);
    return;
  }
  const auto residencies = residencies_in(queue);
  const auto free_replicas = replicas_with_free_slot(name, *capacity, residencies, now);
  if (free_replicas.empty()) {
    return;
  }
  const auto estimates = estimate_zone_waits(name, *capacity, residencies, now);
  auto groups = group_pieces(queue, now);
  for (const auto* replica : free_replicas) {
    const auto batch = take_batch(groups, *replica, estimates, *capacity, now);
    if (!batch.empty()) {
      start_call(name, batch, queue, *replica, *capacity, now);
    }
  }
}

void stage_pool::dispatch_waiting(base::time_point now) {
  if (now < next_check_at_) {
    return;
  }
  next_check_at_ = now + queue_check_interval;
  forget_expired_results(now);
  check_overdue_calls(now);
  note_fetched_inputs(now);
  drop_expired(now);
  // A request to free results counts like a call against the limit on calls of its replica. A
  // replica that is short of memory is sent its requests to free results before calls; every other
  // replica is sent them after calls.
  free_deferred_results(true, now);
  for (auto& [name, queue] : queues_) {
    dispatch_service(name, queue, now);
  }
  free_deferred_results(false, now);
}

std::optional<base::time_point> stage_pool::next_wakeup(base::time_point now) const {
  std::optional<base::time_point> earliest;
  const auto consider = [&](const std::optional<base::time_point>& when) {
    if (when) {
      earliest = earliest ? std::min(*earliest, *when) : *when;
    }
  };
  consider(call_timeouts_.next());
  consider(expected_fetches_.next());
  const bool has_waiting_pieces = std::any_of(
      queues_.begin(), queues_.end(), [](const auto& entry) { return !entry.second.empty(); });
  if (has_waiting_pieces || !deferred_frees_.empty()) {
    consider(std::max<base::time_point>(now, next_check_at_));
  }
  return earliest;
}

} // namespace spurrack::serving
