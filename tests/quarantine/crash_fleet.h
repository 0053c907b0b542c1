/// A fleet of dispatchers before replicas that end when they run a certain request, in virtual
/// time. Messages between nodes take 2 ms; replicas that ended refuse connections, lapse from the
/// list later and are back after 1.5 to 2 s.
#pragma once

#include "serving_fixture.h"
#include "virtual_time.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace spurrack::quarantine {

using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// How a fleet is drawn.
struct crash_fleet_settings {
  std::uint64_t seed = 1;
  std::size_t nodes = 6;
  unsigned replicas = 12;
  /// Replicas that make the pieces of the two stages of `/staged/`, beside those.
  unsigned stage_replicas = 0;
  /// A replica starts again under its id and tells another start; otherwise under a new id.
  bool keeps_ids = false;
  quarantine_limits limits = {};
  /// Calls of a route are refused for this time once two replicas ended under its calls within it,
  /// by the nodes' doors; 0: never.
  base::duration route_pause{};
};

/// What became of the tries of one request.
struct try_counts {
  std::size_t tries = 0;
  std::size_t served = 0;
  /// Answered 503: not run.
  std::size_t refused = 0;
  std::size_t failed = 0;
  /// Refused since replicas had ended under it, and of these those told when to come back.
  std::size_t held_back = 0;
  std::size_t told_to_return = 0;
};

struct crash_fleet : virtual_time {
  explicit crash_fleet(const crash_fleet_settings& wanted = {})
      : settings(wanted), random(wanted.seed) {
    for (const std::string id : {"llm-a", "llm-b", "pool-a", "pool-b"}) {
      world.remove_replica(id);
    }
    for (unsigned index = 0; index < settings.replicas + settings.stage_replicas; ++index) {
      replicas.push_back({});
      replicas.back().service = index < settings.replicas ? "llm" : "pool";
      start_replica(index);
    }
    for (std::size_t index = 0; index < settings.nodes; ++index) {
      nodes.push_back({});
      start_node(index);
    }
  }

  /// Begins a new life of a node, which knows nothing.
  void start_node(std::size_t index) {
    auto& node = nodes[index];
    ++node.life;
    node.calls.clear();
    node.stage_calls.clear();
    node.random =
        std::make_unique<base::seeded_random>(settings.seed * 1000 + index * 10 + node.life);
    serving_settings limits;
    limits.retry = {0.2, 40, seconds(10)};
    limits.quarantine = settings.limits;
    node.subject = std::make_unique<dispatcher>(peer_number(index), limits, *node.random, node.life,
                                                [](auto, const auto&, const auto&, const auto&) {});
    node.subject->update(world.content, now);
    for (std::size_t other = 0; other < nodes.size(); ++other) {
      update_peers(other);
    }
  }

  /// Has one try of a request arrive at a node.
  base::caller_id arrive(std::size_t node, const std::string& path, const std::string& body) {
    auto content = std::make_shared<request_content>();
    content->method = "POST";
    content->host = "h";
    content->path = content->target = path;
    content->body = body;
    content->has_body = true;
    content->id = base::request_id("r" + std::to_string(++requests));
    content->api_key = "key";
    content->time_allowed = seconds(10);
    content->prompt_tokens = 10;
    if (path == "/staged/") {
      content->pieces = {2, 1};
      content->piece_key = "key";
    }
    bodies[requests] = body;
    bodies_by_id[content->id] = body;
    ++counts[body].tries;
    paths[requests] = path;
    if (route_is_paused()) {
      ++counts[body].refused;
      ++refused_by_pause;
      return requests;
    }
    nodes[node].subject->handle(request_arrived{requests, content, now}, now);
    return requests;
  }

  /// Has a request come again at drawn nodes, every 100 to 500 ms.
  void keep_asking(const std::string& path, const std::string& body, base::duration span) {
    const auto end = now + span;
    while (now < end) {
      arrive(random.below(nodes.size()), path, body);
      run(milliseconds(100 + random.below(400)));
    }
  }

  void run(base::duration span) {
    const auto end = now + span;
    while (now < end) {
      now += milliseconds(1);
      serve_innocents();
      run_due();
      for (std::size_t index = 0; index < nodes.size(); ++index) {
        advance(index);
      }
    }
  }

  /// Ends a replica and all calls at it.
  void crash(unsigned index) {
    auto& replica = replicas[index];
    if (!replica.is_up) {
      return;
    }
    replica.is_up = false;
    ++crashes;
    latest_crashes.push_back(now);
    for (const auto& [node, call] : std::exchange(replica.calls, {})) {
      break_off(node, call);
    }
    const base::replica_id id = replica.id;
    if (!settings.keeps_ids) {
      later(milliseconds(1800), [this, id] {
        world.remove_replica(id.text());
        publish();
      });
    }
    later(milliseconds(1500 + random.below(500)), [this, index] { start_replica(index); });
  }

