/// Queries other nodes for a transfer of retry budget when this node's budget is spent, and answers
/// such queries. No I/O.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "dispatch/retry_budget.h"
#include "fleet_view/peer_directory.h"
#include "wire/outgoing.h"
#include "wire/peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace spurrack::serving {

/// Numbers of queries and of transferred retries, for metrics.
struct budget_exchange_counts {
  std::uint64_t queries = 0;
  std::uint64_t sent_milli_retries = 0;
  std::uint64_t received_milli_retries = 0;
};

/// Exchanges retry budget with other nodes: a node whose budget is spent (the recipient) queries
/// others, and each queried node (a donor) answers with the amount that it transfers. Messages are
/// collected until `take_messages` is called. Not thread-safe.
class retry_budget_exchange {
 public:
  /// @param budget source and target of transfers; must outlive this object, as must `random`.
  /// @param incarnation of this process; answers to queries of earlier incarnations are ignored.
  retry_budget_exchange(retry_budget& budget, base::zone_id own_zone, base::random_source& random,
                        base::incarnation incarnation);

  /// Records that this node serves requests from `now` on; later calls have no effect. The node
  /// transfers no budget until one window and one transfer lifetime have passed: it may not know
  /// yet how many nodes share the fleet-wide budget, nor which amounts its earlier incarnation
  /// transferred.
  void start(base::time_point now);
  /// Replaces the nodes that can be queried.
  void set_peers(const std::vector<fleet_peer>& alive);

  /// Asks other nodes for the retry budget that this node lacks, unless an earlier query about the
  /// service is unanswered or too recent.
  /// @param retries number of retries that requests of the service need now, at least 1.
  /// @return whether answers to a query about the service are awaited.
  bool query_peers(const std::string& service, std::size_t retries, base::time_point now);
  /// @return whether answers to the latest query about the service are still awaited.
  [[nodiscard]] bool is_awaiting_answers(const std::string& service, base::time_point now) const;

  /// Answers the query of another node, or records the transfer in its answer.
  void handle(const base::node_id& sender, const base::network_address& address,
              const wire::retry_lending& message, base::time_point now);

  [[nodiscard]] wire::outbox take_messages() { return std::exchange(messages_, {}); }
  [[nodiscard]] const budget_exchange_counts& counts() const { return counts_; }

 private:
  /// The latest query about one service.
  struct query {
    std::uint64_t number = 0;
    base::time_point sent_at;
    /// Donors that have not answered yet. Only one answer of each donor counts because a message
    /// may arrive twice.
    std::vector<base::node_id> awaited_donors;
    /// Whether the transfers sufficed for one retry.
    bool is_sufficient = false;
    /// Minimum time between this query and the next; doubles after each insufficient query.
    base::duration interval{};
  };
  void answer_query(const base::network_address& recipient, const wire::retry_lending& query,
                    base::time_point now);
  void receive_transfer(const base::node_id& donor, const wire::retry_lending& answer,
                        base::time_point now);
  /// @return peers to query: mostly peers of this node's zone, which answer soon, and one peer of
  ///         another zone because peers of this node's zone may need their budgets for the same
  ///         failure.
  std::vector<const fleet_peer*> choose_donors();

  retry_budget* budget_;
  base::zone_id own_zone_;
  base::random_source* random_;
  base::incarnation incarnation_;
  std::optional<base::time_point> started_at_;
  std::vector<fleet_peer> nearby_peers_;
  std::vector<fleet_peer> remote_peers_;
  std::uint64_t next_query_number_ = 1;
  std::map<std::string, query> queries_;
  wire::outbox messages_;
  budget_exchange_counts counts_;
};

} // namespace spurrack::serving
