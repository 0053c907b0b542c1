#include "routing/backend_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace spurrack::routing {
namespace {

constexpr double latency_smoothing = 0.2;
/// Calls one node may send to each back end of another zone.
constexpr std::uint32_t foreign_zone_share = 1;

base::duration blend(base::duration old_value, base::duration sample) {
  const double mixed = base::to_seconds(old_value) * (1 - latency_smoothing) +
                       base::to_seconds(sample) * latency_smoothing;
  return base::from_seconds(mixed);
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
    entry.listed_as_leaving = machine->state == model::machine_state::leaving;
    auto& pool = pools_[machine->pool];
    (machine->zone == own_zone_ ? pool.own_zone : pool.other_zones).push_back(name);
  }
  std::erase_if(backends_, [&](const auto& entry) {
    return !listed.contains(entry.first) && entry.second.in_flight == 0;
  });
}

bool backend_table::mark_draining(const base::backend_id& id, std::uint64_t generation) {
  auto& known = leaving_generation_[id];
  if (generation <= known) {
    return false;
  }
  known = generation;
  return true;
}

bool backend_table::is_draining(const backend& target) const {
  if (!limits_.switches.leave_notices) {
    return false;
  }
  const auto notice = leaving_generation_.find(target.id);
  return target.listed_as_leaving ||
         (notice != leaving_generation_.end() && notice->second >= target.generation);
}

void backend_table::set_sharing_nodes(std::uint32_t sharing_nodes, std::uint32_t own_rank) {
  sharing_nodes_ = std::max<std::uint32_t>(1, sharing_nodes);
  own_rank_ = own_rank;
}

std::uint32_t backend_table::share_of(const backend& target, base::time_point now) const {
  if (target.zone != own_zone_) {
    return foreign_zone_share;
  }
  const auto remainder = target.concurrency % sharing_nodes_;
  const std::uint32_t extra = own_rank_ < remainder ? 1 : 0;
  const auto fair = std::max<std::uint32_t>(1, target.concurrency / sharing_nodes_ + extra);
  if (now - target.reported_at > limits_.report_lifetime) {
    return fair;
  }
  // The others leave room: the part of the limit that they do not use may be borrowed.
  const auto others = target.reported_in_flight > target.in_flight
                          ? target.reported_in_flight - target.in_flight
                          : 0;
  const auto unused = target.concurrency > others ? target.concurrency - others : 0;
  return std::max(fair, unused);
}

bool backend_table::is_usable(const backend& target, base::time_point now) const {
  return !is_draining(target) && now >= target.avoid_until;
}

const backend_table::pool_members& backend_table::members_of(const base::pool_id& pool) const {
  static const pool_members none;
  const auto found = pools_.find(pool);
  return found == pools_.end() ? none : found->second;
}

std::vector<candidate> backend_table::with_free_slot(const std::vector<base::backend_id>& members,
                                                     base::time_point now,
                                                     bool ignore_limits) const {
  std::vector<candidate> found;
  for (const auto& id : members) {
    const auto& target = backends_.at(id);
    if (!is_usable(target, now)) {
      continue;
    }
    const auto share = share_of(target, now);
    if (ignore_limits || target.in_flight < share) {
      found.push_back({&target, share});
    }
  }
  return found;
}

std::vector<candidate> backend_table::candidates(const base::pool_id& pool, base::time_point now,
                                                 bool ignore_limits) const {
  const auto& members = members_of(pool);
  auto found = with_free_slot(members.own_zone, now, ignore_limits);
  if (found.empty()) {
    found = with_free_slot(members.other_zones, now, ignore_limits);
  }
  return found;
}

std::uint32_t backend_table::slots_of(const std::vector<base::backend_id>& members,
                                      base::time_point now) const {
  std::uint32_t total = 0;
  for (const auto& id : members) {
    const auto& target = backends_.at(id);
    total += is_draining(target) ? 0 : share_of(target, now);
  }
  return total;
}

std::uint32_t backend_table::slots(const base::pool_id& pool, base::time_point now) const {
  const auto& members = members_of(pool);
  const auto local = slots_of(members.own_zone, now);
  return local > 0 ? local : slots_of(members.other_zones, now);
}

bool backend_table::has_pool(const base::pool_id& pool) const {
  const auto stays = [&](const base::backend_id& id) { return !is_draining(backends_.at(id)); };
  const auto& members = members_of(pool);
  return std::any_of(members.own_zone.begin(), members.own_zone.end(), stays) ||
         std::any_of(members.other_zones.begin(), members.other_zones.end(), stays);
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
  target.connect_backoff = base::duration::zero();
  target.average_latency =
      target.samples == 0 ? *service_time : blend(target.average_latency, *service_time);
  ++target.samples;
  return eject_if_slow(target, now);
}

bool backend_table::eject_if_slow(backend& target, base::time_point now) {
  if (target.samples < limits_.ejection_samples) {
    return false;
  }
  base::duration others{};
  std::int64_t counted = 0;
  std::size_t avoided = 0;
  const auto& pool = members_of(target.pool);
  const auto& members = target.zone == own_zone_ ? pool.own_zone : pool.other_zones;
  for (const auto& id : members) {
    const auto& other = backends_.at(id);
    avoided += now < other.avoid_until ? 1 : 0;
    if (id != target.id && other.samples >= limits_.ejection_samples) {
      others += other.average_latency;
      ++counted;
    }
  }
  const auto allowed = limits_.ejection_share * static_cast<double>(members.size());
  if (counted == 0 || static_cast<double>(avoided + 1) > allowed) {
    return false;
  }
  const auto mean = base::to_seconds(others) / static_cast<double>(counted);
  if (base::to_seconds(target.average_latency) < limits_.ejection_ratio * mean) {
    return false;
  }
  target.avoid_until = now + limits_.ejection_time;
  target.samples = 0;
  return true;
}

void backend_table::report_load(const base::backend_id& id, std::uint32_t in_flight,
                                base::time_point now) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    found->second.reported_in_flight = in_flight;
    found->second.reported_at = now;
  }
}

void backend_table::connect_failed(const base::backend_id& id, base::time_point now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return;
  }
  auto& target = found->second;
  target.connect_backoff = std::clamp(target.connect_backoff * 2, limits_.connect_backoff_first,
                                      limits_.connect_backoff_longest);
  target.avoid_until = std::max(target.avoid_until, now + target.connect_backoff);
}

void backend_table::overloaded(const base::backend_id& id, base::time_point now) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    auto& target = found->second;
    target.avoid_until = std::max(target.avoid_until, now + limits_.overload_pause);
  }
}

const backend* backend_table::find(const base::backend_id& id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

std::optional<base::time_point> backend_table::next_available(const base::pool_id& pool,
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
