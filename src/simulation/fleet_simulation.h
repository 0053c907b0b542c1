/// Simulates a whole fleet in one thread under virtual time: the production decision logic of every
/// node, an emulated network, an emulated platform, emulated back ends and callers. Runs with the
/// same seed are identical.
#pragma once

#include "base/random.h"
#include "node/node.h"
#include "simulation/emulated_backend.h"
#include "simulation/emulated_platform.h"
#include "simulation/event_queue.h"
#include "simulation/link.h"
#include "simulation/traffic_counters.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace spurrack::simulation {

/// Delays and losses of messages in the simulated network.
struct network_profile {
  /// One-way delay between any two machines. A random part of the jitter is added to the delay of
  /// each message, which reorders messages.
  base::duration delay = std::chrono::microseconds(500);
  base::duration jitter = std::chrono::microseconds(500);
  /// Additional one-way delay between nodes of different regions. The serving settings determine
  /// the region of each zone.
  base::duration region_delay{};
  /// Probability that a message between two nodes is lost.
  double loss_probability = 0;
};

/// Simulated transfer of answers from the platform's store to nodes. An answer is sent in pages. If
/// one page takes longer than `page_timeout`, the whole read fails, as in the daemon's client of
/// the store.
struct store_profile {
  /// Rate at which the store sends, for all answers together; 0 for an unlimited rate.
  double bytes_per_second = 0;
  std::size_t entries_per_page = 500;
  /// Number of bytes of an entry in an answer.
  double bytes_per_entry = 0;
  /// Maximum time for the transfer of a page.
  base::duration page_timeout = std::chrono::milliseconds(1000);
};

/// What a node experiences when it calls the platform's store.
enum class store_access : std::uint8_t {
  reachable,
  refused, ///< Calls fail at once, and calls under way are reset.
  silent,  ///< Calls, including calls under way, get no answer and fail at their timeouts.
};

/// Which messages between a node and its peers are delivered.
enum class peer_access : std::uint8_t { both_ways, none, sends_only, receives_only };

/// Properties of a simulated node.
struct node_profile {
  std::string name;
  std::string zone;
  /// Rate of the node's network link in each direction; 0 for an unlimited rate.
  double link_bytes_per_second = 0;
  /// Number of cores that the node may use.
  double processor_cores = 1;
};

struct simulation_settings {
  std::uint64_t seed = 1;
  std::vector<node_profile> nodes;
  std::vector<backend_profile> backends;
  /// Values of the entries that are published at the start, such as templates and tenants, by key.
  std::map<std::string, std::string> records;
  network_profile network;
  store_profile store;
  /// Nodes whose addresses every node knows at its start; all nodes if empty.
  std::vector<std::string> seeds;
  /// Whether the platform publishes the list of nodes. Otherwise nodes discover each other only
  /// through the seeds.
  bool should_publish_node_list = true;
  /// Settings of all nodes. The simulation fills in the identity of each node and the seeds.
  node::node_settings node;
};

/// Request of a simulated caller, and the answer to the request.
struct caller_record {
  base::caller_id id = 0;
  std::string node;
  execution::caller_request request;
  base::time_point sent_at;
  base::time_point deadline;
  std::optional<execution::answer> answer;
  base::time_point answered_at;
  /// Concatenated text of the received tokens, in order.
  std::string streamed_text;
  std::optional<base::time_point> first_token_at;
  /// Number of received answers. More than one answer violates an invariant.
  unsigned answer_count = 0;
  /// Whether the node was not running when the request was sent, or was killed or exited before it
  /// answered the request.
  bool is_connection_lost = false;
  /// Whether the request reached the node.
  bool has_arrived = false;
  /// Whether the request reached the node, and the node completed its graceful stop without
  /// answering the request.
  bool is_dropped_by_stop = false;
};

/// Execution of a stage call at a simulated back end.
struct execution_record {
  std::string backend;
  execution::call_identity identity;
  bool repeatable = true;
  std::string input;
  base::time_point started_at;
  /// Time after which the call must not be sent.
  base::time_point not_after;
};

/// Simulated fleet. Not thread-safe.
class fleet_simulation {
 public:
  explicit fleet_simulation(simulation_settings settings);

  event_queue& events() { return events_; }
  emulated_platform& platform() { return platform_; }
  /// @return counters of the messages between nodes since the counters were last cleared.
  traffic_counters& traffic() { return traffic_; }
  base::random_source& random() { return random_; }
  [[nodiscard]] base::time_point now() const { return events_.now(); }
  void run_for(base::duration duration) { events_.run_until(events_.now() + duration); }
  /// Runs until a condition holds. Checks the condition every 10 ms of virtual time.
  /// @return whether the condition held within `timeout`.
  bool run_until(const std::function<bool()>& condition, base::duration timeout);

