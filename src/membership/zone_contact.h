/// Tracks the last contact with each other zone: the time at which this node or a relay last
/// received a message from the zone. Messages from other zones reach few nodes of a zone; the
/// relays report their contacts to their zone, so that each node detects an unreachable zone within
/// a time that does not grow with the fleet.
///
/// A contact with a zone is forwarded in these steps only:
/// 1. A relay receives a message from the zone.
/// 2. If the zone is in the relay's region, the relay reports the contact to other regions.
/// 3. The relays of these regions report the contact to the other zones of their region.
/// 4. The relays of each zone report the contact to the nodes of their zone.
/// No step is followed by an earlier step, because reports would then circulate and still arrive
/// long after the zone became unreachable.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/residency.h"
#include "wire/peer.pb.h"

#include <map>
#include <optional>
#include <set>

namespace spurrack::membership {

/// Contacts of one node with the other zones. Not thread-safe.
class zone_contact {
 public:
  /// Maximum contact timeout. The contact timeout of a zone is the time without contact after which
  /// the zone counts as unreachable; it adapts to the measured time between two contacts.
  static constexpr base::duration max_contact_timeout = std::chrono::milliseconds(1400);

  explicit zone_contact(base::zone_id own_zone, model::zone_regions regions = {})
      : own_zone_(std::move(own_zone)), regions_(std::move(regions)) {}

  /// Records the contact with the zone of a message's sender, and the contacts that a relay reports
  /// in the message.
  void observe(const wire::envelope& message, base::time_point now);
  /// Adds ages of contacts to a digest for this node's zone: the contacts of this node, and the
  /// contacts that other regions and relays of other zones reported to this node.
  void add_ages_for_own_zone(wire::zone_digest& digest, base::time_point now) const;
  /// Adds ages of contacts to a digest for other zones of this node's region: the contacts of this
  /// node with zones of other regions, and the contacts with these zones that other regions
  /// reported to this node.
  void add_ages_for_region(wire::zone_digest& digest, base::time_point now) const;
  /// Adds ages of contacts to a digest for other regions: the contacts of this node with the other
  /// zones of its region.
  void add_ages_for_other_regions(wire::zone_digest& digest, base::time_point now) const;
  /// Moves the last contacts forward after a suspension of this process, so that each zone has time
  /// for a new contact before it counts as unreachable.
  void resume_after_suspension(base::time_point now);

  /// @return whether the last contact with a zone is within its contact timeout.
  [[nodiscard]] bool is_reachable(const base::zone_id& zone, base::time_point now) const;
  /// @return zones whose last contact is at least as old as their contact timeout. Zones without
  ///         any contact since the start of this process are not included.
  [[nodiscard]] std::set<base::zone_id> unreachable_zones(base::time_point now) const;

 private:
  /// Contacts with one zone.
  struct zone_state {
    /// Time of the latest contact from any source.
    base::time_point last_contact_at;
    /// Time at which this node last received a message from the zone.
    std::optional<base::time_point> direct_contact_at;
    /// Time of the latest contact that a node of another region reported.
    std::optional<base::time_point> region_reported_contact_at;
    /// Time of the latest contact that a relay of another zone of this node's region reported.
    std::optional<base::time_point> relay_reported_contact_at;
    /// Mean time between two contacts.
    base::duration mean_gap;
    /// Mean deviation of the time between two contacts from `mean_gap`.
    base::duration gap_deviation;
  };

  /// Records a contact with a zone, and updates the mean gap and its deviation if the contact is
  /// the latest.
  /// @return the state of the zone.
  zone_state& note_contact(const base::zone_id& zone, base::time_point contact_at,
                           base::time_point now);
  /// @return the time without contact after which the zone counts as unreachable.
  [[nodiscard]] static base::duration contact_timeout(const zone_state& state);

  /// Adds the age of a contact to a digest if the age is less than `max_contact_timeout`.
  /// @param contact_at time of the contact; std::nullopt if there was none.
  static void add_age(wire::zone_digest& digest, const base::zone_id& zone,
                      const std::optional<base::time_point>& contact_at, base::time_point now);
  /// Records the contacts that the sender of a digest reports.
  void record_reported_contacts(const wire::zone_digest& digest, const base::zone_id& sender_zone,
                                base::time_point now);

  base::zone_id own_zone_;
  model::zone_regions regions_;
  std::map<base::zone_id, zone_state> zone_states_;
};

} // namespace spurrack::membership
