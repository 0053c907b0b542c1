/// Who gathers pieces for which replica, and how long a piece would wait there.
#include "stage_work/stage_exchange.h"

#include "base/hashing.h"
#include "stage_work/stage_pool_limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace spurrack::serving {
namespace {

/// How often silence and pauses of replicas are looked at.
constexpr base::duration refresh_period = std::chrono::milliseconds(50);

} // namespace

void stage_exchange::refresh(base::time_point now) {
  if (now >= next_refresh_) {
    next_refresh_ = now + refresh_period;
    if (peers_.update_silence(now)) {
      note_peers_changed();
    }
    // Replicas that change in a row are taken in together.
    shards_are_stale_ = shards_are_stale_ || replicas_changed_;
    counts_are_stale_ = true;
  }
  if (shards_are_stale_) {
    assign_shards(now);
  }
}

void stage_exchange::note_peers_changed() {
  shards_.note_peers_changed();
  shards_are_stale_ = true;
}

void stage_exchange::assign_shards(base::time_point now) {
  shards_are_stale_ = false;
  replicas_changed_ = false;
  counts_are_stale_ = true;
  if (!configuration_) {
    return;
  }
  const auto gathered_before = shards_.own_services();
  shards_.assign(*configuration_, is_stopping_);
  greet(peers_.set_gatherers(shards_.batchers(), now));
  for (const auto& [service, places] : gathered_before) {
    if (!shards_.own_services().contains(service) && shards_.has_shards_of(service)) {
      hand_over(service, now);
    }
  }
}

void stage_exchange::greet(const std::vector<base::node_id>& batchers) {
  for (const auto& node : batchers) {
    // The transport connects with the first message and may lose it; this one holds nothing.
    message_to(node);
  }
}

stage_exchange::usable_replicas stage_exchange::count_usable_of(const shard& one,
                                                                base::time_point now) const {
  const auto& capacity = *configuration_->find_service(one.service)->pieces;
  const auto full_call = usual_time(capacity, capacity.batch);
  usable_replicas usable;
  for (const auto& id : one.replicas) {
    const auto* replica = replicas_->find(id);
    if (replica == nullptr) {
      continue;
    }
    const auto part = replicas_->limited_part(*replica, full_call);
    if (replicas_->is_available(*replica, now)) {
      usable.now += part;
    } else if (replicas_->rests_only_for_backoff(*replica, now)) {
      usable.pausing += part;
      usable.opens_at = std::min(usable.opens_at, replica->backoff.until());
    }
  }
  return usable;
}

const std::vector<stage_exchange::batcher>&
stage_exchange::assigned_batchers(const std::string& service, base::time_point now) const {
  static const std::vector<batcher> none;
  if (counts_are_stale_) {
    counts_are_stale_ = false;
    count_callable(now);
  }
  const auto found = batchers_.find(service);
  return found == batchers_.end() ? none : found->second;
}

void stage_exchange::count_callable(base::time_point now) const {
  batchers_.clear();
  for (const auto& one : shards_.shards()) {
    const auto usable = count_usable_of(one, now);
    auto& known = batchers_[one.service];
    auto found = std::find_if(known.begin(), known.end(), [&](const batcher& other) {
      return other.node == one.batcher && other.region == one.region && other.zone == one.zone;
    });
    if (found == known.end()) {
      known.push_back({one.batcher, one.region, one.zone, 0, {}});
      found = std::prev(known.end());
    }
    const bool opens_later = found->opens_at > now;
    if (usable.now > 0) {
      found->replicas = (opens_later ? 0 : found->replicas) + usable.now;
      found->opens_at = {};
    } else if (usable.pausing > 0 && (opens_later || found->replicas == 0)) {
      found->replicas += usable.pausing;
      found->opens_at = opens_later ? std::min(found->opens_at, usable.opens_at) : usable.opens_at;
    }
  }
}

