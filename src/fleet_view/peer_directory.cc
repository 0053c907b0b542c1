#include "fleet_view/peer_directory.h"

#include "base/hashing.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace spurrack::serving {
namespace {

/// Time without a message after which a peer that reports in every round is marked as unresponsive:
/// four missed reports.
constexpr base::duration unresponsive_timeout = std::chrono::milliseconds(900);
/// Minimum time from the first check of a peer until the peer is marked as unresponsive because it
/// has never sent a message.
constexpr base::duration first_contact_timeout = std::chrono::seconds(2);
/// Time for which a silent peer from which no load reports are expected stays marked as
/// unresponsive. After this time the peer may be sent work again. Within this time membership
/// detects whether the peer is dead.
constexpr base::duration retry_delay = std::chrono::seconds(10);
/// Maximum number of peers in a small fleet. In a small fleet every node reports to all other nodes
/// in every round, so that a node sends at most 60 messages per second.
constexpr std::size_t max_peers_of_small_fleet = 12;
/// A receiver in another zone or region that does not get the report of every round gets one report
/// in this number of rounds, which together take about a second.
constexpr std::size_t rounds_per_remote_report = 5;
/// Maximum number of batchers of one zone that send their load reports to the same node of another
/// zone of the region. Two batchers are enough: a piece is sent to the less loaded one. In a fleet
/// of 300 nodes in which every batcher reported to all 225 nodes of other zones once per second,
/// these reports were most of the bytes between zones.
constexpr std::size_t batchers_reported_per_zone = 2;
/// Maximum number of batchers of one region that send their load reports to the same node of
/// another region. The zone of the batcher differs from receiver to receiver. Work leaves its
/// region only if it must, and then one batcher that accepts the work is enough. At 300 nodes in 6
/// zones of 3 regions, the load reports between regions take 65 kB per second; with two batchers of
/// each zone they took 243 kB per second (control_traffic test).
constexpr std::size_t batchers_reported_per_region = 1;
/// `unresponsive_timeout` for peers of other regions, which report once per second instead of five
/// times.
constexpr base::duration unresponsive_timeout_other_region = std::chrono::milliseconds(2500);
/// Lifetime of a load report: two and a half times the interval between reports to other zones.
constexpr base::duration load_lifetime = std::chrono::milliseconds(2500);

} // namespace

peer_directory::peer_directory(fleet_peer self, model::zone_regions regions)
    : self_(std::move(self)), regions_(std::move(regions)),
      next_receiver_(base::stable_hash(self_.node.text())) {}

void peer_directory::update(std::vector<fleet_peer> peers) {
  std::map<base::node_id, peer_state> kept;
  zone_peers_.clear();
  region_peers_.clear();
  other_region_peers_.clear();
  std::set<base::zone_id> zones{self_.zone};
  for (auto& peer : peers) {
    auto& state = kept[peer.node];
    if (const auto found = peers_.find(peer.node); found != peers_.end()) {
      state = std::move(found->second);
    }
    if (peer.zone == self_.zone) {
      zone_peers_.push_back(peer.node);
    } else if (is_in_other_region(peer.zone)) {
      other_region_peers_.push_back(peer.node);
    } else {
      region_peers_.push_back(peer.node);
      zones.insert(peer.zone);
    }
    state.peer = std::move(peer);
  }
  peers_ = std::move(kept);
  zones_of_region_.assign(zones.begin(), zones.end());
  const auto is_unknown = [this](const base::node_id& node) { return !peers_.contains(node); };
  std::erase_if(batchers_, is_unknown);
  std::erase_if(reporting_batchers_, is_unknown);
  std::erase_if(unresponsive_peers_, is_unknown);
  report_receivers_.reset();
}

const std::vector<base::node_id>& peer_directory::report_receivers() {
  if (report_receivers_) {
    return *report_receivers_;
  }
  std::vector<base::node_id> zone_batchers{self_.node};
  std::copy_if(
      batchers_.begin(), batchers_.end(), std::back_inserter(zone_batchers),
      [this](const base::node_id& node) { return peers_.at(node).peer.zone == self_.zone; });
  auto& chosen = report_receivers_.emplace();
  for (const auto* nodes : {&region_peers_, &other_region_peers_}) {
    std::copy_if(nodes->begin(), nodes->end(), std::back_inserter(chosen),
                 [&](const base::node_id& node) {
                   return is_report_receiver(peers_.at(node).peer, zone_batchers);
                 });
  }
  return chosen;
}

bool peer_directory::is_report_receiver(const fleet_peer& node,
                                        const std::vector<base::node_id>& zone_batchers) const {
  const bool is_other_region = is_in_other_region(node.zone);
  if (is_other_region && !receives_reports_of_own_zone(node.node)) {
    return false;
  }
  const auto reporting_to_node = base::rendezvous_top("listener/" + node.node.text(), zone_batchers,
                                                      is_other_region ? batchers_reported_per_region
                                                                      : batchers_reported_per_zone);
  return std::find(reporting_to_node.begin(), reporting_to_node.end(), self_.node) !=
         reporting_to_node.end();
}

bool peer_directory::receives_reports_of_own_zone(const base::node_id& node) const {
  return base::rendezvous_top("listener/" + node.text(), zones_of_region_, 1).front() == self_.zone;
}

bool peer_directory::is_in_other_region(const base::zone_id& zone) const {
  return regions_.are_in_different_regions(self_.zone, zone);
}

peer_state* peer_directory::find(const base::node_id& node) {
  const auto found = peers_.find(node);
  return found == peers_.end() ? nullptr : &found->second;
}

