/// Who gathers pieces for which replica, and how long a piece would wait there.
#include "serving/stage_exchange.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

constexpr base::duration refresh_period = std::chrono::milliseconds(50);
/// Replicas that one node gathers for; more are divided over several nodes.
constexpr std::size_t most_replicas_per_shard = 16;
/// Nodes that may use less than this part of what the strongest may do not gather.
constexpr double least_share_of_strongest = 0.5;
/// What carrying a megabyte to another region is worth, in seconds of waiting.
constexpr double seconds_per_remote_megabyte = 0.5;
/// What any work in another region is worth, in seconds of waiting.
constexpr double remote_region_seconds = 0.2;
constexpr double bytes_per_megabyte = 1e6;

} // namespace

std::string stage_exchange::region_of(const base::zone_id& zone) const {
  const auto found = regions_.find(zone);
  return found == regions_.end() ? zone.text() : found->second;
}

void stage_exchange::refresh(base::time_point now) {
  if (now < next_refresh_) {
    return;
  }
  next_refresh_ = now + refresh_period;
  peers_.mark_silent(now);
  own_replicas_.clear();
  const auto gathered_before = std::exchange(own_services_, {});
  gatherers_.clear();
  gatherer_of_.clear();
  const auto candidates = find_candidates();
  std::map<replica_group, std::vector<base::replica_id>> groups;
  for (const auto& [id, replica] : replicas_->all()) {
    const auto* service =
        configuration_ ? configuration_->find_service(replica.record->service) : nullptr;
    if (service != nullptr && service->pieces && !replica.record->draining && !replica.left) {
      groups[{service->name, region_of(replica.record->zone)}].push_back(id);
    }
  }
  for (const auto& [group, replicas] : groups) {
    const auto near = candidates.by_region.find(group.region);
    assign(group, replicas, near == candidates.by_region.end() ? candidates.all : near->second,
           now);
  }
  std::set<base::node_id> elected;
  for (const auto& [replica, node] : gatherer_of_) {
    elected.insert(node);
  }
  peers_.set_gatherers(elected, now);
  for (const auto& service : gathered_before) {
    if (!own_services_.contains(service) && gatherers_.contains(service)) {
      hand_over(service, now);
    }
  }
}

stage_exchange::candidate_nodes stage_exchange::find_candidates() const {
  std::map<std::string, double> strongest;
  strongest[region_of(self_.zone)] = stopping_ ? 0 : processor_share_;
  for (const auto& [node, peer] : peers_.all()) {
    if (peer_directory::is_fit(peer)) {
      auto& share = strongest[region_of(peer.peer.zone)];
      share = std::max(share, peer.processor_share);
    }
  }
  candidate_nodes found;
  const auto consider = [&](const base::node_id& node, const base::zone_id& zone, double share) {
    const auto region = region_of(zone);
    if (share >= strongest[region] * least_share_of_strongest) {
      found.by_region[region].push_back(node);
      found.all.push_back(node);
    }
  };
  for (const auto& [node, peer] : peers_.all()) {
    if (peer_directory::is_fit(peer)) {
      consider(node, peer.peer.zone, peer.processor_share);
    }
  }
  if (!stopping_ || found.all.empty()) {
    consider(self_.node, self_.zone, processor_share_);
  }
  return found;
}

void stage_exchange::assign(const replica_group& group,
                            const std::vector<base::replica_id>& replicas,
                            const std::vector<base::node_id>& candidates, base::time_point now) {
  const auto shards = (replicas.size() + most_replicas_per_shard - 1) / most_replicas_per_shard;
  for (const auto& replica : replicas) {
    const auto shard = base::stable_hash(replica.text()) % shards;
    const auto name = group.service + "/" + group.region + "/" + std::to_string(shard);
    const auto node = base::rendezvous_top(name, candidates, 1).front();
    gatherer_of_[replica] = node;
    if (node == self_.node) {
      own_replicas_.insert(replica);
      own_services_.insert(group.service);
    }
    add_gatherer(group, node, is_usable(replica, now));
  }
}

bool stage_exchange::is_usable(const base::replica_id& id, base::time_point now) const {
  const auto* replica = replicas_->find(id);
  return replica != nullptr && replica->paused_until <= now &&
         replicas_->is_reachable(replica->record->zone);
}

void stage_exchange::add_gatherer(const replica_group& group, const base::node_id& node,
                                  bool has_usable_replica) {
  auto& known = gatherers_[group.service];
  const auto found = std::find_if(known.begin(), known.end(), [&](const gatherer& other) {
    return other.node == node && other.region == group.region;
  });
  if (found == known.end()) {
    known.push_back({node, group.region, has_usable_replica ? 1U : 0U});
  } else if (has_usable_replica) {
    ++found->replicas;
  }
}

stage_exchange::gatherer_load stage_exchange::load_of(const base::node_id& node,
                                                      const std::string& service,
                                                      base::time_point now) const {
  if (node == self_.node) {
    const auto in_time = pool_.waiting_in_time(service, now);
    return {static_cast<double>(in_time), static_cast<double>(pool_.waiting(service) - in_time),
            static_cast<double>(pool_.calls_under_way(service)),
            pool_.drain_rate_of(service, now).value_or(0)};
  }
  gatherer_load load;
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

double stage_exchange::expected_wait_seconds(const gatherer& candidate, const std::string& service,
                                             piece_standing standing, base::time_point now) const {
  const auto* found = configuration_->find_service(service);
  const auto& capacity = *found->pieces;
  const auto load = load_of(candidate.node, service, now);
  const double full_call =
      base::to_seconds(capacity.call_time) + base::to_seconds(capacity.item_time) * capacity.batch;
  const double ahead =
      standing == piece_standing::in_time ? load.waiting : load.waiting + load.waiting_past_due;
  const double calls_ahead = ahead / capacity.batch + load.calls_under_way / 2;
  const double by_capacity = calls_ahead * full_call / std::max(1U, candidate.replicas);
  // Room for results may bound a service far below what its calls could carry.
  const double by_rate = load.drain_rate > 0 ? ahead / load.drain_rate : 0;
  return std::max(by_capacity, by_rate);
}

std::optional<base::duration> stage_exchange::expected_wait(const std::string& service,
                                                            piece_standing standing,
                                                            base::time_point now) const {
  const auto known = gatherers_.find(service);
  if (known == gatherers_.end()) {
    return std::nullopt;
  }
  std::optional<double> least;
  for (const auto& candidate : known->second) {
    if (candidate.replicas > 0) {
      const double wait = expected_wait_seconds(candidate, service, standing, now);
      least = std::min(least.value_or(wait), wait);
    }
  }
  return least ? std::optional(base::from_seconds(*least)) : std::nullopt;
}

const stage_exchange::gatherer* stage_exchange::choose_gatherer(const std::string& service,
                                                                double result_bytes,
                                                                const base::zone_id& zone,
                                                                base::time_point now) const {
  const auto known = gatherers_.find(service);
  if (known == gatherers_.end()) {
    return nullptr;
  }
  const gatherer* best = nullptr;
  double best_cost = 0;
  for (const auto& candidate : known->second) {
    const bool near = candidate.region == region_of(zone);
    const double remote_cost = near ? 0
                                    : remote_region_seconds + result_bytes / bytes_per_megabyte *
                                                                  seconds_per_remote_megabyte;
    const double cost =
        expected_wait_seconds(candidate, service, piece_standing::in_time, now) + remote_cost;
    if (best == nullptr || cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
  }
  return best;
}

} // namespace spurrack::serving
