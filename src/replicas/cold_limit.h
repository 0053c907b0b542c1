/// Bounds the requests per second that all nodes together send to a cold replica: a replica that
/// has just started or lost its caches and therefore sustains only few requests. No node sees the
/// requests of other nodes. While a replica is cold, only a few nodes, its callers, send requests
/// to it. The callers are chosen by rendezvous hashing among the nodes of the replica's zone, and
/// each caller has a token bucket with its part of the bound. All callers together use only half of
/// the bound, so that the bound also holds while the fleet is partitioned into two halves that each
/// choose their own callers.
///
/// The bound guards against the load after all replicas of a zone restart together or an evacuation
/// ends: every node of a large fleet sees these replicas idle, and all requests with the same
/// prompt prefix go to the same replica. A quota for every node does not keep the bound: 300 nodes
/// with a bucket of one request each may send 300 requests within a second.
/// tests/replicas/cold_limit_test.cc measures both policies.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "serving/settings.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace spurrack::serving {

/// Number of nodes that may call a cold replica, and the rate at which each of them may call it.
struct cold_call_quota {
  /// Number of nodes that may call the replica.
  std::size_t callers = 1;
  /// Requests per second that each caller may send to the replica.
  double requests_per_second = 0;
};

/// Divides half of the bound on requests to a cold replica among the callers of the replica.
/// @param requests_per_second rate that a cold replica of the service sustains.
/// @param has_single_caller whether only one node ever calls the replica, warm or cold.
[[nodiscard]] cold_call_quota
cold_call_quota_of(const cold_bounds& bounds, double requests_per_second, bool has_single_caller);

/// Token bucket of one caller for one cold replica. Holds at most one token and fills at the rate
/// of the quota. Starts empty, so that a node that restarts repeatedly does not gain tokens.
class cold_bucket {
 public:
  /// Starts to fill the bucket. To be called whenever the replica turns cold; has no effect if the
  /// bucket is already started.
  void start(base::time_point now);
  [[nodiscard]] bool has_token(const cold_call_quota& quota, base::time_point now) const;
  /// Takes one token; the level becomes negative if the bucket holds no token. Precondition: the
  /// bucket is started.
  void take_token(const cold_call_quota& quota, base::time_point now);

 private:
  [[nodiscard]] double level(const cold_call_quota& quota, base::time_point now) const;

  double tokens_ = 0;
  /// Time at which `tokens_` was computed.
  base::time_point updated_at_;
  bool is_started_ = false;
};

/// Chooses the nodes that may call a cold replica; all nodes that see the same nodes alive choose
/// the same callers. Not thread-safe.
class cold_callers {
 public:
  explicit cold_callers(base::node_id self) : self_(std::move(self)) {}

  /// Replaces the nodes that are alive, grouped by zone. They include this node.
  void set_nodes(std::map<base::zone_id, std::vector<base::node_id>> by_zone);
  /// @param zone zone of the replica. If none of its nodes is alive, the callers are chosen among
  ///        the nodes of all zones.
  /// @param count number of callers of the replica.
  /// @return whether this node is one of the callers.
  [[nodiscard]] bool includes_self(const base::replica_id& replica, const base::zone_id& zone,
                                   std::size_t count);
  /// Clears the cached choices. To be called when the bounds on requests to cold replicas change,
  /// because the number of callers depends on them.
  void clear_cache() { includes_self_.clear(); }

 private:
  base::node_id self_;
  std::map<base::zone_id, std::vector<base::node_id>> by_zone_;
  std::vector<base::node_id> all_nodes_;
  /// Cached results of `includes_self`, valid for the current nodes and for the current bounds on
  /// requests to cold replicas.
  std::unordered_map<base::replica_id, bool> includes_self_;
};

} // namespace spurrack::serving
