/// The other nodes of the fleet as stage work sees them: which are heard, which leave, what load
/// they told, and which are told of this node next. A failure detector without probes: nodes that
/// gather pieces tell everybody several times a second, all others tell a few peers in turn, so
/// that messages grow with the fleet and not with its square.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "wire/peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spurrack::serving {

/// Another node of the fleet.
struct fleet_peer {
  base::node_id node;
  base::zone_id zone;
  base::network_address address;
};

/// Another node and what it said last.
struct peer_state {
  fleet_peer peer;
  /// When this node first looked at the peer.
  std::optional<base::time_point> known_since;
  std::optional<base::time_point> heard;
  /// It was silent for too long; holds until it is heard again.
  bool silent = false;
  /// Start of the peer's process; 0 before it was heard.
  std::uint64_t life = 0;
  /// It stops, and takes no more work.
  bool leaving = false;
  /// Cores it may use; 0 before it was heard.
  double processor_share = 0;
  /// This node takes it for a gatherer since then.
  std::optional<base::time_point> gathers_since;
  std::map<std::string, wire::stage_load> loads;
  /// Pieces sent to it since it told its load, by service.
  std::map<std::string, std::uint32_t> sent_since;
};

/// Not thread-safe.
class peer_directory {
 public:
  explicit peer_directory(fleet_peer self);

  /// Takes over the nodes that membership holds for alive.
  /// @return those that were not known before.
  std::vector<base::node_id> update(std::vector<fleet_peer> peers);
  [[nodiscard]] const std::map<base::node_id, peer_state>& all() const { return peers_; }
  /// @return null where the node is not known.
  peer_state* find(const base::node_id& node);
  [[nodiscard]] const peer_state* find(const base::node_id& node) const;

  /// Takes over who gathers pieces, as this node sees it.
  void set_gatherers(const std::set<base::node_id>& gatherers, base::time_point now);
  /// Marks the peers that were silent for too long.
  void mark_silent(base::time_point now);
  /// A peer did not answer: it gets nothing more until it is heard again.
  void give_up(const base::node_id& node);

  /// @return whether a peer may be given work.
  [[nodiscard]] static bool is_fit(const peer_state& peer);
  /// @return peers that are told of this node now; the next in turn where not all are.
  std::vector<base::node_id> next_receivers(bool tell_all);

  /// @return whether a zone has shown a sign of life lately; true where none of its nodes ever did.
  [[nodiscard]] bool is_in_touch(const base::zone_id& zone, base::time_point now) const;
  /// @return other zones of which no node has shown a sign of life lately.
  [[nodiscard]] std::set<base::zone_id> silent_zones(base::time_point now) const;

 private:
  /// How often a node that gathers nothing tells each peer of itself.
  [[nodiscard]] base::duration round_time() const;
  [[nodiscard]] base::duration silence_limit(const peer_state& peer) const;
  [[nodiscard]] base::duration zone_silence_limit() const;

  fleet_peer self_;
  std::map<base::node_id, peer_state> peers_;
  /// Place in `peers_` from which receivers are taken next.
  std::size_t next_receiver_;
};

/// How often a node tells others of itself.
inline constexpr base::duration load_report_period = std::chrono::milliseconds(200);

} // namespace spurrack::serving
