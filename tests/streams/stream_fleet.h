/// Simulated fleet in virtual time: dispatchers in three zones, replicas of several software
/// versions in one service, and clients that resume their streams after broken connections. Each
/// event names the software version of the replica that wrote it.
#pragma once

#include "peer_messages.h"
#include "serving_fixture.h"
#include "virtual_time.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace spurrack::streams {

using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Replicas of one software version in one zone.
struct replica_group {
  std::string version;
  std::string zone;
  unsigned count = 1;
};

struct stream_fleet_settings {
  /// Seed of all random choices.
  std::uint64_t seed = 1;
  std::vector<std::string> zones{"a", "b", "c"};
  std::size_t nodes_per_zone = 3;
  std::vector<replica_group> replicas;
  /// Slots of each replica.
  unsigned slots = 32;
  /// Times after a broken connection at which clients resume, drawn at random.
  std::vector<base::duration> resume_delays{milliseconds(0), milliseconds(50), seconds(2)};
  /// Whether clients name the attempt that brought the first event.
  bool names_first_attempt = true;
  /// Whether clients resume only in the zone in which they began.
  bool stays_in_zone = false;
  std::size_t streams_per_second = 60;
  unsigned events = 15;
  base::duration event_interval = milliseconds(80);
};

/// A client's stream over all its attempts.
struct client_stream {
  std::size_t number = 0;
  std::string zone;
  base::time_point deadline;
  std::size_t attempts = 0;
  /// Attempts that failed or were refused since the last event.
  std::size_t fruitless_attempts = 0;
  std::string first_attempt;
  std::uint64_t last_event = 0;
  /// Software versions of the replicas whose events the client received.
  std::set<std::string> versions;
  bool was_resumed = false;
  /// Whether an event or the end followed a resumption.
  bool went_on = false;
  bool is_complete = false;
  /// Reason in the last refusal of an attempt to resume.
  std::string refusal;
};

class stream_fleet : public virtual_time {
 public:
  explicit stream_fleet(stream_fleet_settings initial)
      : settings(std::move(initial)), random(settings.seed) {
    for (const std::string id : {"llm-a", "llm-b", "pool-a", "pool-b", "plain-a", "plain-b"}) {
      published.remove_replica(id);
    }
    for (auto& route : *published.configuration.mutable_routes()) {
      if (route.path_prefix() == "/stream/") {
        route.set_timeout_milliseconds(
            static_cast<std::uint32_t>(base::to_milliseconds(client_patience)));
      }
    }
    published.publish_configuration();
    for (const auto& group : settings.replicas) {
      for (unsigned number = 0; number < group.count; ++number) {
        add_replica(group.version, group.zone);
      }
    }
    for (std::size_t index = 0; index < settings.zones.size() * settings.nodes_per_zone; ++index) {
      nodes.push_back({});
      start_node(index);
    }
    update_peers();
  }

  // --- driving -----------------------------------------------------------------------------------

  void run(base::duration span) {
    const auto end = now + span;
    while (now < end) {
      now += milliseconds(1);
      if (is_loaded && random.below(1000) < settings.streams_per_second) {
        begin_stream();
      }
      run_due();
      for (std::size_t index = 0; index < nodes.size(); ++index) {
        if (nodes[index].subject) {
          advance(index);
        }
      }
    }
  }

  void run_without_load(base::duration span) {
    is_loaded = false;
    run(span);
    is_loaded = true;
  }

  /// Ends the load and lets all streams end.
  void finish() {
    is_loaded = false;
    run(client_patience);
  }

  /// Begins a stream at a random node of a random zone.
  std::size_t begin_stream() { return begin_stream(pick(settings.zones)); }
  std::size_t begin_stream(const std::string& zone) {
    const auto number = streams.size();
    auto& stream = streams[number];
    stream.number = number;
    stream.zone = zone;
    stream.deadline = now + client_patience;
    send(stream);
    return number;
  }

  // --- faults ------------------------------------------------------------------------------------

