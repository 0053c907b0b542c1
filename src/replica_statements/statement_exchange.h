/// Keeps what replicas say of themselves to all nodes, and has all nodes know of it. No I/O:
/// messages are gathered.
///
/// What an answer says is passed on from node to node (epidemic broadcast), on change and with a
/// reminder a second, so that nodes that missed a message or started hear of it too.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "replica_statements/departure_book.h"
#include "replica_statements/limit_book.h"
#include "serving/replica_statement.h"
#include "wire/outgoing.h"
#include "wire/peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace spurrack::replica_statements {

/// What is published of a replica, as far as it matters here.
struct published_replica {
  base::zone_id zone;
  life_mark life = 0;
  process_mark process = 0;
};
/// @return nothing where the replica is not published.
using replica_lookup = std::function<std::optional<published_replica>(const base::replica_id&)>;

/// This node believes something else of a replica than before, or cannot read what it says.
struct belief_change {
  enum class matter : std::uint8_t { limit, leaving, backoff };
  matter what = matter::limit;
  base::replica_id replica;
  /// The limit in force; of no meaning for other matters.
  std::optional<double> per_second;
  bool unreadable = false;
  /// Who said so: the replica itself, or another node.
  std::string source;
};

/// For metrics.
struct statement_counts {
  std::uint64_t messages = 0;
  /// Answers that named a limit which cannot be read, said of leaving what cannot be read, and
  /// asked for a pause which cannot be read.
  std::uint64_t unreadable = 0;
  std::uint64_t leaving_unreadable = 0;
  std::uint64_t backoff_unreadable = 0;
  /// News of another life of a replica than the one this node knows, which was passed over.
  std::uint64_t of_other_incarnations = 0;
  /// Processes of replicas that this node learned to be leaving, and those that it heard so itself.
  std::uint64_t departures = 0;
  std::uint64_t departures_heard = 0;
};

/// Not thread-safe.
class statement_exchange {
 public:
  /// @param random must outlive this object.
  statement_exchange(replica_lookup lookup, base::random_source& random);

  /// Takes over the nodes that are alive, without this one.
  void set_peers(const std::vector<serving::fleet_peer>& alive);
  [[nodiscard]] const limit_book& limits() const { return limits_; }
  [[nodiscard]] const departure_book& departures() const { return departures_; }

  /// Takes in what an answer of a replica says. @param call_began when its call was made.
  void hear(const base::replica_id& replica, const serving::replica_statement& said,
            base::time_point call_began, base::time_point now);
  /// A replica is gone or has started again. That a process of it leaves is remembered for longer.
  void forget(const base::replica_id& replica);

  void handle(const base::node_id& sender, const wire::rate_limits& message, base::time_point now);
  /// Tells what is due.
  void advance(base::time_point now);
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
  /// @return what this node believes of the limit of a replica, for a message that names it.
  [[nodiscard]] wire::named_limit limit_message(const base::replica_id& replica,
                                                base::time_point now) const;

  [[nodiscard]] wire::outbox take_messages() { return std::exchange(messages_, {}); }
  [[nodiscard]] std::vector<belief_change> take_changes() { return std::exchange(changes_, {}); }
  [[nodiscard]] const statement_counts& counts() const { return counts_; }

 private:
  /// Something that others may not know yet, and how often it is still to be told.
  using untold_limits = std::map<base::replica_id, std::size_t>;
  using untold_departures = std::map<departure_book::key, std::size_t>;

  void hear_limit(const base::replica_id& replica, const published_replica& published,
                  const serving::named_limit& said, base::time_point call_began,
                  base::time_point now);
  void hear_leaving(const base::replica_id& replica, const published_replica& published,
                    base::time_point now);
  /// Counts what cannot be read, and reports it once in a while for each replica.
  void note_unreadable(const base::replica_id& replica, belief_change::matter what,
                       std::uint64_t& count, base::time_point now);
  void merge(const base::node_id& sender, const wire::named_limit& told, base::time_point now);
  void merge(const base::node_id& sender, const wire::replica_departure& told,
             base::time_point now);
  void note_departure(const departure_book::key& leaving, base::time_point since,
                      const std::string& source, base::time_point now);
  /// Passes on what has changed.
  void tell(base::time_point now);
  void remind(base::time_point now);
  void add_limits_to_remind(wire::rate_limits& news, base::time_point now);
  void add_departures_to_remind(wire::rate_limits& news, base::time_point now);
  /// Marks the departures of processes that are published, and forgets those of old.
  void review_departures(base::time_point now);
  [[nodiscard]] bool is_published(const departure_book::key& process) const;
  void send_to_some(const wire::rate_limits& news, std::size_t receivers);

  replica_lookup lookup_;
  base::random_source* random_;
  limit_book limits_;
  departure_book departures_;
  std::vector<base::network_address> peers_;
  untold_limits changed_limits_;
  untold_departures changed_departures_;
  /// When something of a replica that cannot be read was reported last.
  std::map<std::pair<base::replica_id, belief_change::matter>, base::time_point>
      unreadable_told_at_;
  base::time_point next_tell_;
  base::time_point next_reminder_;
  /// Places among the records from which the next reminder goes on.
  base::replica_id limit_reminded_last_;
  departure_book::key departure_reminded_last_;
  std::vector<belief_change> changes_;
  wire::outbox messages_;
  statement_counts counts_;
};

} // namespace spurrack::replica_statements
