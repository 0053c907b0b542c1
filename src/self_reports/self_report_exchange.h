/// Keeps the self-reports of replicas that concern all nodes (rate limits and drain announcements)
/// and distributes them to all nodes. No I/O: messages are queued.
///
/// Self-reports spread by gossip: a node sends each change to a few random nodes, which do the
/// same. It also sends one reminder per second, which repeats known reports, for nodes that missed
/// a message or have just started.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "self_reports/brittle_registry.h"
#include "self_reports/drain_registry.h"
#include "self_reports/limit_registry.h"
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

namespace spurrack::self_reports {

/// Attributes of a replica in the published list of replicas, as far as the exchange needs them.
struct published_replica {
  base::zone_id zone;
  incarnation_fingerprint incarnation = 0;
  process_fingerprint process = 0;
};
/// Looks a replica up in the published list. @return std::nullopt if the replica is not published.
using replica_lookup = std::function<std::optional<published_replica>(const base::replica_id&)>;

/// A change of a limit or drain announcement that this node knows, or a self-report that cannot be
/// parsed. Queued until `take_changes`, for the log.
struct self_report_change {
  enum class topic : std::uint8_t { limit, drain, backoff };
  topic reported_topic = topic::limit;
  base::replica_id replica;
  /// Limit in effect, in requests per second; meaningful only if `reported_topic` is
  /// `topic::limit`.
  std::optional<double> per_second;
  /// Whether the self-report cannot be parsed, so that it changes nothing.
  bool is_unreadable = false;
  /// Sender of the report, for logs: the replica, or the node that forwarded it.
  std::string source;
};

/// Counters of the exchange, for metrics.
struct self_report_counts {
  std::uint64_t sent_messages = 0;
  /// Number of answers whose limit cannot be parsed.
  std::uint64_t unreadable_limits = 0;
  /// Number of answers whose drain announcement cannot be parsed.
  std::uint64_t unreadable_drain_announcements = 0;
  /// Number of answers whose requested backoff cannot be parsed.
  std::uint64_t unreadable_backoffs = 0;
  /// Limits received from other nodes for a replica that is not published, or for another
  /// incarnation than the published incarnation; they are ignored.
  std::uint64_t limits_of_other_incarnations = 0;
  /// Drain announcements that were new to this node, from replicas or from other nodes.
  std::uint64_t drain_announcements = 0;
  /// Drain announcements that this node received in an answer of the replica before it received
  /// them from another node.
  std::uint64_t drain_announcements_from_replicas = 0;
};

/// Records self-reports from answers and from messages of other nodes, and queues messages to other
/// nodes. Not thread-safe.
class self_report_exchange {
 public:
  /// @param random must outlive this object.
  self_report_exchange(replica_lookup lookup, base::random_source& random);

  /// Replaces the peers with the live nodes, without this node.
  void set_peers(const std::vector<serving::fleet_peer>& alive);
  [[nodiscard]] const limit_registry& limits() const { return limits_; }
  [[nodiscard]] const drain_registry& drain_announcements() const { return drains_; }

  [[nodiscard]] const brittle_registry& brittle_replicas() const { return brittle_; }

  /// Records that a replica rejected a call of this node for want of room.
  void note_rejected(const base::replica_id& replica, base::time_point now) {
    brittle_.note_rejected(replica, now);
  }
  /// Records what an answer reports of its replica.
  /// @param call_started_at time at which the call was made; the replica wrote the report later.
  void record_self_report(const base::replica_id& replica,
                          const serving::replica_self_report& report,
                          base::time_point call_started_at, base::time_point now);
  /// Drops the limit of a replica that is no longer published or has restarted, and the times at
  /// which its unparsable self-reports were logged. The drain announcements of its processes are
  /// kept.
  void forget(const base::replica_id& replica);

  /// Merges the self-reports that another node forwarded.
  void handle(const base::node_id& sender, const wire::rate_limits& message, base::time_point now);
  /// Queues the messages that are due.
  void advance(base::time_point now);
  /// @return time at which `advance` is due; std::nullopt if nothing is scheduled.
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
  /// @return the limit record of a replica in its wire format, to be added to a message that
  ///         another module sends about this replica; empty if there is no record.
  [[nodiscard]] wire::named_limit limit_message(const base::replica_id& replica,
                                                base::time_point now) const;

  [[nodiscard]] wire::outbox take_messages() { return std::exchange(outgoing_messages_, {}); }
  /// Returns and clears the changes that are queued for the log.
  [[nodiscard]] std::vector<self_report_change> take_changes() {
    return std::exchange(unreported_changes_, {});
  }
  [[nodiscard]] const self_report_counts& counts() const { return counts_; }

 private:
  /// Changes that are still to be sent to other nodes: the replica whose limit changed, or the
  /// process that announced that it drains, with the number of times that the change is still to be
  /// sent.
  using pending_limits = std::map<base::replica_id, std::size_t>;
  using pending_drains = std::map<drain_registry::key, std::size_t>;

  void record_limit(const base::replica_id& replica, const published_replica& published,
                    const serving::announced_limit& announced, base::time_point call_started_at,
                    base::time_point now);
  void record_drain(const base::replica_id& replica, const published_replica& published,
                    base::time_point now);
  /// Counts a self-report that cannot be parsed, and queues it for the log at most once per minute
  /// for each replica and topic.
  /// @param count counter to increment.
  void note_unreadable(const base::replica_id& replica, self_report_change::topic about,
                       std::uint64_t& count, base::time_point now);
  /// Merges a limit or a drain announcement that another node forwarded.
  void merge(const base::node_id& sender, const wire::named_limit& received, base::time_point now);
  void merge(const base::node_id& sender, const wire::replica_departure& received,
             base::time_point now);
  void add_drain_announcement(const drain_registry::key& draining, base::time_point announced_at,
                              const std::string& source, base::time_point now);
  /// Queues messages with pending changes to random peers.
  void send_changes(base::time_point now);
  /// Queues a message to the other nodes with the rejections of this node's calls.
  void send_rejections(base::time_point now);
  /// Queues the reminder if it is due, and drops expired records.
  void send_reminder(base::time_point now);
  void add_limits_to_reminder(wire::rate_limits& message, base::time_point now);
  void add_drains_to_reminder(wire::rate_limits& message, base::time_point now);
  /// Prolongs the drain announcements of processes that are published and drops expired ones.
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
  /// Times at which a self-report that cannot be parsed was last queued for the log, by replica and
  /// topic.
  std::map<std::pair<base::replica_id, self_report_change::topic>, base::time_point>
      unreadable_reported_at_;
  brittle_registry brittle_;
  base::time_point next_rejections_at_;
  base::time_point next_changes_at_;
  base::time_point next_reminder_at_;
  /// Keys of the last limit and of the last drain announcement in the latest reminder. The next
  /// reminder continues after them, since one reminder may be too small for all records.
  base::replica_id last_reminded_limit_;
  drain_registry::key last_reminded_drain_;
  std::vector<self_report_change> unreported_changes_;
  wire::outbox outgoing_messages_;
  self_report_counts counts_;
};

} // namespace spurrack::self_reports
