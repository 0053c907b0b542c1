#include "membership/membership.h"

#include "base/hashing.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace spurrack::membership {
namespace {

/// Number of other members that are requested to probe a member that has not acknowledged this
/// node's probe.
constexpr std::size_t indirect_probe_count = 2;
/// Number of member updates up to which `piggyback` fills a message. If the message already
/// contains this number or more, such as a large reply to a request for members, `piggyback` adds
/// none.
constexpr std::size_t max_gossip_per_message = 6;
/// Number of messages in which one member update is sent, divided by log2 of the number of members,
/// as in SWIM.
constexpr unsigned gossip_multiplier = 3;
/// Returns the precedence of a member state. If two reports on a member have the same incarnation,
/// the state with the higher precedence replaces the other state.
int state_precedence(wire::member_state state) {
  switch (state) {
  case wire::DEAD:
    return 2;
  case wire::SUSPECT:
    return 1;
  default:
    return 0;
  }
}

} // namespace

wire::member_update update_of(const member& subject) {
  wire::member_update update;
  update.set_node(subject.node.text());
  update.set_incarnation(subject.incarnation);
  update.set_state(subject.state);
  update.set_address(subject.address.text());
  update.set_zone(subject.zone.text());
  update.set_processor_share(subject.processor_share);
  return update;
}

membership::membership(identity self, timing settings, base::random_source& random,
                       state_observer observer, model::zone_regions regions)
    : self_(std::move(self)), regions_(std::move(regions)), settings_(settings), random_(&random),
      observer_(std::move(observer)), incarnation_(self_.process_start),
      zones_(self_.zone, regions_) {}

const base::zone_id* membership::zone_at(const base::network_address& address) const {
  const auto found = zones_by_address_.find(address);
  return found == zones_by_address_.end() ? nullptr : &found->second;
}

void membership::note_change() {
  live_.reset();
  ++version_;
}

void membership::set_published_nodes(const catalog::machine_map& machines, base::time_point now) {
  note_change();
  std::set<base::node_id> listed;
  for (const auto& [id, machine] : machines) {
    if (machine->role != model::machine_role::node || id == self_.node.text()) {
      continue;
    }
    const base::node_id node(id);
    listed.insert(node);
    auto [entry, added] = members_.try_emplace(node);
    if (added) {
      entry->second.node = node;
      entry->second.state_since = now;
    }
    entry->second.zone = machine->zone;
    entry->second.address = machine->address;
    zones_by_address_[machine->address] = machine->zone;
  }
  has_published_list_ = has_published_list_ || !machines.empty();
  if (has_published_list_) {
    std::erase_if(members_, [&](const auto& entry) { return !listed.contains(entry.first); });
  }
}

void membership::add_gossip_seed(const base::network_address& address) {
  if (address != self_.address) {
    gossip_seeds_.push_back(address);
  }
}

void membership::set_gossip_seeds(const std::vector<base::network_address>& addresses) {
  gossip_seeds_.clear();
  for (const auto& address : addresses) {
    add_gossip_seed(address);
  }
}

bool membership::may_be_member(const base::node_id& node) const {
  return !has_published_list_ || members_.contains(node);
}

void membership::observe(const wire::envelope& message, base::time_point now) {
  zones_.observe(message, now);
  wire::member_update sender_update;
  sender_update.set_node(message.sender());
  sender_update.set_incarnation(message.sender_incarnation());
  sender_update.set_state(wire::ALIVE);
  sender_update.set_address(message.sender_address());
  sender_update.set_zone(message.sender_zone());
  sender_update.set_processor_share(message.sender_processor_share());
  apply_update(sender_update, now);
  for (const auto& update : message.updates()) {
    apply_update(update, now);
  }
  for (const auto& update : message.zone_digest().members()) {
    apply_update(update, now);
  }
}

