/// Selection of a batcher for pieces, and the time that a piece is expected to wait at each
/// batcher.
#include "stage_work/stage_exchange.h"

#include "base/hashing.h"
#include "stage_work/stage_pool_limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace spurrack::serving {
namespace {

/// Interval at which this node checks which nodes are unresponsive and which replicas can be
/// called.
constexpr base::duration refresh_interval = std::chrono::milliseconds(50);

} // namespace

void stage_exchange::refresh(base::time_point now) {
  if (now >= next_refresh_at_) {
    next_refresh_at_ = now + refresh_interval;
    if (peers_.update_responsiveness(now)) {
      note_peers_changed();
    }
    // The changes of replicas within one `refresh_interval` cause only one new division into
    // shards.
    are_shards_stale_ = are_shards_stale_ || has_replica_changes_;
    are_batchers_stale_ = true;
  }
  if (are_shards_stale_) {
    assign_shards(now);
  }
}

void stage_exchange::note_peers_changed() {
  shards_.note_peers_changed();
  are_shards_stale_ = true;
}

void stage_exchange::assign_shards(base::time_point now) {
  are_shards_stale_ = false;
  has_replica_changes_ = false;
  are_batchers_stale_ = true;
  if (!configuration_) {
    return;
  }
  const auto own_services_before = shards_.own_services();
  shards_.assign(*configuration_, hands_over_pieces());
  connect_to_batchers(peers_.set_batchers(shards_.batchers(), now));
  for (const auto& [service, regions] : own_services_before) {
    if (!shards_.own_services().contains(service) && shards_.has_shards_of(service)) {
      move_waiting_pieces(service, now);
    }
  }
}

void stage_exchange::connect_to_batchers(const std::vector<base::node_id>& batchers) {
  for (const auto& node : batchers) {
    // The transport connects on the first message to a node and may lose that message; therefore
    // the first message is empty.
    message_to(node);
  }
}

stage_exchange::callable_replica_count
stage_exchange::count_callable_replicas_of(const shard& entry, base::time_point now) const {
  callable_replica_count callable;
  for (const auto& id : entry.replicas) {
    const auto* replica = replicas_->find(id);
    if (replica == nullptr) {
      continue;
    }
    const auto fraction = replicas_->limited_capacity_fraction(*replica, entry.full_call_time);
    if (replicas_->is_available(*replica, now)) {
      callable.now += fraction;
    } else if (replicas_->is_blocked_only_by_backoff(*replica, now)) {
      callable.after_backoff += fraction;
      callable.callable_at = std::min(callable.callable_at, replica->backoff.ends_at());
    }
  }
  return callable;
}

const std::vector<stage_exchange::batcher>&
stage_exchange::assigned_batchers(const std::string& service, base::time_point now) const {
  static const std::vector<batcher> none;
  if (are_batchers_stale_) {
    are_batchers_stale_ = false;
    count_callable_replicas(now);
  }
  const auto found = batchers_.find(service);
  return found == batchers_.end() ? none : found->second;
}

void stage_exchange::count_callable_replicas(base::time_point now) const {
  batchers_.clear();
  for (const auto& entry : shards_.shards()) {
    const auto callable = count_callable_replicas_of(entry, now);
    auto& batchers = batchers_[entry.service];
    auto found = std::find_if(batchers.begin(), batchers.end(), [&](const batcher& other) {
      return other.node == entry.batcher && other.region == entry.region &&
             other.zone == entry.zone;
    });
    if (found == batchers.end()) {
      batchers.push_back({entry.batcher, entry.region, entry.zone, 0, {}});
      found = std::prev(batchers.end());
    }
    const bool is_callable_later = found->callable_at > now;
    if (callable.now > 0) {
      found->callable_replicas = (is_callable_later ? 0 : found->callable_replicas) + callable.now;
      found->callable_at = {};
    } else if (callable.after_backoff > 0 && (is_callable_later || found->callable_replicas == 0)) {
      found->callable_replicas += callable.after_backoff;
      found->callable_at = is_callable_later ? std::min(found->callable_at, callable.callable_at)
                                             : callable.callable_at;
    }
  }
}

void stage_exchange::describe_own_shards(wire::stage_load& load, base::time_point now) const {
  for (const auto& candidate : assigned_batchers(load.service(), now)) {
    if (candidate.node == self_.node) {
      load.set_replicas(load.replicas() +
                        static_cast<std::uint32_t>(std::ceil(candidate.callable_replicas)));
      load.set_of_zone(candidate.zone.has_value());
    }
  }
}

