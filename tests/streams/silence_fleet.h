/// Simulated fleet in virtual time whose replicas and nodes fall silent and go on: dispatchers,
/// engines, plain replicas and stage workers, and clients that check how their requests end.
#pragma once

#include "peer_messages.h"
#include "serving_fixture.h"
#include "silence_fleet_results.h"
#include "virtual_time.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace spurrack::silence {

using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// How a replica falls silent.
enum class silence_kind : std::uint8_t {
  /// The process is stopped; its kernel still accepts connections, and calls wait.
  stopped_process,
  /// The link is held: bytes wait, and new connections get no answer.
  held_link,
};

/// Calls of one node, by which runs at replicas are found.
struct run_key {
  std::size_t node = 0;
  base::incarnation incarnation = 0;
  base::call_id call = 0;
  auto operator<=>(const run_key&) const = default;
};

/// Execution of a call at a replica.
struct replica_run {
  std::size_t client = 0;
  std::uint64_t next_event = 1;
  unsigned events = 0;
  bool is_unframed = false;
};

struct emulated_replica {
  base::replica_id id;
  std::string service;
  std::string zone;
  std::string version;
  std::string address;
  bool is_up = true;
  bool is_draining = false;
  std::map<run_key, replica_run> runs;
  silence_kind kind = silence_kind::stopped_process;
  base::time_point silent_from;
  base::time_point silent_until;
  /// Time since which a call has waited for the silent replica; the epoch if none has.
  base::time_point awaited_since;
  /// Whether the present silence is that of its whole service.
  bool is_whole_service_silent = false;
  /// Bytes behind a held link, in their order.
  std::deque<std::function<void()>> held;
  /// Requests per second that the replica announces; 0 for no limit.
  double announced_limit = 0;
  std::size_t results = 0;
  base::time_point called_at;
};

struct emulated_node {
  std::unique_ptr<base::seeded_random> random;
  std::unique_ptr<dispatcher> subject;
  base::incarnation incarnation = 0;
  /// Time until which the process handles nothing; its input waits.
  base::time_point stands_until;
  bool is_standing = false;
  base::time_point latest_input_at;
  std::deque<std::function<void()>> input;
  bool is_stopping = false;
  base::duration route_timeout{};
  /// Answers that the node does not read now, by call.
  std::map<base::call_id, std::deque<std::function<void()>>> unread;
};

struct fleet_settings {
  std::uint64_t seed = 1;
  std::size_t nodes = 4;
  unsigned requests_per_second = 45;
  retry_limits retry{0.2, 50, seconds(10)};
};

/// Four nodes and three services in three zones. Each command of a node is executed as the I/O
/// layer would; each end of a request is classified.
class silence_fleet : public virtual_time {
 public:
  explicit silence_fleet(fleet_settings initial);

  /// Lets time pass.
  void run(base::duration span);
  /// Ends the load and lets all requests end.
  void finish();

  // --- silences ----------------------------------------------------------------------------------

  /// Makes a replica send nothing for a while. @return false if it is silent already or has exited.
  bool silence(std::size_t replica, silence_kind kind, base::duration span);
  /// Makes a random replica, a third or all of a service silent.
  void draw_silence();
  /// Makes a node handle nothing for a while.
  void stand(std::size_t node, base::duration span);

  // --- changes -----------------------------------------------------------------------------------

  /// Changes a route timeout, moves a route to another service, or removes it for a while; some
  /// nodes stand after the change.
  void change_configuration();
  /// Drains all replicas of a service one after the other and adds replicas of a new version.
  void release(const std::string& service);
  /// Drains a replica, which exits once its runs have ended.
  void drain(std::size_t replica);
  void evacuate(base::duration span);
  /// Stops a node, with time for its requests to end; it starts again later.
  void stop_node(std::size_t node);
  /// Makes the replicas of a service announce a rate limit for a while.
  void limit_rates(const std::string& service, base::duration span);

  [[nodiscard]] std::vector<std::size_t> replicas_of(const std::string& service) const;
  [[nodiscard]] base::duration draw_span(base::duration shortest, base::duration longest);

  fleet_results results;
  base::seeded_random random;
  bool is_loaded = true;

