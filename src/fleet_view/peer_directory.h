/// The other nodes of the fleet (peers) as stage work sees them: which are eligible for work, which
/// are stopping, what load they reported, and which get this node's next load report. Membership
/// decides which nodes are alive.
///
/// A batcher is a node that forms the calls to a shard of replicas from the pieces of all nodes.
/// Batchers send load reports in rounds, five per second; in a small fleet all nodes do. If a peer
/// should send load reports and no message arrives from it, the directory marks the peer as
/// unresponsive. The number of messages that a node sends and receives grows with the number of
/// nodes in its zone, not with the size of the fleet.
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
  /// Time at which the peer was marked as unresponsive; std::nullopt if it is not marked.
  std::optional<base::time_point> unresponsive_since;
  /// Incarnation number in the peer's messages, which identifies the peer's process; 0 before the
  /// first message.
  std::uint64_t incarnation = 0;
  /// Whether the peer is in a graceful stop and accepts no more work.
  bool is_stopping = false;
  /// Time since which this node regards the peer as a batcher; std::nullopt if the peer is not a
  /// batcher.
  std::optional<base::time_point> batcher_since;
  /// Loads in the peer's latest load report, by service.
  std::map<std::string, wire::stage_load> loads;
  /// Time at which this node received the peer's latest load report.
  base::time_point loads_reported_at;
  /// Number of pieces sent to the peer since its latest load report, by service.
  std::map<std::string, std::uint32_t> sent_since_report;
};

/// Nodes that receive the load reports of a node (the sender). The sender reports in rounds, five
/// per second. In a small fleet this value has no effect: all nodes receive every report.
enum class report_audience : std::uint8_t {
  /// No node: the sender is not a batcher.
  nobody,
  /// All nodes of the sender's zone receive every report, and some nodes of other zones receive
  /// about one report in five. Used by a sender that is a batcher only for its own zone, that is
  /// stopping, or that still holds pieces of other nodes.
  own_zone,
  /// All nodes of the sender's region receive every report, and all nodes of other regions receive
  /// about one report in five. Used by a sender that is a batcher for other zones too.
  everybody,
};

/// Peers that membership reports alive, with their state. Not thread-safe.
class peer_directory {
 public:
  explicit peer_directory(fleet_peer self, model::zone_regions regions = {});

  /// Replaces the peers with the nodes that membership reports alive. Keeps the state of peers that
  /// stay alive.
  void update(std::vector<fleet_peer> peers);
  [[nodiscard]] const std::map<base::node_id, peer_state>& all() const { return peers_; }
  /// @return null if the node is not known.
  peer_state* find(const base::node_id& node);
  [[nodiscard]] const peer_state* find(const base::node_id& node) const;

  /// Replaces the set of nodes that this node regards as batchers.
  /// @return the peers that are in the new set and were not in the previous set.
  std::vector<base::node_id> set_batchers(const std::set<base::node_id>& batchers,
                                          base::time_point now);
  /// Marks each peer from which load reports are expected as unresponsive if no message has arrived
  /// from it for too long. Except in a small fleet, clears the mark of peers that have been marked
  /// for ten seconds, so that they may be sent work again.
  /// @return whether any mark changed.
  bool update_responsiveness(base::time_point now);
  /// Adds `gap`, the duration for which this process stood, to the times of the last contact: in
  /// this time, it read no messages.
  void resume_after_suspension(base::duration gap);
  /// Records that a message arrived from the peer, and clears its mark as unresponsive.
  /// @return whether the peer was unresponsive before.
  bool note_contact(peer_state& peer, base::time_point now);
  /// Replaces the loads of a peer with the loads in its message. Has no effect if the message
  /// reports no load.
  void record_loads(peer_state& peer, const wire::stage_work& message, base::time_point now);
  /// Marks a peer as unresponsive, for example because it did not acknowledge a piece that was sent
  /// to it. The peer is not eligible for work until its next message, or until
  /// `update_responsiveness` clears the mark.
  void mark_unresponsive(const base::node_id& node, base::time_point now);

  /// @return whether a peer may be sent work: it is neither unresponsive nor stopping.
  [[nodiscard]] static bool is_eligible(const peer_state& peer);
  /// @return peers whose latest load report says that they are batchers.
  [[nodiscard]] const std::set<base::node_id>& reporting_batchers() const {
    return reporting_batchers_;
  }
  /// @return whether the latest load report of a peer is recent enough to be used.
  [[nodiscard]] static bool has_fresh_loads(const peer_state& peer, base::time_point now);
  /// @return the peers that get this node's load report in this round. To be called once per round:
  ///         the peers that do not get every report take turns, about a fifth of them in each
  ///         round.
  std::vector<base::node_id> next_receivers(report_audience audience);

 private:
  /// @return whether the fleet is so small that all nodes report to all other nodes in every round.
  [[nodiscard]] bool is_small_fleet() const;
  /// @return the nodes of other zones that get load reports of this node while this node is a
  ///         batcher only for its own zone. They are chosen so that a node of another zone gets the
  ///         reports of only a few batchers of this node's zone.
  const std::vector<base::node_id>& report_receivers();
  /// @param node node of another zone.
  /// @param zone_batchers this node and the other batchers of its zone.
  /// @return whether `node` gets the load reports of this node.
  [[nodiscard]] bool is_report_receiver(const fleet_peer& node,
                                        const std::vector<base::node_id>& zone_batchers) const;
  /// For each node of another region, one zone of this node's region is chosen. Batchers that work
  /// only for their own zone report to the node only if they are in the chosen zone.
  /// @param node node of another region.
  /// @return whether this node's zone is the zone that is chosen for `node`.
  [[nodiscard]] bool receives_reports_of_own_zone(const base::node_id& node) const;
  [[nodiscard]] bool is_in_other_region(const base::zone_id& zone) const;
  /// @return whether load reports are expected from the peer and no message has arrived from it for
  ///         too long.
  [[nodiscard]] bool is_overdue(const peer_state& peer, base::time_point now) const;
  /// Marks the peer as unresponsive if its next message is overdue.
  /// @return whether this call marked the peer.
  bool check_responsiveness(peer_state& peer, base::time_point now);

  fleet_peer self_;
  model::zone_regions regions_;
  /// Zones of this node's region that have nodes, including this node's zone.
  std::vector<base::zone_id> zones_of_region_;
  std::map<base::node_id, peer_state> peers_;
  /// Peers that this node regards as batchers.
  std::set<base::node_id> batchers_;
  std::set<base::node_id> reporting_batchers_;
  std::set<base::node_id> unresponsive_peers_;
  /// Other nodes of this node's zone.
  std::vector<base::node_id> zone_peers_;
  /// Nodes of other zones of this node's region.
  std::vector<base::node_id> region_peers_;
  /// Nodes of other regions.
  std::vector<base::node_id> other_region_peers_;
  /// Cached result of `report_receivers`; std::nullopt if it must be computed. Computed only when a
  /// report is sent with `report_audience::own_zone`.
  std::optional<std::vector<base::node_id>> report_receivers_;
  /// Index of the next receiver in the list of receivers in other zones, modulo the length of the
  /// list.
  std::size_t next_receiver_;
};

/// Interval between load reports of a node.
inline constexpr base::duration load_report_interval = std::chrono::milliseconds(200);

} // namespace spurrack::serving
