/// Fleet of nodes in virtual time that run only membership, without the other parts of a node. A
/// message between two nodes is delivered one step of the clock (20 ms) after it was sent.
#pragma once

#include "membership/membership.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::membership {

/// Timing of the failure detector as in deploy/settings.yaml.template.
inline timing platform_timing() {
  timing timing;
  timing.probe_period = std::chrono::milliseconds(300);
  timing.acknowledgement_timeout = std::chrono::milliseconds(100);
  timing.suspicion_timeout = std::chrono::milliseconds(1000);
  timing.relay_period = std::chrono::milliseconds(300);
  return timing;
}

/// Node that runs only membership.
struct membership_node {
  membership_node(const identity& self, std::uint64_t random_seed,
                  const model::zone_regions& regions)
      : random(random_seed), members(
                                 self, platform_timing(), random, [](const auto&) {}, regions) {}
  base::seeded_random random;
  membership members;
};

struct membership_fleet {
  /// @param region_count number of regions over which the zones are spread; 0 if the zones have no
  ///        regions.
  /// @param all_known whether each node knows all other nodes from the start, as in a fleet that
  ///        has run for a long time.
  membership_fleet(std::size_t nodes_per_zone, std::size_t zones, std::size_t region_count = 0,
                   bool all_known = true) {
    for (std::size_t zone = 0; zone < zones && region_count > 0; ++zone) {
      region_by_zone[base::zone_id("z" + std::to_string(zone))] =
          base::region_id("r" + std::to_string(zone % region_count));
    }
    const model::zone_regions regions(region_by_zone);
    for (std::size_t index = 0; index < nodes_per_zone * zones; ++index) {
      identity self;
      self.node = base::node_id("n" + std::to_string(index));
      self.zone = base::zone_id("z" + std::to_string(index % zones));
      self.address = base::network_address("n" + std::to_string(index) + ":1");
      self.process_start = 1;
      by_address[self.address] = nodes.size();
      nodes.push_back(std::make_unique<membership_node>(self, index + 1, regions));
    }
    if (all_known) {
      make_all_known();
    }
  }

  void make_all_known() {
    wire::envelope message;
    for (const auto& node : nodes) {
      member known;
      known.node = node->members.self().node;
      known.zone = node->members.self().zone;
      known.address = node->members.self().address;
      known.incarnation = 1;
      known.state = wire::ALIVE;
      *message.add_updates() = update_of(known);
    }
    for (auto& node : nodes) {
      // The message names its receiver as the sender, so that the receiver records no contact with
      // another zone.
      message.set_sender(node->members.self().node.text());
      message.set_sender_zone(node->members.self().zone.text());
      node->members.observe(message, now);
    }
  }

  void run(base::duration span) {
    constexpr base::duration step = std::chrono::milliseconds(20);
    constexpr int steps_per_tick = 5;
    for (const auto end = now + span; now < end;) {
      now += step;
      auto delivered = std::exchange(in_flight, {});
      for (auto& [to, message] : delivered) {
        deliver(to, message);
      }
      ++steps;
      for (std::size_t index = 0; index < nodes.size(); ++index) {
        if (!is_down(index) && (steps + index) % steps_per_tick == 0) {
          wire::outbox out;
          nodes[index]->members.tick(now, out);
          send(index, out);
        }
      }
    }
  }

  void send(std::size_t from, wire::outbox& out) {
    auto& members = nodes[from]->members;
    for (auto& message : out) {
      message.message.set_sender(members.self().node.text());
      message.message.set_sender_incarnation(members.incarnation());
      message.message.set_sender_zone(members.self().zone.text());
      message.message.set_sender_processor_share(members.self().processor_share);
      message.message.set_sender_address(members.self().address.text());
      members.piggyback(message.message);
      ++messages;
      bytes_sent[from] += message.message.ByteSizeLong();
      const auto to_zone = nodes[by_address.at(message.to)]->members.self().zone;
      if (region_of(members.self().zone) != region_of(to_zone)) {
        ++messages_between_regions;
        bytes_between_regions += message.message.ByteSizeLong();
      }
      in_flight.emplace_back(by_address.at(message.to), std::move(message.message));
    }
  }

  void deliver(std::size_t to, const wire::envelope& message) {
    const auto from = by_address.at(base::network_address(message.sender_address()));
    if (is_down(to) || is_down(from) || is_partitioned(to) != is_partitioned(from)) {
      return;
    }
    wire::outbox out;
    nodes[to]->members.observe(message, now);
    nodes[to]->members.handle(message, now, out);
    send(to, out);
  }

  [[nodiscard]] bool is_down(std::size_t index) const {
    return nodes[index]->members.self().zone == down_zone;
  }

  [[nodiscard]] bool is_partitioned(std::size_t index) const {
    return !partitioned_region.empty() &&
           region_of(nodes[index]->members.self().zone) == partitioned_region;
  }

  /// @return the region of a zone; an empty name if the zone has no region.
  [[nodiscard]] base::region_id region_of(const base::zone_id& zone) const {
    const auto found = region_by_zone.find(zone);
    return found == region_by_zone.end() ? base::region_id() : found->second;
  }

  /// @return number of pairs of a running node and a zone that the node regards as unreachable.
  [[nodiscard]] std::size_t unreachable_views() const {
    std::size_t views = 0;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      views += is_down(index) ? 0 : nodes[index]->members.zones().unreachable_zones(now).size();
    }
    return views;
  }

  std::vector<std::unique_ptr<membership_node>> nodes;
  std::unordered_map<base::network_address, std::size_t> by_address;
  std::vector<std::pair<std::size_t, wire::envelope>> in_flight;
  /// Zone whose nodes neither run nor receive messages; empty if the nodes of all zones run.
  base::zone_id down_zone;
  /// Region that is partitioned: no message passes between its nodes and nodes of other regions.
  /// Empty if no region is partitioned.
  base::region_id partitioned_region;
  base::time_point now{std::chrono::hours(1)};
  std::size_t steps = 0;
  std::size_t messages = 0;
  std::size_t messages_between_regions = 0;
  std::size_t bytes_between_regions = 0;
  /// Number of bytes that each node sent, by index in `nodes`.
  std::map<std::size_t, std::size_t> bytes_sent;
  std::map<base::zone_id, base::region_id> region_by_zone;
};

} // namespace spurrack::membership