void membership::apply_update(const wire::member_update& update, base::time_point now) {
  const base::node_id node(update.node());
  if (node == self_.node) {
    if (update.state() != wire::ALIVE && update.incarnation() >= incarnation_) {
      refute(update.incarnation());
    }
    return;
  }
  auto found = members_.find(node);
  if (found == members_.end()) {
    if (has_published_list_ || update.state() != wire::ALIVE) {
      return;
    }
    member new_member;
    new_member.node = node;
    new_member.zone = base::zone_id(update.zone());
    new_member.address = base::network_address(update.address());
    found = members_.emplace(node, new_member).first;
    zones_by_address_[new_member.address] = new_member.zone;
    last_member_added_at_ = now;
    first_member_added_at_ = first_member_added_at_.value_or(now);
  }
  auto& subject = found->second;
  if (update.processor_share() > 0 && update.processor_share() != subject.processor_share) {
    subject.processor_share = update.processor_share();
    note_change();
  }
  const bool is_newer = update.incarnation() > subject.incarnation;
  const bool is_stronger = update.incarnation() == subject.incarnation &&
                           state_precedence(update.state()) > state_precedence(subject.state);
  if (is_newer || is_stronger) {
    set_state(subject, update.state(), update.incarnation(), now);
  }
}

void membership::refute(base::incarnation reported_incarnation) {
  incarnation_ = reported_incarnation + 1;
  wire::member_update update;
  update.set_node(self_.node.text());
  update.set_incarnation(incarnation_);
  update.set_state(wire::ALIVE);
  update.set_address(self_.address.text());
  update.set_zone(self_.zone.text());
  update.set_processor_share(self_.processor_share);
  enqueue_gossip(update);
}

void membership::set_state(member& subject, wire::member_state state, base::incarnation incarnation,
                           base::time_point now) {
  note_change();
  const bool changed = subject.state != state;
  subject.incarnation = incarnation;
  subject.state = state;
  if (changed) {
    subject.state_since = now;
    observer_(subject);
  }
  if (is_in_own_zone(subject)) {
    gossip(subject);
  }
}

void membership::gossip(const member& subject) {
  enqueue_gossip(update_of(subject));
}

void membership::enqueue_gossip(const wire::member_update& update) {
  std::erase_if(gossip_queue_,
                [&](const gossip_update& old) { return old.update.node() == update.node(); });
  gossip_queue_.push_front({update, gossip_sends()});
}

unsigned membership::gossip_sends() const {
  return gossip_multiplier * static_cast<unsigned>(std::bit_width(members_.size() + 1));
}

void membership::piggyback(wire::envelope& message) {
  std::size_t capacity = max_gossip_per_message -
                         std::min<std::size_t>(max_gossip_per_message,
                                               static_cast<std::size_t>(message.updates_size()));
  for (auto queued = gossip_queue_.begin(); queued != gossip_queue_.end() && capacity > 0;
       --capacity) {
    *message.add_updates() = queued->update;
    --queued->sends_left;
    queued = queued->sends_left == 0 ? gossip_queue_.erase(queued) : std::next(queued);
  }
}

wire::envelope membership::ping_message(std::uint64_t sequence, const member* target) {
  wire::envelope message;
  message.mutable_ping()->set_sequence(sequence);
  if (target != nullptr && target->state != wire::ALIVE && target->incarnation > 0) {
    *message.add_updates() = update_of(*target);
  }
  return message;
}

