#include "routing/backend_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace spurrack::routing {
namespace {

/// Weight of the latest sample in the moving average of the latency.
constexpr double latency_smoothing = 0.2;
/// Maximum number of calls that one node may have in flight at a back end of another zone.
constexpr std::uint32_t other_zone_call_quota = 1;

base::duration updated_average(base::duration old_average, base::duration sample) {
  const double blended_seconds = base::to_seconds(old_average) * (1 - latency_smoothing) +
                                 base::to_seconds(sample) * latency_smoothing;
  return base::from_seconds(blended_seconds);
}

} // namespace

void backend_table::update(const catalog::machine_map& machines) {
  std::set<base::backend_id> listed;
  pools_.clear();
  for (const auto& [id, machine] : machines) {
    if (machine->role != model::machine_role::backend) {
      continue;
    }
    const base::backend_id name(id);
    listed.insert(name);
    auto& entry = backends_[name];
    entry.id = name;
    entry.zone = machine->zone;
    entry.address = machine->address;
    entry.pool = machine->pool;
    entry.concurrency = machine->concurrency;
    entry.generation = machine->generation;
    entry.is_listed_as_draining = machine->state == model::machine_state::leaving;
    auto& pool = pools_[machine->pool];
    (machine->zone == own_zone_ ? pool.own_zone : pool.other_zones).push_back(name);
  }
  std::erase_if(backends_, [&](const auto& entry) {
    return !listed.contains(entry.first) && entry.second.in_flight == 0;
  });
}

bool backend_table::mark_draining(const base::backend_id& id, std::uint64_t generation) {
  auto& known_generation = draining_generations_[id];
  if (generation <= known_generation) {
    return false;
  }
  known_generation = generation;
  return true;
}

bool backend_table::is_draining(const backend& target) const {
  if (!limits_.switches.leave_notices) {
    return false;
  }
  const auto notice = draining_generations_.find(target.id);
  return target.is_listed_as_draining ||
         (notice != draining_generations_.end() && notice->second >= target.generation);
}

void backend_table::set_sharing_nodes(std::uint32_t sharing_nodes, std::uint32_t own_rank) {
  sharing_nodes_ = std::max<std::uint32_t>(1, sharing_nodes);
  own_rank_ = own_rank;
}

std::uint32_t backend_table::call_quota_of(const backend& target, base::time_point now) const {
  if (target.zone != own_zone_) {
    return other_zone_call_quota;
  }
  const auto remainder = target.concurrency % sharing_nodes_;
  const std::uint32_t remainder_slot = own_rank_ < remainder ? 1 : 0;
  const auto fair_quota =
      std::max<std::uint32_t>(1, target.concurrency / sharing_nodes_ + remainder_slot);
  if (now - target.reported_at > limits_.load_report_lifetime) {
    return fair_quota;
  }
  // The back end reported its load recently, so this node may also use the part of the back end's
  // limit that the other nodes leave unused.
  const auto in_flight_from_other_nodes = target.reported_in_flight > target.in_flight
                                              ? target.reported_in_flight - target.in_flight
                                              : 0;
  const auto unused_slots = target.concurrency > in_flight_from_other_nodes
                                ? target.concurrency - in_flight_from_other_nodes
                                : 0;
  return std::max(fair_quota, unused_slots);
}

bool backend_table::is_usable(const backend& target, base::time_point now) const {
  return !is_draining(target) && now >= target.avoid_until;
}

const backend_table::pool_members& backend_table::members_of(const base::pool_id& pool) const {
  static const pool_members empty;
  const auto found = pools_.find(pool);
  return found == pools_.end() ? empty : found->second;
}

std::vector<candidate>
backend_table::members_with_free_slot(const std::vector<base::backend_id>& members,
                                      base::time_point now, bool ignore_limits) const {
  std::vector<candidate> found;
  for (const auto& id : members) {
    const auto& target = backends_.at(id);
    if (!is_usable(target, now)) {
      continue;
    }
    const auto call_quota = call_quota_of(target, now);
    if (ignore_limits || target.in_flight < call_quota) {
      found.push_back({&target, call_quota});
    }
  }
  return found;
}

std::vector<candidate> backend_table::candidates(const base::pool_id& pool, base::time_point now,
                                                 bool ignore_limits) const {
  const auto& members = members_of(pool);
  auto found = members_with_free_slot(members.own_zone, now, ignore_limits);
  if (found.empty()) {
    found = members_with_free_slot(members.other_zones, now, ignore_limits);
  }
  return found;
}

