/// Has replicas get no more requests a second from all nodes together than they name. No I/O:
/// messages are gathered.
///
/// `replica_statements` knows what replicas name. One node, found by rendezvous hashing among the
/// nodes of the replica's zone, issues permits for it at that pace, and each send takes one (leases
/// of a shared rate, as in the paper on sharing networked resources that docs/design/rate-limits.md
/// cites). Nodes that do not see each other issue by the part of the fleet that they see: more than
/// half of it issues all, any less its part, so that two halves keep the limit together.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "rate_limits/permit_issuer.h"
#include "rate_limits/permit_stock.h"
#include "replica_statements/statement_exchange.h"
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

/// For metrics.
struct limit_counts {
  std::uint64_t messages = 0;
  std::uint64_t permits_issued = 0;
  std::uint64_t permits_received = 0;
  /// Permits that came too late for the question that they answer.
  std::uint64_t permits_void = 0;
};

/// Not thread-safe.
class limit_exchange {
 public:
  /// @param statements what replicas name; must outlive this object.
  /// @param life start of this process, as a number higher than that of every earlier life.
  limit_exchange(serving::fleet_peer self, const replica_statements::statement_exchange& statements,
                 replica_statements::replica_lookup lookup, base::incarnation life);

  /// Takes over the nodes that are alive, without this one. @param known other nodes known at all:
  /// those that cannot be seen may be issuing on their own.
  void set_peers(const std::vector<serving::fleet_peer>& alive, std::size_t known);
  /// @return whether any replica names a limit, or did of late.
  [[nodiscard]] bool any() const { return !book().empty(); }
  [[nodiscard]] const replica_statements::limit_book& book() const { return statements_->limits(); }
  /// @return replicas that name a limit.
  [[nodiscard]] std::size_t limited() const;

  /// A replica is gone or has started again.
  void forget(const base::replica_id& replica);

  /// @return whether a replica may be sent a request now: it is not limited, or a permit is held.
  [[nodiscard]] bool may_send(const base::replica_id& replica, base::time_point now) const;
  /// A request is sent.
  void note_sent(const base::replica_id& replica, base::time_point now);
  /// A request could go to a limited replica for which no permit is held.
  void note_wanted(const base::replica_id& replica, base::time_point now);
  /// So many requests wait for a limited replica that no other may be sent now.
  void note_waiting(const base::replica_id& replica, std::uint32_t count, base::time_point now);

  /// This process was paused: what it held and issued is void.
  void resume_after_suspension(base::time_point now);
  /// Takes in questions and permits; `statement_exchange` has taken in the limits before.
  void handle(const base::node_id& sender, const wire::rate_limits& message, base::time_point now);
  /// Asks and issues what is due.
  void advance(base::time_point now);
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;

  [[nodiscard]] wire::outbox take_messages() { return std::exchange(messages_, {}); }
  [[nodiscard]] const limit_counts& counts() const { return counts_; }
  /// @return the node that issues permits for a replica, as this node sees it.
  [[nodiscard]] base::node_id issuer_of(const base::replica_id& replica) const;
  /// @return null where this node has sent the replica nothing since it is limited.
  [[nodiscard]] const permit_stock* stock_of(const base::replica_id& replica) const;

 private:
  using message_map = std::map<base::node_id, wire::rate_limits>;

  /// Has permits for a replica asked for.
  void enqueue(const base::replica_id& replica);
  /// Asks for the permits that requests want.
  void ask(base::time_point now);
  /// Adds a question for a replica to the messages of its issuer, or takes it where that is this
  /// node. @param count 0 withdraws the question that stands.
  void ask_for(const base::replica_id& replica, std::uint32_t count, message_map& messages,
               base::time_point now);
  /// Withdraws questions that no request waits for any more: permits would become void.
  void withdraw(message_map& messages, base::time_point now);
  void issue(base::time_point now);
  void take_permits(const base::replica_id& replica, const permit_grant& grant,
                    base::time_point now);
  /// Forgets the permits for replicas that name no limit any more.
  void forget_unlimited(base::time_point now);
  void send(message_map messages);
  /// @return permits a second that are issued for a limit.
  [[nodiscard]] double pace_of(double per_second) const;

  serving::fleet_peer self_;
  const replica_statements::statement_exchange* statements_;
  replica_statements::replica_lookup lookup_;
  std::map<base::replica_id, permit_stock> stocks_;
  std::map<base::replica_id, permit_issuer> issuers_;
  /// Replicas of which permits are wanted, in the order in which they are asked for.
  std::deque<base::replica_id> wanted_;
  std::set<base::replica_id> is_wanted_;
  /// Replicas for which requests waited when permits were asked for last.
  std::set<base::replica_id> waited_for_;
  std::map<base::node_id, serving::fleet_peer> peers_;
  std::map<base::zone_id, std::vector<base::node_id>> nodes_by_zone_;
  std::vector<base::node_id> nodes_;
  /// Part of a limit that the nodes seen from here issue.
  double issued_part_ = 1;
  /// Found since the nodes changed last.
  mutable std::unordered_map<base::replica_id, base::node_id> issuer_by_replica_;
  std::uint64_t next_question_;
  base::time_point next_ask_;
  /// Nothing where nobody asks this node.
  std::optional<base::time_point> next_issue_;
  base::time_point next_review_;
  wire::outbox messages_;
  limit_counts counts_;
};

} // namespace spurrack::rate_limits
