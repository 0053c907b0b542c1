#include "stage_work/stage_pool.h"

#include "stage_work/stage_pool_limits.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace spurrack::serving {
namespace {

/// Calls that may carry one piece before it is given up.
constexpr std::uint32_t most_attempts = 4;
/// A call that takes this many times as long as it should is given up.
constexpr double stall_factor = 4.0;
/// While pieces wait, replicas are looked at again after this time.
constexpr base::duration waiting_check_period = std::chrono::milliseconds(25);
constexpr base::duration stall_margin = std::chrono::milliseconds(400);

} // namespace

stage_pool::stage_pool(replica_table& replicas, const serving_settings& settings,
                       std::function<base::call_id()> next_call, decision_recorder record)
    : replicas_(&replicas), settings_(settings), next_call_(std::move(next_call)),
      record_(std::move(record)), fetch_time_(settings.input_fetch_time) {}

void stage_pool::set_configuration(
    std::shared_ptr<const model::serving_configuration> configuration) {
  configuration_ = std::move(configuration);
  next_check_ = {};
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
  const bool full_batch = capacity == nullptr || queue.size() >= capacity->batch;
  next_check_ = full_batch ? base::time_point{} : std::min(next_check_, now + settings_.batch_wait);
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

void stage_pool::cancel(piece_ticket ticket) {
  const auto found = pieces_.find(ticket);
  if (found == pieces_.end()) {
    return;
  }
  const auto& work = found->second.work;
  dequeue(queues_[work.service], {work.due, ticket});
  pieces_.erase(found);
}

std::size_t stage_pool::calls_under_way(const std::string& service) const {
  const auto found = calls_of_.find(service);
  return found == calls_of_.end() ? 0 : found->second;
}

std::size_t stage_pool::waiting(const std::string& service) const {
  const auto found = queues_.find(service);
  return found == queues_.end() ? 0 : found->second.size();
}

std::size_t stage_pool::waiting_in_time(const std::string& service, base::time_point now) const {
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

void stage_pool::finish(piece_ticket ticket, piece_outcome outcome) {
  pieces_.erase(ticket);
  finished_.push_back({ticket, std::move(outcome)});
}

void stage_pool::requeue(piece_ticket ticket, piece_fault fault) {
  const auto found = pieces_.find(ticket);
  if (found == pieces_.end()) {
    return;
  }
  const bool is_given_up = fault == piece_fault::lost && found->second.work.single_attempt;
  if (is_given_up || found->second.attempts >= most_attempts) {
    finish(ticket, {fault, {}});
    return;
  }
  enqueue(ticket);
}

void stage_pool::settle(piece_ticket ticket, const piece_outcome& outcome) {
  if (!pieces_.contains(ticket)) {
    if (!outcome.handle.empty()) {
      release(outcome.handle);
    }
    return;
  }
  switch (outcome.fault) {
  case piece_fault::no_room:
    --pieces_.at(ticket).attempts;
    requeue(ticket, outcome.fault);
    break;
  case piece_fault::error:
  case piece_fault::lost:
    requeue(ticket, outcome.fault);
    break;
  default:
    finish(ticket, outcome);
    break;
  }
}

void stage_pool::note_lost(const open_call& ended, base::time_point now) {
  for (const auto ticket : ended.tickets) {
    const auto found = pieces_.find(ticket);
    if (found != pieces_.end()) {
      auto& piece = found->second;
      ++piece.lost_calls;
      piece.rests_until = piece.lost_calls >= lost_calls_before_alone ? now + lost_piece_rest : now;
      lost_.push_back({ticket, ended.call.target.replica, ended.incarnation_exit});
    }
  }
}

void stage_pool::take_answers(const open_call& ended, const stage_call_ended& answer,
                              base::time_point now) {
  const auto& replica = ended.call.target.replica;
  switch (answer.how) {
  case stage_call_ended::result::answered:
    replicas_->note_success(replica, now);
    note_pace(ended, now);
    for (std::size_t index = 0; index < ended.tickets.size(); ++index) {
      if (answer.pieces[index].fault == piece_fault::no_room) {
        note_no_room(ended, now);
      }
      hold_result(ended, index, answer.pieces[index], now);
      settle(ended.tickets[index], answer.pieces[index]);
    }
    return;
  case stage_call_ended::result::refused:
    replicas_->note_heard(replica, now);
    note_occupied(ended, now);
    break;
  case stage_call_ended::result::misdirected:
    replicas_->note_left(replica);
    break;
  case stage_call_ended::result::not_sent:
    replicas_->note_unreachable(replica, now);
    break;
  case stage_call_ended::result::failed:
    note_lost(ended, now);
    replicas_->note_failure(replica, now);
    replicas_->note_full(replica, now);
    break;
  }
  const bool not_done = answer.how != stage_call_ended::result::failed;
  for (const auto ticket : ended.tickets) {
    const auto found = pieces_.find(ticket);
    if (found != pieces_.end() && not_done && found->second.attempts > 0) {
      --found->second.attempts;
    }
    requeue(ticket, not_done ? piece_fault::not_run : piece_fault::lost);
  }
}

void stage_pool::note_occupied(const open_call& ended, base::time_point now) {
  const auto& replica = ended.call.target.replica;
  if (const auto* capacity = capacity_of(ended.service)) {
    replicas_->note_occupied(replica, usual_time(*capacity, ended.tickets.size()), now);
  } else {
    replicas_->note_full(replica, now);
  }
}

void stage_pool::note_pace(const open_call& ended, base::time_point now) {
  const auto* capacity = capacity_of(ended.service);
  if (capacity != nullptr) {
    replicas_->note_pace(ended.call.target.replica, now - ended.started,
                         usual_time(*capacity, ended.tickets.size()), now);
  }
}

void stage_pool::end_call_account(const open_call& open) {
  const auto& replica = open.call.target.replica;
  replicas_->call_ended(replica);
  --calls_at_[replica];
  --calls_of_[open.service];
  give_ups_.clear(open.call.call);
  input_fetches_.clear(open.call.call);
  for (const auto bytes : open.result_bytes) {
    room_taken_[replica] -= bytes;
  }
}

void stage_pool::on_replica_restarted(const base::replica_id& replica, base::time_point now) {
  std::vector<base::call_id> over;
  for (const auto& [call, open] : calls_) {
    if (open.call.target.replica == replica &&
        replicas_->is_at_earlier_life(replica, open.started)) {
      over.push_back(call);
    }
  }
  std::sort(over.begin(), over.end());
  for (const auto call : over) {
    end_at_earlier_life(call, now);
  }
  std::vector<std::string> gone;
  for (const auto& [handle, result] : results_) {
    if (result.replica == replica && replicas_->is_at_earlier_life(replica, result.begun_at)) {
      gone.push_back(handle);
    }
  }
  for (const auto& handle : gone) {
    forget_result(handle);
  }
  unknown_room_.erase(replica);
  unfreed_.erase(replica);
  next_check_ = {};
}

void stage_pool::end_at_earlier_life(base::call_id call, base::time_point now) {
  const auto found = calls_.find(call);
  const auto open = std::move(found->second);
  calls_.erase(found);
  commands_.emplace_back(cancel_call{call});
  end_call_account(open);
  note_lost(open, now);
  record_(base::event_kind::stage_retried, open.call.items.front().request,
          open.call.target.replica.text(),
          "call " + std::to_string(call) + ": its replica started again after " +
              std::to_string(base::to_milliseconds(now - open.started)) + " ms");
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
  next_check_ = {};
  end_call_account(open);
  learn_fetch_time(open, ended, now);
  record_ended(open, ended, now);
  take_answers(open, ended, now);
  return true;
}

void stage_pool::record_ended(const open_call& ended, const stage_call_ended& answer,
                              base::time_point now) const {
  std::string faults;
  for (const auto& piece : answer.pieces) {
    if (piece.fault != piece_fault::none) {
      faults += " " + std::to_string(static_cast<int>(piece.fault));
    }
  }
  record_(base::event_kind::stage_completed, ended.call.items.front().request,
          ended.call.target.replica.text(),
          "call " + std::to_string(ended.call.call) + " ended " +
              std::to_string(static_cast<int>(answer.how)) + " after " +
              std::to_string(base::to_milliseconds(now - ended.started)) + " ms" +
              (faults.empty() ? "" : ", piece faults" + faults));
}

void stage_pool::give_up_stalled(base::time_point now) {
  for (const auto call : give_ups_.take_due(now)) {
    commands_.emplace_back(cancel_call{call});
    const auto replica = calls_.at(call).call.target.replica;
    note_pace(calls_.at(call), now);
    on_call_ended({call, stage_call_ended::result::failed, {}}, now);
    replicas_->note_unreachable(replica, now);
  }
}

void stage_pool::drop_expired(base::time_point now) {
  for (const auto ticket : waiting_deadlines_.take_due(now)) {
    const auto& work = pieces_.at(ticket).work;
    queues_[work.service].erase({work.due, ticket});
    finish(ticket, {piece_fault::expired, {}});
  }
}

bool stage_pool::batch_is_due(const service_queue& queue, const model::piece_capacity& capacity,
                              base::time_point now) const {
  if (queue.size() >= capacity.batch) {
    return true;
  }
  return std::any_of(queue.begin(), queue.end(), [&](const queue_position& position) {
    return now - pieces_.at(position.ticket).submitted >= settings_.batch_wait;
  });
}

stage_pool::residency_list stage_pool::residencies_in(const service_queue& queue) const {
  residency_list sets;
  for (const auto& position : queue) {
    const auto& allowed = pieces_.at(position.ticket).work.permitted_regions;
    if (std::find(sets.begin(), sets.end(), allowed) == sets.end()) {
      sets.push_back(allowed);
    }
  }
  return sets;
}

bool stage_pool::may_take(const replica_state& replica, const model::residency& allowed) const {
  return replicas_->permits(allowed, replica) && (!filter_ || filter_(replica, allowed));
}

bool stage_pool::may_take_any(const replica_state& replica, const residency_list& sets) const {
  return std::any_of(sets.begin(), sets.end(),
                     [&](const model::residency& allowed) { return may_take(replica, allowed); });
}

std::vector<const replica_state*> stage_pool::free_replicas(const std::string& name,
                                                            const model::piece_capacity& capacity,
                                                            const residency_list& sets,
                                                            base::time_point now) const {
  auto found = replicas_->available(name, now);
  std::erase_if(found, [&](const replica_state* state) {
    const auto calls = calls_at_.find(state->record->id);
    const auto under_way = calls == calls_at_.end() ? 0 : calls->second;
    const bool is_free = under_way < capacity.slots && may_take_any(*state, sets);
    const bool may_be_sent = is_free && replicas_->may_be_sent(*state, now);
    if (is_free && !may_be_sent) {
      replicas_->note_waiting(state->record->id, 1, now);
    }
    return !may_be_sent;
  });
  std::stable_partition(found.begin(), found.end(), [&](const replica_state* state) {
    return replica_table::slowness_of(*state, now) < slow;
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

void stage_pool::start_batch(const std::string& name, const std::vector<queue_position>& batch,
                             service_queue& queue, const replica_state& replica,
                             const model::piece_capacity& capacity, base::time_point now) {
  open_call open;
  open.service = name;
  open.started = now;
  open.incarnation_exit = end_of_life(*replica.record);
  open.call.call = next_call_();
  open.call.target = {replica.record->id, replica.record->address};
  for (const auto& position : batch) {
    dequeue(queue, position);
    auto& piece = pieces_.at(position.ticket);
    ++piece.attempts;
    const auto& work = piece.work;
    open.call.items.push_back(
        {work.request, work.stage, work.piece, work.deadline - now, work.piece_key, work.inputs});
    open.tickets.push_back(position.ticket);
    open.result_bytes.push_back(work.result_bytes);
    if (!work.inputs.empty() && settings_.input_fetch_time > base::duration::zero()) {
      const base::time_point fetched_at = now + fetch_time_;
      input_fetches_.set(open.call.call, fetched_at);
      next_check_ = std::min(next_check_, fetched_at);
    }
    room_taken_[replica.record->id] += work.result_bytes;
  }
  drain_rates_[name].note_dispatched(batch.size(), queue.size(), now);
  record_(base::event_kind::stage_dispatched, open.call.items.front().request,
          replica.record->id.text(),
          "call " + std::to_string(open.call.call) + " of " + name + ", " +
              std::to_string(batch.size()) + " pieces, " + std::to_string(queue.size()) +
              " wait, room taken " +
              std::to_string(static_cast<std::int64_t>(room_taken_[replica.record->id])));
  const auto usual = base::scaled(usual_time(capacity, open.tickets.size()),
                                  replica_table::slowness_of(replica, now));
  give_ups_.set(open.call.call, now + base::scaled(usual, stall_factor) + stall_margin);
  commands_.emplace_back(open.call);
  replicas_->call_started(replica.record->id, now);
  ++calls_at_[replica.record->id];
  ++calls_of_[name];
  calls_.emplace(open.call.call, std::move(open));
}

void stage_pool::pump_service(const std::string& name, service_queue& queue, base::time_point now) {
  const auto* capacity = capacity_of(name);
  if (capacity == nullptr) {
    while (!queue.empty()) {
      const auto ticket = queue.begin()->ticket;
      dequeue(queue, {queue.begin()->due, ticket});
      finish(ticket, {piece_fault::not_run, {}});
    }
    return;
  }
  if (queue.empty()) {
    return;
  }
  if (!batch_is_due(queue, *capacity, now)) {
    next_check_ = std::min(next_check_, now + settings_.batch_wait);
    return;
  }
  const auto sets = residencies_in(queue);
  const auto free = free_replicas(name, *capacity, sets, now);
  if (free.empty()) {
    return;
  }
  const auto outlooks = outlooks_of(name, *capacity, sets, now);
  auto groups = groups_in(queue, now);
  for (const auto* replica : free) {
    const auto batch = take_batch(groups, *replica, outlooks, *capacity, now);
    if (!batch.empty()) {
      start_batch(name, batch, queue, *replica, *capacity, now);
    }
  }
}

void stage_pool::dispatch_waiting(base::time_point now) {
  if (now < next_check_) {
    return;
  }
  next_check_ = now + waiting_check_period;
  forget_expired_results(now);
  give_up_stalled(now);
  note_fetched_inputs(now);
  drop_expired(now);
  // Freeing counts against a limit as pieces do: it goes before them only where they find no room.
  free_where_permitted(true, now);
  for (auto& [name, queue] : queues_) {
    pump_service(name, queue, now);
  }
  free_where_permitted(false, now);
}

std::optional<base::time_point> stage_pool::next_wakeup(base::time_point now) const {
  std::optional<base::time_point> earliest;
  const auto consider = [&](const std::optional<base::time_point>& when) {
    if (when) {
      earliest = earliest ? std::min(*earliest, *when) : *when;
    }
  };
  consider(give_ups_.next());
  consider(input_fetches_.next());
  const bool any_waits = std::any_of(queues_.begin(), queues_.end(),
                                     [](const auto& entry) { return !entry.second.empty(); });
  if (any_waits || !unfreed_.empty()) {
    consider(std::max<base::time_point>(now, next_check_));
  }
  return earliest;
}

} // namespace spurrack::serving
