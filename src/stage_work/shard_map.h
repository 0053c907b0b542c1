/// Assigns replicas to the nodes that batch pieces for them: the replicas of a service are divided
/// into shards, and each shard has one batcher, found by rendezvous hashing. Sends no messages.
#pragma once

#include "base/ids.h"
#include "fleet_view/peer_directory.h"
#include "model/residency.h"
#include "model/serving_records.h"
#include "replicas/replica_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spurrack::serving {

/// A shard: replicas of one service for which the same node, the batcher, batches pieces.
struct shard {
  std::string service;
  /// Duration of a call with a full batch, by the configuration with which the shard was formed.
  base::duration full_call_time{};
  model::effective_region region;
  /// Set if the shard belongs to one zone; std::nullopt for a shard of a region.
  std::optional<base::zone_id> zone;
  std::vector<base::replica_id> replicas;
  base::node_id batcher;
};

/// Holds the shards of all services. If a service has few replicas in a region, they form one
/// shard. If it has many, each zone with nodes and enough replicas has its own shards, and the
/// replicas of the other zones share the shards of the region. Of the shards of zones, this node
/// keeps only those of its own zone: the batchers of other zones announce themselves in their load
/// reports.
///
/// The candidates for batchers are recomputed after a node is added, removed or changed. The shards
/// are recomputed by each `assign`, which callers use after a change of nodes or of replicas that
/// run pieces. `assign` evaluates once, for each replica that runs pieces, whether the replica
/// accepts work, and copies the identifiers of the replicas in the shards that it keeps. Not
/// thread-safe.
class shard_map {
 public:
  /// @param replicas, peers must outlive this object.
  shard_map(fleet_peer self, model::zone_regions regions, const replica_table& replicas,
            const peer_directory& peers);

  /// Must be called after other nodes were added or removed, or their eligibility for work changed.
  void note_peers_changed() { candidates_.reset(); }
  /// Divides the replicas of all services with pieces into shards and selects the batcher of each.
  /// @param is_stopping whether this node is in a graceful stop: it is then a batcher only if no
  ///        other node can be.
  void assign(const model::serving_configuration& configuration, bool is_stopping);

  [[nodiscard]] const std::vector<shard>& shards() const { return shards_; }
  [[nodiscard]] bool has_shards_of(const std::string& service) const;
  /// @return batchers of all shards.
  [[nodiscard]] std::set<base::node_id> batchers() const;
  /// @return replicas of the shards of which this node is the batcher.
  [[nodiscard]] const std::set<base::replica_id>& own_replicas() const { return own_replicas_; }
  /// @return services of `own_replicas`, with the regions of these replicas.
  [[nodiscard]] const std::map<std::string, std::set<model::effective_region>>&
  own_services() const {
    return own_services_;
  }
  /// @return whether this node is the batcher of a shard that is not limited to one zone.
  [[nodiscard]] bool batches_for_other_zones() const;
  /// @return how often, since construction, this object has checked whether a replica accepts work
  ///         or whether a node may be a batcher.
  [[nodiscard]] std::uint64_t evaluations() const { return evaluations_; }

 private:
  using state_list = std::vector<const replica_state*>;
  /// Replicas of one service in one region, by zone.
  using zone_replicas = std::map<base::zone_id, state_list>;
  /// Nodes that may be batchers: `by_zone` for the shards of a zone, `by_region` for the shards of
  /// a region, and `all` for the shards of a region in which no node may be a batcher.
  struct candidate_nodes {
    std::map<base::zone_id, std::vector<base::node_id>> by_zone;
    std::map<model::effective_region, std::vector<base::node_id>> by_region;
    std::vector<base::node_id> all;
  };

  [[nodiscard]] candidate_nodes find_candidates(bool is_stopping);
  /// @return replicas of a service that accept work.
  [[nodiscard]] std::map<model::effective_region, zone_replicas>
  replicas_by_region(const std::string& service);
  /// Adds the shards of the replicas of one service in one region.
  /// @param common service and region of the shards.
  void divide_into_shards(const shard& common, const zone_replicas& replicas);
  /// Divides `replicas` into shards, adds these to `shards_`, and selects the batcher of each from
  /// `candidates`.
  /// @param common service, region and zone of the shards.
  void add_shards(const shard& common, const state_list& replicas,
                  const std::vector<base::node_id>& candidates);
  /// Computes `own_replicas_` and `own_services_` from the shards.
  void note_own_shards();

  fleet_peer self_;
  model::zone_regions regions_;
  const replica_table* replicas_;
  const peer_directory* peers_;
  /// Nodes that may be batchers; std::nullopt if they must be recomputed.
  std::optional<candidate_nodes> candidates_;
  bool is_stopping_ = false;
  std::vector<shard> shards_;
  std::set<base::replica_id> own_replicas_;
  std::map<std::string, std::set<model::effective_region>> own_services_;
  std::uint64_t evaluations_ = 0;
};

} // namespace spurrack::serving
