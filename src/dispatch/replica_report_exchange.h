/// Reports to other nodes what this node's calls have shown of replicas, on change only, and takes
/// in their reports. No I/O.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "model/residency.h"
#include "replicas/replica_table.h"
#include "wire/outgoing.h"
#include "wire/peer.pb.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace spurrack::serving {

/// Messages sent and reports received, for metrics.
struct replica_report_counts {
  std::uint64_t messages = 0;
  std::uint64_t applied = 0;
  /// Reports on another life of a replica than the one this node knows, which were passed over.
  std::uint64_t of_other_incarnations = 0;
};

/// Not thread-safe. Messages gather until they are taken.
///
/// Nodes of a region use the same replicas, so reports stay within it. What a node sends does not
/// grow with the fleet: one message of bounded size to a bounded number of nodes in a second.
class replica_report_exchange {
 public:
  /// @param replicas source of own reports, takes in those of others; must outlive this object, as
  /// must `random`.
  replica_report_exchange(replica_table& replicas, base::zone_id own_zone,
                          const model::zone_regions& regions, base::random_source& random);

  /// Nodes that may be sent reports.
  void set_peers(const std::vector<fleet_peer>& alive);
  /// Reports what has changed, where the last message is long enough ago.
  void advance(base::time_point now);
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;

  /// @return replicas of the message that are now found lost.
  std::vector<base::replica_id> handle(const base::node_id& sender,
                                       const wire::replica_news& message, base::time_point now);

  [[nodiscard]] wire::outbox take_messages() { return std::exchange(messages_, {}); }
  [[nodiscard]] const replica_report_counts& counts() const { return counts_; }

 private:
  [[nodiscard]] wire::replica_news collect_reports(base::time_point now);
  [[nodiscard]] bool is_of_other_incarnation(const wire::replica_evidence& entry) const;

  replica_table* replicas_;
  base::zone_id own_zone_;
  model::zone_regions regions_;
  base::random_source* random_;
  std::vector<base::network_address> region_peers_;
  /// Replicas that did not fit into the last message.
  std::set<base::replica_id> pending_;
  base::time_point next_message_at_;
  wire::outbox messages_;
  replica_report_counts counts_;
};

} // namespace spurrack::serving
