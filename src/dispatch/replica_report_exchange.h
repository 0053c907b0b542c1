/// Sends health reports on replicas to other nodes when the results of this node's calls change
/// them, and records the reports of other nodes. No I/O.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "model/residency.h"
#include "replicas/path_monitor.h"
#include "replicas/replica_table.h"
#include "wire/outgoing.h"
#include "wire/peer.pb.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace spurrack::serving {

/// Numbers of messages sent and reports received, for metrics.
struct replica_report_counts {
  std::uint64_t messages = 0;
  std::uint64_t applied = 0;
  /// Number of reports that were ignored because they refer to another incarnation of a replica
  /// than the one that this node knows.
  std::uint64_t of_other_incarnations = 0;
};

/// Exchanges health reports on replicas with other nodes. Messages are collected until
/// `take_messages` is called. Not thread-safe.
///
/// Nodes of a region use the same replicas, so reports stay within the region. The traffic of a
/// node does not grow with the fleet: it sends one message of bounded size to a bounded number of
/// nodes per second.
class replica_report_exchange {
 public:
  /// @param replicas source of this node's reports; records the reports of other nodes. Must
  ///        outlive this object, as must `random`.
  replica_report_exchange(replica_table& replicas, base::zone_id own_zone,
                          const model::zone_regions& regions, base::random_source& random);

  /// Replaces the nodes that can be sent reports; only nodes of this node's region are used.
  void set_peers(const std::vector<fleet_peer>& alive);
  /// Sends the reports that have changed since they were last sent, if this node's last message is
  /// at least one second old.
  void advance(base::time_point now);
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;

  /// Sets the state of this node's own paths to replicas. While they are in doubt, no reports are
  /// sent; once this node suspects that it is cut off, they are marked as doubtful, so that other
  /// nodes only contradict them.
  void set_path_state(path_state state, base::time_point now);
  /// @return latest time at which another node heard from any replica, according to its reports;
  ///         std::nullopt if no report said so.
  [[nodiscard]] std::optional<base::time_point> latest_activity_at_peers() const {
    return latest_activity_at_peers_;
  }
  /// Records the reports of another node.
  /// @return replicas of the message that are now declared down.
  std::vector<base::replica_id> handle(const base::node_id& sender,
                                       const wire::replica_news& message, base::time_point now);

  [[nodiscard]] wire::outbox take_messages() { return std::exchange(messages_, {}); }
  [[nodiscard]] const replica_report_counts& counts() const { return counts_; }

 private:
  /// Collects the next message. Reports that do not fit stay in `pending_`.
  /// @return message; empty if no report is left to send.
  [[nodiscard]] wire::replica_news collect_reports(base::time_point now);
  /// @return whether a report refers to another incarnation of a replica than the one that this
  ///         node knows; false if either incarnation is unknown.
  [[nodiscard]] bool is_of_other_incarnation(const wire::replica_evidence& entry) const;

  replica_table* replicas_;
  base::zone_id own_zone_;
  model::zone_regions regions_;
  base::random_source* random_;
  std::vector<base::network_address> region_peers_;
  path_state path_state_ = path_state::working;
  std::optional<base::time_point> latest_activity_at_peers_;
  /// Replicas whose reports did not fit into the last message.
  std::set<base::replica_id> pending_;
  base::time_point next_message_at_;
  wire::outbox messages_;
  replica_report_counts counts_;
};

} // namespace spurrack::serving
