/// A fleet of dispatchers before replicas that say something of themselves in their answers, in
/// virtual time: how many requests a second they take, that they leave, for how long they want
/// nothing. What reaches each replica is counted as the replica sees it: by all nodes, and by those
/// that had passed such an answer on.
#pragma once

#include "serving_fixture.h"
#include "virtual_time.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace spurrack::rate_limits {

using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// How a fleet is drawn.
struct limited_fleet_settings {
  std::uint64_t seed = 1;
  std::size_t nodes = 6;
  std::size_t zones = 2;
  unsigned replicas = 12;
  /// Time of a message between two nodes, and the share of them that is lost.
  base::duration message_time = milliseconds(2);
  double lost_messages = 0;
  /// Virtual time passes in steps of this length.
  base::duration step = milliseconds(1);
};

/// What became of the requests of a span.
struct request_counts {
  std::size_t asked = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  std::size_t failed = 0;
};

struct limited_fleet : virtual_time {
  /// A request reached a replica.
  struct arrival {
    base::time_point at;
    base::time_point sent_at;
    std::size_t node = 0;
    /// Its node had passed on an answer that named the limit half a second before or earlier.
    bool is_told = false;
  };
  struct emulated_replica {
    base::replica_id id;
    std::string address;
    std::uint64_t life = 1;
    std::optional<double> limit;
    /// When it named a limit first in this life.
    std::optional<base::time_point> named_at;
    /// Its answers say that it leaves.
    bool is_leaving = false;
    /// Until then it turns all requests away and asks for this pause.
    base::time_point turns_away_until;
    base::duration pause{};
    /// Pauses that each node was asked for, as far as it has passed the answers on.
    struct asked_pause {
      std::size_t node = 0;
      base::time_point from;
      base::time_point until;
    };
    std::vector<asked_pause> pauses;
    /// When each node passed on an answer that said that it leaves first.
    std::map<std::size_t, base::time_point> told_leaving;
    std::vector<arrival> arrivals;
    /// When each node first passed on an answer that named the limit.
    std::map<std::size_t, base::time_point> told;
  };
  struct emulated_node {
    std::unique_ptr<base::seeded_random> random;
    std::unique_ptr<dispatcher> subject;
    base::incarnation life = 0;
    /// Calls under way, and when they were made.
    std::map<base::call_id, base::time_point> calls;
    base::time_point wakes_at;
    bool is_frozen = false;
    std::uint64_t messages = 0;
    std::uint64_t message_bytes = 0;
  };

  explicit limited_fleet(const limited_fleet_settings& wanted = {})
      : settings(wanted), random(wanted.seed) {
    for (const std::string id : {"llm-a", "llm-b", "pool-a", "pool-b", "plain-a", "plain-b"}) {
      world.remove_replica(id);
    }
    for (unsigned index = 0; index < settings.replicas; ++index) {
      replicas.push_back({});
      auto& replica = replicas.back();
      replica.id = base::replica_id("plain-" + std::to_string(index));
      replica.address = "10.1.0." + std::to_string(index + 1) + ":80";
      publish(index);
    }
    nodes.resize(settings.nodes);
    for (std::size_t index = 0; index < settings.nodes; ++index) {
      start_node(index);
    }
  }

  [[nodiscard]] fleet_peer peer_number(std::size_t index) const {
    const auto name = "n" + std::to_string(index);
    const std::string zone(1, static_cast<char>('a' + index % settings.zones));
    return {base::node_id(name), base::zone_id(zone), base::network_address(name + ":1"), 1};
  }

  void publish(unsigned index) {
    const auto& replica = replicas[index];
    const std::string zone(1, static_cast<char>('a' + index % settings.zones));
    world.add_incarnation(replica.id.text(), "plain", zone, replica.address, 1000 + replica.life);
  }

  /// A replica starts again under its id and names nothing.
  void restart_replica(unsigned index) {
    auto& replica = replicas[index];
    ++replica.life;
    replica.limit.reset();
    replica.named_at.reset();
    replica.is_leaving = false;
    replica.told_leaving.clear();
    replica.told.clear();
    publish(index);
    update_nodes();
  }

