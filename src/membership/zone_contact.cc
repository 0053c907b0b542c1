#include "membership/zone_contact.h"

#include <algorithm>

namespace spurrack::membership {
namespace {

/// Minimum contact timeout of a zone. If there is no contact for a shorter time, the zone may still
/// be reachable: a few messages may have been lost, or a node may be busy.
constexpr base::duration min_contact_timeout = std::chrono::milliseconds(900);
/// Factor of the mean gap in the contact timeout of a zone. With a factor of two, the zone still
/// counts as reachable if one of its two relays fails and the gaps double.
constexpr int mean_gap_factor = 2;
/// Factor of the mean deviation of the gaps in the contact timeout of a zone, as in the
/// retransmission timeout of TCP (RFC 6298).
constexpr int gap_deviation_factor = 4;
/// Mean gap and mean deviation of the gaps before the first gap is measured. The contact timeout
/// that results from these values is 1.2 s.
constexpr base::duration initial_mean_gap = std::chrono::milliseconds(200);
constexpr base::duration initial_gap_deviation = std::chrono::milliseconds(200);
/// Reciprocal of the weight of the latest gap in the mean gap and in the mean deviation, as in
/// RFC 6298.
constexpr int smoothing_divisor = 8;

} // namespace

zone_contact::zone_state& zone_contact::note_contact(const base::zone_id& zone,
                                                     base::time_point contact_at,
                                                     base::time_point now) {
  const zone_state initial_state{contact_at,   std::nullopt,     std::nullopt,
                                 std::nullopt, initial_mean_gap, initial_gap_deviation};
  const auto [entry, added] = zone_states_.try_emplace(zone, initial_state);
  auto& state = entry->second;
  if (added || contact_at <= state.last_contact_at) {
    return state;
  }
  const base::duration gap = now - state.last_contact_at;
  if (gap < max_contact_timeout) {
    const base::duration error = gap - state.mean_gap;
    state.mean_gap += error / smoothing_divisor;
    state.gap_deviation += (std::chrono::abs(error) - state.gap_deviation) / smoothing_divisor;
  }
  state.last_contact_at = contact_at;
  return state;
}

void zone_contact::observe(const wire::envelope& message, base::time_point now) {
  const base::zone_id sender_zone(message.sender_zone());
  if (sender_zone != own_zone_) {
    note_contact(sender_zone, now, now).direct_contact_at = now;
  }
  record_reported_contacts(message.zone_digest(), sender_zone, now);
}

void zone_contact::record_reported_contacts(const wire::zone_digest& digest,
                                            const base::zone_id& sender_zone,
                                            base::time_point now) {
  const bool is_from_other_region = regions_.are_in_different_regions(own_zone_, sender_zone);
  for (const auto& reported : digest.heard()) {
    const base::zone_id zone(reported.zone());
    if (zone == own_zone_) {
      continue;
    }
    const auto contact_at = now - std::chrono::milliseconds(reported.milliseconds());
    auto& state = note_contact(zone, contact_at, now);
    if (is_from_other_region) {
      state.region_reported_contact_at =
          std::max(state.region_reported_contact_at.value_or(contact_at), contact_at);
    } else if (sender_zone != own_zone_) {
      state.relay_reported_contact_at =
          std::max(state.relay_reported_contact_at.value_or(contact_at), contact_at);
    }
  }
}

void zone_contact::add_contact_report(wire::zone_digest& digest, const base::zone_id& zone,
                                      const std::optional<base::time_point>& contact_at,
                                      base::time_point now) {
  // A contact that is older than `max_contact_timeout` is not reported, because it would not make
  // the receiver regard the zone as reachable.
  if (contact_at && now - *contact_at < max_contact_timeout) {
    auto& reported = *digest.add_heard();
    reported.set_zone(zone.text());
    reported.set_milliseconds(static_cast<std::uint32_t>(base::to_milliseconds(now - *contact_at)));
  }
}

void zone_contact::add_contact_reports_to_own_zone(wire::zone_digest& digest,
                                                   base::time_point now) const {
  for (const auto& [zone, state] : zone_states_) {
    // A time that is std::nullopt does not affect the maximum, because std::nullopt compares less
    // than any time.
    const auto latest = std::max({state.direct_contact_at, state.region_reported_contact_at,
                                  state.relay_reported_contact_at});
    add_contact_report(digest, zone, latest, now);
  }
}

void zone_contact::add_contact_reports_to_other_zones(wire::zone_digest& digest,
                                                      base::time_point now) const {
  for (const auto& [zone, state] : zone_states_) {
    if (regions_.are_in_different_regions(own_zone_, zone)) {
      add_contact_report(digest, zone,
                         std::max(state.direct_contact_at, state.region_reported_contact_at), now);
    }
  }
}

void zone_contact::add_contact_reports_to_other_regions(wire::zone_digest& digest,
                                                        base::time_point now) const {
  for (const auto& [zone, state] : zone_states_) {
    if (!regions_.are_in_different_regions(own_zone_, zone)) {
      add_contact_report(digest, zone, state.direct_contact_at, now);
    }
  }
}

void zone_contact::resume_after_suspension(base::time_point now) {
  for (auto& [zone, state] : zone_states_) {
    state.last_contact_at = std::max<base::time_point>(state.last_contact_at, now - state.mean_gap);
  }
}

void zone_contact::note_stand(base::duration stand, base::time_point now) {
  for (auto& [zone, state] : zone_states_) {
    state.last_contact_at = std::min<base::time_point>(state.last_contact_at + stand, now);
  }
}

base::duration zone_contact::contact_timeout(const zone_state& state) {
  const auto adaptive_timeout =
      state.mean_gap * mean_gap_factor + state.gap_deviation * gap_deviation_factor;
  return std::clamp<base::duration>(adaptive_timeout, min_contact_timeout, max_contact_timeout);
}

bool zone_contact::is_reachable(const base::zone_id& zone, base::time_point now) const {
  const auto found = zone_states_.find(zone);
  return found != zone_states_.end() &&
         now - found->second.last_contact_at < contact_timeout(found->second);
}

std::set<base::zone_id> zone_contact::unreachable_zones(base::time_point now) const {
  std::set<base::zone_id> zones;
  for (const auto& [zone, state] : zone_states_) {
    if (now - state.last_contact_at >= contact_timeout(state)) {
      zones.insert(zone);
    }
  }
  return zones;
}

} // namespace spurrack::membership
