/// Issues permits for one limited replica to the nodes that query them, at the rate that the
/// replica announces. Since one node issues the permits for the sends of all nodes, the limit is
/// not split into fixed shares: a single node may use all of it. No I/O.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace spurrack::rate_limits {

/// Time after which a permit expires, counted from its arrival at the node that queried it. Without
/// expiry, a node could accumulate unused permits and send a burst later.
inline constexpr base::duration permit_lifetime = std::chrono::milliseconds(200);
/// Time after which a query expires if it is not answered completely. The querying node then sends
/// a new query if it still needs permits. The issuer drops the expired query, because the querying
/// node may have stopped or may have sent its requests to other replicas.
inline constexpr base::duration query_lifetime = std::chrono::milliseconds(800);

struct permit_query {
  base::node_id node;
  /// Number of this query. The issuer returns it with the permits, so that the querying node can
  /// match them to the query.
  std::uint64_t number = 0;
  /// Number of permits requested; 0 withdraws the earlier query of the node.
  std::uint32_t count = 1;
  /// Whether the node has waiting requests that it cannot send to any other replica now.
  bool has_waiting_requests = false;
};

/// Permits for one node, in answer to its query `number`.
struct permit_grant {
  std::uint64_t number = 0;
  std::uint32_t count = 0;
};

/// Token bucket and queue of queries for one replica. Not thread-safe.
class permit_issuer {
 public:
  /// Begins as the issuer of the replica. Grants no permits at first, because permits of an earlier
  /// issuer may still be spent.
  explicit permit_issuer(base::time_point now) { restart(now); }

  /// Discards pending queries and accrued permits, and grants none for a while: the node was
  /// suspended, or has just become the issuer.
  void restart(base::time_point now);
  /// Sets the rate, in permits per second, at which permits accrue from now on.
  void set_rate(double per_second, base::time_point now);
  /// Records a query, which replaces the earlier query of the same node.
  void record_query(permit_query query, base::time_point now);
  /// Grants the available permits to the pending queries.
  std::map<base::node_id, permit_grant> issue(base::time_point now);
  /// Returns the time at which the next permit can be granted; std::nullopt if no query is pending.
  [[nodiscard]] std::optional<base::time_point> next_issue_at() const;

 private:
  struct pending_query {
    permit_query query;
    base::time_point expires_at;
  };
  using query_queue = std::deque<pending_query>;

  void accrue(base::time_point now);
  /// Grants the available permits to the queries in `queue` in round-robin order, one permit per
  /// turn.
  void grant_permits(query_queue& queue, std::map<base::node_id, permit_grant>& grants,
                     base::time_point now);

  double rate_ = 0;
  /// Number of permits that may be granted, as of `accrued_at_`.
  double available_ = 0;
  base::time_point accrued_at_;
  /// Queries of nodes at which requests wait. They are served before `other_queries_`.
  query_queue urgent_queries_;
  query_queue other_queries_;
};

} // namespace spurrack::rate_limits