  void update_nodes() {
    for (auto& node : nodes) {
      node.subject->update(world.content, now);
      node.wakes_at = now;
    }
  }

  /// The answers of a replica say from now on that it leaves.
  void begin_leaving(unsigned index) { replicas[index].is_leaving = true; }

  /// A replica turns all requests away for a while, and asks each node for a pause.
  void turn_away(unsigned index, base::duration span, base::duration pause) {
    replicas[index].turns_away_until = now + span;
    replicas[index].pause = pause;
  }

  /// @return requests that a node sent to a replica after it had passed on that it leaves.
  [[nodiscard]] std::size_t sent_after_leaving_was_told(unsigned index) const {
    const auto& replica = replicas[index];
    return static_cast<std::size_t>(
        std::count_if(replica.arrivals.begin(), replica.arrivals.end(), [&](const arrival& one) {
          const auto told = replica.told_leaving.find(one.node);
          return told != replica.told_leaving.end() && one.sent_at > told->second;
        }));
  }

  /// @return when a node passed on first that a replica leaves; the end of time where none has.
  [[nodiscard]] base::time_point first_told_leaving(unsigned index) const {
    base::time_point first = base::time_point::max();
    for (const auto& [node, at] : replicas[index].told_leaving) {
      first = std::min(first, at);
    }
    return first;
  }

  /// @return requests that a node sent to a replica in a pause that it had been asked for.
  [[nodiscard]] std::size_t sent_in_pauses(unsigned index) const {
    const auto& replica = replicas[index];
    return static_cast<std::size_t>(
        std::count_if(replica.arrivals.begin(), replica.arrivals.end(), [&](const arrival& one) {
          return std::any_of(replica.pauses.begin(), replica.pauses.end(), [&](const auto& pause) {
            return pause.node == one.node && pause.from < one.sent_at && one.sent_at < pause.until;
          });
        }));
  }

  /// Begins a new life of a node, which knows nothing.
  void start_node(std::size_t index) {
    auto& node = nodes[index];
    ++node.life;
    counts.failed += std::exchange(node.calls, {}).size();
    node.random =
        std::make_unique<base::seeded_random>(settings.seed * 1000 + index * 10 + node.life);
    serving_settings limits;
    limits.retry = {0.2, 40, seconds(10)};
    const auto life = static_cast<base::incarnation>(now.time_since_epoch().count());
    node.subject = std::make_unique<dispatcher>(peer_number(index), limits, *node.random, life,
                                                [](auto, const auto&, const auto&, const auto&) {});
    node.subject->update(world.content, now);
    node.wakes_at = now;
    for (auto& replica : replicas) {
      replica.told.erase(index);
      replica.told_leaving.erase(index);
      std::erase_if(replica.pauses, [&](const auto& one) { return one.node == index; });
    }
    for (std::size_t other = 0; other < nodes.size(); ++other) {
      update_peers(other);
    }
  }