 private:
  // Nodes.
  void start_node(std::size_t index);
  void update_peers();
  /// Runs an action at a node once the node handles its input.
  void at_node(std::size_t node, base::incarnation incarnation, std::function<void()> action);
  void deliver(const run_key& key, event input_event);
  void advance_node(std::size_t index);
  void go_on_after_stand(std::size_t index);
  void publish();
  void deliver_later(std::size_t from, const wire::outgoing& sent);
  void end_node(std::size_t index);

  // Commands.
  template <typename other_command>
  void execute(std::size_t /*node*/, const other_command& /*command*/) {}
  void execute(std::size_t node, const start_call& command);
  void execute(std::size_t node, const start_stage_call& command);
  void execute(std::size_t node, const cancel_call& command);
  void execute(std::size_t node, const pause_call& command);
  void execute(std::size_t node, const resume_call& command);
  void execute(std::size_t node, const read_ahead& command);
  void execute(std::size_t node, const free_results& command);
  void execute(std::size_t node, const probe_replica& command);
  void execute(std::size_t node, const respond& command);
  void execute(std::size_t node, const open_stream& command);
  void execute(std::size_t node, const stream_data& command);
  void execute(std::size_t node, const end_stream& command);
  /// Checks that each cancelled call is followed by another one or the end of its request.
  void check_cancelled_calls(std::size_t node, const command_list& commands);

  // Replicas.
  std::size_t add_replica(const std::string& service, const std::string& zone,
                          const std::string& version);
  void publish_replica(std::size_t index);
  void exit_if_idle(std::size_t index, base::time_point must_exit_at);
  void exit_replica(std::size_t index);
  [[nodiscard]] std::optional<std::size_t> replica_at(const base::network_address& address) const;
  [[nodiscard]] bool is_silent(const emulated_replica& replica) const {
    return now < replica.silent_until;
  }
  [[nodiscard]] bool is_stopped(const emulated_replica& replica) const {
    return is_silent(replica) && replica.kind == silence_kind::stopped_process;
  }
  /// Opens or reuses a connection, and lets the replica begin once the call has reached it.
  void reach(std::size_t index, const run_key& key, bool is_reused, bool is_stage_call,
             std::function<void()> begin);
  /// Runs an action of a replica once its process runs.
  void at_replica(std::size_t index, std::function<void()> action);
  /// Sends an event of a replica to a node, behind the bytes that its held link keeps.
  void send_from(std::size_t index, const run_key& key, const event& sent);
  void begin_run(std::size_t index, const run_key& key, const start_call& command);
  void answer_plain(std::size_t index, const run_key& key);
  void open_answer(std::size_t index, const run_key& key);
  void send_event(std::size_t index, const run_key& key);
  void end_answer(std::size_t index, const run_key& key);
  void compute_pieces(std::size_t index, const run_key& key, std::size_t pieces);
  /// Notes that a node has called a replica, and whether it should have known it to be silent.
  void note_called(std::size_t index, const start_call* command);
  /// Checks a moment after a replica went on whether it has got work again.
  void check_work_after(std::size_t index);
  void note_call_at_silent(const emulated_replica& replica, const start_call& command);
  /// @return nodes and routes of the open calls at a replica, for a trace.
  [[nodiscard]] std::string open_calls_text(const emulated_replica& replica) const;
  [[nodiscard]] bool has_result(const std::string& handle) const;
  [[nodiscard]] base::duration wait_for_results(const std::vector<std::string>& handles) const;

  // Clients.
  void send_request();
  void pause_some_clients(client_record& client, std::size_t node);
  void end_request(std::size_t node, base::caller_id client, request_end end,
                   const std::string& detail);
  void receive_events(client_record& client, std::string_view bytes);
  [[nodiscard]] request_end early_end_of(const client_record& client) const;
  [[nodiscard]] bool is_beside_change() const { return now - changed_at_ <= seconds(3); }

  fleet_settings settings_;
  published_catalog published_;
  std::deque<emulated_replica> replicas_;
  std::vector<emulated_node> nodes_;
  std::map<base::caller_id, client_record> clients_;
  std::map<std::string, base::caller_id> clients_by_request_;
  std::set<std::string> freed_results_;
  std::map<run_key, base::caller_id> clients_by_call_;
  base::caller_id last_client_ = 0;
  base::time_point changed_at_;
  unsigned versions_ = 1;
  std::set<std::string> services_in_release_;
  bool is_evacuated_ = false;
  base::duration route_timeout_ = seconds(12);
};

} // namespace spurrack::silence
