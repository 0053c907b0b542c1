/// Functions of `membership` that exchange requests for members and that send the digests of relays
/// (zone_contact.h).
#include "membership/membership.h"

#include "base/hashing.h"
#include "membership/name_hash_set.h"

#include <algorithm>
#include <iterator>

namespace spurrack::membership {
namespace {

/// Maximum number of members in the reply to a request for members. With this number, 300 nodes
/// that start together all know each other after 1.7 s (control_traffic test).
constexpr std::size_t max_members_per_reply = 64;
/// Maximum number of members in the reply to a node that knows no member. Equals
/// `max_gossip_per_message`, so that no gossip is added to a reply of this size. If 300 nodes start
/// together, a seed sends 106 kB until all nodes know each other (member_discovery test). With 96
/// members per reply, the seed's link of 10 Mbit/s was saturated for ten seconds (control_traffic
/// test).
constexpr std::size_t max_members_per_first_reply = 6;
/// Number of relays of a zone. If one relay fails, the other zones of the region still receive the
/// digests of the other relay.
constexpr std::size_t relays_per_zone = 2;
/// Number of relays of a region: the nodes that send digests of the region to the other regions.
constexpr std::size_t relays_per_region = 2;
/// Minimum number of cores of a relay, as a fraction of the highest number of cores of a node in
/// the same zone.
constexpr float min_relay_processor_share = 0.5F;
/// Mean number of members that a digest lists. A digest lists either all n members of the relay's
/// zone (or region, in digests to other regions) or none of them. The members are listed in one of
/// n / `members_per_round` rounds, so that the mean number of bytes per round does not grow with n;
/// if n is smaller than `members_per_round`, they are listed in each round.
constexpr std::size_t members_per_round = 8;
/// This node is in its growth phase until this time has passed since a message last added a member.
/// In the growth phase, it requests members at `member_request_interval`, and also immediately when
/// a reply adds members. After the growth phase, it requests members at
/// `idle_member_request_interval`, so that two parts of the fleet that do not know each other
/// eventually find each other.
constexpr base::duration member_growth_timeout = std::chrono::seconds(3);
constexpr base::duration member_request_interval = std::chrono::milliseconds(500);
/// Interval between the requests of a node that knows no member. Shorter than
/// `member_request_interval`, because the node is not notified when a seed becomes reachable.
constexpr base::duration first_member_request_interval = std::chrono::milliseconds(100);
constexpr base::duration idle_member_request_interval = std::chrono::seconds(10);
/// A node that knows n members waits for `idle_member_request_interval` * (1 + n /
/// `members_per_idle_interval`) between two requests. The interval grows with n because a request
/// contains two bytes per known member: at a constant interval, a seed of a fleet of 2,700 nodes
/// would receive 0.5 MB of requests per second.
constexpr std::size_t members_per_idle_interval = 300;
/// When this node requests members from a known member, this member is usually one of this node's
/// region. On average, one in this number of such requests is sent to a random member of any region
/// instead.
constexpr std::uint64_t requests_per_remote_request = 8;

} // namespace

// --- requests for members -----------------------------------------------------------------------

void membership::request_members(base::time_point now, wire::outbox& out) {
  if (gossip_seeds_.empty() || now < next_member_request_at_) {
    return;
  }
  const bool is_growing = now - last_member_added_at_ < member_growth_timeout;
  if (members_.empty()) {
    next_member_request_at_ = now + first_member_request_interval;
    for (const auto& seed : gossip_seeds_) {
      send_member_request(seed, out);
    }
  } else if (is_growing) {
    next_member_request_at_ = now + member_request_interval;
    send_member_request(choose_member_source(), out);
  } else {
    const auto factor = 1 + members_.size() / members_per_idle_interval;
    next_member_request_at_ = now + idle_member_request_interval * factor;
    send_member_request(gossip_seeds_[random_->below(gossip_seeds_.size())], out);
  }
}

void membership::send_member_request(const base::network_address& address, wire::outbox& out) {
  last_member_request_ = next_sequence_++;
  auto message = ping_message(last_member_request_, nullptr);
  message.mutable_ping()->set_introduce(true);
  name_hash_set_writer known(last_member_request_);
  for (const auto& [node, other] : members_) {
    known.add(node);
  }
  message.mutable_ping()->set_known_members(known.take());
  out.push_back({address, std::move(message)});
}

base::network_address membership::choose_member_source() const {
  const bool may_be_remote = random_->below(requests_per_remote_request) == 0;
  std::vector<const member*> candidates;
  for (const auto& [node, other] : members_) {
    const bool is_candidate = may_be_remote || regions_.are_in_same_region(other.zone, self_.zone);
    if (is_candidate && other.state == wire::ALIVE) {
      candidates.push_back(&other);
    }
  }
  return candidates.empty() ? gossip_seeds_[random_->below(gossip_seeds_.size())]
                            : candidates[random_->below(candidates.size())]->address;
}

void membership::note_member_reply(std::uint64_t sequence, base::time_point now) {
  const bool had_new_members = last_member_added_at_ == now;
  if (sequence == last_member_request_ && had_new_members) {
    next_member_request_at_ = now;
  }
}

void membership::add_missing_members(const wire::envelope& request, wire::envelope& reply) const {
  const name_hash_set known(request.ping().known_members(), request.ping().sequence());
  const auto limit = known.is_empty() ? max_members_per_first_reply : max_members_per_reply;
  std::vector<const member*> same_zone;
  std::vector<const member*> other_zones;
  for (const auto& [node, other] : members_) {
    const bool is_missing = node.text() != request.sender() && !known.may_contain(node);
    if (other.state == wire::ALIVE && is_missing) {
      (other.zone.text() == request.sender_zone() ? same_zone : other_zones).push_back(&other);
    }
  }
  // Members of the requester's zone are added first, because the requester probes these members and
  // can request the other members from them. Within a group, the members are added in random order,
  // so that different requesters send their next requests to different nodes.
  std::size_t added = 0;
  for (auto* group : {&same_zone, &other_zones}) {
    while (!group->empty() && added < limit) {
      *reply.add_updates() = update_of(*base::take_random(*group, *random_));
      ++added;
    }
  }
}

// --- relays --------------------------------------------------------------------------------------

bool membership::is_relay() const {
  const auto& relays = live().relays.at(self_.zone);
  return std::find(relays.begin(), relays.end(), self_.node) != relays.end();
}

void membership::send_digests(base::time_point now, wire::outbox& out) {
  if (is_relay()) {
    send_digests_to_other_zones(now, out);
    send_digests_to_own_zone(now, out);
  }
  if (is_region_relay(now)) {
    send_digests_to_other_regions(now, out);
  }
}

void membership::send_digests_to_other_zones(base::time_point now, wire::outbox& out) {
  const auto& view = live();
  const auto rounds = std::max<std::uint64_t>(1, view.zone_nodes.size() / members_per_round);
  wire::zone_digest members;
  if (++relay_rounds_ % rounds == 0) {
    for (const auto& peer : view.peers) {
      *members.add_members() = update_of(peer);
    }
  }
  for (const auto& [zone, nodes] : view.remote) {
    if (!regions_.are_in_different_regions(self_.zone, zone)) {
      send_digests_to_zone(zone, members, now, out);
    }
  }
}

void membership::send_digests_to_zone(const base::zone_id& zone, const wire::zone_digest& members,
                                      base::time_point now, wire::outbox& out) {
  wire::zone_digest contact_reports;
  zones_.add_contact_reports_to_other_zones(contact_reports, now);
  for (const auto& relay : live().relays.at(zone)) {
    send_digest(relay, contact_reports, out);
  }
  // This node's knowledge of the other zone is often outdated, so this node may choose other relays
  // for that zone than the nodes of the zone do. Therefore a random node of the zone also receives
  // a digest.
  const auto& nodes = live().remote.at(zone);
  send_digest(nodes[random_->below(nodes.size())], members, out);
}

std::vector<base::node_id> membership::region_relays(const base::region_id& region,
                                                     base::time_point now) const {
  const auto unreachable = zones_.unreachable_zones(now);
  std::vector<base::zone_id> reachable;
  std::vector<base::zone_id> all;
  for (const auto& [zone, relays] : live().relays) {
    if (regions_.region_of(zone) == region && !relays.empty()) {
      all.push_back(zone);
      if (!unreachable.contains(zone)) {
        reachable.push_back(zone);
      }
    }
  }
  // Relays of an unreachable region still receive digests, so that the end of the partition is
  // detected.
  const auto zones =
      base::rendezvous_top("region relay", reachable.empty() ? all : reachable, relays_per_region);
  std::vector<base::node_id> chosen;
  chosen.reserve(relays_per_region);
  for (const auto& zone : zones) {
    chosen.push_back(live().relays.at(zone).front());
  }
  if (zones.size() == 1 && live().relays.at(zones.front()).size() > 1) {
    chosen.push_back(live().relays.at(zones.front()).back());
  }
  return chosen;
}

bool membership::is_region_relay(base::time_point now) const {
  const auto region = regions_.region_of(self_.zone);
  if (!region) {
    return false;
  }
  const auto relays = region_relays(*region, now);
  return std::find(relays.begin(), relays.end(), self_.node) != relays.end();
}

std::set<base::region_id> membership::other_regions() const {
  std::set<base::region_id> found;
  for (const auto& [zone, nodes] : live().remote) {
    if (regions_.are_in_different_regions(self_.zone, zone)) {
      found.insert(*regions_.region_of(zone));
    }
  }
  return found;
}

std::vector<base::node_id> membership::nodes_of_region(const base::region_id& region) const {
  std::vector<base::node_id> nodes;
  for (const auto& [node, other] : members_) {
    if (other.state != wire::DEAD && regions_.region_of(other.zone) == region) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

void membership::send_digests_to_other_regions(base::time_point now, wire::outbox& out) {
  const auto own_region = *regions_.region_of(self_.zone);
  const auto own_nodes = nodes_of_region(own_region);
  const auto rounds = std::max<std::uint64_t>(1, own_nodes.size() / members_per_round);
  wire::zone_digest members;
  if (++region_rounds_ % rounds == 0) {
    for (const auto& node : own_nodes) {
      *members.add_members() = update_of(members_.at(node));
    }
  }
  wire::zone_digest contact_reports;
  zones_.add_contact_reports_to_other_regions(contact_reports, now);
  *members.mutable_heard() = contact_reports.heard();
  for (const auto& region : other_regions()) {
    for (const auto& relay : region_relays(region, now)) {
      send_digest(relay, contact_reports, out);
    }
    // This node's knowledge of the other region is often outdated, so this node may choose other
    // relays for that region than the nodes of the region do. Therefore a random node of the region
    // also receives a digest.
    if (const auto nodes = nodes_of_region(region); !nodes.empty()) {
      send_digest(nodes[random_->below(nodes.size())], members, out);
    }
  }
}

void membership::send_digests_to_own_zone(base::time_point now, wire::outbox& out) const {
  wire::zone_digest contact_reports;
  zones_.add_contact_reports_to_own_zone(contact_reports, now);
  for (const auto& peer : live_peers()) {
    send_digest(peer.node, contact_reports, out);
  }
}

void membership::send_digest(const base::node_id& to, const wire::zone_digest& digest,
                             wire::outbox& out) const {
  wire::outgoing message{members_.at(to).address, {}};
  *message.message.mutable_zone_digest() = digest;
  out.push_back(std::move(message));
}

float membership::processor_share_of(const base::node_id& node) const {
  return node == self_.node ? self_.processor_share : members_.at(node).processor_share;
}

std::vector<base::node_id>
membership::choose_relays(const std::vector<base::node_id>& nodes) const {
  float strongest = 0;
  for (const auto& node : nodes) {
    strongest = std::max(strongest, processor_share_of(node));
  }
  std::vector<base::node_id> strong;
  std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(strong), [&](const auto& node) {
    const auto share = processor_share_of(node);
    const bool is_known = share > 0;
    return !is_known || share >= strongest * min_relay_processor_share;
  });
  return base::rendezvous_top("relay", strong, relays_per_zone);
}

} // namespace spurrack::membership
