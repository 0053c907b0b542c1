/// Simulated fleet of dispatchers and replicas in virtual time; the replicas crash when they run
/// certain requests. Messages between nodes take 2 ms. A crashed replica refuses connections, is
/// removed from the published list of replicas later, and restarts after 1.5 to 2 s.
#pragma once

#include "peer_messages.h"
#include "replica_faults.h"
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

struct crash_fleet_settings {
  /// Seed of all random choices.
  std::uint64_t seed = 1;
  std::size_t nodes = 6;
  unsigned replicas = 12;
  /// Additional replicas that compute the pieces of the two stages of `/staged/`.
  unsigned stage_replicas = 0;
  /// Whether a crashed replica restarts under its id, with a new start time; otherwise it restarts
  /// under a new id.
  bool keeps_ids_on_restart = false;
  quarantine_limits limits = {};
  /// Minimum downtime of a crashed replica; the downtime exceeds it by up to 500 ms.
  base::duration min_downtime = milliseconds(1500);
  /// Time after a restart at which the restart is published. Not used if replicas get new ids.
  base::duration publication_delay{};
  /// Emulates a policy without quarantine: nodes refuse all requests while at least two crashes of
  /// replicas are less than this time ago; 0 to disable the policy.
  base::duration route_pause{};
  /// Whether replicas answer with neither a length nor chunks: an answer ends with its connection,
  /// which the kernel also closes if the replica crashes.
  bool unframed_answers = false;
};

/// Number of attempts of clients to send one request, by outcome.
struct attempt_counts {
  std::size_t attempts = 0;
  std::size_t served = 0;
  /// Attempts that were answered with 503, so that the request was not run.
  std::size_t refused = 0;
  /// Attempts that were answered with a status other than 200 or 503, or with a stream that was
  /// cut.
  std::size_t failed = 0;
  /// Attempts that were refused because the request is quarantined.
  std::size_t quarantined = 0;
  /// Quarantined attempts whose refusal has a Retry-After header.
  std::size_t quarantined_with_retry_after = 0;
};

