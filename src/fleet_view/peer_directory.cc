#include "fleet_view/peer_directory.h"

#include "base/hashing.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace spurrack::serving {
namespace {

/// Silence after which a peer that reports all the time is given no work: four reports missed.
constexpr base::duration silence_limit = std::chrono::milliseconds(900);
/// A peer that was never heard is taken for alive for this time after it became known.
constexpr base::duration introduction_time = std::chrono::seconds(2);
/// A silent peer from which no reports are expected is tried again after this time: membership
/// has noticed by then where it is dead.
constexpr base::duration retrial_time = std::chrono::seconds(10);
/// Fleets of so many peers tell each other everything: 60 messages a second a node.
constexpr std::size_t most_peers_of_small_fleet = 12;
/// Rounds of reports in which every node of another zone is told once: about a second.
constexpr std::size_t rounds_elsewhere = 5;
/// Gatherers of one zone that a node of another zone hears of. Two are enough to send a piece to
/// the better one; all of them told 225 nodes each once a second at 300 nodes, which was most of
/// the bytes between zones.
constexpr std::size_t gatherers_heard_elsewhere = 2;
/// Gatherers that a node hears of in each other region, of one zone there that differs from node to
/// node. Work leaves its region only when it must, and then one that takes it is enough; two of
/// each zone were 243 kB a second between regions at 300 nodes in 6 zones of 3 regions, this is 65
/// (control_traffic test).
constexpr std::size_t gatherers_heard_of_region = 1;
/// Gatherers of other regions report once a second and not five times.
constexpr base::duration silence_limit_elsewhere = std::chrono::milliseconds(2500);
/// Two rounds and a half of reports to other zones.
constexpr base::duration load_lifetime = std::chrono::milliseconds(2500);

} // namespace

peer_directory::peer_directory(fleet_peer self, model::zone_regions regions)
    : self_(std::move(self)), regions_(std::move(regions)),
      next_receiver_(base::stable_hash(self_.node.text())) {}

void peer_directory::update(std::vector<fleet_peer> peers) {
  std::map<base::node_id, peer_state> kept;
  in_zone_.clear();
  in_region_.clear();
  elsewhere_.clear();
  std::set<base::zone_id> zones{self_.zone};
  for (auto& peer : peers) {
    auto& state = kept[peer.node];
    if (const auto found = peers_.find(peer.node); found != peers_.end()) {
      state = std::move(found->second);
    }
    if (peer.zone == self_.zone) {
      in_zone_.push_back(peer.node);
    } else if (is_in_other_region(peer.zone)) {
      elsewhere_.push_back(peer.node);
    } else {
      in_region_.push_back(peer.node);
      zones.insert(peer.zone);
    }
    state.peer = std::move(peer);
  }
  peers_ = std::move(kept);
  zones_of_region_.assign(zones.begin(), zones.end());
  const auto is_unknown = [this](const base::node_id& node) { return !peers_.contains(node); };
  std::erase_if(batchers_, is_unknown);
  std::erase_if(reporters_, is_unknown);
  std::erase_if(silent_, is_unknown);
  listeners_.reset();
}

const std::vector<base::node_id>& peer_directory::listeners() {
  if (listeners_) {
    return *listeners_;
  }
  std::vector<base::node_id> rivals{self_.node};
  std::copy_if(
      batchers_.begin(), batchers_.end(), std::back_inserter(rivals),
      [this](const base::node_id& node) { return peers_.at(node).peer.zone == self_.zone; });
  auto& chosen = listeners_.emplace();
  for (const auto* others : {&in_region_, &elsewhere_}) {
    std::copy_if(
        others->begin(), others->end(), std::back_inserter(chosen),
        [&](const base::node_id& node) { return is_listener(peers_.at(node).peer, rivals); });
  }
  return chosen;
}

bool peer_directory::is_listener(const fleet_peer& node,
                                 const std::vector<base::node_id>& rivals) const {
  const bool far = is_in_other_region(node.zone);
  if (far && !hears_of_this_zone(node.node)) {
    return false;
  }
  const auto heard =
      base::rendezvous_top("listener/" + node.node.text(), rivals,
                           far ? gatherers_heard_of_region : gatherers_heard_elsewhere);
  return std::find(heard.begin(), heard.end(), self_.node) != heard.end();
}

bool peer_directory::hears_of_this_zone(const base::node_id& node) const {
  return base::rendezvous_top("listener/" + node.text(), zones_of_region_, 1).front() == self_.zone;
}

bool peer_directory::is_in_other_region(const base::zone_id& zone) const {
  return regions_.are_regions_apart(self_.zone, zone);
}

peer_state* peer_directory::find(const base::node_id& node) {
  const auto found = peers_.find(node);
  return found == peers_.end() ? nullptr : &found->second;
}

