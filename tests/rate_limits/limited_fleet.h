/// Simulated fleet of dispatchers and replicas in virtual time. The answers of a replica contain
/// its self-report: how many requests per second it accepts, whether it drains, and the backoff
/// that it requests. The requests that arrive at a replica are counted in two ways: those of all
/// nodes, and only those of nodes that had already received such a self-report.
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

/// Size, network and time step of a simulated fleet.
struct limited_fleet_settings {
  std::uint64_t seed = 1;
  std::size_t nodes = 6;
  std::size_t zones = 2;
  unsigned replicas = 12;
  /// Delay of a message between two nodes.
  base::duration message_delay = milliseconds(2);
  /// Fraction of the messages between nodes that are lost.
  double message_loss_rate = 0;
  base::duration step = milliseconds(1);
};

/// Number of requests that clients sent, in total and by outcome.
struct request_counts {
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  std::size_t failed = 0;
};

struct limited_fleet : virtual_time {
  /// Arrival of a request at a replica.
  struct arrival {
    base::time_point at;
    base::time_point sent_at;
    std::size_t node = 0;
    /// Whether the sending node had received an answer with the replica's limit, at least half a
    /// second before this arrival.
    bool node_knows_limit = false;
  };
  struct emulated_replica {
    base::replica_id id;
    std::string address;
    std::uint64_t incarnation = 1;
    std::optional<double> limit;
    /// Time at which this incarnation was first given a limit.
    std::optional<base::time_point> limit_set_at;
    /// Whether the answers of this replica announce that it drains.
    bool is_draining = false;
    /// Time until which it refuses all requests.
    base::time_point refuses_until;
    /// Backoff that its refusals request.
    base::duration requested_backoff{};
    /// Backoff that this replica requested of a node; begins when the node receives the request.
    struct backoff_request {
      std::size_t node = 0;
      base::time_point begins_at;
      base::time_point ends_at;
    };
    std::vector<backoff_request> requested_backoffs;
    /// For each node, the time at which it first received an answer that announced that this
    /// replica drains.
    std::map<std::size_t, base::time_point> drain_announced_at;
    std::vector<arrival> arrivals;
    /// For each node, the time at which it first received an answer with this replica's limit.
    std::map<std::size_t, base::time_point> limit_announced_at;
  };
  struct emulated_node {
    std::unique_ptr<base::seeded_random> random;
    std::unique_ptr<dispatcher> subject;
    base::incarnation incarnation = 0;
    /// Active calls, and the times at which they were started.
    std::map<base::call_id, base::time_point> calls;
    base::time_point wakeup_at;
    bool is_suspended = false;
    std::uint64_t messages = 0;
    std::uint64_t message_bytes = 0;
  };

