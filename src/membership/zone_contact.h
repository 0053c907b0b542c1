/// When this node or a relay of its zone last heard of each other zone. Messages from other zones
/// reach few nodes; the relays tell their zone what they heard, so that each node notices a silent
/// zone within a time that does not grow with the fleet. News go down a ladder and never back up,
/// as passed on from node to node they would arrive long after a zone went silent: heard from the
/// zone itself, told to another region, told within it to the relays of its zones, told to their
/// zones.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/residency.h"
#include "wire/peer.pb.h"

#include <map>
#include <optional>
#include <set>

namespace spurrack::membership {

/// Not thread-safe.
class zone_contact {
 public:
  /// Silence after which any zone counts as silent.
  static constexpr base::duration max_contact_timeout = std::chrono::milliseconds(1400);

  explicit zone_contact(base::zone_id own_zone, model::zone_regions regions = {})
      : own_zone_(std::move(own_zone)), regions_(std::move(regions)) {}

  /// Takes note of a message: its sender's zone, and what a relay says of others.
  void observe(const wire::envelope& message, base::time_point now);
  /// Says to the own zone what this node heard from zones, other regions and other relays.
  void add_ages_for_own_zone(wire::zone_digest& digest, base::time_point now) const;
  /// Says to other zones of the region what this node heard from other regions.
  void add_ages_for_region(wire::zone_digest& digest, base::time_point now) const;
  /// Says to other regions what this node heard from the zones of its own.
  void add_ages_for_other_regions(wire::zone_digest& digest, base::time_point now) const;
  /// This process was paused: every zone gets time to be heard again.
  void resume_after_suspension(base::time_point now);

  /// @return whether a zone was heard of lately.
  [[nodiscard]] bool is_reachable(const base::zone_id& zone, base::time_point now) const;
  /// @return zones that were heard of once, and not lately.
  [[nodiscard]] std::set<base::zone_id> unreachable_zones(base::time_point now) const;

 private:
  /// What is known of one zone.
  struct zone_state {
    base::time_point last_contact_at;
    std::optional<base::time_point> direct_contact_at;
    /// What a node of another region said of a zone there.
    std::optional<base::time_point> region_reported_contact_at;
    /// What a relay of another zone of the own region said.
    std::optional<base::time_point> relay_reported_contact_at;
    /// Usual time without news, and its mean deviation.
    base::duration mean_gap;
    base::duration gap_deviation;
  };

  /// @return what is known of the zone now.
  zone_state& note_contact(const base::zone_id& zone, base::time_point contact_at,
                           base::time_point now);
  /// @return silence after which a zone with such news counts as silent.
  [[nodiscard]] static base::duration contact_timeout(const zone_state& state);

  /// Adds an entry, where the zone was heard of lately.
  static void add_age(wire::zone_digest& digest, const base::zone_id& zone,
                      const std::optional<base::time_point>& contact_at, base::time_point now);
  void record_reported_contacts(const wire::zone_digest& digest, const base::zone_id& sender_zone,
                                base::time_point now);

  base::zone_id own_zone_;
  model::zone_regions regions_;
  std::map<base::zone_id, zone_state> zone_states_;
};

} // namespace spurrack::membership