void stage_exchange::describe_own_shards(wire::stage_load& load, base::time_point now) const {
  for (const auto& candidate : assigned_batchers(load.service(), now)) {
    if (candidate.node == self_.node) {
      load.set_replicas(load.replicas() +
                        static_cast<std::uint32_t>(std::ceil(candidate.replicas)));
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
  for (const auto& node : peers_.reporters()) {
    const auto& peer = *peers_.find(node);
    const auto load = peer.loads.find(service);
    const bool gathers = load != peer.loads.end() && load->second.replicas() > 0 &&
                         load->second.of_zone() && peer_directory::has_fresh_loads(peer, now);
    const auto& zone = peer.peer.zone;
    // In the own zone this node's assignment decides: two gatherers would share the replicas.
    if (gathers && zone != self_.zone && !is_assigned(node) && peer_directory::is_fit(peer) &&
        replicas_->is_reachable(zone) && !replicas_->is_evacuated(zone)) {
      const auto replicas = static_cast<double>(load->second.replicas());
      found.push_back({node, regions_.neighbourhood_of(zone), zone, replicas, {}});
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
    const auto in_time = pool_.waiting_in_time(service, now);
    return {static_cast<double>(in_time), static_cast<double>(pool_.waiting(service) - in_time),
            static_cast<double>(pool_.calls_under_way(service)),
            pool_.drain_rate_of(service, now).value_or(0)};
  }
  batcher_load load;
  const auto* peer = peers_.find(node);
  if (const auto told = peer->loads.find(service); told != peer->loads.end()) {
    load = {static_cast<double>(told->second.waiting()),
            static_cast<double>(told->second.waiting_past_due()),
            static_cast<double>(told->second.calls_under_way()), told->second.drain_rate()};
  }
  if (const auto sent = peer->sent_since.find(service); sent != peer->sent_since.end()) {
    load.waiting += sent->second;
  }
  return load;
}

double stage_exchange::expected_wait_seconds(const batcher& candidate, const std::string& service,
                                             piece_order standing, base::time_point now) const {
  const auto* found = configuration_->find_service(service);
  const auto& capacity = *found->pieces;
  const auto load = load_of(candidate.node, service, now);
  const double full_call =
      base::to_seconds(capacity.call_time) + base::to_seconds(capacity.item_time) * capacity.batch;
  const double ahead =
      standing == piece_order::in_time ? load.waiting : load.waiting + load.waiting_past_due;
  const double calls_ahead = ahead / capacity.batch + load.calls_under_way / 2;
  // Replicas of which nothing is known take at least as much as one.
  const double replicas = candidate.replicas > 0 ? candidate.replicas : 1;
  const double by_capacity = calls_ahead * full_call / replicas;
  // Room for results may bound a service far below what its calls could carry.
  const double by_rate = load.drain_rate > 0 ? ahead / load.drain_rate : 0;
  const double until_open = std::max(0.0, base::to_seconds(candidate.opens_at - now));
  return until_open + std::max(by_capacity, by_rate);
}

double stage_exchange::distance_seconds(const batcher& candidate, const base::zone_id& zone,
                                        double result_bytes) const {
  auto ring = model::ring::zone;
  if (candidate.region != regions_.neighbourhood_of(zone)) {
    ring = model::ring::elsewhere;
  } else if (candidate.zone && *candidate.zone != zone) {
    ring = model::ring::region;
  }
  return distance::seconds(ring, result_bytes);
}

std::optional<base::duration> stage_exchange::expected_wait(const service_demand& demand,
                                                            piece_order standing,
                                                            base::time_point now) const {
  std::optional<double> least;
  for (const auto& candidate : batchers_of(demand.service, demand.permitted_regions, now)) {
    if (candidate.replicas > 0) {
      const double wait = expected_wait_seconds(candidate, demand.service, standing, now) +
                          distance_seconds(candidate, demand.zone, 0);
      least = std::min(least.value_or(wait), wait);
    }
  }
  return least ? std::optional(base::from_seconds(*least)) : std::nullopt;
}

std::optional<base::node_id> stage_exchange::choose_batcher(const piece_work& work,
                                                            double result_bytes,
                                                            base::time_point now) const {
  std::optional<base::node_id> best;
  bool best_can_call = false;
  double best_cost = 0;
  for (const auto& candidate : batchers_of(work.service, work.permitted_regions, now)) {
    const bool can_call = candidate.replicas > 0;
    const double cost = expected_wait_seconds(candidate, work.service, piece_order::in_time, now) +
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
