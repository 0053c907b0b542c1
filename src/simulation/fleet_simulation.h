/// A whole fleet in one thread under virtual time: the real decision logic of every node, an
/// emulated network, platform and back ends, and callers. The same seed gives the same run.
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

struct network_profile {
  /// One-way delay between any two machines; the time added at random reorders messages.
  base::duration delay = std::chrono::microseconds(500);
  base::duration jitter = std::chrono::microseconds(500);
  /// Added where the two machines are of different regions, as the serving settings name them.
  base::duration region_delay{};
  /// Probability that a message between nodes is lost.
  double loss = 0;
};

/// How the store's answers reach a node. A listing comes in pages; one that is late fails as a
/// whole, as it does with the platform's client.
struct store_profile {
  /// Rate of all answers together; 0: without bound.
  double bytes_per_second = 0;
  std::size_t entries_per_page = 500;
  /// Size of an entry in an answer.
  double bytes_per_entry = 0;
  base::duration page_timeout = std::chrono::milliseconds(1000);
};

/// A node to simulate.
struct node_profile {
  std::string name;
  std::string zone;
  /// Rate of its link, each way; 0: without bound.
  double link_bytes_per_second = 0;
  double processor_share = 1;
};

struct simulation_settings {
  std::uint64_t seed = 1;
  std::vector<node_profile> nodes;
  std::vector<backend_profile> backends;
  /// Templates and tenants: key and YAML value.
  std::map<std::string, std::string> records;
  network_profile network;
  store_profile store;
  /// Nodes whose addresses all others know at their start; none named: all nodes.
  std::vector<std::string> seeds;
  /// Whether the platform publishes the list of nodes; otherwise they meet at the seeds only.
  bool should_publish_node_list = true;
  /// Settings shared by all nodes; identity and seeds are filled in.
  node::node_settings node;
};

/// One send of a caller and what it was told.
struct caller_record {
  base::caller_id id = 0;
  std::string node;
  execution::caller_request request;
  base::time_point sent_at;
  base::time_point deadline;
  std::optional<execution::answer> answer;
  base::time_point answered_at;
  /// Tokens received, in order.
  std::string streamed;
  std::optional<base::time_point> first_token_at;
  /// Answers received; more than one is a violation.
  unsigned answers = 0;
  /// The node died or was cut from the caller before it answered.
  bool connection_lost = false;
  /// The request reached the node.
  bool arrived = false;
  /// The node ended its planned stop without answering a request that had reached it.
  bool cut_by_stop = false;
};

/// One execution of a stage at a back end.
struct execution_record {
  std::string backend;
  execution::call_identity identity;
  bool repeatable = true;
  std::string input;
  base::time_point at;
  /// Time after which the call should not have been sent.
  base::time_point not_after;
};

/// Not thread-safe.
class fleet_simulation {
 public:
  explicit fleet_simulation(simulation_settings settings);

  event_queue& events() { return events_; }
  emulated_platform& platform() { return platform_; }
  /// Messages between nodes since it was cleared.
  traffic_counters& traffic() { return traffic_; }
  base::random_source& random() { return random_; }
  [[nodiscard]] base::time_point now() const { return events_.now(); }
  void run_for(base::duration span) { events_.run_until(events_.now() + span); }
  /// Runs until a condition holds, looking every 10 ms. @return whether it came within `limit`.
  bool run_until(const std::function<bool()>& condition, base::duration limit);

  // --- nodes
  void start_node(const std::string& name);
  void start_all_nodes();
  void kill_node(const std::string& name);
  /// Pauses a node; what happens meanwhile reaches it when it wakes.
  void freeze_node(const std::string& name, base::duration span);
  /// Pauses a node between its decision to make a call that may not be repeated and the send.
  void freeze_before_next_effect(const std::string& name, base::duration span);
  void cancel_freeze_before_effect(const std::string& name) {
    nodes_.at(name).freeze_before_effect.reset();
  }
  void stop_node(const std::string& name);
  [[nodiscard]] bool is_alive(const std::string& name) const;
  [[nodiscard]] bool is_frozen(const std::string& name) const;
  [[nodiscard]] bool has_exited(const std::string& name) const;
  [[nodiscard]] const node::node& node(const std::string& name) const;
  [[nodiscard]] std::vector<std::string> node_names() const;
  [[nodiscard]] bool all_ready() const;

  // --- network; a cut separates a zone from all others, from the platform where wanted
  void partition_zone(const std::string& zone, bool from_platform);
  void heal_zone(const std::string& zone);
  [[nodiscard]] bool is_cut(const std::string& zone) const { return cuts_.contains(zone); }
  /// The platform answers no node of these zones, while it serves all others.
  void turn_away(std::set<std::string> zones) { turned_away_ = std::move(zones); }
  /// The platform's service answers nothing for a while, also not what it holds now.
  void hang_platform(base::duration span) { platform_silent_until_ = now() + span; }
  void set_loss_probability(double loss) { settings_.network.loss = loss; }