  explicit limited_fleet(const limited_fleet_settings& initial = {})
      : settings(initial), random(initial.seed) {
    for (const std::string id : {"llm-a", "llm-b", "pool-a", "pool-b", "plain-a", "plain-b"}) {
      published.remove_replica(id);
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

  [[nodiscard]] fleet_peer peer_of(std::size_t index) const {
    const auto name = "n" + std::to_string(index);
    const std::string zone(1, static_cast<char>('a' + index % settings.zones));
    return {base::node_id(name), base::zone_id(zone), base::network_address(name + ":1"), 1};
  }

  void publish(unsigned index) {
    const auto& replica = replicas[index];
    const std::string zone(1, static_cast<char>('a' + index % settings.zones));
    published.add_incarnation(replica.id.text(), "plain", zone, replica.address,
                              1000 + replica.incarnation);
  }

  /// Restarts a replica under its id. The new incarnation has no limit and does not drain.
  void restart_replica(unsigned index) {
    auto& replica = replicas[index];
    ++replica.incarnation;
    replica.limit.reset();
    replica.limit_set_at.reset();
    replica.is_draining = false;
    replica.drain_announced_at.clear();
    replica.limit_announced_at.clear();
    publish(index);
    update_nodes();
  }

  void update_nodes() {
    for (auto& node : nodes) {
      node.subject->update(published.content, now);
      node.wakeup_at = now;
    }
  }

  /// Has the answers of a replica announce from now on that it drains.
  void begin_draining(unsigned index) { replicas[index].is_draining = true; }

  /// Has a replica refuse all requests for `span`, and request a backoff with each refusal.
  void refuse_requests(unsigned index, base::duration span, base::duration requested_backoff) {
    replicas[index].refuses_until = now + span;
    replicas[index].requested_backoff = requested_backoff;
  }

  /// Returns the number of requests to a replica from nodes that had received its drain
  /// announcement.
  [[nodiscard]] std::size_t sends_after_drain_announcement(unsigned index) const {
    const auto& replica = replicas[index];
    return static_cast<std::size_t>(std::count_if(
        replica.arrivals.begin(), replica.arrivals.end(), [&](const arrival& request) {
          const auto announced = replica.drain_announced_at.find(request.node);
          return announced != replica.drain_announced_at.end() &&
                 request.sent_at > announced->second;
        }));
  }

  /// Returns the time at which the first node received the drain announcement of a replica;
  /// `time_point::max()` if none has.
  [[nodiscard]] base::time_point first_drain_announcement_at(unsigned index) const {
    base::time_point first = base::time_point::max();
    for (const auto& [node, at] : replicas[index].drain_announced_at) {
      first = std::min(first, at);
    }
    return first;
  }

  /// Returns the number of requests to a replica that nodes sent during a backoff requested of
  /// them.
  [[nodiscard]] std::size_t sends_during_backoffs(unsigned index) const {
    const auto& replica = replicas[index];
    return static_cast<std::size_t>(std::count_if(
        replica.arrivals.begin(), replica.arrivals.end(), [&](const arrival& request) {
          return std::any_of(replica.requested_backoffs.begin(), replica.requested_backoffs.end(),
                             [&](const auto& backoff) {
                               return backoff.node == request.node &&
                                      backoff.begins_at < request.sent_at &&
                                      request.sent_at < backoff.ends_at;
                             });
        }));
  }

  /// Starts a new incarnation of a node, without any state.
  void start_node(std::size_t index) {
    auto& node = nodes[index];
    ++node.incarnation;
    counts.failed += std::exchange(node.calls, {}).size();
    node.random =
        std::make_unique<base::seeded_random>(settings.seed * 1000 + index * 10 + node.incarnation);
    serving_settings limits;
    limits.retry = {0.2, 40, seconds(10)};
    const auto incarnation = static_cast<base::incarnation>(now.time_since_epoch().count());
    node.subject = std::make_unique<dispatcher>(peer_of(index), limits, *node.random, incarnation,
                                                [](auto, const auto&, const auto&, const auto&) {});
    node.subject->update(published.content, now);
    node.wakeup_at = now;
    for (auto& replica : replicas) {
      replica.limit_announced_at.erase(index);
      replica.drain_announced_at.erase(index);
      std::erase_if(replica.requested_backoffs,
                    [&](const auto& backoff) { return backoff.node == index; });
    }
    for (std::size_t other = 0; other < nodes.size(); ++other) {
      update_peers(other);
    }
  }

  /// Partitions the fleet. A node reaches only the nodes for which `part` returns the same value as
  /// for the node itself. It knows of the other nodes, but considers them dead.
  void partition(std::function<std::size_t(std::size_t)> part) {
    partition_of = std::move(part);
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
      if (other != index && nodes[other].subject && partition_of(other) == partition_of(index)) {
        others.push_back(peer_of(other));
      }
    }
    nodes[index].subject->set_peers(std::move(others), nodes.size() - 1);
    nodes[index].wakeup_at = now;
  }

  void set_limit(unsigned index, std::optional<double> per_second) {
    auto& replica = replicas[index];
    replica.limit = per_second;
    if (per_second && !replica.limit_set_at) {
      replica.limit_set_at = now;
    }
  }

  /// Sends `per_second` requests on average, for `span`, to the nodes that `choose_node` returns.
  void send_requests(double per_second, base::duration span,
                     const std::function<std::size_t()>& choose_node) {
    const auto end = now + span;
    double due = 0;
    while (now < end) {
      due += per_second * base::to_seconds(settings.step) * 2 * random.next_fraction();
      for (; due >= 1; due -= 1) {
        send_request(choose_node());
      }
      step();
    }
  }
  void send_requests(double per_second, base::duration span) {
    send_requests(per_second, span, [this] { return random.below(nodes.size()); });
  }

  void send_request(std::size_t index) {
    auto& node = nodes[index];
    auto content = std::make_shared<request_content>();
    content->method = "POST";
    content->host = "h";
    content->path = content->target = "/safe/";
    content->id = base::request_id("r" + std::to_string(++requests_));
    content->api_key = "key";
    content->time_allowed = seconds(5);
    ++counts.sent;
    if (node.is_suspended) {
      deferred_events_[index].push_back([this, index, content, client = requests_] {
        nodes[index].subject->handle(request_arrived{client, content, now}, now);
      });
      return;
    }
    node.subject->handle(request_arrived{requests_, content, now}, now);
    node.wakeup_at = now;
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
      if (!nodes[index].is_suspended && nodes[index].wakeup_at <= now) {
        advance(index);
      }
    }
  }