  // --- nodes
  void start_node(const std::string& name);
  void start_all_nodes();
  void kill_node(const std::string& name);
  /// Freezes a node: suspends its process for `duration`. Events that occur during the suspension
  /// are delivered to the node when the suspension ends.
  void freeze_node(const std::string& name, base::duration duration);
  /// Freezes a node for `duration` between its next decision to make a non-repeatable call (an
  /// effect) and the sending of the call.
  void freeze_before_next_effect(const std::string& name, base::duration duration);
  /// Cancels a `freeze_before_next_effect` that has not taken place.
  void cancel_freeze_before_effect(const std::string& name) {
    nodes_.at(name).freeze_before_effect.reset();
  }
  /// Begins the graceful stop of a node.
  void stop_node(const std::string& name);
  [[nodiscard]] bool is_alive(const std::string& name) const;
  [[nodiscard]] bool is_frozen(const std::string& name) const;
  /// @return whether the node has completed its graceful stop and was not started again.
  [[nodiscard]] bool has_exited(const std::string& name) const;
  [[nodiscard]] const node::node& node(const std::string& name) const;
  [[nodiscard]] std::vector<std::string> node_names() const;
  [[nodiscard]] bool all_ready() const;

  // --- network
  /// Partitions a zone from all other zones.
  /// @param includes_platform whether the zone is partitioned from the platform as well.
  void partition_zone(const std::string& zone, bool includes_platform);
  void heal_zone(const std::string& zone);
  [[nodiscard]] bool is_partitioned(const std::string& zone) const {
    return partitions_.contains(zone);
  }
  /// Makes the platform unreachable for the nodes of `zones` and reachable for all other nodes.
  void block_platform_access(std::set<std::string> zones) {
    zones_without_platform_ = std::move(zones);
  }
  /// Makes the platform answer no reads for `duration`, not even reads that it has already
  /// received.
  void hang_platform(base::duration duration) { platform_hangs_until_ = now() + duration; }
  void set_loss_probability(double loss_probability) {
    settings_.network.loss_probability = loss_probability;
  }
  /// Changes how the platform treats the calls of one node, also calls that are under way.
  void set_store_access(const std::string& name, store_access access);
  [[nodiscard]] store_access store_access_of(const std::string& name) const {
    return nodes_.at(name).access_to_store;
  }
  /// Changes which messages between one node and its peers are delivered.
  void set_peer_access(const std::string& name, peer_access access) {
    nodes_.at(name).access_to_peers = access;
  }

  /// Makes a node ignore messages of a kind, as a node of an older build does. Lasts over restarts.
  void ignore_messages(const std::string& name, wire::envelope::BodyCase kind) {
    nodes_.at(name).ignored_kinds.insert(kind);
  }
  /// Makes a node verify its list of replicas as of now (`node::require_verified_list`).
  void require_verified_list(const std::string& name);

  // --- back ends
  emulated_backend& backend(const std::string& name) { return *backends_.at(name); }
  [[nodiscard]] std::vector<std::string> backend_names() const;
  /// Crashes a back end: connections to the back end break, and its calls are lost.
  void crash_backend(const std::string& name);
  /// Publishes the entry of a back end in the machine list.
  /// @param state `live` or `leaving`.
  /// @param generation number that increases each time the state of the back end changes.
  void publish_backend(const std::string& name, const std::string& state, int generation);
  /// Publishes the entry of a node in the machine list, or deletes the entry if `is_listed` is
  /// false.
  void publish_node(const std::string& name, bool is_listed);

  // --- callers
  /// Sends a request to a node. @return id of the caller, which is the key in `callers`.
  base::caller_id send(const std::string& node, execution::caller_request request);
  /// Requests a ticket from a node, and runs the simulation until the ticket arrives.
  /// @return ticket; empty if the node issues no ticket within one second of virtual time.
  std::string request_ticket(const std::string& node, const std::string& token_sha256);
  void disconnect_caller(base::caller_id caller);
  [[nodiscard]] const std::map<base::caller_id, caller_record>& callers() const { return callers_; }
  [[nodiscard]] const std::vector<execution_record>& executions() const { return executions_; }
  /// Removes the records of all callers whose requests were answered, and the records of all
  /// executions, to limit the memory of long measurements.
  void clear_settled_records();

  /// @return number and total bytes of the control messages that all nodes have sent, in their
  ///         current and in their earlier incarnations.
  [[nodiscard]] node::control_counters control_totals() const;