  // --- back ends
  emulated_backend& backend(const std::string& name) { return *backends_.at(name); }
  [[nodiscard]] std::vector<std::string> backend_names() const;
  /// A back end dies: connections to it break, calls on it are lost.
  void crash_backend(const std::string& name);
  /// Publishes a back end's machine record.
  void publish_backend(const std::string& name, const std::string& state, int generation);
  void publish_node(const std::string& name, bool listed);

  // --- callers
  base::caller_id send(const std::string& node, execution::caller_request request);
  /// Asks a node for a ticket; empty where it gives none within a second of virtual time.
  std::string take_ticket(const std::string& node, const std::string& token_sha256);
  void hang_up(base::caller_id caller);
  [[nodiscard]] const std::map<base::caller_id, caller_record>& callers() const { return callers_; }
  [[nodiscard]] const std::vector<execution_record>& executions() const { return executions_; }
  /// Forgets callers and executions that are settled; for long measurements.
  void forget_records();

  /// @return control bytes and messages of all nodes together, over all their lives.
  [[nodiscard]] node::control_counters control_totals() const;

 private:
  struct node_slot {
    node_profile profile;
    std::unique_ptr<base::seeded_random> random;
    std::unique_ptr<node::node> logic;
    /// Counts starts; events of an earlier life are dropped.
    std::uint64_t life = 0;
    bool alive = false;
    bool exited = false;
    base::time_point frozen_until;
    std::optional<base::duration> freeze_before_effect;
    base::time_point wake_scheduled;
    /// Reads of each source that were begun.
    std::array<std::uint64_t, node::source_count> reads{};
    link sending;
    link receiving;
  };
  /// Pages of an answer of the store that are still to come to a node.
  struct store_transfer {
    std::string node;
    std::uint64_t life = 0;
    node::service_answered answer;
    std::size_t entries_left = 0;
  };
  struct open_call {
    execution::stage_call call;
    std::string node;
    std::uint64_t life = 0;
    bool cancelled = false;
    bool written = false;
  };
  using open_call_ref = std::shared_ptr<open_call>;

  /// Runs something at a node of a given life: later where it is paused, never where it died.
  void at_node(const std::string& name, std::uint64_t life, std::function<void()> what);
  void deliver(const std::string& name, std::uint64_t life, const node::event& what);
  void carry_out(node_slot& slot, node::command& wanted);
  void schedule_wakeup(node_slot& slot);
  void send_message(node_slot& from, wire::outgoing& message);
  [[nodiscard]] bool reaches_platform(const node_slot& slot) const;
  void read_platform(node_slot& slot, const node::read_service& what);
  void probe_platform(const node_slot& slot, const node::probe_service& what);
  /// Carries the pages of an answer to the node that asked, one after the other.
  void carry_pages(const std::shared_ptr<store_transfer>& transfer);
  void start_call(node_slot& slot, const execution::stage_call& call);
  void write_call(const open_call_ref& open);
  void send_first_token(const open_call_ref& open, const std::string& backend_zone,
                        const execution::call_token& token);
  void reply_to_call(const open_call_ref& open, const std::string& backend_zone,
                     backend_reply reply);
  void end_call(const open_call_ref& open, execution::call_status status);
  void answer_caller(const execution::send_answer& wanted);
  base::duration network_delay();
  /// @return one-way delay of a message between nodes of two zones.
  base::duration delay_between(const std::string& zone, const std::string& other);
  [[nodiscard]] bool connected(const std::string& zone, const std::string& other) const;
  [[nodiscard]] std::string machine_record(const backend_profile& profile, const std::string& state,
                                           int generation) const;

  simulation_settings settings_;
  event_queue events_;
  base::seeded_random random_;
  emulated_platform platform_;
  std::map<std::string, node_slot> nodes_;
  std::map<std::string, std::unique_ptr<emulated_backend>> backends_;
  /// Zones cut from the others; the value says whether from the platform too.
  std::map<std::string, bool> cuts_;
  std::set<std::string> turned_away_;
  base::time_point platform_silent_until_;
  std::map<std::pair<std::string, base::call_id>, open_call_ref> open_calls_;
  std::map<base::caller_id, caller_record> callers_;
  std::map<base::caller_id, std::string> tickets_;
  std::vector<execution_record> executions_;
  node::control_counters past_control_;
  link store_link_;
  traffic_counters traffic_;
  base::caller_id next_caller_ = 1;
};

} // namespace spurrack::simulation