  /// Breaks off a random running answer midway through an event. @return false if none runs.
  bool break_random_run() {
    std::vector<unsigned> busy;
    for (unsigned index = 0; index < replicas.size(); ++index) {
      if (!replicas[index].runs.empty()) {
        busy.push_back(index);
      }
    }
    if (busy.empty()) {
      return false;
    }
    auto& replica = replicas[pick(busy)];
    auto chosen = replica.runs.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(random.below(replica.runs.size())));
    const auto key = chosen->first;
    replica.runs.erase(chosen);
    close_at_node(key, "id: 99\nda");
    return true;
  }

  /// Breaks a random client's connection to the node that serves its stream, after the first event.
  /// The client resumes the stream. @return false if there is no such connection.
  bool break_random_connection() {
    std::vector<base::caller_id> clients;
    for (const auto& [client, attempt] : attempts) {
      if (attempt.stream != nullptr && attempt.stream->last_event > 0) {
        clients.push_back(client);
      }
    }
    if (clients.empty()) {
      return false;
    }
    disconnect(pick(clients));
    return true;
  }
  /// Breaks the connection of the client of a stream, which then resumes the stream. @return false
  /// if there is no such connection.
  bool break_connection_of(std::size_t stream) {
    const auto found = std::find_if(attempts.begin(), attempts.end(), [&](const auto& entry) {
      return entry.second.stream != nullptr && entry.second.stream->number == stream;
    });
    if (found == attempts.end()) {
      return false;
    }
    disconnect(found->first);
    return true;
  }

  /// Crashes a replica; its entry disappears later. @return index of the replica.
  void crash_replica(unsigned index) {
    auto& replica = replicas[index];
    replica.is_up = false;
    for (const auto& [key, run] : std::exchange(replica.runs, {})) {
      close_at_node(key, "");
    }
    schedule(milliseconds(1500), [this, index] { remove_replica(index); });
  }
  /// Adds a replica of a software version in a random zone. @return its index.
  unsigned add_replica(const std::string& version) {
    add_replica(version, pick(settings.zones));
    publish();
    return static_cast<unsigned>(replicas.size() - 1);
  }
  /// Replaces a replica by one of another software version, as a rolling update does.
  void replace_replica(unsigned index, const std::string& version) {
    const auto zone = replicas[index].zone;
    drain_replica(index);
    add_replica(version, zone);
    publish();
  }
  void drain_replica(unsigned index) {
    replicas[index].is_draining = true;
    publish_replica(index);
    publish();
    schedule(seconds(2), [this, index] {
      remove_replica(index);
      crash_replica(index);
    });
  }
  /// Makes a replica send nothing; its connections stay open.
  void silence(unsigned index, base::duration span) { replicas[index].silent_until = now + span; }

  /// Kills a node; its clients' connections break. It starts again after `downtime`.
  void kill_node(std::size_t index, base::duration downtime = seconds(3)) {
    nodes[index].subject.reset();
    nodes[index].passed.clear();
    for (auto& replica : replicas) {
      std::erase_if(replica.runs, [&](const auto& run) { return run.first.first == index; });
    }
    std::vector<base::caller_id> broken;
    for (const auto& [client, attempt] : attempts) {
      if (attempt.node == index) {
        broken.push_back(client);
      }
    }
    for (const auto client : broken) {
      if (!deliver_to_origin(client, true, [](auto call) { return stream_closed{call, false}; })) {
        end_attempt(client);
      }
    }
    schedule(seconds(1), [this] { update_peers(); });
    schedule(downtime, [this, index] {
      start_node(index);
      update_peers();
    });
  }
  /// Kills all running nodes but the survivors, each at a random time within `spread`.
  void kill_nodes_except(const std::set<std::size_t>& survivors, base::duration spread,
                         base::duration downtime) {
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      if (survivors.contains(index)) {
        continue;
      }
      const auto delay =
          milliseconds(random.below(static_cast<std::size_t>(base::to_milliseconds(spread)) + 1));
      schedule(delay, [this, index, downtime] {
        if (nodes[index].subject) {
          kill_node(index, downtime);
        }
      });
    }
  }
  /// Cuts all connections of a node to replicas, or restores them.
  void set_cut_from_replicas(std::size_t index, bool is_cut) {
    if (!is_cut) {
      cut_from_replicas.erase(index);
      return;
    }
    cut_from_replicas.insert(index);
    for (auto& replica : replicas) {
      for (const auto& [key, run] : std::map(replica.runs)) {
        if (key.first == index) {
          replica.runs.erase(key);
          close_at_node(key, "");
        }
      }
    }
  }
  /// Makes a random client with a running answer read nothing for a while.
  void pause_random_client(base::duration span) {
    std::vector<base::caller_id> clients;
    for (const auto& [client, attempt] : attempts) {
      if (attempt.stream && nodes[attempt.node].subject) {
        clients.push_back(client);
      }
    }
    if (clients.empty()) {
      return;
    }
    const auto client = pick(clients);
    const auto node = attempts.at(client).node;
    nodes[node].subject->handle(client_window{client, false}, now);
    schedule(span, [this, client, node] {
      if (attempts.contains(client) && nodes[node].subject) {
        nodes[node].subject->handle(client_window{client, true}, now);
      }
    });
  }

  // --- results -----------------------------------------------------------------------------------

  struct totals {
    std::size_t streams = 0;
    std::size_t begun = 0;
    std::size_t complete = 0;
    std::size_t resumed = 0;
    std::size_t went_on = 0;
    /// Streams with events of two software versions.
    std::size_t mixed = 0;
    /// Streams whose events skip or repeat a number.
    std::size_t out_of_order = 0;
    std::size_t refused_although_known = 0;
    /// Messages between nodes about origins of streams, and their bytes without sender fields.
    std::size_t origin_messages = 0;
    std::size_t origin_bytes = 0;
    /// Streams that did not go on, by the reason of the last refusal.
    std::map<std::string, std::size_t> lost;
  };
  [[nodiscard]] totals count() const {
    totals sum;
    for (const auto& [number, stream] : streams) {
      ++sum.streams;
      sum.begun += stream.versions.empty() ? 0 : 1;
      sum.complete += stream.is_complete ? 1 : 0;
      sum.mixed += stream.versions.size() > 1 ? 1 : 0;
      sum.resumed += stream.was_resumed ? 1 : 0;
      sum.went_on += stream.was_resumed && stream.went_on ? 1 : 0;
      if (stream.was_resumed && !stream.went_on) {
        ++sum.lost[stream.refusal.empty() ? "no answer" : stream.refusal];
      }
    }
    sum.out_of_order = out_of_order;
    sum.refused_although_known = refused_although_known;
    sum.origin_messages = origin_messages;
    sum.origin_bytes = origin_bytes;
    return sum;
  }

  static constexpr base::duration client_patience = seconds(10);

  struct replica_run {
    std::uint64_t next_event = 1;
  };
  using run_key = std::pair<std::size_t, base::call_id>;
  struct emulated_replica {
    base::replica_id id;
    std::string version;
    std::string zone;
    std::string address;
    bool is_up = true;
    bool is_draining = false;
    std::map<run_key, replica_run> runs;
    base::time_point silent_until{};
  };
  struct emulated_node {
    std::unique_ptr<base::seeded_random> random;
    std::unique_ptr<dispatcher> subject;
    base::incarnation incarnation = 0;
    /// Requests that this node passed on: client of the other node, by call.
    std::map<base::call_id, base::caller_id> passed;
    base::time_point list_confirmed_at{};
    /// Time from which the next read for `list_verification_wanted` may begin.
    base::time_point next_verification_at{};
  };
  /// A request at a node.
  struct attempt {
    std::size_t node = 0;
    /// Stream of the client; null if another node passed the request on.
    client_stream* stream = nullptr;
    std::string id;
    /// If another node passed the request on: that node, its incarnation and its call.
    std::size_t origin = 0;
    base::incarnation origin_incarnation = 0;
    base::call_id origin_call = 0;
  };

  [[nodiscard]] fleet_peer peer_number(std::size_t index) const {
    const auto name = "n" + std::to_string(index);
    return {base::node_id(name), base::zone_id(zone_of(index)), base::network_address(name + ":1"),
            1};
  }
  [[nodiscard]] const std::string& zone_of(std::size_t node) const {
    return settings.zones[node % settings.zones.size()];
  }
  [[nodiscard]] std::vector<unsigned> replicas_of(const std::string& version) const {
    std::vector<unsigned> found;
    for (unsigned index = 0; index < replicas.size(); ++index) {
      if (replicas[index].version == version && replicas[index].is_up) {
        found.push_back(index);
      }
    }
    return found;
  }

  void publish() {
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      if (nodes[index].subject && !without_store.contains(index)) {
        nodes[index].subject->update(published.content, now);
      }
    }
  }

  stream_fleet_settings settings;
  published_catalog published;
  base::seeded_random random;
  bool is_loaded = true;
  std::vector<emulated_replica> replicas;
  std::vector<emulated_node> nodes;
  std::map<std::size_t, client_stream> streams;
  std::map<base::caller_id, attempt> attempts;
  /// Zones whose nodes exchange no messages with nodes of other zones.
  std::set<std::string> cut_zones;
  /// Nodes that neither send nor receive any message.
  std::set<std::size_t> isolated;
  /// Nodes that do not learn what the store publishes.
  std::set<std::size_t> without_store;
  std::set<std::size_t> cut_from_replicas;
  /// @return whether a message about origins of streams is lost that one node sends another now.
  std::function<bool(std::size_t from, std::size_t to)> loses_message = [](auto, auto) {
    return false;
  };
  /// @return time after which a call that a node makes now is reset without an answer;
  ///         std::nullopt if it is not reset.
  std::function<std::optional<base::duration>(std::size_t node, const start_call&)> resets_call =
      [](auto, const auto&) { return std::nullopt; };
  std::size_t origin_messages = 0;
  std::size_t origin_bytes = 0;
  std::size_t out_of_order = 0;
  /// Refusals of resumed streams as unknown although a node which the refusing one reaches knows
  /// the origin.
  std::size_t refused_although_known = 0;
  /// Called when a stream's first event reached its client.
  std::function<void(const client_stream&, std::size_t node)> on_first_event = [](const auto&,
                                                                                  auto) {};

 private:
  // --- nodes -------------------------------------------------------------------------------------

  static base::network_address client_address_of(std::size_t index) {
    return base::network_address("n" + std::to_string(index) + ":80");
  }

  void start_node(std::size_t index) {
    auto& node = nodes[index];
    ++node.incarnation;
    node.random =
        std::make_unique<base::seeded_random>(settings.seed * 1000 + index * 10 + node.incarnation);
    serving_settings limits;
    limits.client_address = client_address_of(index);
    limits.retry = {0.2, 100, seconds(10)};
    node.subject =
        std::make_unique<dispatcher>(peer_number(index), limits, *node.random, node.incarnation,
                                     [](auto, const auto&, const auto&, const auto&) {});
    node.list_confirmed_at = {};
    if (!without_store.contains(index)) {
      node.list_confirmed_at = now;
      node.subject->update(published.content, now);
    }
  }

  void update_peers() {
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      if (!nodes[index].subject) {
        continue;
      }
      std::vector<fleet_peer> others;
      for (std::size_t other = 0; other < nodes.size(); ++other) {
        if (other != index && nodes[other].subject) {
          others.push_back(peer_number(other));
        }
      }
      nodes[index].subject->set_peers(std::move(others), nodes.size() - 1);
    }
  }

  void advance(std::size_t index) {
    auto& node = nodes[index];
    if (!without_store.contains(index)) {
      node.list_confirmed_at = now;
    }
    if (node.list_confirmed_at != base::time_point{}) {
      node.subject->confirm_replica_list(node.list_confirmed_at);
    }
    verify_list(index);
    node.subject->advance(now);
    for (auto& command : node.subject->take_commands()) {
      std::visit([&](const auto& typed_command) { execute(index, typed_command); }, command);
    }
    for (auto& message : node.subject->take_messages()) {
      if (message.message.has_stream_origins()) {
        ++origin_messages;
        origin_bytes += message.message.ByteSizeLong();
      }
      deliver_later(index, message);
    }
  }

  /// Reads the store for a node that wants its list verified, or asks another node to do so.
  void verify_list(std::size_t index) {
    auto& node = nodes[index];
    if (!node.subject->list_verification_wanted() || now < node.next_verification_at) {
      return;
    }
    const auto reader = reader_for(index);
    if (!reader) {
      return;
    }
    constexpr base::duration read_time = milliseconds(4);
    const auto to_reader = index == *reader ? milliseconds(0) : message_delay(index, *reader);
    node.next_verification_at = now + 2 * to_reader + read_time;
    const auto sent_at = now;
    const auto incarnation = node.incarnation;
    schedule(to_reader + read_time, [this, index, reader, to_reader, sent_at, incarnation] {
      // What the store holds now is what the answer brings.
      schedule(to_reader, [this, index, reader, sent_at, incarnation, content = published.content] {
        auto& asking = nodes[index];
        if (asking.subject && asking.incarnation == incarnation &&
            (index == *reader || are_connected(index, *reader))) {
          asking.subject->update(content, now);
          asking.subject->verify_replica_list(sent_at);
        }
      });
    });
  }
  /// @return the node itself, or else a connected one, that reaches the store.
  [[nodiscard]] std::optional<std::size_t> reader_for(std::size_t index) const {
    if (!without_store.contains(index)) {
      return index;
    }
    for (std::size_t other = 0; other < nodes.size(); ++other) {
      if (nodes[other].subject && !without_store.contains(other) && are_connected(index, other)) {
        return other;
      }
    }
    return std::nullopt;
  }
  [[nodiscard]] base::duration message_delay(std::size_t from, std::size_t to) const {
    return milliseconds(zone_of(from) == zone_of(to) ? 1 : 5);
  }

  [[nodiscard]] bool are_connected(std::size_t left, std::size_t right) const {
    const bool crosses_cut =
        zone_of(left) != zone_of(right) &&
        (cut_zones.contains(zone_of(left)) || cut_zones.contains(zone_of(right)));
    return !crosses_cut && !isolated.contains(left) && !isolated.contains(right);
  }

  void deliver_later(std::size_t from, const wire::outgoing& sent) {
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      if (peer_number(index).address != sent.to || !are_connected(from, index) ||
          (sent.message.has_stream_origins() && loses_message(from, index))) {
        continue;
      }
      schedule(message_delay(from, index), [this, from, index, message = sent.message] {
        if (nodes[index].subject) {
          deliver_peer_message(*nodes[index].subject, peer_number(from), message, now);
        }
      });
    }
  }

  // --- clients -----------------------------------------------------------------------------------

  template <typename item>
  item pick(const std::vector<item>& items) {
    return items[random.below(items.size())];
  }

  /// @return a running node to which the client connects; std::nullopt if there is none.
  std::optional<std::size_t> choose_node(const client_stream& stream) {
    constexpr std::size_t other_zone_odds = 3;
    const bool leaves_zone =
        stream.attempts > 0 && !settings.stays_in_zone && random.below(other_zone_odds) == 0;
    std::vector<std::size_t> near;
    std::vector<std::size_t> all;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      if (nodes[index].subject) {
        all.push_back(index);
        if (zone_of(index) == stream.zone) {
          near.push_back(index);
        }
      }
    }
    const auto& candidates = near.empty() || leaves_zone ? all : near;
    return candidates.empty() ? std::nullopt : std::optional(pick(candidates));
  }

  void send(client_stream& stream) {
    const auto node = choose_node(stream);
    if (!node || now >= stream.deadline) {
      return;
    }
    auto content = std::make_shared<request_content>();
    content->method = "POST";
    content->host = "h";
    content->path = content->target = "/stream/";
    content->body = "stream " + std::to_string(stream.number);
    content->has_body = true;
    content->id = base::request_id("s" + std::to_string(stream.number) + "-" +
                                   std::to_string(++stream.attempts));
    content->api_key = "key";
    content->time_allowed = stream.deadline - now;
    content->prompt_tokens = 10;
    if (stream.last_event > 0) {
      stream.was_resumed = true;
      content->resume_after = stream.last_event;
      if (settings.names_first_attempt) {
        content->first_attempt = base::request_id(stream.first_attempt);
      }
    }
    const auto client = ++last_client_;
    attempts[client] = {*node, &stream, content->id.text()};
    nodes[*node].subject->handle(request_arrived{client, content, now}, now);
  }

  void disconnect(base::caller_id client) {
    const auto node = attempts.at(client).node;
    end_attempt(client);
    if (nodes[node].subject) {
      nodes[node].subject->handle(client_disconnected{client}, now);
    }
  }

  /// Ends an attempt without the end of its stream; the client sends the request again later.
  void end_attempt(base::caller_id client, base::duration retry_after = {}) {
    constexpr std::size_t max_fruitless_attempts = 3;
    auto& stream = *attempts.at(client).stream;
    attempts.erase(client);
    if (++stream.fruitless_attempts > max_fruitless_attempts) {
      return;
    }
    const auto delay = std::max<base::duration>(retry_after, pick(settings.resume_delays));
    schedule(delay, [this, number = stream.number] { send(streams.at(number)); });
  }

  [[nodiscard]] bool is_known_elsewhere(const client_stream& stream, std::size_t refused_by) const {
    if (stream.refusal.find("not known") == std::string::npos || !settings.names_first_attempt) {
      return false;
    }
    const auto key = key_of("tenant", base::request_id(stream.first_attempt));
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      const auto& subject = nodes[index].subject;
      if (subject && are_connected(index, refused_by) &&
          subject->stream_origins().registry().find(key, now) != nullptr) {
        return true;
      }
    }
    return false;
  }

  void receive(base::caller_id client, std::string_view bytes) {
    auto& attempt = attempts.at(client);
    auto& stream = *attempt.stream;
    while (!bytes.empty()) {
      const auto end = bytes.find("\n\n");
      const auto event = bytes.substr(0, end);
      bytes.remove_prefix(end + 2);
      constexpr std::string_view id_field = "id: ";
      constexpr std::string_view data_field = "\ndata: ";
      const auto data = event.find(data_field);
      std::uint64_t id = 0;
      std::from_chars(event.data() + id_field.size(), event.data() + data, id);
      out_of_order += id == stream.last_event + 1 ? 0 : 1;
      const bool is_first = stream.last_event == 0;
      stream.last_event = id;
      stream.fruitless_attempts = 0;
      stream.versions.insert(std::string(event.substr(data + data_field.size())));
      stream.went_on = stream.went_on || stream.was_resumed;
      if (is_first) {
        stream.first_attempt = attempt.id;
        on_first_event(stream, attempt.node);
      }
    }
  }

  /// Delivers an event to the node that passed a request on. @return whether there is such a node.
  template <typename make_event>
  bool deliver_to_origin(base::caller_id client, bool is_last, const make_event& event_for) {
    const auto found = attempts.find(client);
    if (found == attempts.end()) {
      return true;
    }
    if (found->second.stream != nullptr) {
      return false;
    }
    const auto passed = found->second;
    auto& origin = nodes[passed.origin];
    if (is_last) {
      attempts.erase(found);
    }
    if (origin.subject && origin.incarnation == passed.origin_incarnation &&
        origin.passed.contains(passed.origin_call)) {
      if (is_last) {
        origin.passed.erase(passed.origin_call);
      }
      origin.subject->handle(event_for(passed.origin_call), now);
    }
    return true;
  }

  // --- commands of nodes -------------------------------------------------------------------------

  template <typename other_command>
  void execute(std::size_t /*node*/, const other_command& /*command*/) {}

  void execute(std::size_t /*node*/, const open_stream& opened) {
    deliver_to_origin(opened.client, false, [](base::call_id call) {
      return stream_opened{call, dispatcher_driver::good_head()};
    });
  }
  void execute(std::size_t /*node*/, const stream_data& data) {
    if (!deliver_to_origin(data.client, false, [&](base::call_id call) {
          return stream_bytes{call, data.bytes};
        })) {
      receive(data.client, data.bytes);
    }
  }
  void execute(std::size_t /*node*/, const end_stream& end) {
    if (deliver_to_origin(end.client, true, [&](base::call_id call) {
          return stream_closed{call, end.complete};
        })) {
      return;
    }
    if (!end.complete) {
      end_attempt(end.client);
      return;
    }
    auto& stream = *attempts.at(end.client).stream;
    stream.is_complete = true;
    stream.went_on = stream.went_on || stream.was_resumed;
    attempts.erase(end.client);
  }
  void execute(std::size_t /*node*/, const respond& answer) {
    if (deliver_to_origin(answer.client, true, [&](base::call_id call) {
          auto head = dispatcher_driver::good_head(answer.status);
          head.sealed = !answer.locally_answered_request.has_value();
          head.headers = answer.headers;
          return call_answered{call, head, answer.body};
        })) {
      return;
    }
    auto& stream = *attempts.at(answer.client).stream;
    base::duration retry_after{};
    for (const auto& field : answer.headers) {
      if (field.name == "Retry-After") {
        retry_after = base::from_seconds(std::stod(field.value));
      }
    }
    stream.refusal = std::to_string(answer.status) + " " + answer.body;
    if (is_known_elsewhere(stream, attempts.at(answer.client).node)) {
      ++refused_although_known;
    }
    end_attempt(answer.client, retry_after);
  }

  void execute(std::size_t node, const probe_replica& command) {
    const auto incarnation = nodes[node].incarnation;
    schedule(milliseconds(1), [this, node, incarnation, command] {
      if (!nodes[node].subject || nodes[node].incarnation != incarnation) {
        return;
      }
      const auto* replica = replica_at(command.target.address);
      const bool is_up = replica != nullptr && replica->is_up && !cut_from_replicas.contains(node);
      nodes[node].subject->handle(
          replica_probed{command.target.replica,
                         is_up ? probe_result::connected : probe_result::refused},
          now);
    });
  }

  void execute(std::size_t node, const cancel_call& command) {
    for (auto& replica : replicas) {
      replica.runs.erase({node, command.call});
    }
    if (const auto passed = nodes[node].passed.find(command.call);
        passed != nodes[node].passed.end()) {
      const auto client = passed->second;
      nodes[node].passed.erase(passed);
      if (const auto found = attempts.find(client); found != attempts.end()) {
        const auto relay = found->second.node;
        attempts.erase(found);
        if (nodes[relay].subject) {
          nodes[relay].subject->handle(client_disconnected{client}, now);
        }
      }
    }
  }

  void execute(std::size_t node, const start_call& command) {
    const auto incarnation = nodes[node].incarnation;
    if (command.passes_on) {
      pass_on(node, command);
      return;
    }
    if (const auto reset_after = resets_call(node, command)) {
      schedule(*reset_after, [this, node, incarnation, call = command.call] {
        if (nodes[node].subject && nodes[node].incarnation == incarnation) {
          nodes[node].subject->handle(call_failed{call, call_failure::may_have_run}, now);
        }
      });
      return;
    }
    schedule(milliseconds(1), [this, node, incarnation, command] {
      if (nodes[node].subject && nodes[node].incarnation == incarnation) {
        reach_replica(node, command);
      }
    });
  }

  void pass_on(std::size_t node, const start_call& command) {
    for (std::size_t target = 0; target < nodes.size(); ++target) {
      if (client_address_of(target) != command.target.address || !nodes[target].subject) {
        continue;
      }
      auto content = std::make_shared<request_content>(*command.content);
      content->was_passed_on = true;
      content->attempts_left = command.attempts_left;
      content->time_allowed = command.time_left;
      content->resume_after = command.resume_after;
      if (command.first_attempt) {
        content->first_attempt = command.first_attempt;
      }
      const auto client = ++last_client_;
      attempts[client] = {target,      nullptr, content->id.text(), node, nodes[node].incarnation,
                          command.call};
      nodes[node].passed[command.call] = client;
      nodes[target].subject->handle(request_arrived{client, content, now}, now);
      return;
    }
    nodes[node].subject->handle(call_failed{command.call, call_failure::not_sent}, now);
  }

  // --- replicas ----------------------------------------------------------------------------------

  void add_replica(const std::string& version, const std::string& zone) {
    emulated_replica replica;
    const auto number = replicas.size();
    replica.id = base::replica_id("llm-" + std::to_string(number));
    replica.version = version;
    replica.zone = zone;
    replica.address = "10.1.0." + std::to_string(number + 1) + ":80";
    replicas.push_back(replica);
    publish_replica(static_cast<unsigned>(number));
  }

  void publish_replica(unsigned index) {
    const auto& replica = replicas[index];
    wire::published_replica record;
    record.set_id(replica.id.text());
    record.set_service("llm");
    record.set_address(replica.address);
    record.set_zone(replica.zone);
    record.set_version(replica.version);
    record.set_slots(settings.slots);
    record.set_draining(replica.is_draining);
    published.put(std::string(model::replica_prefix) + replica.id.text(),
                  record.SerializeAsString(), false);
  }

  void remove_replica(unsigned index) {
    if (std::exchange(removed_[index], true)) {
      return;
    }
    published.remove_replica(replicas[index].id.text());
    publish();
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
    auto* replica = replica_at(command.target.address);
    auto& subject = *nodes[node].subject;
    if (replica == nullptr || !replica->is_up || cut_from_replicas.contains(node)) {
      subject.handle(call_failed{command.call, call_failure::not_sent}, now);
      return;
    }
    constexpr std::size_t queue_factor = 2;
    if (replica->runs.size() >= queue_factor * settings.slots) {
      subject.handle(call_answered{command.call, dispatcher_driver::not_executed_head(), ""}, now);
      return;
    }
    const run_key key{node, command.call};
    replica->runs[key] = {command.resume_after.value_or(0) + 1};
    const auto index = static_cast<unsigned>(replica - replicas.data());
    schedule(milliseconds(20 + random.below(80)), [this, index, key] {
      if (replicas[index].runs.contains(key)) {
        nodes[key.first].subject->handle(stream_opened{key.second, dispatcher_driver::good_head()},
                                         now);
        send_event(index, key);
      }
    });
  }

  void send_event(unsigned index, const run_key& key) {
    const auto found = replicas[index].runs.find(key);
    if (found == replicas[index].runs.end()) {
      return;
    }
    if (now < replicas[index].silent_until) {
      schedule(replicas[index].silent_until - now, [this, index, key] { send_event(index, key); });
      return;
    }
    auto& subject = *nodes[key.first].subject;
    const auto number = found->second.next_event++;
    if (number > settings.events) {
      replicas[index].runs.erase(found);
      subject.handle(stream_closed{key.second, true}, now);
      return;
    }
    subject.handle(stream_bytes{key.second, "id: " + std::to_string(number) +
                                                "\ndata: " + replicas[index].version + "\n\n"},
                   now);
    schedule(settings.event_interval, [this, index, key] { send_event(index, key); });
  }

  void close_at_node(const run_key& key, const std::string& last_bytes) {
    auto& node = nodes[key.first];
    if (!node.subject) {
      return;
    }
    if (!last_bytes.empty()) {
      node.subject->handle(stream_bytes{key.second, last_bytes}, now);
    }
    node.subject->handle(stream_closed{key.second, false}, now);
    node.subject->handle(call_failed{key.second, call_failure::may_have_run}, now);
  }

  base::caller_id last_client_ = 0;
  std::map<unsigned, bool> removed_;
};

} // namespace spurrack::streams
