/// The other nodes of the fleet as stage work sees them: which are eligible for work, which are
/// stopping, what load they reported, and which get this node's next load report. Membership
/// decides which nodes are alive. The directory watches the nodes that report several times per
/// second: the batchers (nodes that form the calls to a shard of replicas from pieces), and in a
/// small fleet all nodes. The messages that a node sends and receives grow with its zone, not with
/// the fleet.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/residency.h"
#include "wire/peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spurrack::serving {

/// A node of the fleet.
struct fleet_peer {
  base::node_id node;
  base::zone_id zone;
  base::network_address address;
  /// Cores that the node may use; 0 if that is not known.
  double processor_share = 1;
};

/// State of another node, with its latest load report.
struct peer_state {
  fleet_peer peer;
  /// Time at which this node first checked the peer's responsiveness.
  std::optional<base::time_point> first_checked_at;
  /// Time at which the last message arrived from the peer.
  std::optional<base::time_point> last_contact_at;
  /// Time since which the peer counts as unresponsive; std::nullopt if it does not.
  std::optional<base::time_point> unresponsive_since;
  /// Incarnation that the peer sent; 0 before its first message.
  std::uint64_t incarnation = 0;
  /// Whether the peer is in a graceful stop and accepts no more work.
  bool is_stopping = false;
  /// Time since which this node regards the peer as a batcher; std::nullopt if it does not.
  std::optional<base::time_point> batcher_since;
  /// Loads that the peer reported last, by service.
  std::map<std::string, wire::stage_load> loads;
  /// Time at which the loads were reported.
  base::time_point loads_reported_at;
  /// Pieces sent to the peer since its latest load report, by service.
  std::map<std::string, std::uint32_t> sent_since_report;
};

/// Receivers of a node's load reports.
enum class report_audience : std::uint8_t {
  nobody,    ///< Not a batcher: no node, except in a small fleet.
  own_zone,  ///< A batcher of its zone: all nodes of the zone, some of other zones in turn.
  everybody, ///< A batcher for other zones too: all nodes of the region, others in turn.
};

/// Not thread-safe.
class peer_directory {
 public:
  /// @param self this node.
  explicit peer_directory(fleet_peer self, model::zone_regions regions = {});

  /// Replaces the peers with the nodes that membership reports alive. Keeps the state of known
  /// peers.
  void update(std::vector<fleet_peer> peers);
  [[nodiscard]] const std::map<base::node_id, peer_state>& all() const { return peers_; }
  /// @return null if the node is not known.
  peer_state* find(const base::node_id& node);
  [[nodiscard]] const peer_state* find(const base::node_id& node) const;

  /// Replaces the nodes that this node regards as batchers.
  /// @return the peers that were not batchers before.
  std::vector<base::node_id> set_batchers(const std::set<base::node_id>& batchers,
                                          base::time_point now);
  /// Marks watched peers whose last contact is too old as unresponsive. Outside a small fleet,
  /// clears the mark of peers that have been unresponsive for a while, so that they are tried
  /// again.
  /// @return whether any mark changed.
  bool update_responsiveness(base::time_point now);
  /// Records that a message arrived from the peer.
  /// @return whether the peer was unresponsive before.
  bool note_contact(peer_state& peer, base::time_point now);
  /// Replaces the loads of a peer with those of its message. Has no effect if the message has none.
  void record_loads(peer_state& peer, const wire::stage_work& message, base::time_point now);
  /// Marks a peer that did not answer as unresponsive. It is not eligible for work until its next
  /// message, or until `update_responsiveness` clears the mark.
  void mark_unresponsive(const base::node_id& node, base::time_point now);

  /// @return whether a peer may be sent work: it is neither unresponsive nor stopping.
  [[nodiscard]] static bool is_eligible(const peer_state& peer);
  /// @return peers whose latest load report says that they are batchers.
  [[nodiscard]] const std::set<base::node_id>& reporting_batchers() const {
    return reporting_batchers_;
  }
  /// @return whether the latest load report of a peer is recent enough to be used.
  [[nodiscard]] static bool has_fresh_loads(const peer_state& peer, base::time_point now);
  /// @return the peers that get this node's load report in this round. Successive calls rotate
  ///         through the nodes of other zones.
  std::vector<base::node_id> next_receivers(report_audience audience);

 private:
  /// @return whether the fleet is so small that all nodes report to each other in every round.
  [[nodiscard]] bool is_small_fleet() const;
  /// @return the nodes of other zones that get this node's load reports. Each node of another zone
  ///         gets the reports of a few batchers of this zone, which `is_report_receiver` chooses.
  const std::vector<base::node_id>& report_receivers();
  /// @param zone_batchers this node and the other batchers of its zone.
  /// @return whether a node of another zone gets the load reports of this node.
  [[nodiscard]] bool is_report_receiver(const fleet_peer& node,
                                        const std::vector<base::node_id>& zone_batchers) const;
  /// @return whether a node of another region gets the load reports of batchers of this zone.
  [[nodiscard]] bool receives_reports_of_own_zone(const base::node_id& node) const;
  [[nodiscard]] bool is_in_other_region(const base::zone_id& zone) const;
  /// @return whether the peer is watched and its last contact is too old.
  [[nodiscard]] bool is_overdue(const peer_state& peer, base::time_point now) const;
  /// Marks the peer as unresponsive if it is overdue.
  /// @return whether it was marked now.
  bool check_responsiveness(peer_state& peer, base::time_point now);

  fleet_peer self_;
  model::zone_regions regions_;
  /// Zones of the own region that have nodes. Includes the own zone.
  std::vector<base::zone_id> zones_of_region_;
  std::map<base::node_id, peer_state> peers_;
  /// Peers that this node regards as batchers.
  std::set<base::node_id> batchers_;
  /// Peers whose latest load report says that they are batchers.
  std::set<base::node_id> reporting_batchers_;
  /// Peers that are marked unresponsive.
  std::set<base::node_id> unresponsive_;
  /// Nodes of the own zone.
  std::vector<base::node_id> in_zone_;
  /// Nodes of other zones of the own region.
  std::vector<base::node_id> in_region_;
  /// Nodes of other regions.
  std::vector<base::node_id> elsewhere_;
  /// Nodes of other zones that get this node's load reports as those of a batcher of its zone;
  /// std::nullopt if they must be recomputed. Never computed on a node that is no batcher.
  std::optional<std::vector<base::node_id>> report_receivers_;
  /// Index of the next receiver in the list of nodes of other zones.
  std::size_t next_receiver_;
};

/// Interval between load reports of a node.
inline constexpr base::duration load_report_interval = std::chrono::milliseconds(200);

} // namespace spurrack::serving
