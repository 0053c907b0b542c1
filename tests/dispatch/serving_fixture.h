/// A published catalog and a driver that feeds events to a dispatcher.
#pragma once

#include "catalog/catalog.h"
#include "dispatch/dispatcher.h"
#include "model/serving_record_parser.h"
#include "wire/published.pb.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace spurrack::serving {

/// Publishes routes `/safe/`, `/unsafe/`, `/stream/`, `/fixed/` (a stream that cannot be resumed)
/// and `/staged/` on host `h`, with two replicas of every service, one in zone a and one in zone b.
class published_catalog {
 public:
  published_catalog() {
    auto& llm = add_service("llm");
    llm.mutable_engine()->set_slots(8);
    add_service("plain");
    auto& pieces = *add_service("pool").mutable_pieces();
    pieces.set_slots(1);
    pieces.set_batch(4);
    pieces.set_call_milliseconds(200);
    pieces.set_item_milliseconds(10);
    pieces.set_result_megabytes(1);
    pieces.set_handle_seconds(4);
    add_route("/safe/", wire::ROUTE_SAFE, "plain");
    add_route("/unsafe/", wire::ROUTE_UNSAFE, "plain").set_max_attempts(1);
    add_route("/stream/", wire::ROUTE_STREAMING, "llm").set_resumable(true);
    add_route("/fixed/", wire::ROUTE_STREAMING, "llm");
    add_staged_route();
    auto& access = *configuration.add_tenants();
    access.set_tenant("tenant");
    access.add_api_keys("key");
    for (const std::string service : {"llm", "plain", "pool"}) {
      add_replica(service + "-a", service, "a");
      add_replica(service + "-b", service, "b");
    }
    publish_configuration();
  }

  wire::published_service& add_service(const std::string& name) {
    auto& service = *configuration.add_services();
    service.set_name(name);
    return service;
  }

  wire::published_route& add_route(const std::string& prefix, wire::published_route_kind kind,
                                   const std::string& service) {
    auto& route = *configuration.add_routes();
    route.set_name(prefix);
    route.set_host("h");
    route.set_path_prefix(prefix);
    route.set_kind(kind);
    route.set_max_attempts(2);
    route.set_target_latency_milliseconds(1000);
    route.set_gap_target_milliseconds(500);
    auto& target = *route.add_services();
    target.set_service(service);
    target.set_weight(1);
    return route;
  }

  /// Adds the route `/staged/` with two stages of service `pool`; the second reads the results of
  /// the first.
  void add_staged_route() {
    auto& staged = add_route("/staged/", wire::ROUTE_STREAMING, "llm");
    auto& first = *staged.add_stages();
    first.set_service("pool");
    first.set_result_bytes(1000);
    auto& second = *staged.add_stages();
    second.set_service("pool");
    second.set_result_bytes(1000);
    second.add_start_after(0);
  }

  /// Publishes an evacuation of a zone, so that its replicas are sent no requests.
  void evacuate(const std::string& zone) {
    wire::published_evacuation evacuation;
    evacuation.set_zone(zone);
    put(std::string(model::evacuation_prefix) + zone, evacuation.SerializeAsString(), false);
  }

  void end_evacuation(const std::string& zone) {
    put(std::string(model::evacuation_prefix) + zone, "", true);
  }

  void add_replica(const std::string& id, const std::string& service, const std::string& zone,
                   bool draining = false, std::uint32_t cold_milliseconds = 0,
                   std::uint32_t slots = 4, const std::string& software_version = "") {
    wire::published_replica replica;
    replica.set_version(software_version);
    replica.set_cold_milliseconds(cold_milliseconds);
    replica.set_id(id);
    replica.set_service(service);
    replica.set_address("10.0.0." + std::to_string(addresses_++) + ":80");
    replica.set_zone(zone);
    replica.set_slots(slots);
    replica.set_draining(draining);
    put(std::string(model::replica_prefix) + id, replica.SerializeAsString(), false);
  }

  /// Publishes an incarnation of a replica; without a start time if `started_at_milliseconds` is 0.
  void add_incarnation(const std::string& id, const std::string& service, const std::string& zone,
                       const std::string& address, std::uint64_t started_at_milliseconds,
                       std::uint32_t cold_milliseconds = 0,
                       const std::string& software_version = "") {
    wire::published_replica replica;
    replica.set_version(software_version);
    replica.set_id(id);
    replica.set_service(service);
    replica.set_address(address);
    replica.set_zone(zone);
    replica.set_slots(4);
    replica.set_cold_milliseconds(cold_milliseconds);
    replica.set_started_at_milliseconds(started_at_milliseconds);
    put(std::string(model::replica_prefix) + id, replica.SerializeAsString(), false);
  }

  /// Overwrites the entry of a replica with a malformed record, as another process may do.
  void write_malformed(const std::string& id) {
    wire::published_replica replica;
    replica.set_id(id);
    replica.set_translation_fault("zone is missing");
    wire::catalog_entry entry;
    entry.set_key(std::string(model::replica_prefix) + id);
    entry.set_value(replica.SerializeAsString());
    entry.set_revision(++revision_);
    BOOST_REQUIRE((content.apply(entry).verdict == catalog::apply_verdict::rejected));
  }

  void remove_replica(const std::string& id) {
    put(std::string(model::replica_prefix) + id, "", true);
  }

  void publish_configuration() {
    configuration.set_version(configuration.version() + 1);
    put(std::string(model::configuration_key), configuration.SerializeAsString(), false);
  }