void membership::handle(const wire::envelope& message, base::time_point now, wire::outbox& out) {
  const base::network_address sender(message.sender_address());
  if (message.has_ping()) {
    wire::outgoing reply{sender, {}};
    auto& body = *reply.message.mutable_acknowledgement();
    body.set_sequence(message.ping().sequence());
    body.set_node(self_.node.text());
    body.set_resync(message.ping().resync());
    const auto found = members_.find(base::node_id(message.sender()));
    if (found != members_.end() && found->second.state != wire::ALIVE) {
      *reply.message.add_updates() = update_of(found->second);
    }
    if (message.ping().introduce()) {
      add_missing_members(message, reply.message);
    }
    out.push_back(std::move(reply));
  } else if (message.has_ping_request()) {
    const auto sequence = next_sequence_++;
    indirect_probes_[sequence] = {sender, message.ping_request().sequence(), now};
    out.push_back({base::network_address(message.ping_request().target_address()),
                   ping_message(sequence, nullptr)});
  } else if (message.has_acknowledgement()) {
    const auto& body = message.acknowledgement();
    note_member_reply(body.sequence(), now);
    const auto indirect = indirect_probes_.find(body.sequence());
    if (indirect != indirect_probes_.end()) {
      wire::outgoing reply{indirect->second.requester, {}};
      *reply.message.mutable_acknowledgement() = body;
      reply.message.mutable_acknowledgement()->set_sequence(indirect->second.requester_sequence);
      out.push_back(std::move(reply));
      indirect_probes_.erase(indirect);
    } else if (probe_ && probe_->sequence == body.sequence()) {
      probe_.reset();
    }
  }
}

void membership::tick(base::time_point now, wire::outbox& out) {
  check_probe(now, out);
  expire_suspects(now);
  if (now >= next_probe_at_) {
    next_probe_at_ = now + settings_.probe_period;
    start_probe(now, out);
  }
  if (!has_published_list_ || members_.empty()) {
    request_members(now, out);
  }
  if (now >= next_dead_probe_at_) {
    next_dead_probe_at_ = now + settings_.dead_probe_period;
    probe_dead_member(out);
  }
  if (now >= next_digests_at_) {
    next_digests_at_ = now + settings_.relay_period;
    send_digests(now, out);
  }
}

std::optional<base::node_id> membership::next_probe_target() {
  while (true) {
    if (probe_order_.empty()) {
      for (const auto& [node, other] : members_) {
        if (is_in_own_zone(other) && other.state != wire::DEAD) {
          probe_order_.push_back(node);
        }
      }
      for (std::size_t index = probe_order_.size(); index > 1; --index) {
        std::swap(probe_order_[index - 1], probe_order_[random_->below(index)]);
      }
      if (probe_order_.empty()) {
        return std::nullopt;
      }
    }
    const auto node = probe_order_.back();
    probe_order_.pop_back();
    const auto found = members_.find(node);
    if (found != members_.end() && found->second.state != wire::DEAD) {
      return node;
    }
  }
}

void membership::start_probe(base::time_point now, wire::outbox& out) {
  const auto target = next_probe_target();
  if (!target) {
    probe_.reset();
    return;
  }
  probe_ = probe{next_sequence_++, *target, now, false};
  const auto& other = members_.at(*target);
  out.push_back({other.address, ping_message(probe_->sequence, &other)});
}

void membership::check_probe(base::time_point now, wire::outbox& out) {
  if (!probe_) {
    return;
  }
  const auto found = members_.find(probe_->target);
  if (found == members_.end()) {
    probe_.reset();
    return;
  }
  const auto elapsed = now - probe_->started_at;
  if (elapsed >= settings_.probe_period) {
    if (found->second.state == wire::ALIVE) {
      set_state(found->second, wire::SUSPECT, found->second.incarnation, now);
    }
    // The peer may be alive although the connection to the peer no longer delivers messages.
    // Therefore another ping is sent on a new connection.
    out.push_back({found->second.address, ping_message(next_sequence_++, &found->second), true});
    probe_.reset();
  } else if (!probe_->has_requested_indirect && elapsed >= settings_.acknowledgement_timeout) {
    probe_->has_requested_indirect = true;
    request_indirect_probes(found->second, out);
  }
}

