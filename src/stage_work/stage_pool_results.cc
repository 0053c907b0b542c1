/// Results of pieces at the replicas that made them: the room they take, when they are freed, and
/// how long they are kept for those that fetch them.
#include "stage_work/stage_pool.h"

#include "stage_work/result_handle.h"
#include "stage_work/stage_pool_limits.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// How long room that turned out to be taken is planned without.
constexpr base::duration unknown_room_lifetime = std::chrono::milliseconds(700);
/// Where inputs were freed too early, the time is doubled up to this, and comes back over this many
/// good calls. Results that lie longer take up room that their makers are short of: more than the
/// time of a call or two does more harm than good.
constexpr base::duration longest_fetch_time = std::chrono::milliseconds(640);
constexpr int fetch_time_smoothing = 10;
/// A maker that failed this share of its latest calls may have lost its results.
constexpr double failing = 0.1;

} // namespace

void stage_pool::hold_result(const open_call& ended, std::size_t index,
                             const piece_outcome& outcome, base::time_point now) {
  const auto* capacity = capacity_of(ended.service);
  if (outcome.handle.empty() || capacity == nullptr) {
    return;
  }
  const auto& replica = ended.call.target.replica;
  const auto bytes = ended.result_bytes[index];
  room_taken_[replica] += bytes;
  results_[outcome.handle] = {replica, bytes, ended.started};
  result_expiries_.set(outcome.handle, now + capacity->result_lifetime);
}

void stage_pool::forget_result(const std::string& handle) {
  const auto found = results_.find(handle);
  if (found != results_.end()) {
    room_taken_[found->second.replica] -= found->second.bytes;
    results_.erase(found);
    result_expiries_.clear(handle);
    next_check_ = {};
  }
}

void stage_pool::forget_expired_results(base::time_point now) {
  for (const auto& handle : result_expiries_.take_due(now)) {
    forget_result(handle);
  }
}

void stage_pool::release(const std::string& handle) {
  forget_result(handle);
  const auto maker = producer_of(handle);
  const auto* replica = replicas_->find_at(maker);
  // Nothing is sent to an evacuated zone, nor to a replica that leaves; what lies there expires.
  if (replica == nullptr || replicas_->is_evacuated(replica->record->zone) ||
      replicas_->says_it_leaves(*replica)) {
    return;
  }
  // The pump asks whether something may be sent now.
  if (replicas_->limit_of(*replica) || replica->backoff.was_asked()) {
    unfreed_[replica->record->id].push_back(handle);
    return;
  }
  for (auto& wanted : commands_) {
    auto* open = std::get_if<free_results>(&wanted);
    if (open != nullptr && open->maker.address == maker) {
      open->handles.push_back(handle);
      return;
    }
  }
  commands_.emplace_back(free_results{{replica->record->id, maker}, {handle}});
}

bool stage_pool::is_short_of_room(const replica_state& replica, base::time_point now) const {
  const auto* capacity = capacity_of(replica.record->service);
  return capacity != nullptr &&
         free_room(replica.record->id, *capacity, now) < capacity->result_room_bytes * scarce_room;
}

void stage_pool::free_where_permitted(bool only_short_of_room, base::time_point now) {
  for (auto one = unfreed_.begin(); one != unfreed_.end();) {
    const auto* replica = replicas_->find(one->first);
    if (replica != nullptr && replicas_->says_it_leaves(*replica)) {
      one = unfreed_.erase(one);
      continue;
    }
    if (only_short_of_room && replica != nullptr && !is_short_of_room(*replica, now)) {
      ++one;
      continue;
    }
    const bool may_be_sent = replica != nullptr && replicas_->may_be_sent(*replica, now);
    if (replica != nullptr && !may_be_sent) {
      replicas_->note_waiting(one->first, 1, now);
      ++one;
      continue;
    }
    if (may_be_sent) {
      if (replicas_->limit_of(*replica)) {
        // It counts as any request does, but no answer is awaited.
        replicas_->call_started(one->first, now);
        replicas_->call_ended(one->first);
      }
      commands_.emplace_back(
          free_results{{one->first, replica->record->address}, std::move(one->second)});
    }
    one = unfreed_.erase(one);
  }
}

double stage_pool::free_room(const base::replica_id& replica, const model::piece_capacity& capacity,
                             base::time_point now) const {
  double taken = 0;
  if (const auto known = room_taken_.find(replica); known != room_taken_.end()) {
    taken += known->second;
  }
  if (const auto unknown = unknown_room_.find(replica);
      unknown != unknown_room_.end() && now < unknown->second.until) {
    taken += unknown->second.bytes;
  }
  return capacity.result_room_bytes * planned_room - taken;
}

void stage_pool::note_no_room(const open_call& ended, base::time_point now) {
  const auto* capacity = capacity_of(ended.service);
  if (capacity == nullptr) {
    return;
  }
  const auto& replica = ended.call.target.replica;
  const auto unknown = capacity->result_room_bytes * planned_room - room_taken_[replica];
  unknown_room_[replica] = {std::max(0.0, unknown), now + unknown_room_lifetime};
}

void stage_pool::note_fetched_inputs(base::time_point now) {
  for (const auto call : input_fetches_.take_due(now)) {
    auto& open = calls_.at(call);
    open.told_fetched = true;
    std::copy_if(open.tickets.begin(), open.tickets.end(), std::back_inserter(fetched_),
                 [this](piece_ticket ticket) { return pieces_.contains(ticket); });
  }
  if (const auto next = input_fetches_.next()) {
    next_check_ = std::min(next_check_, *next);
  }
}

bool stage_pool::restarted_of_late(const replica_state& maker, base::time_point now) const {
  const auto* capacity = capacity_of(maker.record->service);
  return capacity != nullptr && maker.restart_seen_at &&
         now - *maker.restart_seen_at < capacity->result_lifetime;
}

bool stage_pool::was_freed_too_early(piece_ticket ticket, const piece_outcome& outcome,
                                     base::time_point now) const {
  const auto found = pieces_.find(ticket);
  if (outcome.fault != piece_fault::input_gone || found == pieces_.end()) {
    return false;
  }
  // Results that went with their maker were not freed by this pool.
  const auto& inputs = found->second.work.inputs;
  return std::all_of(inputs.begin(), inputs.end(), [&](const std::string& handle) {
    const auto* maker = replicas_->find_at(producer_of(handle));
    return maker != nullptr && !maker->left && maker->failure_share < failing &&
           !restarted_of_late(*maker, now);
  });
}

void stage_pool::learn_fetch_time(const open_call& ended, const stage_call_ended& answer,
                                  base::time_point now) {
  if (!ended.told_fetched || answer.pieces.empty()) {
    return;
  }
  bool freed_too_early = false;
  for (std::size_t index = 0; index < ended.tickets.size() && index < answer.pieces.size();
       ++index) {
    freed_too_early =
        freed_too_early || was_freed_too_early(ended.tickets[index], answer.pieces[index], now);
  }
  if (freed_too_early) {
    fetch_time_ = std::min(fetch_time_ * 2, longest_fetch_time);
  } else {
    fetch_time_ -= (fetch_time_ - settings_.input_fetch_time) / fetch_time_smoothing;
  }
}

} // namespace spurrack::serving
