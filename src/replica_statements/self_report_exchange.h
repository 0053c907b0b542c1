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
#include "replica_statements/drain_registry.h"
#include "replica_statements/limit_registry.h"
#include "serving/replica_self_report.h"
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
  incarnation_fingerprint incarnation = 0;
  process_fingerprint process = 0;
};
/// @return nothing where the replica is not published.
using replica_lookup = std::function<std::optional<published_replica>(const base::replica_id&)>;

/// This node believes something else of a replica than before, or cannot read what it says.
struct self_report_change {
  enum class topic : std::uint8_t { limit, drain, backoff };
  topic about = topic::limit;
  base::replica_id replica;
  /// The limit in force; of no meaning for other matters.
  std::optional<double> per_second;
  bool is_unreadable = false;
  /// Who said so: the replica itself, or another node.
  std::string source;
};

/// For metrics.
struct self_report_counts {
  std::uint64_t sent_messages = 0;
  /// Answers that named a limit which cannot be read, said of leaving what cannot be read, and
  /// asked for a pause which cannot be read.
  std::uint64_t unreadable_limits = 0;
  std::uint64_t unreadable_drain_announcements = 0;
  std::uint64_t unreadable_backoffs = 0;
  /// News of another life of a replica than the one this node knows, which was passed over.
  std::uint64_t of_other_incarnations = 0;
  /// Processes of replicas that this node learned to be leaving, and those that it heard so itself.
  std::uint64_t drain_announcements = 0;
  std::uint64_t drain_announcements_from_replicas = 0;
};

/// Not thread-safe.
class self_report_exchange {
 public:
  /// @param random must outlive this object.
  self_report_exchange(replica_lookup lookup, base::random_source& random);

  /// Takes over the nodes that are alive, without this one.
  void set_peers(const std::vector<serving::fleet_peer>& alive);
  [[nodiscard]] const limit_registry& limits() const { return limits_; }
  [[nodiscard]] const drain_registry& drain_announcements() const { return drains_; }

  /// Takes in what an answer of a replica says. @param call_started_at when its call was made.
  void record_self_report(const base::replica_id& replica, const serving::replica_self_report& said,
                          base::time_point call_started_at, base::time_point now);
  /// A replica is gone or has started again. That a process of it leaves is remembered for longer.
  void forget(const base::replica_id& replica);

  void handle(const base::node_id& sender, const wire::rate_limits& message, base::time_point now);
  /// Tells what is due.
  void advance(base::time_point now);
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
  /// @return what this node believes of the limit of a replica, for a message that names it.
  [[nodiscard]] wire::named_limit limit_message(const base::replica_id& replica,
                                                base::time_point now) const;

  [[nodiscard]] wire::outbox take_messages() { return std::exchange(outgoing_messages_, {}); }
  [[nodiscard]] std::vector<self_report_change> take_changes() {
    return std::exchange(unreported_changes_, {});
  }
  [[nodiscard]] const self_report_counts& counts() const { return counts_; }

 private:
  /// Something that others may not know yet, and how often it is still to be told.
  using pending_limits = std::map<base::replica_id, std::size_t>;
  using pending_drains = std::map<drain_registry::key, std::size_t>;

  void record_limit(const base::replica_id& replica, const published_replica& published,
                    const serving::announced_limit& said, base::time_point call_started_at,
                    base::time_point now);
  void record_drain(const base::replica_id& replica, const published_replica& published,
                    base::time_point now);
  /// Counts what cannot be read, and reports it once in a while for each replica.
  void note_unreadable(const base::replica_id& replica, self_report_change::topic about,
                       std::uint64_t& count, base::time_point now);
  void merge(const base::node_id& sender, const wire::named_limit& received, base::time_point now);
  void merge(const base::node_id& sender, const wire::replica_departure& received,
             base::time_point now);
  void add_drain_announcement(const drain_registry::key& draining, base::time_point since,
                              const std::string& source, base::time_point now);
  /// Passes on what has changed.
  void send_changes(base::time_point now);
  void send_reminder(base::time_point now);
  void add_limits_to_reminder(wire::rate_limits& message, base::time_point now);
  void add_drains_to_reminder(wire::rate_limits& message, base::time_point now);
  /// Marks the departures of processes that are published, and forgets those of old.
  void refresh_drains(base::time_point now);
  [[nodiscard]] bool is_published(const drain_registry::key& process) const;
  void send_to_random_peers(const wire::rate_limits& message, std::size_t receivers);

  replica_lookup lookup_;
  base::random_source* random_;
  limit_registry limits_;
  drain_registry drains_;
  std::vector<base::network_address> peers_;
  pending_limits pending_limits_;
  pending_drains pending_drains_;
  /// When something of a replica that cannot be read was reported last.
  std::map<std::pair<base::replica_id, self_report_change::topic>, base::time_point>
      unreadable_reported_at_;
  base::time_point next_changes_at_;
  base::time_point next_reminder_at_;
  /// Places among the records from which the next reminder goes on.
  base::replica_id last_reminded_limit_;
  drain_registry::key last_reminded_drain_;
  std::vector<self_report_change> unreported_changes_;
  wire::outbox outgoing_messages_;
  self_report_counts counts_;
};

} // namespace spurrack::replica_statements
