/// Keeps what replicas name as the requests a second that they take from all nodes together. No
/// I/O: messages are gathered.
///
/// What a replica names is passed on from node to node (epidemic broadcast), on change and with a
/// reminder a second. One node, found by rendezvous hashing among the nodes of the replica's zone,
/// issues permits for it at that pace, and each send takes one (leases of a shared rate, as in the
/// paper on sharing networked resources that docs/design/rate-limits.md cites). Nodes that do not
/// see each other issue by the part of the fleet that they see: more than half of it issues all,
/// any less its part, so that two halves keep the limit together.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "rate_limits/limit_book.h"
#include "rate_limits/permit_issuer.h"
#include "rate_limits/permit_stock.h"
#include "serving/request.h"
#include "wire/outgoing.h"
#include "wire/peer.pb.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::rate_limits {

/// What is published of a replica, as far as it matters here.
struct published_replica {
  base::zone_id zone;
  life_mark life = 0;
};
/// @return nothing where the replica is not published.
using replica_lookup = std::function<std::optional<published_replica>(const base::replica_id&)>;

/// This node believes something else of a replica's limit than before, or cannot read what it
/// names.
struct belief_change {
  base::replica_id replica;
  serving::named_limit limit;
  /// Who said so: the replica itself, or another node.
  std::string source;
};

/// For metrics.
struct limit_counts {
  std::uint64_t messages = 0;
  std::uint64_t permits_issued = 0;
  std::uint64_t permits_received = 0;
  /// Permits that came too late for the question that they answer.
  std::uint64_t permits_void = 0;
  /// Answers that named a limit which cannot be read.
  std::uint64_t unreadable = 0;
  /// News of another life of a replica than the one this node knows, which was passed over.
  std::uint64_t of_other_lives = 0;
};

/// Not thread-safe.
class limit_exchange {
 public:
  /// @param random must outlive this object.
  /// @param life start of this process, as a number higher than that of every earlier life.
  limit_exchange(serving::fleet_peer self, replica_lookup lookup, base::random_source& random,
                 base::incarnation life);

  /// Takes over the nodes that are alive, without this one. @param known other nodes known at all:
  /// those that cannot be seen may be issuing on their own.
  void set_peers(const std::vector<serving::fleet_peer>& alive, std::size_t known);
  /// @return whether any replica names a limit, or did of late.
  [[nodiscard]] bool any() const { return !book_.empty(); }
  [[nodiscard]] const limit_book& book() const { return book_; }
  /// @return replicas that name a limit.
  [[nodiscard]] std::size_t limited() const;

  /// Takes in what an answer of a replica says. @param call_began when its call was made.
  void hear(const base::replica_id& replica, const serving::named_limit& said,
            base::time_point call_began, base::time_point now);
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
  void resume_after_pause(base::time_point now);
  void handle(const base::node_id& sender, const wire::rate_limits& message, base::time_point now);
  /// Asks, issues and tells what is due.
  void advance(base::time_point now);
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;

  [[nodiscard]] wire::outbox take_messages() { return std::exchange(messages_, {}); }
  [[nodiscard]] std::vector<belief_change> take_changes() { return std::exchange(changes_, {}); }
  [[nodiscard]] const limit_counts& counts() const { return counts_; }
  /// @return the node that issues permits for a replica, as this node sees it.
  [[nodiscard]] base::node_id issuer_of(const base::replica_id& replica) const;
  /// @return null where this node has sent the replica nothing since it is limited.
  [[nodiscard]] const permit_stock* stock_of(const base::replica_id& replica) const;

 private:
  using message_map = std::map<base::node_id, wire::rate_limits>;

  void note_changed(const base::replica_id& replica, const std::string& source);
  void note_unreadable(const base::replica_id& replica, base::time_point now);
  /// Has permits for a replica asked for.
  void enqueue(const base::replica_id& replica);
  void merge(const base::node_id& sender, const wire::named_limit& told, base::time_point now);
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
  /// Passes on what has changed.
  void tell(base::time_point now);
  void remind(base::time_point now);
  void send(message_map messages);
  [[nodiscard]] std::vector<base::node_id> random_peers(std::size_t count);
  /// @return permits a second that are issued for a limit.
  [[nodiscard]] double pace_of(double per_second) const;

  serving::fleet_peer self_;
  replica_lookup lookup_;
  base::random_source* random_;
  limit_book book_;
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
  /// Replicas of which something new is known, and how often that is still to be told.
  std::map<base::replica_id, std::size_t> changed_;
  /// When a limit of a replica that cannot be read was told last.
  std::map<base::replica_id, base::time_point> unreadable_told_at_;
  std::uint64_t next_question_;
  base::time_point next_ask_;
  /// Nothing where nobody asks this node.
  std::optional<base::time_point> next_issue_;
  base::time_point next_tell_;
  base::time_point next_reminder_;
  /// Place among the records from which the next reminder goes on.
  base::replica_id reminded_last_;
  std::vector<belief_change> changes_;
  wire::outbox messages_;
  limit_counts counts_;
};

} // namespace spurrack::rate_limits
