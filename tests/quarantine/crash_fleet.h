/// Simulated fleet of dispatchers and replicas in virtual time; the replicas crash when they run
/// certain requests. Messages between nodes take 2 ms. A crashed replica refuses connections, or
/// answers none, is removed from the published list of replicas later, and restarts after 1.5 to
/// 2 s.
#pragma once

#include "crash_fleet_settings.h"
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

struct crash_fleet : virtual_time {
  explicit crash_fleet(const crash_fleet_settings& initial = {});

  /// Starts or restarts a node with empty state.
  void start_node(std::size_t index);

  /// Sends a request to a node.
  /// @param parts ids of the parts of the prompt; none if the request has no prompt.
  /// @return id of the client.
  base::caller_id send_request(std::size_t node, const std::string& path, const std::string& body,
                               const std::vector<std::string>& parts = {});

  /// Sends the same request to a random node every 100 to 500 ms, for `span`.
  void send_repeatedly(const std::string& path, const std::string& body, base::duration span);

  void run(base::duration span);

  /// Crashes a replica and aborts all of its calls.
  void crash(unsigned index);

  /// Begins or ends a fault of the connections between a node and all replicas.
  void set_path_fault(std::size_t node, path_fault fault);

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
  void reset(unsigned index);

  unsigned random_replica() { return static_cast<unsigned>(random.below(replicas.size())); }

  /// @return what crashes a replica that runs a request: its body, or the id of a part of its
  ///         prompt; std::nullopt if the request is harmless.
  [[nodiscard]] std::optional<std::string> crash_cause_of(const std::string& body) const;

  /// @return bodies of the requests of which any node refused an attempt because of quarantine.
  [[nodiscard]] std::set<std::string> quarantined_bodies() const;

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
                                             base::duration span) const;

  /// @return whether two nodes sent a request to replicas so that the second run began before the
  ///         replica of the first one crashed.
  [[nodiscard]] bool ran_at_once(const std::string& body) const;

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
  /// Nodes that sent a request to replicas, by its body, in the order of `replica_arrivals`.
  std::map<std::string, std::vector<std::size_t>> arrival_nodes;
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

  [[nodiscard]] bool route_is_paused() const;

  void update_peers(std::size_t index);

  void publish();

  void start_replica(unsigned index);

  void publish_replica(unsigned index);

  void send_harmless_requests();

  void advance(std::size_t index);

  template <typename other_command>
  void execute(std::size_t /*node*/, const other_command& /*wanted*/) {}

  /// A request that one node passed on to another one.
  struct passed_request {
    std::size_t from = 0;
    base::call_id call = 0;
    std::size_t to = 0;
  };

  void pass_on(std::size_t node, const start_call& command);

  /// @return whether the client is a node that passed a request on; the event is delivered to it.
  template <typename make_event>
  bool deliver_to_origin(base::caller_id client, bool is_last, const make_event& event_for);

  void execute(std::size_t /*node*/, const open_stream& opened);

  void execute(std::size_t /*node*/, const stream_data& data);

  void execute(std::size_t node, const start_call& command);

  void execute(std::size_t node, const start_stage_call& command);

  void reach_stage_replica(std::size_t node, const start_stage_call& command);

  void end_stage_call(std::pair<std::size_t, base::call_id> key, stage_call_ended::result how,
                      std::size_t piece_count, bool has_timed_out = false);

  /// Crashes a replica after 20 to 120 ms, unless its current incarnation exits earlier.
  void schedule_crash(unsigned index, const std::string& body);

  void end_at_replicas(std::size_t node, base::call_id call);

  void execute(std::size_t node, const cancel_call& command);

  void execute(std::size_t node, const probe_replica& command);

  /// Ends a probe that began to connect at the present time, or `connect_timeout` ago.
  void end_probe(std::size_t node, base::incarnation incarnation, const base::replica_id& replica,
                 probe_result result);

  void execute(std::size_t /*node*/, const respond& answer);

  void execute(std::size_t /*node*/, const end_stream& end);

  void note_outcome(base::caller_id client, bool is_served);

  void retry(base::caller_id client);

  emulated_replica* replica_at(const base::network_address& address);

  void reach_replica(std::size_t node, const start_call& command);

  /// Delivers the announcement of a brittle replica that comes with the head of each answer.
  void announce_brittleness(std::size_t node, unsigned index);

  void reject_for_room(std::size_t node, const start_call& command, unsigned index);

  void fail_unsent(std::size_t node, base::call_id call);

  /// Leaves a call without any answer until the kernel of the node gives up its connection.
  void hang_up(std::size_t node, base::call_id call);

  /// Ends a call at a replica that has crashed without closing it, once the kernel of the node
  /// gives up the connection.
  void time_out_call(std::size_t node, base::call_id call);

  /// @return time after which a caller learns that a replica does not accept its connection.
  [[nodiscard]] base::duration refusal_time(const emulated_replica& replica) const;

  /// Ends a call at a replica that has crashed, unless the node does not learn of it.
  void end_call_of_ended_replica(std::size_t node, base::call_id call);

  /// Delivers the next event of a stream to the node that called.
  void write_event(std::pair<std::size_t, base::call_id> key);

  void begin_run(unsigned index, std::pair<std::size_t, base::call_id> key,
                 const std::string& body);

  void end_run(unsigned index, std::pair<std::size_t, base::call_id> key);

  void abort_call(std::size_t index, base::call_id call, bool has_timed_out = false);

  void deliver(std::size_t from, const wire::outgoing& sent);

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