void membership::request_indirect_probes(const member& target, wire::outbox& out) {
  auto candidates = live_peers();
  std::erase_if(candidates, [&](const member& other) { return other.node == target.node; });
  for (std::size_t sent = 0; sent < indirect_probe_count && !candidates.empty(); ++sent) {
    const auto chosen = random_->below(candidates.size());
    wire::outgoing request{candidates[chosen].address, {}};
    auto& body = *request.message.mutable_ping_request();
    body.set_sequence(probe_->sequence);
    body.set_target(target.node.text());
    body.set_target_address(target.address.text());
    out.push_back(std::move(request));
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
}

void membership::expire_suspects(base::time_point now) {
  for (auto& [node, other] : members_) {
    if (other.state == wire::SUSPECT && now - other.state_since >= settings_.suspicion_timeout) {
      set_state(other, wire::DEAD, other.incarnation, now);
    }
  }
  std::erase_if(indirect_probes_, [&](const auto& entry) {
    return now - entry.second.started_at >= settings_.probe_period;
  });
}

void membership::probe_dead_member(wire::outbox& out) {
  std::vector<const member*> dead;
  for (const auto& [node, other] : members_) {
    if (is_in_own_zone(other) && other.state == wire::DEAD) {
      dead.push_back(&other);
    }
  }
  if (!dead.empty()) {
    const auto* target = dead[random_->below(dead.size())];
    out.push_back({target->address, ping_message(next_sequence_++, target)});
  }
}

void membership::note_stand(base::duration stand, base::time_point now) {
  const auto extend = [&](base::time_point& started_at) {
    started_at = std::min<base::time_point>(started_at + stand, now);
  };
  if (probe_) {
    extend(probe_->started_at);
    // A new probe would replace the pending one, which would then never be judged.
    next_probe_at_ += stand;
  }
  for (auto& [sequence, pending] : indirect_probes_) {
    extend(pending.started_at);
  }
  for (auto& [node, other] : members_) {
    if (other.state == wire::SUSPECT) {
      extend(other.state_since);
    }
  }
  zones_.note_stand(stand, now);
}

void membership::resume_after_suspension(base::time_point now) {
  probe_.reset();
  indirect_probes_.clear();
  zones_.resume_after_suspension(now);
  for (auto& [node, other] : members_) {
    if (other.state == wire::SUSPECT) {
      other.state_since = now;
    }
  }
}

const membership::live_view& membership::live() const {
  if (!live_) {
    live_.emplace();
    live_->zone_nodes.push_back(self_.node);
    for (const auto& [node, other] : members_) {
      if (!is_in_own_zone(other)) {
        live_->remote[other.zone].push_back(node);
      } else if (other.state != wire::DEAD) {
        live_->peers.push_back(other);
        live_->zone_nodes.push_back(node);
      }
    }
    std::sort(live_->zone_nodes.begin(), live_->zone_nodes.end());
    live_->relays[self_.zone] = choose_relays(live_->zone_nodes);
    for (const auto& [zone, nodes] : live_->remote) {
      live_->relays[zone] = choose_relays(nodes);
    }
  }
  return *live_;
}

const std::vector<member>& membership::live_peers() const {
  return live().peers;
}

const std::vector<base::node_id>& membership::live_zone_nodes() const {
  return live().zone_nodes;
}

std::vector<std::vector<base::network_address>> membership::relays_of_other_zones() const {
  std::vector<std::vector<base::network_address>> by_zone;
  for (const auto& [zone, relays] : live().relays) {
    if (zone == self_.zone || regions_.are_in_different_regions(self_.zone, zone)) {
      continue;
    }
    auto& addresses = by_zone.emplace_back();
    for (const auto& relay : relays) {
      addresses.push_back(members_.at(relay).address);
    }
  }
  return by_zone;
}

std::vector<base::network_address> membership::relays_of_own_zone() const {
  std::vector<base::network_address> addresses;
  for (const auto& relay : live().relays.at(self_.zone)) {
    if (relay != self_.node) {
      addresses.push_back(members_.at(relay).address);
    }
  }
  return addresses;
}

base::duration membership::expected_detection_time() const {
  // The probability that no node probes a given member in one probe period is about 1/e. After a
  // member has failed, e/(e-1) periods therefore pass on average until a node probes the member.
  constexpr double mean_periods = 1.582;
  return std::chrono::duration_cast<base::duration>(settings_.probe_period * mean_periods) +
         settings_.probe_period + settings_.suspicion_timeout;
}

} // namespace spurrack::membership
