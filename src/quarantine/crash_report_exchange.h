/// Exchanges crash records with other nodes. No I/O.
///
/// The first exit under a request is reported to three nodes, the aggregators of the request, which
/// are chosen by rendezvous hashing over all nodes: the aggregators combine exits that different
/// nodes observed. Once two exits under the request are known, or one is suspected, its record
/// spreads to all nodes by gossip, so the traffic of a node does not grow with the fleet. Nodes
/// send a record only when it changes. While they know any request that has had two exits, they
/// also send one reminder per second, which repeats the latest records to a random node: reminders
/// reach nodes that missed a message, were partitioned or restarted.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "quarantine/crash_registry.h"
#include "quarantine/suspect_nodes.h"
#include "wire/outgoing.h"
#include "wire/peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace spurrack::quarantine {

/// Counters of the exchange, for metrics.
struct crash_report_counts {
  std::uint64_t sent_messages = 0;
  /// Records from other nodes that this node could parse.
  std::uint64_t received_records = 0;
  /// Records from other nodes that this node could not parse and skipped.
  std::uint64_t malformed_records = 0;
};

/// A request whose record changed because of a message from another node.
struct learned_record {
  suspect_digest digest;
  /// Whether the change put the request into quarantine.
  bool begins_quarantine = false;
  /// Whether the sender suspects exits under the request.
  bool is_suspected = false;
};

/// Sends the crash records of this node to other nodes, and merges the records that it receives
/// into the registry. Outgoing messages are queued until `take_messages`. Not thread-safe.
class crash_report_exchange {
 public:
  /// @param registry holds the records that are sent, and receives the records of other nodes; must
  ///        outlive this object.
  /// @param random must outlive this object.
  crash_report_exchange(crash_registry& registry, base::node_id self, base::random_source& random);

  /// Replaces the peers with the live nodes of all regions, except this node. All regions are
  /// included because a client may send a request again to any node.
  void set_peers(const std::vector<serving::fleet_peer>& alive) { nodes_.set_peers(alive); }
  /// Schedules the record of a request for sending. To be called after the record changed.
  void note_changed(const suspect_digest& digest) { changed_digests_.insert(digest); }
  /// Queues the record of a request for its aggregators at once. To be called before a trial of the
  /// request ends, so that the issuer of the next one knows how it ended.
  void send_at_once(const suspect_digest& digest, base::time_point now);
  /// Schedules queries to other nodes for the records that this process missed while suspended.
  void resume_after_suspension(base::time_point now) { begin_queries(now); }
  /// Queues the messages that are due.
  void advance(base::time_point now);
  /// @return time at which `advance` is due; std::nullopt if nothing is scheduled.
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
  /// Merges the records of a message. Queues a reply if the sender queries all records, or if this
  /// node knows of a surviving run that is later than the exits in a record of the sender.
  /// @return the requests whose records changed.
  std::vector<learned_record> handle(const base::network_address& sender,
                                     const wire::crash_news& message, base::time_point now);

  /// @return the exits with known times in the messages of other nodes since the last call of this
  ///         function. They may confirm that lost calls of this node were lost to an exit.
  [[nodiscard]] std::vector<exit_observation> take_told_exits() {
    return std::exchange(told_exits_, {});
  }
  [[nodiscard]] wire::outbox take_messages() { return std::exchange(outgoing_messages_, {}); }
  [[nodiscard]] const crash_report_counts& counts() const { return counts_; }

 private:
  void begin_queries(base::time_point now);
  void send_queries(base::time_point now);
  void send_changes(base::time_point now);
  /// Returns the records that are due for sending, at most `most`, and removes them from the
  /// schedule.
  std::vector<const crash_record*> take_changed_records(std::size_t most);
  void send_reminder(base::time_point now);
  [[nodiscard]] std::vector<base::network_address> random_peers(std::size_t count) const;
  [[nodiscard]] std::vector<base::network_address>
  aggregators_of(const suspect_digest& digest) const;
  /// @return the most recently updated records among those that are sent to all nodes, the latest
  ///         first; no more than `most` records.
  [[nodiscard]] std::vector<const crash_record*> broadcast_records(std::size_t most) const;
  void send(const base::network_address& to, wire::crash_news report, base::time_point now);

  crash_registry* registry_;
  base::random_source* random_;
  /// Nodes from which the aggregators of a suspect are chosen.
  suspect_nodes nodes_;
  /// Requests whose records are scheduled for sending.
  std::set<suspect_digest> changed_digests_;
  base::time_point next_changes_at_;
  base::time_point next_reminder_at_;
  /// Time of the next round of queries for missed records; std::nullopt if none is scheduled.
  std::optional<base::time_point> next_query_at_;
  /// Number of rounds of queries that are still to be sent.
  std::size_t queries_left_ = 0;
  /// Whether this process has queried other nodes for missed records at least once.
  bool has_queried_ = false;
  std::vector<exit_observation> told_exits_;
  wire::outbox outgoing_messages_;
  crash_report_counts counts_;
};

} // namespace spurrack::quarantine