  /// Resets all connections to a replica, which lives on.
  void reset(unsigned index) {
    for (const auto& [node, call] : std::exchange(replicas[index].calls, {})) {
      break_off(node, call);
    }
  }

  /// @return a replica that is drawn.
  unsigned some_replica() { return static_cast<unsigned>(random.below(replicas.size())); }

  /// @return requests that are held back at some node, by their bodies.
  [[nodiscard]] std::set<std::string> held_back() const {
    std::set<std::string> found;
    for (const auto& [body, count] : counts) {
      if (count.held_back > 0) {
        found.insert(body);
      }
    }
    return found;
  }

  [[nodiscard]] dispatcher& node(std::size_t index) { return *nodes[index].subject; }

  /// @return sends of a request that reached a replica later than `span` after the third end under
  ///         it.
  [[nodiscard]] std::size_t sends_after_third_end(const std::string& body,
                                                  base::duration span) const {
    const auto ended = ends_under.find(body);
    if (ended == ends_under.end() || ended->second.size() < 3) {
      return 0;
    }
    const auto since = ended->second[2] + span;
    const auto& sent = reached.at(body);
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(), [&](auto at) { return at > since; }));
  }

  crash_fleet_settings settings;
  published_world world;
  base::seeded_random random;
  /// Bodies of requests that end each replica which begins to run them.
  std::set<std::string> guilty;
  /// Bodies of requests whose pieces end each replica that begins to make them.
  std::set<std::string> guilty_in_stages;
  /// Other requests a second that arrive at drawn nodes, each with a body of its own.
  std::size_t innocents_a_second = 0;
  std::string innocent_path = "/stream/";
  /// Whether callers whose request failed or was refused come again, up to three times.
  bool comes_again = false;
  std::size_t crashes = 0;
  std::size_t refused_by_pause = 0;
  /// Times at which replicas ended under a request, and at which it reached replicas.
  std::map<std::string, std::vector<base::time_point>> ends_under;
  std::map<std::string, std::vector<base::time_point>> reached;
  std::map<std::string, try_counts> counts;
  /// Nodes that no message reaches or leaves.
  std::set<std::size_t> cut_off;
  /// Nodes whose messages on requests that end replicas are lost, as those of an older build.
  std::set<std::size_t> older_build;

  struct emulated_replica {
    base::replica_id id;
    std::string service;
    std::string address;
    bool is_up = false;
    std::uint64_t life = 0;
    std::set<std::pair<std::size_t, base::call_id>> calls;
  };
  struct emulated_node {
    std::unique_ptr<base::seeded_random> random;
    std::unique_ptr<dispatcher> subject;
    base::incarnation life = 0;
    /// Whether a stream has shown its head, by call.
    std::map<base::call_id, bool> calls;
    std::set<base::call_id> stage_calls;
  };

  static fleet_peer peer_number(std::size_t index) {
    const auto name = "n" + std::to_string(index);
    return {base::node_id(name), base::zone_id(index % 2 == 0 ? "a" : "b"),
            base::network_address(name + ":1"), 1};
  }

  [[nodiscard]] bool route_is_paused() const {
    constexpr std::size_t crashes_for_pause = 2;
    return latest_crashes.size() >= crashes_for_pause &&
           now - *(latest_crashes.end() - crashes_for_pause) < settings.route_pause;
  }

  void update_peers(std::size_t index) {
    std::vector<fleet_peer> others;
    for (std::size_t other = 0; other < nodes.size(); ++other) {
      if (other != index && nodes[other].subject) {
        others.push_back(peer_number(other));
      }
    }
    const auto known = others.size();
    nodes[index].subject->set_peers(std::move(others), known);
  }

  void publish() {
    for (auto& node : nodes) {
      node.subject->update(world.content, now);
    }
  }

  void start_replica(unsigned index) {
    auto& replica = replicas[index];
    ++replica.life;
    replica.is_up = true;
    replica.address = "10.1.0." + std::to_string(index + 1) + ":80";
    const auto name = replica.service + "-" + std::to_string(index);
    const auto id = settings.keeps_ids ? name : name + "-" + std::to_string(replica.life);
    replica.id = base::replica_id(id);
    world.add_incarnation(id, replica.service, index % 2 == 0 ? "a" : "b", replica.address,
                          settings.keeps_ids ? 1000 + replica.life : 0);
    publish();
  }

  void serve_innocents() {
    if (innocents_a_second > 0 && random.below(1000) < innocents_a_second) {
      arrive(random.below(nodes.size()), innocent_path, "innocent-" + std::to_string(requests + 1));
    }
  }

  void advance(std::size_t index) {
    auto& node = nodes[index];
    node.subject->advance(now);
    for (auto& command : node.subject->take_commands()) {
      std::visit([&](const auto& wanted) { carry_out(index, wanted); }, command);
    }
    for (auto& message : node.subject->take_messages()) {
      later(milliseconds(2), [this, index, message] { deliver(index, message); });
    }
  }

  template <typename other_command>
  void carry_out(std::size_t /*node*/, const other_command& /*wanted*/) {}

  void carry_out(std::size_t node, const start_call& wanted) {
    const auto life = nodes[node].life;
    later(milliseconds(1), [this, node, life, wanted] {
      if (nodes[node].life == life) {
        reach(node, wanted);
      }
    });
    nodes[node].calls[wanted.call] = false;
  }

  void carry_out(std::size_t node, const start_stage_call& wanted) {
    const auto life = nodes[node].life;
    later(milliseconds(1), [this, node, life, wanted] {
      if (nodes[node].life == life) {
        reach_stage(node, wanted);
      }
    });
    nodes[node].stage_calls.insert(wanted.call);
  }

  void reach_stage(std::size_t node, const start_stage_call& wanted) {
    auto* replica = replica_at(wanted.target.address);
    if (replica == nullptr || !replica->is_up || replica->id != wanted.target.replica) {
      end_stage_call({node, wanted.call}, stage_call_ended::result::not_sent, 0);
      return;
    }
    const std::pair key{node, wanted.call};
    const auto index = static_cast<unsigned>(replica - replicas.data());
    replica->calls.insert(key);
    std::set<std::string> called;
    for (const auto& item : wanted.items) {
      called.insert(bodies_by_id.at(item.request));
    }
    for (const auto& body : called) {
      reached[body].push_back(now);
      if (guilty_in_stages.contains(body)) {
        crash_soon(index, body);
      }
    }
    later(milliseconds(200), [this, index, key, count = wanted.items.size()] {
      if (replicas[index].calls.erase(key) > 0) {
        end_stage_call(key, stage_call_ended::result::answered, count);
      }
    });
  }

  void end_stage_call(std::pair<std::size_t, base::call_id> key, stage_call_ended::result how,
                      std::size_t made) {
    auto& node = nodes[key.first];
    if (node.stage_calls.erase(key.second) == 0) {
      return;
    }
    stage_call_ended ended{key.second, how, {}};
    for (std::size_t piece = 0; piece < made; ++piece) {
      ended.pieces.push_back({piece_fault::none, "10.1.0.99:80/" + std::to_string(++handles)});
    }
    node.subject->handle(ended, now);
  }

  /// A replica begins to run what it cannot bear.
  void crash_soon(unsigned index, const std::string& body) {
    const auto life = replicas[index].life;
    later(milliseconds(20 + random.below(100)), [this, index, life, body] {
      if (replicas[index].is_up && replicas[index].life == life) {
        ends_under[body].push_back(now);
        crash(index);
      }
    });
  }

  void carry_out(std::size_t node, const cancel_call& wanted) {
    nodes[node].calls.erase(wanted.call);
    nodes[node].stage_calls.erase(wanted.call);
    for (auto& replica : replicas) {
      replica.calls.erase({node, wanted.call});
    }
  }

  void carry_out(std::size_t node, const probe_replica& wanted) {
    const auto life = nodes[node].life;
    later(milliseconds(1), [this, node, life, wanted] {
      if (nodes[node].life != life) {
        return;
      }
      const auto* replica = replica_at(wanted.target.address);
      const bool is_up = replica != nullptr && replica->is_up;
      nodes[node].subject->handle(
          replica_probed{wanted.target.replica,
                         is_up ? probe_result::connected : probe_result::refused},
          now);
    });
  }

  void carry_out(std::size_t /*node*/, const respond& answer) {
    auto& count = counts[bodies.at(answer.client)];
    if (answer.status != 200) {
      come_again(answer.client);
    }
    if (answer.status != 503) {
      ++(answer.status == 200 ? count.served : count.failed);
      return;
    }
    ++count.refused;
    if (answer.body.find("held back") != std::string::npos) {
      ++count.held_back;
      count.told_to_return +=
          std::any_of(answer.headers.begin(), answer.headers.end(),
                      [](const auto& field) { return field.name == "Retry-After"; });
    }
  }

  void carry_out(std::size_t /*node*/, const end_stream& end) {
    auto& count = counts[bodies.at(end.client)];
    ++(end.complete ? count.served : count.failed);
    if (!end.complete) {
      come_again(end.client);
    }
  }

  void come_again(base::caller_id client) {
    constexpr std::size_t most_tries = 4;
    const auto body = bodies.at(client);
    if (!comes_again || guilty.contains(body) || counts[body].tries >= most_tries) {
      return;
    }
    later(milliseconds(50 + random.below(200)), [this, body, path = paths.at(client)] {
      arrive(random.below(nodes.size()), path, body);
    });
  }

  emulated_replica* replica_at(const base::network_address& address) {
    for (auto& replica : replicas) {
      if (replica.address == address.text()) {
        return &replica;
      }
    }
    return nullptr;
  }

  void reach(std::size_t node, const start_call& wanted) {
    if (!nodes[node].calls.contains(wanted.call)) {
      return;
    }
    auto* replica = replica_at(wanted.target.address);
    if (replica == nullptr || !replica->is_up) {
      nodes[node].calls.erase(wanted.call);
      nodes[node].subject->handle(call_failed{wanted.call, call_fate::not_sent}, now);
      return;
    }
    if (replica->id != wanted.target.replica) {
      answer_head head = dispatcher_driver::good_head(421);
      head.misdirected = true;
      nodes[node].calls.erase(wanted.call);
      nodes[node].subject->handle(call_answered{wanted.call, head, ""}, now);
      return;
    }
    const auto& body = wanted.content->body;
    reached[body].push_back(now);
    const std::pair key{node, wanted.call};
    replica->calls.insert(key);
    const auto index = static_cast<unsigned>(replica - replicas.data());
    later(milliseconds(50 + random.below(100)),
          [this, index, key, body] { begin_run(index, key, body); });
  }

  void begin_run(unsigned index, std::pair<std::size_t, base::call_id> key,
                 const std::string& body) {
    if (!replicas[index].calls.contains(key)) {
      return;
    }
    nodes[key.first].calls[key.second] = true;
    nodes[key.first].subject->handle(stream_opened{key.second, dispatcher_driver::good_head()},
                                     now);
    if (guilty.contains(body)) {
      crash_soon(index, body);
      return;
    }
    later(milliseconds(300 + random.below(900)), [this, index, key] { end_run(index, key); });
  }

  void end_run(unsigned index, std::pair<std::size_t, base::call_id> key) {
    if (replicas[index].calls.erase(key) == 0) {
      return;
    }
    auto& node = nodes[key.first];
    node.calls.erase(key.second);
    node.subject->handle(stream_bytes{key.second, "id: 1\ndata: x\n\n"}, now);
    node.subject->handle(stream_closed{key.second, true}, now);
  }

  void break_off(std::size_t index, base::call_id call) {
    auto& node = nodes[index];
    end_stage_call({index, call}, stage_call_ended::result::failed, 0);
    const auto found = node.calls.find(call);
    if (found == node.calls.end()) {
      return;
    }
    const bool has_head = found->second;
    node.calls.erase(found);
    if (has_head) {
      node.subject->handle(stream_closed{call, false}, now);
    } else {
      node.subject->handle(call_failed{call, call_fate::may_have_run}, now);
    }
  }

  void deliver(std::size_t from, const wire::outgoing& sent) {
    const auto sender = peer_number(from);
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      const bool is_reached = !cut_off.contains(from) && !cut_off.contains(index);
      const bool is_lost = sent.message.has_crash_news() &&
                           (older_build.contains(from) || older_build.contains(index));
      if (peer_number(index).address == sent.to && is_reached && !is_lost) {
        hand_over(*nodes[index].subject, sender, sent.message);
      }
    }
  }

  void hand_over(dispatcher& receiver, const fleet_peer& sender, const wire::envelope& message) {
    if (message.has_stage_work()) {
      receiver.handle_peer(sender.node, message.stage_work(), now);
    } else if (message.has_engine_news()) {
      receiver.handle_peer(message.engine_news(), now);
    } else if (message.has_replica_news()) {
      receiver.handle_peer(sender.node, message.replica_news(), now);
    } else if (message.has_retry_lending()) {
      receiver.handle_peer(sender.node, sender.address, message.retry_lending(), now);
    } else if (message.has_crash_news()) {
      receiver.handle_peer(sender.address, message.crash_news(), now);
    }
  }

  std::vector<emulated_replica> replicas;
  std::vector<emulated_node> nodes;
  std::map<base::caller_id, std::string> bodies;
  std::map<base::caller_id, std::string> paths;
  std::map<base::request_id, std::string> bodies_by_id;
  std::size_t handles = 0;
  std::vector<base::time_point> latest_crashes;
  base::caller_id requests = 0;
};

} // namespace spurrack::quarantine
