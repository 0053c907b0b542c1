/// Which pieces go into the next call to a replica, and which wait for one of their own zone.
#include "stage_work/stage_pool.h"

#include "replicas/distance.h"
#include "stage_work/stage_pool_limits.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {

std::vector<stage_pool::piece_group> stage_pool::groups_in(const service_queue& queue,
                                                           base::time_point now) const {
  std::vector<piece_group> groups;
  for (const auto& position : queue) {
    const auto& piece = pieces_.at(position.ticket);
    const auto& work = piece.work;
    if (piece.rests_until > now) {
      continue;
    }
    const bool joins = !groups.empty() && *groups.back().request == work.request &&
                       groups.back().stage == work.stage &&
                       *groups.back().permitted_regions == work.permitted_regions;
    if (!joins) {
      groups.push_back({&work.request,
                        work.stage,
                        position.due,
                        0,
                        &work.permitted_regions,
                        &work.zone,
                        0,
                        piece.submitted,
                        false,
                        {}});
    }
    groups.back().goes_alone = groups.back().goes_alone || work.single_attempt ||
                               piece.lost_calls >= lost_calls_before_alone;
    groups.back().result_bytes += work.result_bytes;
    groups.back().carried_bytes += work.carried_bytes;
    groups.back().pieces.push_back(position);
  }
  return groups;
}

bool stage_pool::may_run_in(const piece_group& group, const base::zone_id& zone,
                            const zone_outlooks& outlooks, base::time_point now) const {
  const auto own_zone = outlooks.find(*group.zone);
  const bool has_own_zone =
      own_zone != outlooks.end() &&
      group.permitted_regions->permits(settings_.regions.region_of(*group.zone));
  if (*group.zone == zone || !has_own_zone) {
    return true;
  }
  const auto locality = settings_.regions.locality_between(*group.zone, zone);
  const double patience = distance::transfer_seconds(locality, group.carried_bytes);
  if (base::to_seconds(now - group.submitted) >= patience) {
    return true;
  }
  const bool is_late = group.due <= now;
  const auto& outlook = own_zone->second;
  // Half a call of margin: the published call times are means, and a call in the own zone may start
  // later than expected.
  return !is_late && outlook.next_start() + outlook.full_call / 2 > group.due;
}

base::time_point stage_pool::zone_outlook::next_start() const {
  const auto batches_ahead = pieces_ahead / batch;
  const auto rounds = static_cast<double>(batches_ahead) / static_cast<double>(replicas);
  return free_at + base::from_seconds(base::to_seconds(full_call) * rounds);
}

stage_pool::zone_outlooks stage_pool::outlooks_of(const std::string& name,
                                                  const model::piece_capacity& capacity,
                                                  const residency_list& sets,
                                                  base::time_point now) const {
  std::map<base::replica_id, base::time_point> busy_until;
  for (const auto& [call, open] : calls_) {
    auto& until = busy_until[open.call.target.replica];
    until =
        std::max<base::time_point>(until, open.started + usual_time(capacity, open.tickets.size()));
  }
  const auto full_call = usual_time(capacity, capacity.batch);
  zone_outlooks outlooks;
  for (const auto* replica : replicas_->accepting_calls(name, now)) {
    if (!may_take_any(*replica, sets)) {
      continue;
    }
    const auto busy = busy_until.find(replica->record->id);
    auto free_at = busy == busy_until.end() ? now : std::max(now, busy->second);
    if (free_room(replica->record->id, capacity, now) < capacity.result_room_bytes * scarce_room) {
      free_at = std::max<base::time_point>(free_at, now + full_call);
    }
    free_at = std::max(free_at, replica->backoff.ends_at());
    const auto limit = replicas_->limit_of(*replica);
    if (limit == 0.0) {
      continue;
    }
    if (limit && !replicas_->has_permit(*replica, now)) {
      free_at = std::max<base::time_point>(free_at, now + base::from_seconds(1 / *limit));
    }
    const zone_outlook fresh{free_at, full_call, capacity.batch, 0, 0};
    auto& outlook = outlooks.try_emplace(replica->record->zone, fresh).first->second;
    outlook.free_at = std::min(outlook.free_at, free_at);
    ++outlook.replicas;
  }
  return outlooks;
}

std::vector<stage_pool::queue_position>
stage_pool::take_batch(std::vector<piece_group>& groups, const replica_state& replica,
                       zone_outlooks outlooks, const model::piece_capacity& capacity,
                       base::time_point now) const {
  double room = free_room(replica.record->id, capacity, now);
  const double slowness = replica_table::slowdown_of(replica, now);
  const auto delay = slowness < slow
                         ? base::duration::zero()
                         : base::scaled(usual_time(capacity, capacity.batch), slowness - 1);
  std::vector<queue_position> batch;
  for (const bool in_time : {true, false}) {
    for (auto& group : groups) {
      if (batch.size() == capacity.batch || room <= 0) {
        return batch;
      }
      const bool permitted = may_take(replica, *group.permitted_regions);
      if (group.pieces.empty() || !permitted || (group.due > now) != in_time) {
        continue;
      }
      if (group.goes_alone && !batch.empty()) {
        continue;
      }
      if (in_time && group.due < now + delay) {
        continue;
      }
      if (!may_run_in(group, replica.record->zone, outlooks, now)) {
        outlooks.at(*group.zone).pieces_ahead += group.pieces.size();
        continue;
      }
      const auto places = capacity.batch - batch.size();
      const bool divisible = group.pieces.size() > capacity.batch ||
                             group.result_bytes > capacity.result_room_bytes * planned_room;
      const bool fits = group.pieces.size() <= places && group.result_bytes <= room;
      if (!fits && !divisible) {
        continue;
      }
      take_pieces(group, batch, places, room);
      if (group.goes_alone) {
        return batch;
      }
    }
  }
  return batch;
}

void stage_pool::take_pieces(piece_group& group, std::vector<queue_position>& batch,
                             std::size_t places, double& room) const {
  std::vector<queue_position> left;
  for (const auto& position : group.pieces) {
    const auto& work = pieces_.at(position.ticket).work;
    if (places == 0 || work.result_bytes > room) {
      left.push_back(position);
      continue;
    }
    --places;
    room -= work.result_bytes;
    group.result_bytes -= work.result_bytes;
    group.carried_bytes -= work.carried_bytes;
    batch.push_back(position);
  }
  group.pieces = std::move(left);
}

} // namespace spurrack::serving