 private:
  struct node_instance {
    node_profile profile;
    std::unique_ptr<base::seeded_random> random;
    std::unique_ptr<node::node> logic;
    /// Number of times that the node was started. Events of an earlier incarnation are dropped.
    std::uint64_t incarnation = 0;
    bool is_alive = false;
    bool has_exited = false;
    base::time_point frozen_until;
    /// Duration for which the node is to be frozen before it sends its next non-repeatable call;
    /// std::nullopt if no such freeze is pending.
    std::optional<base::duration> freeze_before_effect;
    /// Time at which the node's next scheduled wakeup is due.
    base::time_point wakeup_at;
    /// Number of reads that the node has started, one count for each platform service; the index is
    /// the `source_kind`.
    std::array<std::uint64_t, node::source_count> service_reads_started{};
    /// Whether the latest of these reads has no result yet, by platform service.
    std::array<bool, node::source_count> has_pending_read{};
    store_access access_to_store = store_access::reachable;
    /// Time at which the node last lost its access to the store without a reset. Reads that started
    /// before this time get no answer.
    base::time_point silenced_at;
    peer_access access_to_peers = peer_access::both_ways;
    /// Kinds of messages that the node ignores.
    std::set<wire::envelope::BodyCase> ignored_kinds;
    link uplink;
    link downlink;
  };
  /// Transfer of an answer of the store to a node, in pages.
  struct store_transfer {
    std::string node;
    std::uint64_t incarnation = 0;
    node::service_answered answer;
    std::size_t entries_left = 0;
  };
  /// Unfinished call from a node to a back end.
  struct open_call {
    execution::stage_call call;
    std::string node;
    std::uint64_t incarnation = 0;
    bool is_cancelled = false;
    /// Whether the request was written to the connection.
    bool is_written = false;
  };
  using open_call_ref = std::shared_ptr<open_call>;

  /// Runs an action if a node is still in the given incarnation. If the node is frozen, runs the
  /// action at the end of the suspension. Drops the action if the incarnation has ended.
  void run_at_node(const std::string& name, std::uint64_t incarnation,
                   std::function<void()> action);
  void deliver(const std::string& name, std::uint64_t incarnation, const node::event& event);
  void execute_command(node_instance& instance, node::command& command);
  void schedule_wakeup(node_instance& instance);
  void send_message(node_instance& sender, wire::outgoing& message);
  [[nodiscard]] bool can_reach_platform(const node_instance& instance) const;
  void read_platform(node_instance& instance, const node::read_service& request);
  void probe_platform(const node_instance& instance, const node::probe_service& request);
  /// Sends the remaining pages of an answer, one after the other, to the node that requested them.
  void transfer_pages(const std::shared_ptr<store_transfer>& transfer);
  void start_call(node_instance& instance, const execution::stage_call& call);
  void write_call(const open_call_ref& open);
  void deliver_first_token(const open_call_ref& open, const std::string& backend_zone,
                           const execution::call_token& token);
  void deliver_reply(const open_call_ref& open, const std::string& backend_zone,
                     backend_reply reply);
  void end_call(const open_call_ref& open, execution::call_status status);
  void record_answer(const execution::send_answer& answer);
  base::duration network_delay();
  /// @return one-way delay of a message between nodes of two zones.
  base::duration delay_between(const std::string& zone, const std::string& other_zone);
  [[nodiscard]] bool are_connected(const std::string& zone, const std::string& other_zone) const;
  [[nodiscard]] std::string machine_record(const backend_profile& profile, const std::string& state,
                                           int generation) const;

  simulation_settings settings_;
  event_queue events_;
  base::seeded_random random_;
  emulated_platform platform_;
  std::map<std::string, node_instance> nodes_;
  std::map<std::string, std::unique_ptr<emulated_backend>> backends_;
  /// Partitioned zones; the value is true if the zone is partitioned from the platform as well.
  std::map<std::string, bool> partitions_;
  std::set<std::string> zones_without_platform_;
  base::time_point platform_hangs_until_;
  std::map<std::pair<std::string, base::call_id>, open_call_ref> open_calls_;
  std::map<base::caller_id, caller_record> callers_;
  std::map<base::caller_id, std::string> tickets_;
  std::vector<execution_record> executions_;
  /// Sums of the counters of control messages, over all ended incarnations of all nodes.
  node::control_counters earlier_control_totals_;
  link store_link_;
  traffic_counters traffic_;
  base::caller_id next_caller_ = 1;
};

} // namespace spurrack::simulation
