/// A fleet of nodes that each have a stage exchange, in one process. The fixture delivers the
/// messages between them; tests answer the calls.
#pragma once

#include "stage_work/stage_exchange.h"

#include "serving_fixture.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace spurrack::serving {

/// @return settings in which the zones `a` to `e` are one region.
inline serving_settings one_region_settings() {
  std::map<base::zone_id, base::region_id> regions;
  for (const char* zone : {"a", "b", "c", "d", "e"}) {
    regions[base::zone_id(zone)] = base::region_id("region");
  }
  serving_settings settings;
  settings.regions = model::zone_regions(std::move(regions));
  return settings;
}

/// A node with its stage exchange, and the calls, requests to free results and finished pieces that
/// the exchange has produced.
struct exchange_node {
  exchange_node(const fleet_peer& self, published_catalog& published, std::uint64_t incarnation,
                const serving_settings& settings = {})
      : identity(self), random(incarnation), replicas(self.node, self.zone, settings, random),
        subject(
            self, replicas, settings, [this] { return next_call++; }, incarnation,
            [](auto, const auto&, const auto&, const auto&) {}) {
    replicas.update(published.content.replicas(), {});
    subject.set_configuration(published.content.serving());
  }

  fleet_peer identity;
  base::seeded_random random;
  replica_table replicas;
  base::call_id next_call = 1;
  stage_exchange subject;
  std::vector<start_stage_call> calls;
  std::vector<free_results> freed;
  std::vector<finished_piece> finished;
};

/// @return the result of a finished piece.
inline stage_result result_of(const finished_piece& finished) {
  return {finished.outcome.handle, finished.producer};
}

/// Nodes `n0`, `n1`, ... that know the same published replicas and configuration.
struct exchange_fleet {
  /// @param zone_count number of zones, `a`, `b`, ..., over which the nodes are spread.
  explicit exchange_fleet(int size = 3, int zone_count = 1, serving_settings settings = {})
      : size_(size), zone_count_(zone_count), settings_(std::move(settings)) {
    for (int index = 0; index < size_; ++index) {
      start(index, 1'000'000);
    }
    exchange_peers();
  }

  [[nodiscard]] fleet_peer peer(int index) const {
    const auto name = "n" + std::to_string(index);
    const std::string zone(1, static_cast<char>('a' + index % zone_count_));
    const auto share = processor_shares.find(static_cast<std::size_t>(index));
    return {base::node_id(name), base::zone_id(zone), base::network_address(name + ":1"),
            share == processor_shares.end() ? 1.0 : share->second};
  }

  /// Starts a node, or restarts it with empty state.
  void start(int index, std::uint64_t incarnation) {
    if (nodes.size() <= static_cast<std::size_t>(index)) {
      nodes.resize(static_cast<std::size_t>(index) + 1);
    }
    nodes[static_cast<std::size_t>(index)] =
        std::make_unique<exchange_node>(peer(index), published, incarnation, settings_);
  }

  /// Gives each node the list of the other nodes, and advances the time by half a second.
  void exchange_peers() {
    for (auto& node : nodes) {
      std::vector<fleet_peer> others;
      for (int index = 0; index < size_; ++index) {
        if (peer(index).node != node->identity.node) {
          others.push_back(peer(index));
        }
      }
      node->subject.set_peers(others);
    }
    run(std::chrono::milliseconds(500));
  }

  /// Advances the time in steps of 10 ms; in each step, dispatches at every node and delivers the
  /// messages.
  void run(base::duration duration) {
    constexpr base::duration step = std::chrono::milliseconds(10);
    for (const auto end = now + duration; now < end;) {
      now += step;
      for (auto& node : nodes) {
        step_node(*node);
      }
    }
  }

