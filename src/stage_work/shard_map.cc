#include "stage_work/shard_map.h"

#include "base/hashing.h"
#include "stage_work/stage_pool_limits.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Target number of replicas per shard. If more replicas are to be divided, they form several
/// shards.
constexpr std::size_t target_replicas_per_shard = 16;
/// In a region that needs more than one shard, a zone has shards of its own only if it has at least
/// this number of replicas of the service. With fewer, its calls would be sent half empty or wait
/// for the only free replica.
constexpr std::size_t min_replicas_per_zone_shard = 4;
/// Minimum processor share (cores that a node may use) of a batcher, as a fraction of the largest
/// processor share in its zone or region.
constexpr double min_relative_processor_share = 0.5;

} // namespace

shard_map::shard_map(fleet_peer self, model::zone_regions regions, const replica_table& replicas,
                     const peer_directory& peers)
    : self_(std::move(self)), regions_(std::move(regions)), replicas_(&replicas), peers_(&peers) {}

bool shard_map::has_shards_of(const std::string& service) const {
  return std::any_of(shards_.begin(), shards_.end(),
                     [&](const shard& entry) { return entry.service == service; });
}

std::set<base::node_id> shard_map::batchers() const {
  std::set<base::node_id> found;
  for (const auto& entry : shards_) {
    found.insert(entry.batcher);
  }
  return found;
}

bool shard_map::batches_for_other_zones() const {
  return std::any_of(shards_.begin(), shards_.end(), [&](const shard& entry) {
    return entry.batcher == self_.node && !entry.zone;
  });
}

void shard_map::assign(const model::serving_configuration& configuration, bool is_stopping) {
  shards_.clear();
  if (!candidates_ || is_stopping != is_stopping_) {
    is_stopping_ = is_stopping;
    candidates_ = find_candidates(is_stopping);
  }
  for (const auto& [name, service] : configuration.services) {
    if (!service.pieces) {
      continue;
    }
    const auto full_call_time =
        nominal_call_time(*service.pieces, service.pieces->max_pieces_per_call);
    for (const auto& [region, replicas] : replicas_by_region(name)) {
      divide_into_shards({name, full_call_time, region, std::nullopt, {}, {}}, replicas);
    }
  }
  note_own_shards();
}

void shard_map::note_own_shards() {
  own_replicas_.clear();
  own_services_.clear();
  for (const auto& entry : shards_) {
    if (entry.batcher == self_.node) {
      own_replicas_.insert(entry.replicas.begin(), entry.replicas.end());
      own_services_[entry.service].insert(entry.region);
    }
  }
}

std::map<model::effective_region, shard_map::zone_replicas>
shard_map::replicas_by_region(const std::string& service) {
  zone_replicas by_zone;
  for (const auto* state : replicas_->of_service(service)) {
    ++evaluations_;
    const auto& record = *state->record;
    const bool accepts_work = !record.draining && !replicas_->has_announced_drain(*state) &&
                              !replicas_->is_evacuated(record.zone);
    if (accepts_work) {
      by_zone[record.zone].push_back(state);
    }
  }
  std::map<model::effective_region, zone_replicas> regions;
  for (auto& [zone, replicas] : by_zone) {
    regions[regions_.effective_region_of(zone)][zone] = std::move(replicas);
  }
  return regions;
}

shard_map::candidate_nodes shard_map::find_candidates(bool is_stopping) {
  std::map<base::zone_id, double> max_share_by_zone;
  std::map<model::effective_region, double> max_share_by_region;
  const auto note_processor_share = [&](const base::zone_id& zone, double share) {
    auto& in_zone = max_share_by_zone[zone];
    in_zone = std::max(in_zone, share);
    auto& in_region = max_share_by_region[regions_.effective_region_of(zone)];
    in_region = std::max(in_region, share);
  };
  candidate_nodes found;
  const auto consider = [&](const fleet_peer& node) {
    ++evaluations_;
    if (node.processor_share >= max_share_by_zone[node.zone] * min_relative_processor_share) {
      found.by_zone[node.zone].push_back(node.node);
    }
    const auto region = regions_.effective_region_of(node.zone);
    if (node.processor_share >= max_share_by_region[region] * min_relative_processor_share) {
      found.by_region[region].push_back(node.node);
      found.all.push_back(node.node);
    }
  };
  if (!is_stopping) {
    note_processor_share(self_.zone, self_.processor_share);
  }
  for (const auto& [node, peer] : peers_->all()) {
    if (peer_directory::is_eligible(peer)) {
      note_processor_share(peer.peer.zone, peer.peer.processor_share);
    }
  }
  for (const auto& [node, peer] : peers_->all()) {
    if (peer_directory::is_eligible(peer)) {
      consider(peer.peer);
    }
  }
  if (!is_stopping || found.all.empty()) {
    consider(self_);
  }
  return found;
}

void shard_map::divide_into_shards(const shard& common, const zone_replicas& replicas) {
  std::size_t count = 0;
  for (const auto& [zone, members] : replicas) {
    count += members.size();
  }
  state_list region_replicas;
  for (const auto& [zone, members] : replicas) {
    const auto zone_candidates = candidates_->by_zone.find(zone);
    const bool has_zone_shard = zone_candidates != candidates_->by_zone.end() &&
                                count > target_replicas_per_shard &&
                                members.size() >= min_replicas_per_zone_shard;
    if (!has_zone_shard) {
      region_replicas.insert(region_replicas.end(), members.begin(), members.end());
    } else if (zone == self_.zone) {
      auto zone_common = common;
      zone_common.zone = zone;
      add_shards(zone_common, members, zone_candidates->second);
    }
  }
  const auto region_candidates = candidates_->by_region.find(common.region);
  add_shards(common, region_replicas,
             region_candidates == candidates_->by_region.end() ? candidates_->all
                                                               : region_candidates->second);
}

void shard_map::add_shards(const shard& common, const state_list& replicas,
                           const std::vector<base::node_id>& candidates) {
  const auto count = (replicas.size() + target_replicas_per_shard - 1) / target_replicas_per_shard;
  const auto scope = common.zone ? common.zone->text() : common.region.name;
  const auto first = shards_.size();
  for (std::size_t index = 0; index < count; ++index) {
    auto added = common;
    const auto name = common.service + "/" + scope + "/" + std::to_string(index);
    added.batcher = base::rendezvous_top(name, candidates, 1).front();
    shards_.push_back(std::move(added));
  }
  for (const auto* replica : replicas) {
    const auto& id = replica->record->id;
    shards_[first + base::stable_hash(id.text()) % count].replicas.push_back(id);
  }
}

} // namespace spurrack::serving
