/// Selection of the pieces for the next call to a replica, and of the pieces that wait for a
/// replica of their preferred zone instead.
#include "stage_work/stage_pool.h"

#include "replicas/distance.h"
#include "stage_work/stage_pool_limits.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {

std::vector<stage_pool::piece_group> stage_pool::group_pieces(const service_queue& queue,
                                                              base::time_point now) const {
  std::vector<piece_group> groups;
  for (const auto& position : queue) {
    const auto& piece = pieces_.at(position.ticket);
    const auto& work = piece.work;
    if (piece.backoff_ends_at > now) {
      continue;
    }
    const bool extends_group = !groups.empty() && *groups.back().request == work.request &&
                               groups.back().stage == work.stage &&
                               *groups.back().permitted_regions == work.permitted_regions;
    if (!extends_group) {
      groups.push_back({&work.request,
                        work.stage,
                        position.due,
                        0,
                        &work.permitted_regions,
                        &work.zone,
                        0,
                        piece.submitted_at,
                        false,
                        {}});
    }
    groups.back().must_run_alone = groups.back().must_run_alone || work.single_attempt ||
                                   piece.lost_calls >= lost_calls_before_isolation;
    groups.back().result_bytes += work.result_bytes;
    groups.back().carried_bytes += work.carried_bytes;
    groups.back().pieces.push_back(position);
  }
  return groups;
}

bool stage_pool::may_run_in(const piece_group& group, const base::zone_id& zone,
                            const zone_wait_estimates& estimates, base::time_point now) const {
  const auto preferred = estimates.find(*group.preferred_zone);
  const bool can_use_preferred_zone =
      preferred != estimates.end() &&
      group.permitted_regions->permits(settings_.regions.region_of(*group.preferred_zone));
  if (*group.preferred_zone == zone || !can_use_preferred_zone) {
    return true;
  }
  const auto locality = settings_.regions.locality_between(*group.preferred_zone, zone);
  const double max_wait = distance::transfer_seconds(locality, group.carried_bytes);
  if (base::to_seconds(now - group.submitted_at) >= max_wait) {
    return true;
  }
  const bool is_past_due = group.due <= now;
  const auto& estimate = preferred->second;
  // Half a call of margin: the published call times are means, and a call in the preferred zone may
  // start later than expected.
  return !is_past_due && estimate.next_start_at() + estimate.full_call_time / 2 > group.due;
}

base::time_point stage_pool::zone_wait_estimate::next_start_at() const {
  const auto batches_ahead = pieces_ahead / batch_size;
  const auto rounds = static_cast<double>(batches_ahead) / static_cast<double>(replicas);
  return free_at + base::from_seconds(base::to_seconds(full_call_time) * rounds);
}

stage_pool::zone_wait_estimates
stage_pool::estimate_zone_waits(const std::string& name, const model::piece_capacity& capacity,
                                const residency_list& residencies, base::time_point now) const {
  std::map<base::replica_id, base::time_point> busy_until;
  for (const auto& [call, open] : calls_) {
    auto& until = busy_until[open.command.target.replica];
    until = std::max<base::time_point>(until, open.started_at +
                                                  nominal_call_time(capacity, open.tickets.size()));
  }
  const auto full_call_time = nominal_call_time(capacity, capacity.max_pieces_per_call);
  zone_wait_estimates estimates;
  for (const auto* replica : replicas_->accepting_calls(name, now)) {
    if (!may_serve_any(*replica, residencies)) {
      continue;
    }
    const auto busy = busy_until.find(replica->record->id);
    auto free_at = busy == busy_until.end() ? now : std::max(now, busy->second);
    if (available_result_bytes(replica->record->id, capacity, now) <
        capacity.result_capacity_bytes * low_memory_share) {
      free_at = std::max<base::time_point>(free_at, now + full_call_time);
    }
    free_at = std::max(free_at, replica->backoff.ends_at());
    const auto limit = replicas_->limit_of(*replica);
    if (limit == 0.0) {
      continue;
    }
    if (limit && !replicas_->has_permit(*replica, now)) {
      free_at = std::max<base::time_point>(free_at, now + base::from_seconds(1 / *limit));
    }
    const zone_wait_estimate initial{free_at, full_call_time, capacity.max_pieces_per_call, 0, 0};
    auto& estimate = estimates.try_emplace(replica->record->zone, initial).first->second;
    estimate.free_at = std::min(estimate.free_at, free_at);
    ++estimate.replicas;
  }
  return estimates;
}

std::vector<stage_pool::queue_position>
stage_pool::take_batch(std::vector<piece_group>& groups, const replica_state& replica,
                       zone_wait_estimates estimates, const model::piece_capacity& capacity,
                       base::time_point now) const {
  double free_bytes = available_result_bytes(replica.record->id, capacity, now);
  const double slowdown = replica_table::slowdown_of(replica, now);
  const auto delay =
      slowdown < slow_replica_slowdown
          ? base::duration::zero()
          : base::scaled(nominal_call_time(capacity, capacity.max_pieces_per_call), slowdown - 1);
  std::vector<queue_position> batch;
  for (const bool in_time : {true, false}) {
    for (auto& group : groups) {
      if (batch.size() == capacity.max_pieces_per_call || free_bytes <= 0) {
        return batch;
      }
      const bool is_permitted = may_serve(replica, *group.permitted_regions);
      if (group.pieces.empty() || !is_permitted || (group.due > now) != in_time) {
        continue;
      }
      if (group.must_run_alone && !batch.empty()) {
        continue;
      }
      if (in_time && group.due < now + delay) {
        continue;
      }
      if (!may_run_in(group, replica.record->zone, estimates, now)) {
        estimates.at(*group.preferred_zone).pieces_ahead += group.pieces.size();
        continue;
      }
      const auto free_slots = capacity.max_pieces_per_call - batch.size();
      const bool is_divisible =
          group.pieces.size() > capacity.max_pieces_per_call ||
          group.result_bytes > capacity.result_capacity_bytes * usable_memory_share;
      const bool does_fit = group.pieces.size() <= free_slots && group.result_bytes <= free_bytes;
      if (!does_fit && !is_divisible) {
        continue;
      }
      move_pieces(group, batch, free_slots, free_bytes);
      if (group.must_run_alone) {
        return batch;
      }
    }
  }
  return batch;
}

void stage_pool::move_pieces(piece_group& group, std::vector<queue_position>& batch,
                             std::size_t free_slots, double& free_bytes) const {
  std::vector<queue_position> remaining;
  for (const auto& position : group.pieces) {
    const auto& work = pieces_.at(position.ticket).work;
    if (free_slots == 0 || work.result_bytes > free_bytes) {
      remaining.push_back(position);
      continue;
    }
    --free_slots;
    free_bytes -= work.result_bytes;
    group.result_bytes -= work.result_bytes;
    group.carried_bytes -= work.carried_bytes;
    batch.push_back(position);
  }
  group.pieces = std::move(remaining);
}

} // namespace spurrack::serving