  /// Suspends a node until `resume_node`; events for it are deferred.
  void suspend_node(std::size_t index) { nodes[index].is_suspended = true; }
  void resume_node(std::size_t index, base::duration gap) {
    auto& node = nodes[index];
    node.is_suspended = false;
    node.subject->note_stand(gap, now);
    node.subject->resume_after_suspension(now);
    for (const auto& event : std::exchange(deferred_events_[index], {})) {
      event();
    }
    node.wakeup_at = now;
  }

  /// Returns the maximum number of requests that a replica got within any span of `length`. Only
  /// spans that end at or after `since` are considered.
  /// @param only_knowing_nodes whether to count only requests of nodes that knew the limit.
  [[nodiscard]] std::size_t max_arrivals_within(unsigned index, base::duration length,
                                                base::time_point since,
                                                bool only_knowing_nodes) const {
    std::vector<base::time_point> times;
    for (const auto& arrival : replicas[index].arrivals) {
      if (arrival.node_knows_limit || !only_knowing_nodes) {
        times.push_back(arrival.at);
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

  [[nodiscard]] std::size_t arrivals_since(unsigned index, base::time_point since) const {
    const auto& all = replicas[index].arrivals;
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [&](const auto& arrival) { return arrival.at >= since; }));
  }

  limited_fleet_settings settings;
  published_catalog published;
  base::seeded_random random;
  std::vector<emulated_replica> replicas;
  std::vector<emulated_node> nodes;
  request_counts counts;
  std::function<std::size_t(std::size_t)> partition_of = [](std::size_t) { return 0; };
  /// Values of Retry-After in the nodes' refusals to clients.
  std::vector<base::duration> retry_after_values;

 private:
  void advance(std::size_t index) {
    auto& node = nodes[index];
    node.subject->advance(now);
    for (auto& command : node.subject->take_commands()) {
      std::visit([&](const auto& typed_command) { execute(index, typed_command); }, command);
    }
    for (auto& message : node.subject->take_messages()) {
      ++node.messages;
      node.message_bytes += message.message.ByteSizeLong();
      if (random.next_fraction() < settings.message_loss_rate) {
        continue;
      }
      schedule(settings.message_delay, [this, index, message] { deliver(index, message); });
    }
    const auto next = node.subject->next_wakeup(now);
    node.wakeup_at =
        next ? std::max<base::time_point>(*next, now + settings.step) : now + milliseconds(100);
  }

  template <typename other_command>
  void execute(std::size_t /*node*/, const other_command& /*command*/) {}

  void execute(std::size_t index, const start_call& command) {
    const auto incarnation = nodes[index].incarnation;
    nodes[index].calls[command.call] = now;
    schedule(milliseconds(1), [this, index, incarnation, command, sent_at = now] {
      if (nodes[index].incarnation == incarnation) {
        receive_call(index, command, sent_at);
      }
    });
  }

  void execute(std::size_t index, const cancel_call& command) {
    nodes[index].calls.erase(command.call);
  }

  void execute(std::size_t /*node*/, const respond& answer) {
    const auto is_retry_after = [](const header& field) { return field.name == "Retry-After"; };
    const auto field = std::find_if(answer.headers.begin(), answer.headers.end(), is_retry_after);
    if (answer.status == 503 && field != answer.headers.end()) {
      retry_after_values.push_back(base::from_seconds(std::stod(field->value)));
    }
    if (answer.status == 200) {
      ++counts.served;
    } else if (answer.status == 503) {
      ++counts.refused;
    } else {
      ++counts.failed;
    }
  }

  void receive_call(std::size_t index, const start_call& command, base::time_point sent_at) {
    const auto found = std::find_if(replicas.begin(), replicas.end(), [&](const auto& replica) {
      return replica.id == command.target.replica;
    });
    auto& replica = *found;
    const auto announced = replica.limit_announced_at.find(index);
    const bool node_knows_limit = announced != replica.limit_announced_at.end() &&
                                  now - announced->second >= milliseconds(500);
    replica.arrivals.push_back({now, sent_at, index, node_knows_limit});
    const auto replica_index = static_cast<std::size_t>(found - replicas.begin());
    const auto incarnation = nodes[index].incarnation;
    const bool is_refused = now < replica.refuses_until;
    const auto work = milliseconds(is_refused ? 1 : 20 + random.below(60));
    schedule(work, [this, index, incarnation, replica_index, is_refused, call = command.call] {
      answer_call(index, incarnation, replica_index, call, is_refused);
    });
  }

  void answer_call(std::size_t index, base::incarnation incarnation, std::size_t replica_index,
                   base::call_id call, bool is_refused) {
    auto& replica = replicas[replica_index];
    const auto head =
        is_refused ? dispatcher_driver::not_executed_head() : dispatcher_driver::good_head();
    replica_self_report self_report;
    self_report.limit.per_second = replica.limit;
    self_report.is_draining = replica.is_draining;
    if (is_refused) {
      self_report.backoff.duration = replica.requested_backoff;
    }
    const auto apply_answer = [this, index, incarnation, replica_index, call, head, self_report] {
      auto& node = nodes[index];
      if (node.incarnation != incarnation || !node.calls.contains(call)) {
        return;
      }
      const auto began = node.calls.at(call);
      node.calls.erase(call);
      if (self_report.limit.per_second) {
        replicas[replica_index].limit_announced_at.try_emplace(index, now);
      }
      if (self_report.is_draining) {
        replicas[replica_index].drain_announced_at.try_emplace(index, now);
      }
      if (self_report.backoff.duration) {
        replicas[replica_index].requested_backoffs.push_back(
            {index, now, now + *self_report.backoff.duration});
      }
      node.subject->handle(self_report_received{replicas[replica_index].id, began, self_report},
                           now);
      node.subject->handle(call_answered{call, head, "body"}, now);
      node.wakeup_at = now;
    };
    if (nodes[index].is_suspended) {
      deferred_events_[index].push_back(apply_answer);
    } else {
      apply_answer();
    }
  }

  void deliver(std::size_t from, const wire::outgoing& sent) {
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      if (peer_of(index).address != sent.to || partition_of(from) != partition_of(index)) {
        continue;
      }
      const auto receive = [this, index, from, sent] {
        handle_message(*nodes[index].subject, peer_of(from), sent.message);
        nodes[index].wakeup_at = now;
      };
      if (nodes[index].is_suspended) {
        deferred_events_[index].push_back(receive);
      } else {
        receive();
      }
    }
  }

  void handle_message(dispatcher& receiver, const fleet_peer& sender,
                      const wire::envelope& message) {
    if (message.has_rate_limits()) {
      receiver.handle_peer(sender.node, message.rate_limits(), now);
    } else if (message.has_replica_news()) {
      receiver.handle_peer(sender.node, message.replica_news(), now);
    } else if (message.has_retry_lending()) {
      receiver.handle_peer(sender.node, sender.address, message.retry_lending(), now);
    }
  }

  std::map<std::size_t, std::vector<std::function<void()>>> deferred_events_;
  base::caller_id requests_ = 0;
};

} // namespace spurrack::rate_limits
