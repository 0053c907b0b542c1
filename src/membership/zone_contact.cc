#include "membership/zone_contact.h"

#include <algorithm>

namespace spurrack::membership {
namespace {

/// Silence that is never taken for a lost zone: a few lost messages, or a node that is busy.
constexpr base::duration shortest_silence_limit = std::chrono::milliseconds(900);
/// Usual gaps and deviations that a silence must exceed; the deviations are those of TCP's
/// retransmission time (RFC 6298), the gaps stand for one relay of two that is lost.
constexpr int usual_gaps = 2;
constexpr int gap_deviations = 4;
/// Assumed before anything was measured: a limit of 1.2 s.
constexpr base::duration first_usual_gap = std::chrono::milliseconds(200);
constexpr base::duration first_gap_deviation = std::chrono::milliseconds(200);
/// Share of the newest measurement is one over this (RFC 6298).
constexpr int smoothing = 8;

} // namespace

zone_contact::contact& zone_contact::note(const base::zone_id& zone, base::time_point heard,
                                          base::time_point now) {
  const contact first{heard,        std::nullopt,    std::nullopt,
                      std::nullopt, first_usual_gap, first_gap_deviation};
  const auto [place, added] = contacts_.try_emplace(zone, first);
  auto& known = place->second;
  if (added || heard <= known.heard) {
    return known;
  }
  const base::duration gap = now - known.heard;
  if (gap < longest_silence) {
    const base::duration error = gap - known.usual_gap;
    known.usual_gap += error / smoothing;
    known.gap_deviation += (std::chrono::abs(error) - known.gap_deviation) / smoothing;
  }
  known.heard = heard;
  return known;
}

void zone_contact::observe(const wire::envelope& message, base::time_point now) {
  const base::zone_id sender_zone(message.sender_zone());
  if (sender_zone != own_zone_) {
    note(sender_zone, now, now).heard_directly = now;
  }
  take_told(message.zone_digest(), sender_zone, now);
}

void zone_contact::take_told(const wire::zone_digest& digest, const base::zone_id& sender_zone,
                             base::time_point now) {
  const bool from_other_region = regions_.are_regions_apart(own_zone_, sender_zone);
  for (const auto& told : digest.heard()) {
    const base::zone_id zone(told.zone());
    if (zone == own_zone_) {
      continue;
    }
    const auto heard = now - std::chrono::milliseconds(told.milliseconds());
    auto& known = note(zone, heard, now);
    if (from_other_region) {
      known.told_by_region = std::max(known.told_by_region.value_or(heard), heard);
    } else if (sender_zone != own_zone_) {
      known.told_by_relay = std::max(known.told_by_relay.value_or(heard), heard);
    }
  }
}

void zone_contact::add_age(wire::zone_digest& digest, const base::zone_id& zone,
                           const std::optional<base::time_point>& heard, base::time_point now) {
  // What is older changes nothing at the receiver.
  if (heard && now - *heard < longest_silence) {
    auto& told = *digest.add_heard();
    told.set_zone(zone.text());
    told.set_milliseconds(static_cast<std::uint32_t>(base::to_milliseconds(now - *heard)));
  }
}

void zone_contact::tell(wire::zone_digest& digest, base::time_point now) const {
  for (const auto& [zone, known] : contacts_) {
    // An empty optional is less than any time.
    const auto newest = std::max({known.heard_directly, known.told_by_region, known.told_by_relay});
    add_age(digest, zone, newest, now);
  }
}

void zone_contact::tell_region(wire::zone_digest& digest, base::time_point now) const {
  for (const auto& [zone, known] : contacts_) {
    if (regions_.are_regions_apart(own_zone_, zone)) {
      add_age(digest, zone, std::max(known.heard_directly, known.told_by_region), now);
    }
  }
}

void zone_contact::tell_other_region(wire::zone_digest& digest, base::time_point now) const {
  for (const auto& [zone, known] : contacts_) {
    if (!regions_.are_regions_apart(own_zone_, zone)) {
      add_age(digest, zone, known.heard_directly, now);
    }
  }
}

void zone_contact::resume_after_suspension(base::time_point now) {
  for (auto& [zone, known] : contacts_) {
    known.heard = std::max<base::time_point>(known.heard, now - known.usual_gap);
  }
}

base::duration zone_contact::silence_limit(const contact& known) {
  const auto learned = known.usual_gap * usual_gaps + known.gap_deviation * gap_deviations;
  return std::clamp<base::duration>(learned, shortest_silence_limit, longest_silence);
}

bool zone_contact::hears(const base::zone_id& zone, base::time_point now) const {
  const auto found = contacts_.find(zone);
  return found != contacts_.end() && now - found->second.heard < silence_limit(found->second);
}

std::set<base::zone_id> zone_contact::unreachable_zones(base::time_point now) const {
  std::set<base::zone_id> zones;
  for (const auto& [zone, known] : contacts_) {
    if (now - known.heard >= silence_limit(known)) {
      zones.insert(zone);
    }
  }
  return zones;
}

} // namespace spurrack::membership