struct crash_fleet : virtual_time {
  explicit crash_fleet(const crash_fleet_settings& initial = {})
      : settings(initial), random(initial.seed) {
    for (const std::string id : {"llm-a", "llm-b", "pool-a", "pool-b"}) {
      published.remove_replica(id);
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

  /// Starts or restarts a node with empty state.
  void start_node(std::size_t index) {
    auto& node = nodes[index];
    ++node.incarnation;
    node.calls.clear();
    node.stage_calls.clear();
    node.random =
        std::make_unique<base::seeded_random>(settings.seed * 1000 + index * 10 + node.incarnation);
    serving_settings limits;
    limits.client_address = client_address_of(index);
    limits.retry = {0.2, 40, seconds(10)};
    limits.quarantine = settings.limits;
    node.subject =
        std::make_unique<dispatcher>(peer_number(index), limits, *node.random, node.incarnation,
                                     [](auto, const auto&, const auto&, const auto&) {});
    node.subject->update(published.content, now);
    for (std::size_t other = 0; other < nodes.size(); ++other) {
      update_peers(other);
    }
  }

  /// Sends a request to a node.
  /// @param parts ids of the parts of the prompt; none if the request has no prompt.
  /// @return id of the client.
  base::caller_id send_request(std::size_t node, const std::string& path, const std::string& body,
                               const std::vector<std::string>& parts = {}) {
    auto content = std::make_shared<request_content>();
    for (const auto& part : parts) {
      content->prompt_parts.push_back({part, 10});
    }
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
    parts_by_body[body] = parts;
    ++counts[body].attempts;
    paths[requests] = path;
    nodes_of_clients[requests] = node;
    ++attempts_at[node].attempts;
    if (route_is_paused()) {
      ++counts[body].refused;
      ++refused_by_route_pause;
      return requests;
    }
    nodes[node].subject->handle(request_arrived{requests, content, now}, now);
    return requests;
  }

  /// Sends the same request to a random node every 100 to 500 ms, for `span`.
  void send_repeatedly(const std::string& path, const std::string& body, base::duration span) {
    const auto end = now + span;
    while (now < end) {
      send_request(random.below(nodes.size()), path, body);
      run(milliseconds(100 + random.below(400)));
    }
  }

  void run(base::duration span) {
    const auto end = now + span;
    while (now < end) {
      now += milliseconds(1);
      send_harmless_requests();
      run_due();
      for (std::size_t index = 0; index < nodes.size(); ++index) {
        advance(index);
      }
    }
  }

  /// Crashes a replica and aborts all of its calls.
  void crash(unsigned index) {
    auto& replica = replicas[index];
    if (!replica.is_up) {
      return;
    }
    replica.is_up = false;
    ++crashes;
    crash_times.push_back(now);
    connections.close_all_to(index);
    for (const auto& [node, call] : std::exchange(replica.calls, {})) {
      end_call_of_ended_replica(node, call);
    }
    const base::replica_id id = replica.id;
    if (!settings.keeps_ids_on_restart) {
      schedule(milliseconds(1800), [this, id] {
        published.remove_replica(id.text());
        publish();
      });
    }
    schedule(settings.min_downtime + milliseconds(random.below(500)),
             [this, index] { start_replica(index); });
  }

  /// Begins or ends a fault of the connections between a node and all replicas.
  void set_path_fault(std::size_t node, path_fault fault) {
    connections.set_fault(node, fault);
    for (const auto& [call, has_head] : std::map(nodes[node].calls)) {
      if (fault == path_fault::is_reset) {
        end_at_replicas(node, call);
        abort_call(node, call);
      } else if (fault == path_fault::hangs) {
        hang_up(node, call);
      }
    }
  }

  /// Makes a replica brittle: it has room for `room` requests, and crashes if it must reject more
  /// than `max_rejections` of them within a second.
  void make_brittle(unsigned index, unsigned max_rejections, std::size_t room) {
    replicas[index].brittle = brittle_state{max_rejections, room};
  }
  void end_brittleness() {
    for (auto& replica : replicas) {
      replica.brittle.reset();
    }
  }

  /// Counts only the attempts from now on in `attempts_at`.
  void count_attempts_from_now() {
    attempts_at.clear();
    nodes_of_clients.clear();
  }

  /// Makes a replica neither read nor write for a while; its connections stay open.
  void silence(unsigned index, base::duration span) { replicas[index].silent_until = now + span; }

  /// Resets all connections to a replica, which keeps running.
  void reset(unsigned index) {
    for (const auto& [node, call] : std::exchange(replicas[index].calls, {})) {
      abort_call(node, call);
    }
  }

  unsigned random_replica() { return static_cast<unsigned>(random.below(replicas.size())); }

  /// @return what crashes a replica that runs a request: its body, or the id of a part of its
  ///         prompt; std::nullopt if the request is harmless.
  [[nodiscard]] std::optional<std::string> crash_cause_of(const std::string& body) const {
    if (crashing_bodies.contains(body)) {
      return body;
    }
    const auto& parts = parts_by_body.at(body);
    const auto found = std::find_if(parts.begin(), parts.end(), [&](const auto& part) {
      return crashing_parts.contains(part);
    });
    return found == parts.end() ? std::nullopt : std::optional(*found);
  }

  /// @return bodies of the requests of which any node refused an attempt because of quarantine.
  [[nodiscard]] std::set<std::string> quarantined_bodies() const {
    std::set<std::string> found;
    for (const auto& [body, count] : counts) {
      if (count.quarantined > 0) {
        found.insert(body);
      }
    }
    return found;
  }

  [[nodiscard]] dispatcher& node(std::size_t index) { return *nodes[index].subject; }

  /// @return number of times that a request reached a replica later than `span` after it had
  ///         crashed its third replica; 0 if it crashed fewer.
  [[nodiscard]] std::size_t sends_after_third_exit(const std::string& body,
                                                   base::duration span) const {
    return sends_after_exit(3, body, span);
  }
  /// @param number number of the exit, from 1 on.
  /// @param cause body of a request, or id of a prompt part.
  [[nodiscard]] std::size_t sends_after_exit(std::size_t number, const std::string& cause,
                                             base::duration span) const {
    const auto exits = exits_under.find(cause);
    if (exits == exits_under.end() || exits->second.size() < number) {
      return 0;
    }
    const auto since = exits->second[number - 1] + span;
    const auto& sent = replica_arrivals.at(cause);
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(), [&](auto at) { return at > since; }));
  }

