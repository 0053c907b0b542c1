/// Issues permits for one limited replica, at the rate that it announces, to the nodes that ask for
/// them. Since a single node issues permits for all sends of the fleet, the limit is not split into
/// fixed shares, and one node may use all of it. No I/O.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace spurrack::rate_limits {

/// Time after which a received permit expires: a node that accumulated unused permits would send a
/// burst later.
inline constexpr base::duration permit_lifetime = std::chrono::milliseconds(200);
/// Time after which an unanswered query expires and is sent again: the querying node may have
/// stopped, or its requests may have gone to other replicas.
inline constexpr base::duration query_lifetime = std::chrono::milliseconds(800);

struct permit_query {
  base::node_id node;
  /// Returned with the permits, so that the querying node can match them to the query.
  std::uint64_t number = 0;
  /// Number of permits requested; 0 withdraws the earlier query of the node.
  std::uint32_t count = 1;
  /// Whether requests wait at the node that cannot be sent to any other replica now.
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
  /// Starts as the issuer of the replica. Permits of an earlier issuer may still be spent, so none
  /// are granted at first.
  explicit permit_issuer(base::time_point now) { restart(now); }

  /// Discards pending queries and accrued permits, and grants none for a while: the node was
  /// suspended, or has just become the issuer.
  void restart(base::time_point now);
  /// Sets the rate, in permits per second, at which permits accrue from now on.
  void set_rate(double per_second, base::time_point now);
  /// Records a query, which replaces the earlier query of the same node.
  void record_query(permit_query query, base::time_point now);
  /// Grants the permits that are available to pending queries.
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
  /// Grants permits to the queries of a queue in round-robin order, one permit per turn.
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
