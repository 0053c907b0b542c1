/// Bounds what a cold replica is sent by all nodes together, though no node sees what the others
/// send. While a replica is cold only a few nodes call it, found by rendezvous among the nodes of
/// its zone, each with a share of the bound as a token bucket. Half of the bound is planned with,
/// so that it holds while the fleet is divided into two halves that elect callers of their own.
///
/// The load it answers: a zone whose replicas come back together, or the end of an evacuation,
/// while every node of a large fleet sees them idle and all requests about one prompt want one of
/// them. Compared with a share for every node: 300 nodes with a bucket of one request each may send
/// 300 within a second; tests/serving/cold_limit_test.cc measures both.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "serving/settings.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace spurrack::serving {

/// What one node may send a cold replica.
struct cold_call_quota {
  /// Nodes that may call the replica.
  std::size_t callers = 1;
  /// Requests a second of each of them.
  double rate = 0;
};

/// @param requests_per_second what the replica's service bears while cold.
/// @param sole_caller a single node calls the replica anyhow.
[[nodiscard]] cold_call_quota cold_call_quota_of(const cold_bounds& bounds,
                                                 double requests_per_second, bool sole_caller);

/// Requests that may be sent at once: one, gathered at the rate of a share. Empty at first, so that
/// a node that restarts again and again gains nothing.
class cold_bucket {
 public:
  /// The replica turned cold; a bucket that fills already goes on.
  void start(base::time_point now);
  [[nodiscard]] bool has_token(const cold_call_quota& share, base::time_point now) const;
  void take_token(const cold_call_quota& share, base::time_point now);

 private:
  [[nodiscard]] double level(const cold_call_quota& share, base::time_point now) const;

  double tokens_ = 0;
  base::time_point filled_at_;
  bool begun_ = false;
};

/// Which nodes call a cold replica. Not thread-safe.
class cold_callers {
 public:
  explicit cold_callers(base::node_id self) : self_(std::move(self)) {}

  /// Takes over the nodes that are alive, this one among them, by zone.
  void set_nodes(std::map<base::zone_id, std::vector<base::node_id>> by_zone);
  /// @param zone of the replica; where no node of it is alive, those of all zones are asked.
  /// @return whether this node is one of the replica's `count` callers.
  [[nodiscard]] bool includes_self(const base::replica_id& replica, const base::zone_id& zone,
                                   std::size_t count);
  /// Bounds have changed: what was found before holds no longer.
  void forget() { known_.clear(); }

 private:
  base::node_id self_;
  std::map<base::zone_id, std::vector<base::node_id>> by_zone_;
  std::vector<base::node_id> all_;
  /// Answers found since the nodes changed last.
  std::unordered_map<base::replica_id, bool> known_;
};

} // namespace spurrack::serving
