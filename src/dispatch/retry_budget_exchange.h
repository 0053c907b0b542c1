/// Asks other nodes for part of their share of repeats when this node's is spent, and lends of its
/// own. No I/O.
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

/// What lending did, for metrics.
struct budget_exchange_counts {
  std::uint64_t queries = 0;
  std::uint64_t sent_milli_retries = 0;
  std::uint64_t received_milli_retries = 0;
};

/// Not thread-safe. Messages gather until they are taken.
class retry_budget_exchange {
 public:
  /// @param share what is lent and borrowed; must outlive this object, as must `random`.
  /// @param life of this process: an answer to an earlier one is none.
  retry_budget_exchange(retry_budget& budget, base::zone_id own_zone, base::random_source& random,
                        base::incarnation incarnation);

  /// This node works since `now`; later calls change nothing. It lends nothing in its first window:
  /// it may not know yet how many nodes share the bound, nor what its last life has lent.
  void start(base::time_point now);
  /// Nodes that may be asked.
  void set_peers(const std::vector<fleet_peer>& alive);

  /// Repeats are wanted and the share is spent: asks others for what is missing, where that was not
  /// just done.
  /// @param repeats wanted in all, at least 1.
  /// @return whether answers are awaited.
  bool query_peers(const std::string& service, std::size_t retries, base::time_point now);
  /// @return whether answers are awaited that may still let a repeat be granted.
  [[nodiscard]] bool is_awaiting_answers(const std::string& service, base::time_point now) const;

  void handle(const base::node_id& sender, const base::network_address& address,
              const wire::retry_lending& message, base::time_point now);

  [[nodiscard]] wire::outbox take_messages() { return std::exchange(messages_, {}); }
  [[nodiscard]] const budget_exchange_counts& counts() const { return counts_; }

 private:
  /// The latest question about one service.
  struct query {
    std::uint64_t number = 0;
    base::time_point sent_at;
    /// Those that did not answer yet. Each answers once: a message may come twice.
    std::vector<base::node_id> awaited_donors;
    /// What was lent made up a repeat.
    bool is_sufficient = false;
    /// Time to the next question; longer after each that did not suffice.
    base::duration interval{};
  };
  void answer_query(const base::network_address& recipient, const wire::retry_lending& query,
                    base::time_point now);
  void receive_transfer(const base::node_id& donor, const wire::retry_lending& answer,
                        base::time_point now);
  /// @return peers that are asked now: mostly near ones, which answer soon, and a far one, since
  ///         those near may share the trouble.
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
