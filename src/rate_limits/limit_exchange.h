/// Keeps the requests per second that all nodes together send to a replica within the limit that
/// the replica announces. No I/O: messages are queued until `take_messages`.
///
/// `self_reports` provides the announced limits. For each limited replica, one node, the issuer,
/// issues permits at the announced rate, and each send of any node spends one permit. The issuer is
/// chosen by rendezvous hashing among the nodes of the replica's zone. Permits are leases of a
/// shared rate, as in the paper on sharing networked resources that docs/design/rate-limits.md
/// cites.
///
/// In a partitioned fleet, an issuer that can reach more than half of the fleet issues permits for
/// the whole limit. Any other issuer multiplies the limit by the fraction of the fleet that it can
/// reach, so that the two sides of a partition do not both issue the whole limit.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "rate_limits/permit_issuer.h"
#include "rate_limits/permit_stock.h"
#include "self_reports/self_report_exchange.h"
#include "wire/outgoing.h"
#include "wire/peer.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::rate_limits {

struct limit_counts {
  std::uint64_t messages = 0;
  std::uint64_t permits_issued = 0;
  std::uint64_t permits_received = 0;
  /// Permits that were discarded when they arrived, because they answer no valid query: since the
  /// query, this node was restarted or suspended, or ceased to keep permits for the replica.
  std::uint64_t permits_expired = 0;
};

/// Limits, permits and issuers as one node knows them. Not thread-safe.
class limit_exchange {
 public:
  /// @param reports provides the limits that replicas announce; must outlive this object.
  /// @param incarnation start of this process, as a number higher than every earlier incarnation.
  limit_exchange(serving::fleet_peer self, const self_reports::self_report_exchange& reports,
                 self_reports::replica_lookup lookup, base::incarnation incarnation);

  /// Replaces the set of live nodes, which excludes this node.
  /// @param known_peers number of all other nodes of the fleet, including unreachable nodes: those
  ///        may issue permits on their own.
  void set_peers(const std::vector<serving::fleet_peer>& alive, std::size_t known_peers);
  /// Returns whether any replica announces a limit or recently lifted its limit.
  [[nodiscard]] bool has_limits() const { return !announced_limits().empty(); }
  [[nodiscard]] const self_reports::limit_registry& announced_limits() const {
    return self_reports_->limits();
  }
  /// Returns the number of replicas that announce a limit.
  [[nodiscard]] std::size_t limited_replicas() const;

  /// Forgets a replica that was removed or restarted.
  void forget(const base::replica_id& replica);

  /// Returns whether a request may be sent to a replica now: the replica is not limited, or this
  /// node holds a permit.
  [[nodiscard]] bool may_send(const base::replica_id& replica, base::time_point now) const;
  /// Records that a request is sent, which spends a permit if the replica is limited.
  void note_sent(const base::replica_id& replica, base::time_point now);
  /// Records that only the lack of a permit kept a request from being sent to a limited replica.
  void note_unmet_demand(const base::replica_id& replica, base::time_point now);
  /// Records the number of requests that wait for a permit of a limited replica and cannot be sent
  /// to another replica now.
  void note_waiting(const base::replica_id& replica, std::uint32_t count, base::time_point now);

  /// Discards the permits that this node holds, and those that it could issue. To be called after a
  /// suspension of this process.
  void resume_after_suspension(base::time_point now);
  /// Processes the queries and permits in a message of another node. Before that,
  /// `self_report_exchange` must have processed the limits in the message.
  void handle(const base::node_id& sender, const wire::rate_limits& message, base::time_point now);
  /// Sends the queries and issues the permits that are due.
  void advance(base::time_point now);
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;

  [[nodiscard]] wire::outbox take_messages() { return std::exchange(messages_, {}); }
  [[nodiscard]] const limit_counts& counts() const { return counts_; }
  /// Returns the issuer of a replica's permits, as this node sees the fleet: a live node of the
  /// replica's zone, or of any zone if that zone has no live node or is not known.
  [[nodiscard]] base::node_id issuer_of(const base::replica_id& replica) const;
  /// Returns the stock of permits for a replica; null if this node has needed no permit since the
  /// replica announced a limit.
  [[nodiscard]] const permit_stock* stock_of(const base::replica_id& replica) const;

 private:
  using message_map = std::map<base::node_id, wire::rate_limits>;

  void enqueue_query(const base::replica_id& replica);
  void query_issuers(base::time_point now);
  /// Queries the issuer of a replica for permits: adds a query to the message to the issuer, or
  /// records the query at once if this node is the issuer.
  /// @param count number of permits; 0 withdraws the pending query.
  void add_query(const base::replica_id& replica, std::uint32_t count, message_map& messages,
                 base::time_point now);
  /// Withdraws queries that were sent for waiting requests if these requests no longer need
  /// permits: granted permits would expire unused.
  void withdraw_queries(message_map& messages, base::time_point now);
  /// Issues the permits that are due for the replicas whose issuer this node is.
  void issue_permits(base::time_point now);
  /// Adds granted permits to the stock of a replica. If they answer no valid query, discards them
  /// and counts them as `permits_expired`.
  void record_grant(const base::replica_id& replica, const permit_grant& grant,
                    base::time_point now);
  void forget_stocks_without_limit(base::time_point now);
  void send(message_map messages);
  /// Returns the rate, in permits per second, at which this node issues permits for a limit of
  /// `per_second` requests per second.
  [[nodiscard]] double issue_rate_of(double per_second) const;

  serving::fleet_peer self_;
  const self_reports::self_report_exchange* self_reports_;
  self_reports::replica_lookup lookup_;
  std::map<base::replica_id, permit_stock> stocks_;
  std::map<base::replica_id, permit_issuer> issuers_;
  /// Replicas for which permits are to be queried, in the order of the queries.
  std::deque<base::replica_id> replicas_to_query_;
  /// The elements of `replicas_to_query_`.
  std::set<base::replica_id> queued_replicas_;
  /// Replicas for which requests waited when this node last sent a query for the replica's permits.
  std::set<base::replica_id> replicas_with_waiting_requests_;
  std::map<base::node_id, serving::fleet_peer> peers_;
  std::map<base::zone_id, std::vector<base::node_id>> nodes_by_zone_;
  std::vector<base::node_id> nodes_;
  /// Fraction of a limit for which this node, as an issuer, issues permits; below 1 if it can reach
  /// no more than half of the fleet.
  double issued_fraction_ = 1;
  /// Cache of `issuer_of`, cleared when the set of live nodes changes.
  mutable std::unordered_map<base::replica_id, base::node_id> issuer_by_replica_;
  /// Number of the last query; starts at the incarnation of this node.
  std::uint64_t query_number_;
  base::time_point next_query_at_;
  /// Time at which this node next issues permits; std::nullopt if no query to this node is pending.
  std::optional<base::time_point> next_issue_at_;
  base::time_point next_cleanup_at_;
  wire::outbox messages_;
  limit_counts counts_;
};

} // namespace spurrack::rate_limits
