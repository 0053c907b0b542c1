/// The other nodes of the fleet as stage work sees them: which are fit for work, which leave, what
/// load they told, and which are told of this node next. Membership says who lives. Here those are
/// watched that report several times a second: the nodes that gather pieces, and in a small fleet
/// all. What a node sends and hears does not grow with the fleet but with its zone.
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
  /// Cores it may use; 0 where that is not known.
  double processor_share = 1;
};

/// Another node and what it said last.
struct peer_state {
  fleet_peer peer;
  /// When this node first looked at the peer.
  std::optional<base::time_point> known_since;
  std::optional<base::time_point> heard;
  /// It did not answer or report, since then.
  std::optional<base::time_point> silent_since;
  /// Start of the peer's process; 0 before it was heard.
  std::uint64_t life = 0;
  /// It stops, and takes no more work.
  bool leaving = false;
  /// This node takes it for a gatherer since then.
  std::optional<base::time_point> gathers_since;
  std::map<std::string, wire::stage_load> loads;
  /// When the loads were told.
  base::time_point loads_told_at;
  /// Pieces sent to it since it told its load, by service.
  std::map<std::string, std::uint32_t> sent_since;
};

/// Who is told of a node's load.
enum class report_audience : std::uint8_t {
  nobody,    ///< The node gathers nothing.
  own_zone,  ///< All of the zone; nodes of other zones in turn.
  everybody, ///< The node gathers for other zones as well: all of the region, others in turn.
};

/// Not thread-safe.
class peer_directory {
 public:
  explicit peer_directory(fleet_peer self, model::zone_regions regions = {});

  /// Takes over the nodes that membership holds for alive.
  void update(std::vector<fleet_peer> peers);
  [[nodiscard]] const std::map<base::node_id, peer_state>& all() const { return peers_; }
  /// @return null where the node is not known.
  peer_state* find(const base::node_id& node);
  [[nodiscard]] const peer_state* find(const base::node_id& node) const;

  /// Takes over who gathers pieces, as this node sees it.
  /// @return those that were no gatherers before.
  std::vector<base::node_id> set_gatherers(const std::set<base::node_id>& batchers,
                                           base::time_point now);
  /// Marks the peers that were silent for too long, and gives others another chance.
  /// @return whether any changed.
  bool update_silence(base::time_point now);
  /// Takes note of a message. @return whether the peer was silent before.
  bool note_heard(peer_state& peer, base::time_point now);
  /// Takes over the loads that a peer told.
  void take_loads(peer_state& peer, const wire::stage_work& message, base::time_point now);
  /// A peer did not answer: it gets nothing more until it is heard again, or for a while.
  void give_up(const base::node_id& node, base::time_point now);

  /// @return whether a peer may be given work.
  [[nodiscard]] static bool is_fit(const peer_state& peer);
  /// @return peers that said of late that they gather pieces.
  [[nodiscard]] const std::set<base::node_id>& reporters() const { return reporters_; }
  /// @return whether what a peer told of its load still holds.
  [[nodiscard]] static bool has_fresh_loads(const peer_state& peer, base::time_point now);
  /// @return peers that are told of this node now.
  std::vector<base::node_id> next_receivers(report_audience audience);

 private:
  /// @return whether all nodes tell each other of themselves all the time.
  [[nodiscard]] bool is_small_fleet() const;
  /// @return the nodes of other zones that hear of this one: those that have it among the
  ///         `gatherers_heard_elsewhere` gatherers of its zone that they listen to.
  const std::vector<base::node_id>& listeners();
  /// @return whether the node in a zone is among those that hear of this one.
  [[nodiscard]] bool is_listener(const fleet_peer& node,
                                 const std::vector<base::node_id>& rivals) const;
  /// @return whether a node of another region hears of the gatherers of this zone.
  [[nodiscard]] bool hears_of_this_zone(const base::node_id& node) const;
  [[nodiscard]] bool is_in_other_region(const base::zone_id& zone) const;
  /// @return whether the peer was silent for too long.
  [[nodiscard]] bool is_overdue(const peer_state& peer, base::time_point now) const;
  bool check_silence(peer_state& peer, base::time_point now);

  fleet_peer self_;
  model::zone_regions regions_;
  /// Zones of the own region that have nodes.
  std::vector<base::zone_id> zones_of_region_;
  std::map<base::node_id, peer_state> peers_;
  /// Peers that this node takes for gatherers.
  std::set<base::node_id> batchers_;
  std::set<base::node_id> reporters_;
  std::set<base::node_id> silent_;
  std::vector<base::node_id> in_zone_;
  /// Nodes of other zones of the own region, and of other regions.
  std::vector<base::node_id> in_region_;
  std::vector<base::node_id> elsewhere_;
  /// Those of them that this node tells of itself as a gatherer of its zone; nothing where they
  /// are to be found anew, which a node that gathers nothing never does.
  std::optional<std::vector<base::node_id>> listeners_;
  /// Place in the list of nodes of other zones from which receivers are taken next.
  std::size_t next_receiver_;
};

/// How often a node tells others of itself.
inline constexpr base::duration load_report_period = std::chrono::milliseconds(200);

} // namespace spurrack::serving