std::uint32_t backend_table::slots_of(const std::vector<base::backend_id>& members,
                                      base::time_point now) const {
  std::uint32_t total = 0;
  for (const auto& id : members) {
    const auto& target = backends_.at(id);
    total += is_draining(target) ? 0 : call_quota_of(target, now);
  }
  return total;
}

std::uint32_t backend_table::slots(const base::pool_id& pool, base::time_point now) const {
  const auto& members = members_of(pool);
  const auto local = slots_of(members.own_zone, now);
  return local > 0 ? local : slots_of(members.other_zones, now);
}

bool backend_table::has_backends(const base::pool_id& pool) const {
  const auto is_not_draining = [&](const base::backend_id& id) {
    return !is_draining(backends_.at(id));
  };
  const auto& members = members_of(pool);
  return std::any_of(members.own_zone.begin(), members.own_zone.end(), is_not_draining) ||
         std::any_of(members.other_zones.begin(), members.other_zones.end(), is_not_draining);
}

void backend_table::call_started(const base::backend_id& id) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    ++found->second.in_flight;
  }
}

bool backend_table::call_ended(const base::backend_id& id,
                               std::optional<base::duration> service_time, base::time_point now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return false;
  }
  auto& target = found->second;
  target.in_flight -= target.in_flight > 0 ? 1 : 0;
  if (!service_time) {
    return false;
  }
  target.failure_backoff = base::duration::zero();
  target.average_latency =
      target.samples == 0 ? *service_time : updated_average(target.average_latency, *service_time);
  ++target.samples;
  return eject_if_slow(target, now);
}

bool backend_table::eject_if_slow(backend& target, base::time_point now) {
  if (target.samples < limits_.min_ejection_samples) {
    return false;
  }
  base::duration latency_sum{};
  std::int64_t compared_backends = 0;
  std::size_t avoided_backends = 0;
  const auto& pool = members_of(target.pool);
  const auto& members = target.zone == own_zone_ ? pool.own_zone : pool.other_zones;
  for (const auto& id : members) {
    const auto& other = backends_.at(id);
    avoided_backends += now < other.avoid_until ? 1 : 0;
    if (id != target.id && other.samples >= limits_.min_ejection_samples) {
      latency_sum += other.average_latency;
      ++compared_backends;
    }
  }
  const auto max_avoided_backends =
      limits_.max_ejected_fraction * static_cast<double>(members.size());
  if (compared_backends == 0 || static_cast<double>(avoided_backends + 1) > max_avoided_backends) {
    return false;
  }
  const auto mean_latency_seconds =
      base::to_seconds(latency_sum) / static_cast<double>(compared_backends);
  if (base::to_seconds(target.average_latency) <
      limits_.ejection_latency_ratio * mean_latency_seconds) {
    return false;
  }
  target.avoid_until = now + limits_.ejection_duration;
  target.samples = 0;
  return true;
}

void backend_table::record_load(const base::backend_id& id, std::uint32_t in_flight,
                                base::time_point now) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    found->second.reported_in_flight = in_flight;
    found->second.reported_at = now;
  }
}

void backend_table::note_call_failure(const base::backend_id& id, base::time_point now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return;
  }
  auto& target = found->second;
  target.failure_backoff = std::clamp(target.failure_backoff * 2, limits_.min_failure_backoff,
                                      limits_.max_failure_backoff);
  target.avoid_until = std::max(target.avoid_until, now + target.failure_backoff);
}

void backend_table::note_overload(const base::backend_id& id, base::time_point now) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    auto& target = found->second;
    target.avoid_until = std::max(target.avoid_until, now + limits_.overload_backoff);
  }
}

const backend* backend_table::find(const base::backend_id& id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

std::optional<base::time_point> backend_table::next_usable_at(const base::pool_id& pool,
                                                              base::time_point now) const {
  std::optional<base::time_point> earliest;
  const auto& members = members_of(pool);
  for (const auto* list : {&members.own_zone, &members.other_zones}) {
    for (const auto& id : *list) {
      const auto& target = backends_.at(id);
      if (!is_draining(target) && target.avoid_until > now) {
        earliest = earliest ? std::min(*earliest, target.avoid_until) : target.avoid_until;
      }
    }
  }
  return earliest;
}

} // namespace spurrack::routing