const peer_state* peer_directory::find(const base::node_id& node) const {
  const auto found = peers_.find(node);
  return found == peers_.end() ? nullptr : &found->second;
}

std::vector<base::node_id> peer_directory::set_gatherers(const std::set<base::node_id>& batchers,
                                                         base::time_point now) {
  std::set<base::node_id> known;
  std::copy_if(batchers.begin(), batchers.end(), std::inserter(known, known.end()),
               [this](const base::node_id& node) { return peers_.contains(node); });
  if (known == batchers_) {
    return {};
  }
  for (const auto& node : batchers_) {
    if (!known.contains(node)) {
      peers_.at(node).gathers_since.reset();
    }
  }
  batchers_ = std::move(known);
  listeners_.reset();
  std::vector<base::node_id> added;
  for (const auto& node : batchers_) {
    auto* peer = find(node);
    if (!peer->gathers_since) {
      peer->gathers_since = now;
      added.push_back(node);
    }
  }
  return added;
}

bool peer_directory::is_small_fleet() const {
  return peers_.size() <= most_peers_of_small_fleet;
}

bool peer_directory::is_overdue(const peer_state& peer, base::time_point now) const {
  if (!peer.gathers_since && !is_small_fleet()) {
    return false;
  }
  auto latest = peer.heard.value_or(*peer.known_since + introduction_time - silence_limit);
  if (peer.gathers_since) {
    latest = std::max(latest, *peer.gathers_since);
  }
  const bool reports_seldom = is_in_other_region(peer.peer.zone) && !is_small_fleet();
  return now - latest >= (reports_seldom ? silence_limit_elsewhere : silence_limit);
}

bool peer_directory::check_silence(peer_state& peer, base::time_point now) {
  peer.known_since = peer.known_since.value_or(now);
  if (peer.silent_since || !is_overdue(peer, now)) {
    return false;
  }
  give_up(peer.peer.node, now);
  return true;
}

bool peer_directory::update_silence(base::time_point now) {
  bool changed = false;
  if (is_small_fleet()) {
    for (auto& [node, peer] : peers_) {
      changed = check_silence(peer, now) || changed;
    }
    return changed;
  }
  for (const auto& node : batchers_) {
    changed = check_silence(peers_.at(node), now) || changed;
  }
  std::erase_if(silent_, [&](const base::node_id& node) {
    auto& peer = peers_.at(node);
    const bool tried_again = now - *peer.silent_since >= retrial_time;
    if (tried_again) {
      peer.silent_since.reset();
      changed = true;
    }
    return tried_again;
  });
  return changed;
}

bool peer_directory::note_heard(peer_state& peer, base::time_point now) {
  peer.heard = now;
  const bool was_silent = peer.silent_since.has_value();
  if (was_silent) {
    peer.silent_since.reset();
    silent_.erase(peer.peer.node);
  }
  return was_silent;
}

void peer_directory::take_loads(peer_state& peer, const wire::stage_work& message,
                                base::time_point now) {
  if (message.loads_size() == 0) {
    return;
  }
  peer.loads.clear();
  peer.sent_since.clear();
  peer.loads_told_at = now;
  bool gathers = false;
  for (const auto& load : message.loads()) {
    gathers = gathers || load.replicas() > 0;
    peer.loads[load.service()] = load;
  }
  if (gathers) {
    reporters_.insert(peer.peer.node);
  } else {
    reporters_.erase(peer.peer.node);
  }
}

void peer_directory::give_up(const base::node_id& node, base::time_point now) {
  if (auto* peer = find(node); peer != nullptr && !peer->silent_since) {
    peer->silent_since = now;
    silent_.insert(node);
  }
}

bool peer_directory::is_fit(const peer_state& peer) {
  return !peer.silent_since && !peer.leaving;
}

bool peer_directory::has_fresh_loads(const peer_state& peer, base::time_point now) {
  return now - peer.loads_told_at < load_lifetime;
}

std::vector<base::node_id> peer_directory::next_receivers(report_audience audience) {
  if (audience == report_audience::nobody && !is_small_fleet()) {
    return {};
  }
  auto receivers = in_zone_;
  const bool for_region = audience == report_audience::everybody || is_small_fleet();
  if (for_region) {
    receivers.insert(receivers.end(), in_region_.begin(), in_region_.end());
  }
  if (is_small_fleet()) {
    receivers.insert(receivers.end(), elsewhere_.begin(), elsewhere_.end());
    return receivers;
  }
  const auto& told = for_region ? elsewhere_ : listeners();
  const auto wanted = (told.size() + rounds_elsewhere - 1) / rounds_elsewhere;
  for (std::size_t taken = 0; taken < wanted; ++taken) {
    receivers.push_back(told[next_receiver_++ % told.size()]);
  }
  return receivers;
}

} // namespace spurrack::serving