  /// Each node sees those of its own part of the fleet; the others are known and taken for dead.
  void divide(std::function<std::size_t(std::size_t)> part) {
    part_of = std::move(part);
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      update_peers(index);
    }
  }

  void update_peers(std::size_t index) {
    if (!nodes[index].subject) {
      return;
    }
    std::vector<fleet_peer> others;
    for (std::size_t other = 0; other < nodes.size(); ++other) {
      if (other != index && nodes[other].subject && part_of(other) == part_of(index)) {
        others.push_back(peer_number(other));
      }
    }
    nodes[index].subject->set_peers(std::move(others), nodes.size() - 1);
    nodes[index].wakes_at = now;
  }

  void set_limit(unsigned index, std::optional<double> per_second) {
    auto& replica = replicas[index];
    replica.limit = per_second;
    if (per_second && !replica.named_at) {
      replica.named_at = now;
    }
  }

  /// Has requests arrive at nodes that `choose_node` names, on average so many a second.
  void load(double per_second, base::duration span,
            const std::function<std::size_t()>& choose_node) {
    const auto end = now + span;
    double due = 0;
    while (now < end) {
      due += per_second * base::to_seconds(settings.step) * 2 * random.unit();
      for (; due >= 1; due -= 1) {
        arrive(choose_node());
      }
      step();
    }
  }
  void load(double per_second, base::duration span) {
    load(per_second, span, [this] { return random.below(nodes.size()); });
  }

  void arrive(std::size_t index) {
    auto& node = nodes[index];
    auto content = std::make_shared<request_content>();
    content->method = "POST";
    content->host = "h";
    content->path = content->target = "/safe/";
    content->id = base::request_id("r" + std::to_string(++requests_));
    content->api_key = "key";
    content->time_allowed = seconds(5);
    ++counts.asked;
    if (node.is_frozen) {
      held_back_[index].push_back([this, index, content, client = requests_] {
        nodes[index].subject->handle(request_arrived{client, content, now}, now);
      });
      return;
    }
    node.subject->handle(request_arrived{requests_, content, now}, now);
    node.wakes_at = now;
  }

  void run(base::duration span) {
    const auto end = now + span;
    while (now < end) {
      step();
    }
  }

  void step() {
    now += settings.step;
    run_due();
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      if (!nodes[index].is_frozen && nodes[index].wakes_at <= now) {
        advance(index);
      }
    }
  }

  /// A node does nothing until it wakes; what reaches it meanwhile waits.
  void freeze(std::size_t index) { nodes[index].is_frozen = true; }
  void wake(std::size_t index, base::duration gap) {
    auto& node = nodes[index];
    node.is_frozen = false;
    node.subject->resume_after_pause(gap, now);
    for (const auto& what : std::exchange(held_back_[index], {})) {
      what();
    }
    node.wakes_at = now;
  }

  /// @return the most requests in any span of `length` that ends after `since`, of nodes that were
  ///         told, or of all.
  [[nodiscard]] std::size_t most_within(unsigned index, base::duration length,
                                        base::time_point since, bool only_told) const {
    std::vector<base::time_point> times;
    for (const auto& one : replicas[index].arrivals) {
      if (one.is_told || !only_told) {
        times.push_back(one.at);
      }
    }
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= length) {
        ++first;
      }
      if (times[last] >= since) {
        most = std::max(most, last - first + 1);
      }
    }
    return most;
  }

  [[nodiscard]] std::size_t arrived_since(unsigned index, base::time_point since) const {
    const auto& all = replicas[index].arrivals;
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](const auto& one) { return one.at >= since; }));
  }

  limited_fleet_settings settings;
  published_world world;
  base::seeded_random random;
  std::vector<emulated_replica> replicas;
  std::vector<emulated_node> nodes;
  request_counts counts;
  std::function<std::size_t(std::size_t)> part_of = [](std::size_t) { return 0; };
  /// Times after which refused clients were told to come back.
  std::vector<base::duration> return_times;

 private:
  void advance(std::size_t index) {
    auto& node = nodes[index];
    node.subject->advance(now);
    for (auto& command : node.subject->take_commands()) {
      std::visit([&](const auto& wanted) { carry_out(index, wanted); }, command);
    }
    for (auto& message : node.subject->take_messages()) {
      ++node.messages;
      node.message_bytes += message.message.ByteSizeLong();
      if (random.unit() < settings.lost_messages) {
        continue;
      }
      later(settings.message_time, [this, index, message] { deliver(index, message); });
    }
    const auto next = node.subject->next_wakeup(now);
    node.wakes_at =
        next ? std::max<base::time_point>(*next, now + settings.step) : now + milliseconds(100);
  }

  template <typename other_command>
  void carry_out(std::size_t /*node*/, const other_command& /*wanted*/) {}

  void carry_out(std::size_t index, const start_call& wanted) {
    const auto life = nodes[index].life;
    nodes[index].calls[wanted.call] = now;
    later(milliseconds(1), [this, index, life, wanted, sent_at = now] {
      if (nodes[index].life == life) {
        reach(index, wanted, sent_at);
      }
    });
  }

  void carry_out(std::size_t index, const cancel_call& wanted) {
    nodes[index].calls.erase(wanted.call);
  }

  void carry_out(std::size_t /*node*/, const respond& answer) {
    const auto is_own_refusal = [](const header& field) { return field.name == "Retry-After"; };
    const auto named = std::find_if(answer.headers.begin(), answer.headers.end(), is_own_refusal);
    if (answer.status == 503 && named != answer.headers.end()) {
      return_times.push_back(base::from_seconds(std::stod(named->value)));
    }
    if (answer.status == 200) {
      ++counts.served;
    } else if (answer.status == 503) {
      ++counts.refused;
    } else {
      ++counts.failed;
    }
  }

  void reach(std::size_t index, const start_call& wanted, base::time_point sent_at) {
    const auto found = std::find_if(replicas.begin(), replicas.end(), [&](const auto& replica) {
      return replica.id == wanted.target.replica;
    });
    auto& replica = *found;
    const auto told = replica.told.find(index);
    const bool is_told = told != replica.told.end() && now - told->second >= milliseconds(500);
    replica.arrivals.push_back({now, sent_at, index, is_told});
    const auto place = static_cast<std::size_t>(found - replicas.begin());
    const auto life = nodes[index].life;
    const bool is_turned_away = now < replica.turns_away_until;
    const auto work = milliseconds(is_turned_away ? 1 : 20 + random.below(60));
    later(work, [this, index, life, place, is_turned_away, call = wanted.call] {
      answer_call(index, life, place, call, is_turned_away);
    });
  }

  void answer_call(std::size_t index, base::incarnation life, std::size_t place, base::call_id call,
                   bool is_turned_away) {
    auto& replica = replicas[place];
    const auto head =
        is_turned_away ? dispatcher_driver::not_executed_head() : dispatcher_driver::good_head();
    replica_statement said;
    said.limit.per_second = replica.limit;
    said.leaving = replica.is_leaving;
    if (is_turned_away) {
      said.backoff.span = replica.pause;
    }
    const auto take = [this, index, life, place, call, head, said] {
      auto& node = nodes[index];
      if (node.life != life || !node.calls.contains(call)) {
        return;
      }
      const auto began = node.calls.at(call);
      node.calls.erase(call);
      if (said.limit.per_second) {
        replicas[place].told.try_emplace(index, now);
      }
      if (said.leaving) {
        replicas[place].told_leaving.try_emplace(index, now);
      }
      if (said.backoff.span) {
        replicas[place].pauses.push_back({index, now, now + *said.backoff.span});
      }
      node.subject->handle(statement_heard{replicas[place].id, began, said}, now);
      node.subject->handle(call_answered{call, head, "body"}, now);
      node.wakes_at = now;
    };
    if (nodes[index].is_frozen) {
      held_back_[index].push_back(take);
    } else {
      take();
    }
  }

  void deliver(std::size_t from, const wire::outgoing& sent) {
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      if (peer_number(index).address != sent.to || part_of(from) != part_of(index)) {
        continue;
      }
      const auto take = [this, index, from, sent] {
        hand_over(*nodes[index].subject, peer_number(from), sent.message);
        nodes[index].wakes_at = now;
      };
      if (nodes[index].is_frozen) {
        held_back_[index].push_back(take);
      } else {
        take();
      }
    }
  }

  void hand_over(dispatcher& receiver, const fleet_peer& sender, const wire::envelope& message) {
    if (message.has_rate_limits()) {
      receiver.handle_peer(sender.node, message.rate_limits(), now);
    } else if (message.has_replica_news()) {
      receiver.handle_peer(sender.node, message.replica_news(), now);
    } else if (message.has_retry_lending()) {
      receiver.handle_peer(sender.node, sender.address, message.retry_lending(), now);
    }
  }

  std::map<std::size_t, std::vector<std::function<void()>>> held_back_;
  base::caller_id requests_ = 0;
};

} // namespace spurrack::rate_limits