std::vector<stage_exchange::batcher>
stage_exchange::batchers_of(const std::string& service, const model::residency& permitted_regions,
                            base::time_point now) const {
  std::vector<batcher> found;
  const auto& assigned = assigned_batchers(service, now);
  std::copy_if(assigned.begin(), assigned.end(), std::back_inserter(found),
               [this](const batcher& candidate) {
                 return candidate.node == self_.node || peers_.find(candidate.node) != nullptr;
               });
  const auto is_assigned = [&](const base::node_id& node) {
    return std::any_of(found.begin(), found.end(),
                       [&](const batcher& other) { return other.node == node; });
  };
  for (const auto& node : peers_.reporting_batchers()) {
    const auto* peer = peers_.find(node);
    if (peer == nullptr) {
      continue;
    }
    const auto load = peer->loads.find(service);
    const bool is_batcher = load != peer->loads.end() && load->second.replicas() > 0 &&
                            load->second.of_zone() && peer_directory::has_fresh_loads(*peer, now);
    const auto& zone = peer->peer.zone;
    // For this node's own zone, only the batchers that this node itself selected are used, not
    // nodes that announce themselves: otherwise two batchers might share the replicas.
    if (is_batcher && zone != self_.zone && !is_assigned(node) &&
        peer_directory::is_eligible(*peer) && replicas_->is_reachable(zone) &&
        !replicas_->is_evacuated(zone)) {
      const auto replicas = static_cast<double>(load->second.replicas());
      found.push_back({node, regions_.effective_region_of(zone), zone, replicas, {}});
    }
  }
  std::erase_if(found, [&](const batcher& candidate) {
    return !permitted_regions.permits(candidate.region.region);
  });
  return found;
}

stage_exchange::batcher_load stage_exchange::load_of(const base::node_id& node,
                                                     const std::string& service,
                                                     base::time_point now) const {
  if (node == self_.node) {
    const auto in_time = pool_.waiting_in_time_count(service, now);
    return {static_cast<double>(in_time),
            static_cast<double>(pool_.waiting_count(service) - in_time),
            static_cast<double>(pool_.calls_under_way(service)),
            pool_.drain_rate_of(service, now).value_or(0)};
  }
  batcher_load load;
  const auto* peer = peers_.find(node);
  if (peer == nullptr) {
    return load;
  }
  if (const auto reported = peer->loads.find(service); reported != peer->loads.end()) {
    load = {static_cast<double>(reported->second.waiting()),
            static_cast<double>(reported->second.waiting_past_due()),
            static_cast<double>(reported->second.calls_under_way()), reported->second.drain_rate()};
  }
  if (const auto sent = peer->sent_since_report.find(service);
      sent != peer->sent_since_report.end()) {
    load.waiting_in_time += sent->second;
  }
  return load;
}

double stage_exchange::expected_wait_seconds(const batcher& candidate, const std::string& service,
                                             const model::piece_capacity& capacity,
                                             piece_order order, base::time_point now) const {
  const auto load = load_of(candidate.node, service, now);
  const double full_call_time =
      base::to_seconds(nominal_call_time(capacity, capacity.max_pieces_per_call));
  const double pieces_ahead = order == piece_order::in_time
                                  ? load.waiting_in_time
                                  : load.waiting_in_time + load.waiting_past_due;
  const double calls_ahead = pieces_ahead / capacity.max_pieces_per_call + load.calls_under_way / 2;
  // If the number of callable replicas is not known, the capacity of one replica is assumed.
  const double replicas = candidate.callable_replicas > 0 ? candidate.callable_replicas : 1;
  const double wait_by_capacity = calls_ahead * full_call_time / replicas;
  // The wait is also estimated from the drain rate: memory for results may limit a service to far
  // fewer pieces per second than its calls could compute.
  const double wait_by_rate = load.drain_rate > 0 ? pieces_ahead / load.drain_rate : 0;
  const double until_callable = std::max(0.0, base::to_seconds(candidate.callable_at - now));
  return until_callable + std::max(wait_by_capacity, wait_by_rate);
}

double stage_exchange::distance_seconds(const batcher& candidate, const base::zone_id& zone,
                                        double result_bytes) const {
  auto locality = model::locality::zone;
  if (candidate.region != regions_.effective_region_of(zone)) {
    locality = model::locality::elsewhere;
  } else if (candidate.zone && *candidate.zone != zone) {
    locality = model::locality::region;
  }
  return distance::cost_seconds(locality, result_bytes);
}

std::optional<base::duration> stage_exchange::expected_wait(const service_demand& demand,
                                                            piece_order order,
                                                            base::time_point now) const {
  const auto* capacity = pool_.capacity_of(demand.service);
  if (capacity == nullptr) {
    return std::nullopt;
  }
  std::optional<double> least;
  for (const auto& candidate : batchers_of(demand.service, demand.permitted_regions, now)) {
    if (candidate.callable_replicas > 0) {
      const double wait = expected_wait_seconds(candidate, demand.service, *capacity, order, now) +
                          distance_seconds(candidate, demand.zone, 0);
      least = std::min(least.value_or(wait), wait);
    }
  }
  return least ? std::optional(base::from_seconds(*least)) : std::nullopt;
}

std::optional<base::node_id> stage_exchange::choose_batcher(const piece_work& work,
                                                            double result_bytes,
                                                            base::time_point now) const {
  const auto* capacity = pool_.capacity_of(work.service);
  if (capacity == nullptr) {
    // This node's pool ends the piece.
    return std::nullopt;
  }
  std::optional<base::node_id> best;
  bool best_can_call = false;
  double best_cost = 0;
  for (const auto& candidate : batchers_of(work.service, work.permitted_regions, now)) {
    const bool can_call = candidate.callable_replicas > 0;
    const double cost =
        expected_wait_seconds(candidate, work.service, *capacity, piece_order::in_time, now) +
        distance_seconds(candidate, work.zone, result_bytes);
    const bool better = can_call == best_can_call ? cost < best_cost : can_call;
    if (!best || better) {
      best = candidate.node;
      best_can_call = can_call;
      best_cost = cost;
    }
  }
  return best;
}

} // namespace spurrack::serving