  crash_fleet_settings settings;
  published_catalog published;
  base::seeded_random random;
  /// Bodies of requests that crash each replica which runs them.
  std::set<std::string> crashing_bodies;
  /// Ids of prompt parts that crash each replica which writes an answer to a request with them.
  std::set<std::string> crashing_parts;
  /// One in so many runs ends with an exit of its replica that no request causes; 0 for none.
  std::size_t runs_per_unplanned_exit = 0;
  /// Bodies of requests whose pieces crash each replica which computes them.
  std::set<std::string> bodies_crashing_in_stages;
  /// Harmless requests per second that arrive at random nodes, each with a different body.
  std::size_t harmless_per_second = 0;
  std::string harmless_path = "/stream/";
  /// Whether clients retry harmless requests that failed or were refused, up to three times.
  bool clients_retry = false;
  /// Number of crashes of replicas, for any reason.
  std::size_t crashes = 0;
  /// Requests refused by the policy of `crash_fleet_settings::route_pause`.
  std::size_t refused_by_route_pause = 0;
  /// Times at which replicas crashed under a request, by its body.
  std::map<std::string, std::vector<base::time_point>> exits_under;
  /// Times at which a request reached replicas, by its body.
  std::map<std::string, std::vector<base::time_point>> replica_arrivals;
  /// Outcomes of attempts, by body of the request.
  std::map<std::string, attempt_counts> counts;
  /// Outcomes of attempts, by the node that received them.
  std::map<std::size_t, attempt_counts> attempts_at;
  std::map<base::caller_id, std::size_t> nodes_of_clients;
  /// Nodes that neither send nor receive messages.
  std::set<std::size_t> partitioned;
  /// Nodes that neither send nor receive crash reports, as if they ran an older build.
  std::set<std::size_t> nodes_of_older_build;

  struct emulated_replica {
    base::replica_id id;
    std::string service;
    std::string address;
    bool is_up = false;
    std::uint64_t incarnation = 0;
    std::set<std::pair<std::size_t, base::call_id>> calls;
    /// Set while the replica is brittle.
    std::optional<brittle_state> brittle{};
    base::time_point silent_until{};
  };
  struct emulated_node {
    std::unique_ptr<base::seeded_random> random;
    std::unique_ptr<dispatcher> subject;
    base::incarnation incarnation = 0;
    /// Calls in flight; for each call, whether the head of its stream has arrived.
    std::map<base::call_id, bool> calls;
    std::set<base::call_id> stage_calls;
  };

  static base::network_address client_address_of(std::size_t index) {
    return base::network_address("n" + std::to_string(index) + ":80");
  }

  static fleet_peer peer_number(std::size_t index) {
    const auto name = "n" + std::to_string(index);
    return {base::node_id(name), base::zone_id(index % 2 == 0 ? "a" : "b"),
            base::network_address(name + ":1"), 1};
  }

