#include "serving/peer_directory.h"

#include "base/hashing.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace spurrack::serving {
namespace {

/// Silence after which a peer that tells everybody, or of a small fleet, is given no work.
constexpr base::duration shortest_silence_limit = std::chrono::milliseconds(900);
/// Rounds of telling that a peer may miss.
constexpr double most_missed_rounds = 2.5;
/// The same for a whole zone, of which several nodes tell.
constexpr double most_missed_zone_rounds = 1.5;
/// A peer that was never heard is taken for alive for this time after it became known.
constexpr base::duration introduction_time = std::chrono::seconds(2);
/// Peers that a node which gathers nothing tells of itself at once.
constexpr std::size_t receivers_at_once = 12;

base::duration scaled_round(base::duration round, double factor) {
  return std::max(shortest_silence_limit,
                  std::chrono::duration_cast<base::duration>(round * factor));
}

} // namespace

peer_directory::peer_directory(fleet_peer self)
    : self_(std::move(self)), next_receiver_(base::stable_hash(self_.node.text())) {}

std::vector<base::node_id> peer_directory::update(std::vector<fleet_peer> peers) {
  std::map<base::node_id, peer_state> kept;
  std::vector<base::node_id> added;
  for (auto& peer : peers) {
    const auto found = peers_.find(peer.node);
    auto& state = kept[peer.node];
    if (found != peers_.end()) {
      state = std::move(found->second);
    } else {
      added.push_back(peer.node);
    }
    state.peer = std::move(peer);
  }
  peers_ = std::move(kept);
  return added;
}

peer_state* peer_directory::find(const base::node_id& node) {
  const auto found = peers_.find(node);
  return found == peers_.end() ? nullptr : &found->second;
}

const peer_state* peer_directory::find(const base::node_id& node) const {
  const auto found = peers_.find(node);
  return found == peers_.end() ? nullptr : &found->second;
}

void peer_directory::set_gatherers(const std::set<base::node_id>& gatherers, base::time_point now) {
  for (auto& [node, peer] : peers_) {
    if (!gatherers.contains(node)) {
      peer.gathers_since.reset();
    } else if (!peer.gathers_since) {
      peer.gathers_since = now;
    }
  }
}

base::duration peer_directory::round_time() const {
  const auto turns = (peers_.size() + receivers_at_once - 1) / receivers_at_once;
  return load_report_period * std::max<std::size_t>(1, turns);
}

base::duration peer_directory::silence_limit(const peer_state& peer) const {
  return peer.gathers_since ? shortest_silence_limit
                            : scaled_round(round_time(), most_missed_rounds);
}

base::duration peer_directory::zone_silence_limit() const {
  return scaled_round(round_time(), most_missed_zone_rounds);
}

void peer_directory::mark_silent(base::time_point now) {
  for (auto& [node, peer] : peers_) {
    if (!peer.known_since) {
      peer.known_since = now;
    }
    auto latest = peer.heard.value_or(*peer.known_since + introduction_time - silence_limit(peer));
    if (peer.gathers_since) {
      latest = std::max(latest, *peer.gathers_since);
    }
    if (!peer.silent && now - latest >= silence_limit(peer)) {
      peer.silent = true;
    }
  }
}

void peer_directory::give_up(const base::node_id& node) {
  if (auto* peer = find(node)) {
    peer->silent = true;
  }
}

bool peer_directory::is_fit(const peer_state& peer) {
  return !peer.silent && !peer.leaving;
}

std::vector<base::node_id> peer_directory::next_receivers(bool tell_all) {
  std::vector<base::node_id> receivers;
  if (tell_all || peers_.size() <= receivers_at_once) {
    for (const auto& [node, peer] : peers_) {
      receivers.push_back(node);
    }
    return receivers;
  }
  next_receiver_ %= peers_.size();
  auto place = std::next(peers_.begin(), static_cast<std::ptrdiff_t>(next_receiver_));
  while (receivers.size() < receivers_at_once) {
    receivers.push_back(place->first);
    ++place;
    place = place == peers_.end() ? peers_.begin() : place;
  }
  next_receiver_ += receivers_at_once;
  return receivers;
}

bool peer_directory::is_in_touch(const base::zone_id& zone, base::time_point now) const {
  bool any_heard = false;
  for (const auto& [node, peer] : peers_) {
    if (peer.peer.zone == zone && peer.heard) {
      any_heard = true;
      if (now - *peer.heard < zone_silence_limit()) {
        return true;
      }
    }
  }
  return !any_heard;
}

std::set<base::zone_id> peer_directory::silent_zones(base::time_point now) const {
  std::set<base::zone_id> silent;
  for (const auto& [node, peer] : peers_) {
    const auto& zone = peer.peer.zone;
    if (zone != self_.zone && !silent.contains(zone) && !is_in_touch(zone, now)) {
      silent.insert(zone);
    }
  }
  return silent;
}

} // namespace spurrack::serving
