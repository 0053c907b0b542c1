/// When this node or a relay of its zone last heard of each other zone. Messages from other zones
/// reach few nodes; the relays tell their zone what they heard, so that each node notices a silent
/// zone within a time that does not grow with the fleet. Only what a node heard itself is told:
/// news that is passed on from node to node would arrive long after a zone went silent.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "wire/peer.pb.h"

#include <map>
#include <optional>
#include <set>

namespace spurrack::membership {

/// Not thread-safe.
class zone_contact {
 public:
  /// Silence after which any zone counts as silent.
  static constexpr base::duration longest_silence = std::chrono::milliseconds(1400);

  explicit zone_contact(base::zone_id own_zone) : own_zone_(std::move(own_zone)) {}

  /// Takes note of a message: its sender's zone, and what a relay of the own zone says of others.
  void observe(const wire::envelope& message, base::time_point now);
  /// Says how long ago this node itself heard of other zones.
  void tell(wire::zone_digest& digest, base::time_point now) const;
  /// This process was paused: every zone gets time to be heard again.
  void resume_after_pause(base::time_point now);

  /// @return zones that were heard of once, and not lately.
  [[nodiscard]] std::set<base::zone_id> silent(base::time_point now) const;

 private:
  /// What is known of one zone.
  struct contact {
    base::time_point heard;
    std::optional<base::time_point> heard_directly;
    /// Usual time without news, and its mean deviation.
    base::duration usual_gap;
    base::duration gap_deviation;
  };

  /// @return what is known of the zone now.
  contact& note(const base::zone_id& zone, base::time_point heard, base::time_point now);
  /// @return silence after which a zone with such news counts as silent.
  [[nodiscard]] static base::duration silence_limit(const contact& known);

  base::zone_id own_zone_;
  std::map<base::zone_id, contact> contacts_;
};

} // namespace spurrack::membership
