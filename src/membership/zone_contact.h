/// Detection of unreachable zones. A contact with a zone is the receipt of a message from any node
/// of the zone. Each node records the time of the last contact with each other zone: the node
/// itself received the message, or another node received the message and reported the contact. A
/// zone counts as unreachable if there has been no contact for the contact timeout of the zone.
///
/// Messages from other zones reach only a few nodes of a zone, mainly its relays. The relays report
/// their contacts to all nodes of their zone. Each node therefore detects an unreachable zone
/// within a time that does not grow with the fleet.
///
/// The report of a contact with a zone passes through these steps, of which some may be skipped:
/// 1. A relay receives a message from the zone.
/// 2. If the zone is in the relay's region, the relay reports the contact to other regions.
/// 3. The relays of these regions report the contact to the other zones of their region.
/// 4. The relays of each zone report the contact to the nodes of their zone.
/// No step is followed by an earlier step. Otherwise reports would circulate, and would still
/// arrive long after the zone became unreachable.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/residency.h"
#include "wire/peer.pb.h"

#include <map>
#include <optional>
#include <set>

namespace spurrack::membership {

/// Last contacts of one node with each other zone. Not thread-safe.
class zone_contact {
 public:
  /// Maximum contact timeout. The contact timeout of a zone adapts to the measured time between two
  /// contacts with the zone.
  static constexpr base::duration max_contact_timeout = std::chrono::milliseconds(1400);

  explicit zone_contact(base::zone_id own_zone, model::zone_regions regions = {})
      : own_zone_(std::move(own_zone)), regions_(std::move(regions)) {}

  /// If the sender of a message is in another zone, records a contact with the sender's zone. Also
  /// records the contacts with zones that the sender reports in the message.
  void observe(const wire::envelope& message, base::time_point now);
  /// Adds to a digest for the nodes of this node's zone the time since the last contact with each
  /// other zone, from messages that this node received and from reports of nodes of other zones.
  void add_contact_reports_to_own_zone(wire::zone_digest& digest, base::time_point now) const;
  /// Adds to a digest for other zones of this node's region the time since the last contact with
  /// each zone of other regions, from messages that this node received and from reports of nodes of
  /// other regions.
  void add_contact_reports_to_other_zones(wire::zone_digest& digest, base::time_point now) const;
  /// Adds to a digest for other regions the time since the last contact with each other zone of
  /// this node's region, only from messages that this node received.
  void add_contact_reports_to_other_regions(wire::zone_digest& digest, base::time_point now) const;
  /// Called after a suspension of this process. Moves the times of the last contacts forward, so
  /// that no zone counts as unreachable only because this process could not receive messages.
  void resume_after_suspension(base::time_point now);
  /// Moves the times of the last contacts forward by a time for which this process read no
  /// messages.
  /// @param now end of that time.
  void note_stand(base::duration stand, base::time_point now);

  /// @return whether the time since the last contact with a zone is shorter than the contact
  ///         timeout of the zone; false if there was no contact since the start of this process.
  [[nodiscard]] bool is_reachable(const base::zone_id& zone, base::time_point now) const;
  /// @return zones for which the time since the last contact has reached the contact timeout. Zones
  ///         without any contact since the start of this process are not included.
  [[nodiscard]] std::set<base::zone_id> unreachable_zones(base::time_point now) const;

 private:
  /// Contacts with one zone. An optional time is std::nullopt if there was no such contact.
  struct zone_state {
    /// Time of the latest contact, from a message that this node received or from any report.
    base::time_point last_contact_at;
    /// Time at which this node last received a message from the zone.
    std::optional<base::time_point> direct_contact_at;
    /// Time of the latest contact that a node of another region reported to this node.
    std::optional<base::time_point> region_reported_contact_at;
    /// Time of the latest contact that a relay of another zone of this node's region reported to
    /// this node.
    std::optional<base::time_point> relay_reported_contact_at;
    /// Mean gap. A gap is the time from a contact with the zone until this node learns of the next
    /// contact.
    base::duration mean_gap;
    /// Mean deviation of the gaps from `mean_gap`.
    base::duration gap_deviation;
  };

  /// Records a contact with a zone. If the contact is later than the last contact with the zone,
  /// and less than `max_contact_timeout` has passed since the last contact, also updates the mean
  /// gap and the mean deviation.
  /// @return the state of the zone.
  zone_state& note_contact(const base::zone_id& zone, base::time_point contact_at,
                           base::time_point now);
  /// @return the time without a contact after which the zone counts as unreachable.
  [[nodiscard]] static base::duration contact_timeout(const zone_state& state);

  /// Adds a zone and the time since the last contact with the zone to a digest, unless the time is
  /// `max_contact_timeout` or longer.
  /// @param contact_at time of the last contact with the zone; std::nullopt if there was none.
  static void add_contact_report(wire::zone_digest& digest, const base::zone_id& zone,
                                 const std::optional<base::time_point>& contact_at,
                                 base::time_point now);
  /// Records the contacts with zones that the sender of a digest reports. A contact with this
  /// node's own zone is ignored.
  void record_reported_contacts(const wire::zone_digest& digest, const base::zone_id& sender_zone,
                                base::time_point now);

  base::zone_id own_zone_;
  model::zone_regions regions_;
  std::map<base::zone_id, zone_state> zone_states_;
};

} // namespace spurrack::membership