  void put(const std::string& key, const std::string& value, bool deleted) {
    wire::catalog_entry entry;
    entry.set_key(key);
    entry.set_value(value);
    entry.set_deleted(deleted);
    entry.set_revision(++revision_);
    BOOST_REQUIRE((content.apply(entry).verdict == catalog::apply_verdict::accepted));
  }

  wire::published_configuration configuration;
  catalog::catalog content;

 private:
  std::uint64_t revision_ = 0;
  unsigned addresses_ = 1;
};

/// Delivers events to one dispatcher and keeps its commands.
class dispatcher_driver {
 public:
  explicit dispatcher_driver(const serving_settings& settings = {})
      : random(1),
        subject({base::node_id("n"), base::zone_id("a"), base::network_address("n:1")}, settings,
                random, 1, [](auto, const auto&, const auto&, const auto&) {}) {
    subject.update(published.content, now);
    confirm_list();
  }

  /// Delivers a request to the dispatcher.
  void send_request(base::caller_id client, const std::string& path,
                    std::vector<std::uint32_t> pieces = {}) {
    auto content = content_for(client, path);
    content->pieces = std::move(pieces);
    content->piece_key = "pk";
    deliver(request_arrived{client, content, now});
  }

  /// @return request content for a path, which the test may change before the request arrives.
  [[nodiscard]] std::shared_ptr<request_content> content_for(base::caller_id client,
                                                             const std::string& path) const {
    auto content = std::make_shared<request_content>();
    content->method = "POST";
    content->host = "h";
    content->path = content->target = path;
    content->id = base::request_id("r" + std::to_string(client));
    content->api_key = api_key;
    content->time_allowed = time_allowed;
    return content;
  }

  void deliver(const event& input_event) {
    confirm_list();
    subject.handle(input_event, now);
    subject.advance(now);
    collect_commands();
  }

  /// Delivers a self-report of a replica from the head of its answer to a call of any kind.
  void deliver_self_report(base::call_id call, const replica_self_report& report) {
    const auto& sent = made_calls_.at(call);
    deliver(self_report_received{sent.replica, sent.at, report});
  }
  /// Delivers a whole answer to a call together with a self-report of its replica.
  void answer(base::call_id call, const replica_self_report& report, const answer_head& head) {
    deliver_self_report(call, report);
    deliver(call_answered{call, head, ""});
  }

  void advance_time(base::duration span) {
    constexpr base::duration step = std::chrono::milliseconds(5);
    const auto end = now + span;
    while (now < end) {
      now = std::min(end, now + step);
      confirm_list();
      subject.advance(now);
      collect_commands();
    }
  }

  /// @return commands of one type that the dispatcher has given so far, oldest first.
  template <typename command_type>
  std::vector<command_type> all() const {
    std::vector<command_type> found;
    for (const auto& command : commands) {
      if (const auto* match = std::get_if<command_type>(&command)) {
        found.push_back(*match);
      }
    }
    return found;
  }
  template <typename command_type>
  command_type last() const {
    const auto found = all<command_type>();
    BOOST_REQUIRE(!found.empty());
    return found.back();
  }

  /// @param first index of the first command to search.
  /// @return replicas to which the searched commands are addressed: calls of requests, calls for
  ///         pieces, and commands that free results.
  [[nodiscard]] std::vector<base::replica_id> called_since(std::size_t first) const {
    std::vector<base::replica_id> called;
    for (std::size_t index = first; index < commands.size(); ++index) {
      const auto& command = commands[index];
      if (const auto* call = std::get_if<start_call>(&command)) {
        called.push_back(call->target.replica);
      } else if (const auto* pieces = std::get_if<start_stage_call>(&command)) {
        called.push_back(pieces->target.replica);
      } else if (const auto* freed = std::get_if<free_results>(&command)) {
        called.push_back(freed->producer.replica);
      }
    }
    return called;
  }

  static answer_head good_head(unsigned status = 200) {
    answer_head head;
    head.status = status;
    head.sealed = true;
    return head;
  }
  static answer_head not_executed_head() {
    answer_head head;
    head.status = 503;
    head.not_executed = true;
    return head;
  }

  published_catalog published;
  base::seeded_random random;
  dispatcher subject;
  base::time_point now{std::chrono::hours(1)};
  std::string api_key = "key";
  std::optional<base::duration> time_allowed = std::chrono::seconds(5);
  command_list commands;
  /// Whether each probe finds at once that its replica accepts connections.
  bool answers_probes = false;
  /// Whether this node reads the store at each step, which has no later list of replicas.
  bool confirms_list = true;

 private:
  void confirm_list() {
    if (confirms_list) {
      subject.verify_replica_list(now);
    }
  }

  struct made_call {
    base::replica_id replica;
    base::time_point at;
  };

  template <typename other_command>
  void note_call(const other_command& /*command*/) {}
  void note_call(const start_call& call) { made_calls_[call.call] = {call.target.replica, now}; }
  void note_call(const start_stage_call& call) {
    made_calls_[call.call] = {call.target.replica, now};
  }

  void collect_commands() {
    auto new_commands = subject.take_commands();
    for (const auto& command : new_commands) {
      std::visit([this](const auto& typed_command) { note_call(typed_command); }, command);
    }
    std::vector<base::replica_id> probed;
    for (const auto& command : new_commands) {
      if (const auto* probe = std::get_if<probe_replica>(&command); probe && answers_probes) {
        probed.push_back(probe->target.replica);
      }
    }
    std::move(new_commands.begin(), new_commands.end(), std::back_inserter(commands));
    for (const auto& replica : probed) {
      deliver(replica_probed{replica, probe_result::connected});
    }
  }

  std::map<base::call_id, made_call> made_calls_;
};

} // namespace spurrack::serving
