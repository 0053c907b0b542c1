/// Which node gathers the pieces for which replicas: the replicas of a service are divided into
/// shards, and each shard has one gatherer, found by rendezvous hashing. No messages.
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

/// Replicas of one service for which one node gathers.
struct shard {
  std::string service;
  model::neighbourhood region;
  /// Set where all its replicas are of one zone.
  std::optional<base::zone_id> zone;
  std::vector<base::replica_id> replicas;
  base::node_id batcher;
};

/// Few replicas are one shard of their region; many are divided by zone, and only those of the own
/// zone are kept here: gatherers of other zones tell of themselves.
///
/// Kept: the nodes that may gather, found anew when a node comes, goes or changes; the shards,
/// found anew when that happens or a replica with pieces does. Finding the shards looks once at
/// each replica with pieces and copies the identifiers of those of the own zone. Not thread-safe.
class shard_map {
 public:
  /// @param replicas, peers must outlive this object.
  shard_map(fleet_peer self, model::zone_regions regions, const replica_table& replicas,
            const peer_directory& peers);

  /// Other nodes came or went, or are fit for work or not otherwise than before.
  void note_peers_changed() { candidates_.reset(); }
  /// Divides the replicas of all services with pieces and finds the gatherer of each shard.
  /// @param stopping this node gathers only where nobody else can.
  void assign(const model::serving_configuration& configuration, bool is_stopping);

  [[nodiscard]] const std::vector<shard>& shards() const { return shards_; }
  [[nodiscard]] bool has_shards_of(const std::string& service) const;
  /// @return nodes that gather for some shard.
  [[nodiscard]] std::set<base::node_id> batchers() const;
  /// Replicas this node gathers for.
  [[nodiscard]] const std::set<base::replica_id>& own_replicas() const { return own_replicas_; }
  /// The services that they belong to, with where they are.
  [[nodiscard]] const std::map<std::string, std::set<model::neighbourhood>>& own_services() const {
    return own_services_;
  }
  /// @return whether this node gathers for replicas of several zones.
  [[nodiscard]] bool batches_for_other_zones() const;
  /// @return replicas looked at and nodes considered since the start.
  [[nodiscard]] std::uint64_t evaluations() const { return evaluations_; }

 private:
  using state_list = std::vector<const replica_state*>;
  /// Replicas of one service in one region, by zone.
  using zone_replicas = std::map<base::zone_id, state_list>;
  /// Nodes that may gather pieces.
  struct candidate_nodes {
    std::map<base::zone_id, std::vector<base::node_id>> by_zone;
    std::map<model::neighbourhood, std::vector<base::node_id>> by_region;
    std::vector<base::node_id> all;
  };

  [[nodiscard]] candidate_nodes find_candidates(bool is_stopping);
  /// @return replicas of a service that take work.
  [[nodiscard]] std::map<model::neighbourhood, zone_replicas>
  replicas_by_region(const std::string& service);
  void divide_into_shards(const shard& common, const zone_replicas& replicas);
  /// Adds shards of replicas that all stand behind the same candidates.
  void add_shards(const shard& common, const state_list& replicas,
                  const std::vector<base::node_id>& candidates);
  void note_own_shards();

  fleet_peer self_;
  model::zone_regions regions_;
  const replica_table* replicas_;
  const peer_directory* peers_;
  /// Nothing where they are to be found anew.
  std::optional<candidate_nodes> candidates_;
  bool is_stopping_ = false;
  std::vector<shard> shards_;
  std::set<base::replica_id> own_replicas_;
  std::map<std::string, std::set<model::neighbourhood>> own_services_;
  std::uint64_t evaluations_ = 0;
};

} // namespace spurrack::serving