  [[nodiscard]] bool route_is_paused() const {
    constexpr std::size_t crashes_for_pause = 2;
    return crash_times.size() >= crashes_for_pause &&
           now - *(crash_times.end() - crashes_for_pause) < settings.route_pause;
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
      node.subject->update(published.content, now);
    }
  }

  void start_replica(unsigned index) {
    auto& replica = replicas[index];
    ++replica.incarnation;
    replica.is_up = true;
    replica.address = "10.1.0." + std::to_string(index + 1) + ":80";
    const auto name = replica.service + "-" + std::to_string(index);
    const auto id =
        settings.keeps_ids_on_restart ? name : name + "-" + std::to_string(replica.incarnation);
    replica.id = base::replica_id(id);
    const auto published_at = settings.keeps_ids_on_restart && replica.incarnation > 1
                                  ? settings.publication_delay
                                  : base::duration::zero();
    if (published_at == base::duration::zero()) {
      publish_replica(index);
    } else {
      schedule(published_at, [this, index] { publish_replica(index); });
    }
  }

  void publish_replica(unsigned index) {
    const auto& replica = replicas[index];
    published.add_incarnation(replica.id.text(), replica.service, index % 2 == 0 ? "a" : "b",
                              replica.address,
                              settings.keeps_ids_on_restart ? 1000 + replica.incarnation : 0);
    publish();
  }

  void send_harmless_requests() {
    if (harmless_per_second > 0 && random.below(1000) < harmless_per_second) {
      send_request(random.below(nodes.size()), harmless_path,
                   "innocent-" + std::to_string(requests + 1));
    }
  }

  void advance(std::size_t index) {
    auto& node = nodes[index];
    if (settings.publication_delay > base::duration::zero()) {
      node.subject->set_replica_list_confirmed_at(now - settings.publication_delay);
    }
    node.subject->advance(now);
    for (auto& command : node.subject->take_commands()) {
      std::visit([&](const auto& typed_command) { execute(index, typed_command); }, command);
    }
    for (auto& message : node.subject->take_messages()) {
      schedule(milliseconds(2), [this, index, message] { deliver(index, message); });
    }
  }

  template <typename other_command>
  void execute(std::size_t /*node*/, const other_command& /*wanted*/) {}

  /// A request that one node passed on to another one.
  struct passed_request {
    std::size_t from = 0;
    base::call_id call = 0;
    std::size_t to = 0;
  };

  void pass_on(std::size_t node, const start_call& command) {
    for (std::size_t target = 0; target < nodes.size(); ++target) {
      if (client_address_of(target) != command.target.address) {
        continue;
      }
      auto content = std::make_shared<request_content>(*command.content);
      content->was_passed_on = true;
      content->time_allowed = command.time_left;
      const auto client = ++requests;
      ++passed_on;
      bodies[client] = content->body;
      passed_requests[client] = {node, command.call, target};
      nodes[target].subject->handle(request_arrived{client, content, now}, now);
    }
  }

  /// @return whether the client is a node that passed a request on; the event is delivered to it.
  template <typename make_event>
  bool deliver_to_origin(base::caller_id client, bool is_last, const make_event& event_for) {
    const auto found = passed_requests.find(client);
    if (found == passed_requests.end()) {
      return false;
    }
    const auto passed = found->second;
    if (is_last) {
      passed_requests.erase(found);
    }
    nodes[passed.from].subject->handle(event_for(passed.call), now);
    return true;
  }

  void execute(std::size_t /*node*/, const open_stream& opened) {
    deliver_to_origin(opened.client, false, [](base::call_id call) {
      return stream_opened{call, dispatcher_driver::good_head()};
    });
  }

  void execute(std::size_t /*node*/, const stream_data& data) {
    deliver_to_origin(data.client, false, [&](base::call_id call) {
      return stream_bytes{call, data.bytes};
    });
  }

  void execute(std::size_t node, const start_call& command) {
    if (command.passes_on) {
      schedule(milliseconds(1), [this, node, command] { pass_on(node, command); });
      return;
    }
    const auto incarnation = nodes[node].incarnation;
    schedule(milliseconds(1), [this, node, incarnation, command] {
      if (nodes[node].incarnation == incarnation) {
        reach_replica(node, command);
      }
    });
    nodes[node].calls[command.call] = false;
  }

  void execute(std::size_t node, const start_stage_call& command) {
    const auto incarnation = nodes[node].incarnation;
    schedule(milliseconds(1), [this, node, incarnation, command] {
      if (nodes[node].incarnation == incarnation) {
        reach_stage_replica(node, command);
      }
    });
    nodes[node].stage_calls.insert(command.call);
  }

  void reach_stage_replica(std::size_t node, const start_stage_call& command) {
    auto* replica = replica_at(command.target.address);
    const auto number = static_cast<unsigned>(replica - replicas.data());
    if (replica != nullptr && !connections.passes_call(node, number)) {
      const bool hangs = connections.fault_of(node) == path_fault::hangs;
      schedule(hangs ? connect_timeout : base::duration::zero(), [this, node, call = command.call] {
        end_stage_call({node, call}, stage_call_ended::result::not_sent, 0);
      });
      return;
    }
    if (replica != nullptr) {
      connections.note_connected(node, number);
    }
    if (replica == nullptr || !replica->is_up || replica->id != command.target.replica) {
      end_stage_call({node, command.call}, stage_call_ended::result::not_sent, 0);
      return;
    }
    const std::pair key{node, command.call};
    const auto index = static_cast<unsigned>(replica - replicas.data());
    replica->calls.insert(key);
    std::set<std::string> called_bodies;
    for (const auto& item : command.items) {
      called_bodies.insert(bodies_by_id.at(item.request));
    }
    for (const auto& body : called_bodies) {
      replica_arrivals[body].push_back(now);
      if (bodies_crashing_in_stages.contains(body)) {
        schedule_crash(index, body);
      }
    }
    schedule(milliseconds(200), [this, index, key, count = command.items.size()] {
      if (replicas[index].calls.erase(key) > 0) {
        end_stage_call(key, stage_call_ended::result::answered, count);
      }
    });
  }

  void end_stage_call(std::pair<std::size_t, base::call_id> key, stage_call_ended::result how,
                      std::size_t piece_count) {
    auto& node = nodes[key.first];
    if (node.stage_calls.erase(key.second) == 0) {
      return;
    }
    stage_call_ended ended{key.second, how, {}};
    for (std::size_t piece = 0; piece < piece_count; ++piece) {
      ended.pieces.push_back({piece_fault::none, "10.1.0.99:80/" + std::to_string(++handles)});
    }
    node.subject->handle(ended, now);
  }

  /// Crashes a replica after 20 to 120 ms, unless its current incarnation exits earlier.
  void schedule_crash(unsigned index, const std::string& body) {
    const auto incarnation = replicas[index].incarnation;
    schedule(milliseconds(20 + random.below(100)), [this, index, incarnation, body] {
      if (replicas[index].is_up && replicas[index].incarnation == incarnation) {
        exits_under[body].push_back(now);
        crash(index);
      }
    });
  }

  void end_at_replicas(std::size_t node, base::call_id call) {
    for (auto& replica : replicas) {
      replica.calls.erase({node, call});
    }
  }

  void execute(std::size_t node, const cancel_call& command) {
    for (const auto& [client, passed] : std::map(passed_requests)) {
      if (passed.from == node && passed.call == command.call) {
        passed_requests.erase(client);
        nodes[passed.to].subject->handle(client_disconnected{client}, now);
      }
    }
    nodes[node].calls.erase(command.call);
    nodes[node].stage_calls.erase(command.call);
    // A replica that does not learn that the connection was closed goes on with the call.
    if (connections.fault_of(node) != path_fault::hangs) {
      end_at_replicas(node, command.call);
    }
  }

  void execute(std::size_t node, const probe_replica& command) {
    const auto incarnation = nodes[node].incarnation;
    schedule(milliseconds(1), [this, node, incarnation, command] {
      if (nodes[node].incarnation != incarnation) {
        return;
      }
      if (connections.fault_of(node) == path_fault::hangs) {
        schedule(connect_timeout, [this, node, incarnation, command] {
          end_probe(node, incarnation, command.target.replica, probe_result::unresponsive);
        });
        return;
      }
      const auto* replica = replica_at(command.target.address);
      const bool is_up = replica != nullptr && replica->is_up;
      const bool is_reached = connections.fault_of(node) == path_fault::none;
      end_probe(node, incarnation, command.target.replica,
                is_up && is_reached ? probe_result::connected : probe_result::refused);
    });
  }

  /// Ends a probe that began to connect at the present time, or `connect_timeout` ago.
  void end_probe(std::size_t node, base::incarnation incarnation, const base::replica_id& replica,
                 probe_result result) {
    const bool has_timed_out = result == probe_result::unresponsive;
    const auto began_at = now - (has_timed_out ? connect_timeout : base::duration::zero());
    if (nodes[node].incarnation == incarnation) {
      nodes[node].subject->handle(replica_probed{replica, result, began_at}, now);
    }
  }

  void execute(std::size_t /*node*/, const respond& answer) {
    const bool is_passed = deliver_to_origin(answer.client, true, [&](base::call_id call) {
      auto head = dispatcher_driver::good_head(answer.status);
      head.sealed = !answer.locally_answered_request.has_value();
      head.headers = answer.headers;
      return call_answered{call, head, answer.body};
    });
    if (is_passed) {
      return;
    }
    auto& count = counts[bodies.at(answer.client)];
    if (answer.status != 200) {
      retry(answer.client);
    }
    note_outcome(answer.client, answer.status == 200);
    if (answer.status != 503) {
      ++(answer.status == 200 ? count.served : count.failed);
      return;
    }
    ++count.refused;
    if (answer.body.find("held back") != std::string::npos) {
      ++count.quarantined;
      count.quarantined_with_retry_after +=
          std::any_of(answer.headers.begin(), answer.headers.end(),
                      [](const auto& field) { return field.name == "Retry-After"; });
    }
  }

  void execute(std::size_t /*node*/, const end_stream& end) {
    const bool is_passed = deliver_to_origin(end.client, true, [&](base::call_id call) {
      return stream_closed{call, end.complete};
    });
    if (is_passed) {
      return;
    }
    auto& count = counts[bodies.at(end.client)];
    ++(end.complete ? count.served : count.failed);
    note_outcome(end.client, end.complete);
    if (!end.complete) {
      retry(end.client);
    }
  }

  void note_outcome(base::caller_id client, bool is_served) {
    if (const auto node = nodes_of_clients.find(client); node != nodes_of_clients.end()) {
      attempts_at[node->second].served += is_served ? 1 : 0;
    }
  }

  void retry(base::caller_id client) {
    constexpr std::size_t max_attempts = 4;
    const auto body = bodies.at(client);
    if (!clients_retry || crash_cause_of(body) || counts[body].attempts >= max_attempts) {
      return;
    }
    schedule(milliseconds(50 + random.below(200)), [this, body, path = paths.at(client)] {
      send_request(random.below(nodes.size()), path, body, parts_by_body.at(body));
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

  void reach_replica(std::size_t node, const start_call& command) {
    if (!nodes[node].calls.contains(command.call)) {
      return;
    }
    auto* replica = replica_at(command.target.address);
    const auto number = static_cast<unsigned>(replica - replicas.data());
    if (replica != nullptr && connections.fault_of(node) == path_fault::hangs) {
      if (connections.has_open_connection(node, number)) {
        hang_up(node, command.call);
      } else {
        schedule(connect_timeout, [this, node, call = command.call] { fail_unsent(node, call); });
      }
      return;
    }
    if (replica == nullptr || !replica->is_up || !connections.passes_call(node, number)) {
      fail_unsent(node, command.call);
      return;
    }
    connections.note_connected(node, number);
    if (now < replica->silent_until) {
      schedule(replica->silent_until - now,
               [this, node, command] { reach_replica(node, command); });
      return;
    }
    if (replica->id != command.target.replica) {
      answer_head head = dispatcher_driver::good_head(421);
      head.misdirected = true;
      nodes[node].calls.erase(command.call);
      nodes[node].subject->handle(call_answered{command.call, head, ""}, now);
      return;
    }
    if (replica->brittle && replica->calls.size() >= replica->brittle->room) {
      reject_for_room(node, command, number);
      return;
    }
    const auto& body = command.content->body;
    replica_arrivals[body].push_back(now);
    for (const auto& part : command.content->prompt_parts) {
      replica_arrivals[part.id].push_back(now);
    }
    const std::pair key{node, command.call};
    replica->calls.insert(key);
    latest_event_ids[key] = command.resume_after.value_or(0);
    const auto index = static_cast<unsigned>(replica - replicas.data());
    schedule(milliseconds(50 + random.below(100)),
             [this, index, key, body] { begin_run(index, key, body); });
  }

  /// Delivers the announcement of a brittle replica that comes with the head of each answer.
  void announce_brittleness(std::size_t node, unsigned index) {
    if (replicas[index].brittle) {
      replica_self_report report;
      report.brittleness.max_rejections = replicas[index].brittle->max_rejections;
      nodes[node].subject->handle(self_report_received{replicas[index].id, now, report}, now);
    }
  }

  void reject_for_room(std::size_t node, const start_call& command, unsigned index) {
    nodes[node].calls.erase(command.call);
    ++rejections;
    const bool is_overrun = replicas[index].brittle->note_rejected(now);
    announce_brittleness(node, index);
    nodes[node].subject->handle(
        call_answered{command.call, dispatcher_driver::not_executed_head(), ""}, now);
    if (is_overrun) {
      ++falls;
      crash(index);
    }
  }

  void fail_unsent(std::size_t node, base::call_id call) {
    if (nodes[node].calls.erase(call) > 0) {
      nodes[node].subject->handle(call_failed{call, call_failure::not_sent}, now);
    }
  }

  /// Leaves a call without any answer until the kernel of the node gives up its connection.
  void hang_up(std::size_t node, base::call_id call) {
    schedule(tcp_user_timeout, [this, node, call] {
      if (connections.fault_of(node) == path_fault::hangs) {
        abort_call(node, call, true);
      }
    });
  }

  /// Ends a call at a replica that has crashed, unless the node does not learn of it.
  void end_call_of_ended_replica(std::size_t node, base::call_id call) {
    if (connections.fault_of(node) == path_fault::hangs) {
      return;
    }
    const auto found = nodes[node].calls.find(call);
    const bool has_head = found != nodes[node].calls.end() && found->second;
    if (!settings.unframed_answers || !has_head) {
      abort_call(node, call);
      return;
    }
    nodes[node].calls.erase(found);
    const bool breaks_inside_event = random.below(3) == 0;
    if (breaks_inside_event) {
      nodes[node].subject->handle(stream_bytes{call, "id: 9\nda"}, now);
    }
    nodes[node].subject->handle(stream_closed{call, true, false, true}, now);
  }

  /// Delivers the next event of a stream to the node that called.
  void write_event(std::pair<std::size_t, base::call_id> key) {
    const auto id = std::to_string(++latest_event_ids[key]);
    nodes[key.first].subject->handle(stream_bytes{key.second, "id: " + id + "\ndata: x\n\n"}, now);
  }

  void begin_run(unsigned index, std::pair<std::size_t, base::call_id> key,
                 const std::string& body) {
    if (!replicas[index].calls.contains(key)) {
      return;
    }
    if (now < replicas[index].silent_until) {
      schedule(replicas[index].silent_until - now,
               [this, index, key, body] { begin_run(index, key, body); });
      return;
    }
    const bool is_heard = connections.fault_of(key.first) != path_fault::hangs;
    if (is_heard && nodes[key.first].calls.contains(key.second)) {
      nodes[key.first].calls[key.second] = true;
      announce_brittleness(key.first, index);
      nodes[key.first].subject->handle(stream_opened{key.second, dispatcher_driver::good_head()},
                                       now);
      if (settings.unframed_answers && random.below(2) == 0) {
        write_event(key);
      }
    }
    if (const auto cause = crash_cause_of(body)) {
      schedule_crash(index, *cause);
      return;
    }
    if (runs_per_unplanned_exit > 0 && random.below(runs_per_unplanned_exit) == 0) {
      schedule_crash(index, "unplanned");
    }
    schedule(milliseconds(300 + random.below(900)), [this, index, key] { end_run(index, key); });
  }

  void end_run(unsigned index, std::pair<std::size_t, base::call_id> key) {
    if (now < replicas[index].silent_until) {
      schedule(replicas[index].silent_until - now, [this, index, key] { end_run(index, key); });
      return;
    }
    if (replicas[index].calls.erase(key) == 0) {
      return;
    }
    auto& node = nodes[key.first];
    if (connections.fault_of(key.first) == path_fault::hangs || node.calls.erase(key.second) == 0) {
      return;
    }
    write_event(key);
    node.subject->handle(stream_closed{key.second, true, false, settings.unframed_answers}, now);
  }

  void abort_call(std::size_t index, base::call_id call, bool has_timed_out = false) {
    auto& node = nodes[index];
    end_stage_call({index, call}, stage_call_ended::result::failed, 0);
    const auto found = node.calls.find(call);
    if (found == node.calls.end()) {
      return;
    }
    const bool has_head = found->second;
    node.calls.erase(found);
    if (has_head) {
      node.subject->handle(stream_closed{call, false, has_timed_out}, now);
    } else {
      node.subject->handle(call_failed{call, call_failure::may_have_run, has_timed_out}, now);
    }
  }

  void deliver(std::size_t from, const wire::outgoing& sent) {
    const auto sender = peer_number(from);
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      const bool is_reached = !partitioned.contains(from) && !partitioned.contains(index);
      const bool is_lost = sent.message.has_crash_news() && (nodes_of_older_build.contains(from) ||
                                                             nodes_of_older_build.contains(index));
      if (peer_number(index).address == sent.to && is_reached && !is_lost) {
        deliver_peer_message(*nodes[index].subject, sender, sent.message, now);
      }
    }
  }

  /// Timeout of nodes for opening a connection.
  static constexpr base::duration connect_timeout = milliseconds(500);
  /// Time after which the kernel of a node gives up a connection that passes no bytes.
  static constexpr base::duration tcp_user_timeout = milliseconds(1500);

  /// Id of the latest event of each stream, by node and call.
  std::map<std::pair<std::size_t, base::call_id>, std::uint64_t> latest_event_ids;
  std::map<base::caller_id, passed_request> passed_requests;
  std::size_t passed_on = 0;
  /// Requests that brittle replicas rejected, and crashes of brittle replicas for this reason.
  std::size_t rejections = 0;
  std::size_t falls = 0;
  replica_paths connections;
  std::vector<emulated_replica> replicas;
  std::vector<emulated_node> nodes;
  std::map<base::caller_id, std::string> bodies;
  std::map<base::caller_id, std::string> paths;
  std::map<base::request_id, std::string> bodies_by_id;
  std::map<std::string, std::vector<std::string>> parts_by_body;
  std::size_t handles = 0;
  std::vector<base::time_point> crash_times;
  base::caller_id requests = 0;
};

} // namespace spurrack::quarantine