const peer_state* peer_directory::find(const base::node_id& node) const {
  const auto found = peers_.find(node);
  return found == peers_.end() ? nullptr : &found->second;
}

std::vector<base::node_id> peer_directory::set_batchers(const std::set<base::node_id>& batchers,
                                                        base::time_point now) {
  std::set<base::node_id> known;
  std::copy_if(batchers.begin(), batchers.end(), std::inserter(known, known.end()),
               [this](const base::node_id& node) { return peers_.contains(node); });
  if (known == batchers_) {
    return {};
  }
  for (const auto& node : batchers_) {
    if (!known.contains(node)) {
      peers_.at(node).batcher_since.reset();
    }
  }
  batchers_ = std::move(known);
  report_receivers_.reset();
  std::vector<base::node_id> added;
  for (const auto& node : batchers_) {
    auto* peer = find(node);
    if (!peer->batcher_since) {
      peer->batcher_since = now;
      added.push_back(node);
    }
  }
  return added;
}

bool peer_directory::is_small_fleet() const {
  return peers_.size() <= max_peers_of_small_fleet;
}

bool peer_directory::is_overdue(const peer_state& peer, base::time_point now) const {
  if (!peer.batcher_since && !is_small_fleet()) {
    return false;
  }
  auto idle_since = peer.last_contact_at.value_or(*peer.first_checked_at + first_contact_timeout -
                                                  unresponsive_timeout);
  if (peer.batcher_since) {
    idle_since = std::max(idle_since, *peer.batcher_since);
  }
  const bool reports_rarely = is_in_other_region(peer.peer.zone) && !is_small_fleet();
  return now - idle_since >=
         (reports_rarely ? unresponsive_timeout_other_region : unresponsive_timeout);
}

bool peer_directory::check_responsiveness(peer_state& peer, base::time_point now) {
  peer.first_checked_at = peer.first_checked_at.value_or(now);
  if (peer.unresponsive_since || !is_overdue(peer, now)) {
    return false;
  }
  mark_unresponsive(peer.peer.node, now);
  return true;
}

bool peer_directory::update_responsiveness(base::time_point now) {
  bool changed = false;
  if (is_small_fleet()) {
    for (auto& [node, peer] : peers_) {
      changed = check_responsiveness(peer, now) || changed;
    }
    return changed;
  }
  for (const auto& node : batchers_) {
    changed = check_responsiveness(peers_.at(node), now) || changed;
  }
  std::erase_if(unresponsive_peers_, [&](const base::node_id& node) {
    auto& peer = peers_.at(node);
    const bool is_retried = now - *peer.unresponsive_since >= retry_delay;
    if (is_retried) {
      peer.unresponsive_since.reset();
      changed = true;
    }
    return is_retried;
  });
  return changed;
}

void peer_directory::resume_after_suspension(base::duration gap) {
  for (auto& [node, peer] : peers_) {
    if (peer.last_contact_at) {
      *peer.last_contact_at += gap;
    }
    if (peer.first_checked_at) {
      *peer.first_checked_at += gap;
    }
  }
}

bool peer_directory::note_contact(peer_state& peer, base::time_point now) {
  peer.last_contact_at = now;
  const bool was_unresponsive = peer.unresponsive_since.has_value();
  if (was_unresponsive) {
    peer.unresponsive_since.reset();
    unresponsive_peers_.erase(peer.peer.node);
  }
  return was_unresponsive;
}

void peer_directory::record_loads(peer_state& peer, const wire::stage_work& message,
                                  base::time_point now) {
  if (message.loads_size() == 0) {
    return;
  }
  peer.loads.clear();
  peer.sent_since_report.clear();
  peer.loads_reported_at = now;
  bool is_batcher = false;
  for (const auto& load : message.loads()) {
    is_batcher = is_batcher || load.replicas() > 0;
    peer.loads[load.service()] = load;
  }
  if (is_batcher) {
    reporting_batchers_.insert(peer.peer.node);
  } else {
    reporting_batchers_.erase(peer.peer.node);
  }
}

void peer_directory::mark_unresponsive(const base::node_id& node, base::time_point now) {
  if (auto* peer = find(node); peer != nullptr && !peer->unresponsive_since) {
    peer->unresponsive_since = now;
    unresponsive_peers_.insert(node);
  }
}

bool peer_directory::is_eligible(const peer_state& peer) {
  return !peer.unresponsive_since && !peer.is_stopping;
}

bool peer_directory::has_fresh_loads(const peer_state& peer, base::time_point now) {
  return now - peer.loads_reported_at < load_lifetime;
}

std::vector<base::node_id> peer_directory::next_receivers(report_audience audience) {
  if (audience == report_audience::nobody && !is_small_fleet()) {
    return {};
  }
  auto receivers = zone_peers_;
  const bool includes_region = audience == report_audience::everybody || is_small_fleet();
  if (includes_region) {
    receivers.insert(receivers.end(), region_peers_.begin(), region_peers_.end());
  }
  if (is_small_fleet()) {
    receivers.insert(receivers.end(), other_region_peers_.begin(), other_region_peers_.end());
    return receivers;
  }
  const auto& remote_receivers = includes_region ? other_region_peers_ : report_receivers();
  const auto receiver_count =
      (remote_receivers.size() + rounds_per_remote_report - 1) / rounds_per_remote_report;
  for (std::size_t added = 0; added < receiver_count; ++added) {
    receivers.push_back(remote_receivers[next_receiver_++ % remote_receivers.size()]);
  }
  return receivers;
}

} // namespace spurrack::serving