  void step_node(exchange_node& node) {
    if (node.identity.node == unresponsive) {
      return;
    }
    node.subject.dispatch_waiting(now);
    for (auto& command : node.subject.take_commands()) {
      if (auto* call = std::get_if<start_stage_call>(&command)) {
        node.calls.push_back(*call);
      } else if (auto* free = std::get_if<free_results>(&command)) {
        node.freed.push_back(*free);
      }
    }
    for (auto& done : node.subject.take_finished()) {
      node.finished.push_back(done);
    }
    for (auto& message : node.subject.take_messages()) {
      ++messages_sent;
      if (is_message_lost(node, message.to)) {
        continue;
      }
      for (auto& other : nodes) {
        const bool is_partitioned =
            (other->identity.zone == partitioned_zone) != (node.identity.zone == partitioned_zone);
        if (other->identity.address == message.to && other->identity.node != unresponsive &&
            !is_partitioned) {
          other->subject.handle(node.identity.node, message.message.stage_work(), now);
        }
      }
    }
  }

  /// Submits a piece of service `pool` at a node.
  /// @param zone preferred zone of the piece.
  /// @param allowed permitted regions of the piece.
  piece_ticket submit(exchange_node& origin, const base::zone_id& zone = base::zone_id("a"),
                      const model::residency& allowed = {}, const std::string& request = "r") {
    piece_work work;
    work.request = base::request_id(request);
    work.permitted_regions = allowed;
    work.service = "pool";
    work.piece_key = "k";
    work.zone = zone;
    work.due = now + std::chrono::seconds(2);
    work.deadline = now + std::chrono::seconds(5);
    return origin.subject.submit({work}, zone, now).front();
  }

  /// @return the first node with a recorded call; null if no node has one.
  exchange_node* caller() {
    for (auto& node : nodes) {
      if (!node->calls.empty()) {
        return node.get();
      }
    }
    return nullptr;
  }

  /// Answers the latest recorded call of a node with one result for each piece.
  void answer(exchange_node& batcher) {
    const auto call = batcher.calls.back();
    stage_call_ended ended{call.call, stage_call_ended::result::answered, {}};
    for (std::size_t index = 0; index < call.items.size(); ++index) {
      ended.pieces.push_back(
          {piece_fault::none, call.target.address.text() + "/h" + std::to_string(index)});
    }
    batcher.subject.on_call_ended(ended, now);
  }

  /// Advances the time and answers each call shortly after its start.
  /// @param note_call invoked for each call before its answer.
  void run_answering(
      base::duration duration,
      const std::function<void(const exchange_node&, const start_stage_call&)>& note_call =
          [](const auto&, const auto&) {}) {
    constexpr base::duration step = std::chrono::milliseconds(20);
    for (const auto end = now + duration; now < end;) {
      run(step);
      for (auto& node : nodes) {
        for (; !node->calls.empty(); node->calls.pop_back()) {
          note_call(*node, node->calls.back());
          answer(*node);
        }
      }
    }
  }

  exchange_node& other_than(const exchange_node& node) {
    return nodes[0].get() == &node ? *nodes[1] : *nodes[0];
  }

  /// @return whether a message is lost: if `loses_first_messages` is set, the first message of each
  ///         node to each peer is lost, as the transport may lose it while it connects.
  bool is_message_lost(const exchange_node& sender, const base::network_address& to) {
    return loses_first_messages && connected_.insert({sender.identity.node, to}).second;
  }

  /// Replicas, services and evacuations that are published to all nodes.
  published_catalog published;
  std::vector<std::unique_ptr<exchange_node>> nodes;
  bool loses_first_messages = false;
  /// Number of messages that all nodes sent.
  std::size_t messages_sent = 0;
  /// Processor shares of nodes, by node index. A node without an entry has the share 1.
  std::map<std::size_t, double> processor_shares;
  base::time_point now{std::chrono::hours(1)};
  /// Node that does nothing and receives no messages; empty if there is none.
  base::node_id unresponsive;
  /// Zone whose nodes exchange no messages with nodes of other zones; empty if there is none.
  base::zone_id partitioned_zone;

 private:
  int size_;
  int zone_count_;
  serving_settings settings_;
  std::set<std::pair<base::node_id, base::network_address>> connected_;
};

} // namespace spurrack::serving
