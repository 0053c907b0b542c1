/// Calls whose replica stays silent past their timeout. The replica may go on, so that silence
/// alone fails no piece: a call is given up only if other replicas take all its pieces at once.
#include "stage_work/stage_pool.h"

#include <algorithm>
#include <set>

namespace spurrack::serving {
namespace {

/// Interval at which the pool looks for replicas that can take the pieces of a call that is past
/// its timeout.
constexpr base::duration overdue_check_interval = std::chrono::milliseconds(100);

/// Time from the timeout of a call to the first such look: meanwhile the nodes of its requests find
/// out whether the replica answers new connections, and withdraw pieces that may have crashed it.
constexpr base::duration first_give_up_delay = std::chrono::milliseconds(200);

} // namespace

void stage_pool::check_overdue_calls(base::time_point now) {
  for (const auto call : call_timeouts_.take_due(now)) {
    auto& open = calls_.at(call);
    if (!open.is_overdue) {
      open.is_overdue = true;
      note_call_time(open, now);
      replicas_->note_stalled(open.command.target.replica, open.started_at, now);
      report_lost_pieces(open, now);
      call_timeouts_.set(call, now + first_give_up_delay);
      continue;
    }
    if (remaining_pieces_of(open).empty() || has_certain_successors(open, now)) {
      give_up_call(call, now);
    } else {
      call_timeouts_.set(call, now + overdue_check_interval);
    }
  }
}

std::vector<stage_pool::queue_position>
stage_pool::remaining_pieces_of(const open_call& call) const {
  std::vector<queue_position> waiting;
  for (const auto ticket : call.tickets) {
    const auto found = pieces_.find(ticket);
    if (found != pieces_.end()) {
      waiting.push_back({found->second.work.due, ticket});
    }
  }
  return waiting;
}

bool stage_pool::has_certain_successors(const open_call& call, base::time_point now) const {
  const auto* capacity = capacity_of(call.service);
  if (capacity == nullptr || call.command.runs_at_most_once) {
    return false;
  }
  const auto moved = remaining_pieces_of(call);
  service_queue queue(moved.begin(), moved.end());
  auto free_replicas = replicas_with_free_slot(call.service, *capacity, residencies_in(queue), now);
  std::erase_if(free_replicas, [&](const replica_state* replica) {
    return replica->record->id == call.command.target.replica;
  });
  if (free_replicas.empty()) {
    return false;
  }
  // The pieces that wait already compete for the same replicas.
  const auto& waiting = queues_.at(call.service);
  queue.insert(waiting.begin(), waiting.end());
  const auto estimates = estimate_zone_waits(call.service, *capacity, residencies_in(queue), now);
  auto groups = group_pieces(queue, now);
  std::set<queue_position> without_successor(moved.begin(), moved.end());
  for (const auto* replica : free_replicas) {
    for (const auto& position : take_batch(groups, *replica, estimates, *capacity, now)) {
      without_successor.erase(position);
    }
  }
  return without_successor.empty();
}

void stage_pool::give_up_call(base::call_id call, base::time_point now) {
  const auto found = calls_.find(call);
  const auto open = std::move(found->second);
  calls_.erase(found);
  commands_.emplace_back(cancel_call{call});
  release_call(open);
  record_(base::event_kind::stage_retried, open.command.items.front().request,
          open.command.target.replica.text(),
          "call " + std::to_string(call) + ": no answer after " +
              std::to_string(base::to_milliseconds(now - open.started_at)) + " ms, " +
              std::to_string(remaining_pieces_of(open).size()) + " pieces go to other replicas");
  give_up_pieces(open, now);
}

void stage_pool::give_up_pieces(const open_call& call, base::time_point now) {
  report_lost_pieces(call, now);
  for (const auto& position : remaining_pieces_of(call)) {
    auto& piece = pieces_.at(position.ticket);
    if (piece.work.single_attempt) {
      finish(position.ticket, {piece_fault::lost, {}});
      continue;
    }
    --piece.attempts;
    enqueue(position.ticket);
  }
}

void stage_pool::report_lost_pieces(const open_call& call, base::time_point now) {
  for (const auto& position : remaining_pieces_of(call)) {
    lost_.push_back({position.ticket, call.command.target.replica, call.incarnation_exit,
                     now - call.started_at});
  }
}

} // namespace spurrack::serving
