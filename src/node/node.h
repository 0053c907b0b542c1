/// Decision logic of one spurrackd: membership, configuration, routing and execution behind one
/// function that processes events. Uses no I/O, no clock and no threads.
#pragma once

#include "admission/stage_scheduler.h"
#include "base/event_log.h"
#include "base/hybrid_clock.h"
#include "base/random.h"
#include "base/safety_switches.h"
#include "catalog/catalog.h"
#include "catalog/replicator.h"
#include "catalog/service_watch.h"
#include "dispatch/dispatcher.h"
#include "execution/effect_guard.h"
#include "execution/executor.h"
#include "membership/membership.h"
#include "node/events.h"
#include "routing/backend_table.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace spurrack::node {

/// Settings of a node, given at its start.
struct node_settings {
  membership::identity self;
  std::vector<base::network_address> seeds;
  membership::timing membership_timing;
  execution::guard_settings guard;
  admission::scheduling_settings scheduling;
  routing::routing_limits routing;
  /// Maximum interval between two events of a running process; after a longer interval the process
  /// counts as having been suspended.
  base::duration suspension_threshold = std::chrono::milliseconds(1000);
  catalog::watch_timing service_timing;
  /// Time for which a starting node waits for a peer whose catalog equals its own before it becomes
  /// ready with only the answers of the platform services. Also the time for which dispatch is
  /// paused after a suspension if no peer with an equal catalog answers.
  base::duration resync_timeout = std::chrono::milliseconds(1000);
  /// Time without new requests after which a stopping node may exit: load balancers learn of the
  /// graceful stop late, and requests may have waited in sockets during a suspension of the
  /// process.
  base::duration stop_linger_time = std::chrono::milliseconds(300);
  /// Time after the start of a graceful stop from which `stop_linger_time` no longer applies, so
  /// that callers that keep sending requests cannot delay the exit further.
  base::duration max_stop_linger_time = std::chrono::seconds(10);
  /// Maximum number of events that the event log keeps.
  std::size_t event_log_capacity = 4096;
  /// Wall clock minus boot clock, in microseconds.
  std::int64_t wall_offset_microseconds = 0;
  base::safety_switches switches;
  /// Set if the node serves published routes.
  std::optional<serving::serving_settings> serving;
};

/// Class of messages to peers, by their kind and the locality of their receivers.
struct traffic_class {
  wire::envelope::BodyCase kind = wire::envelope::BODY_NOT_SET;
  model::locality locality = model::locality::elsewhere;
  auto operator<=>(const traffic_class&) const = default;
};

/// Counts of the messages that a node exchanged with its peers.
struct control_counters {
  /// @return number of bytes sent in messages of one kind.
  [[nodiscard]] std::uint64_t bytes_sent_of(wire::envelope::BodyCase kind) const;

  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::map<traffic_class, std::uint64_t> bytes_sent_by_class;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
};

/// Counts of the answers of the platform services with an unusual era.
struct store_counters {
  /// Number of answers that showed that the store was restored from an older backup. Each platform
  /// service that this node reads shows a restore once.
  std::uint64_t era_changes = 0;
  /// Number of ignored answers of an era before the latest known era.
  std::uint64_t outdated_answers = 0;
  /// Number of answers that named an unreadable or implausible era.
  std::uint64_t unreadable_eras = 0;
};

/// Node of the fleet, driven by events. Not thread-safe.
class node {
 public:
  /// @param random must outlive the node.
  node(node_settings settings, base::random_source& random, base::time_point now);
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  /// Processes an event.
  /// @param now time of the event; must not be earlier than the time of the previous event.
  /// @return the commands to carry out, in order.
  command_list handle(const event& input_event, base::time_point now);

  /// @return the latest time at which `time_passed` must be delivered.
  [[nodiscard]] base::time_point next_wakeup() const;

  [[nodiscard]] bool is_ready() const { return is_ready_ && !is_stopping_; }
  [[nodiscard]] bool is_stopping() const { return is_stopping_; }
  [[nodiscard]] const node_settings& settings() const { return settings_; }
  [[nodiscard]] const membership::membership& members() const { return membership_; }
  [[nodiscard]] const catalog::catalog& content() const { return catalog_; }
  [[nodiscard]] const routing::backend_table& backends() const { return backends_; }
  [[nodiscard]] const execution::executor& executor() const { return executor_; }
  [[nodiscard]] const execution::effect_guard& guard() const { return guard_; }
  [[nodiscard]] const admission::stage_scheduler& scheduler() const { return scheduler_; }
  [[nodiscard]] const base::event_log& events() const { return events_; }
  [[nodiscard]] const control_counters& control() const { return control_; }
  [[nodiscard]] const store_counters& store() const { return store_; }
  /// @return whether this node should read a platform service now: because it is one of the nodes
  ///         that watch the service for the nodes of their zone or region, because it is starting,
  ///         or in place of a node that cannot read the service.
  [[nodiscard]] bool should_read_service(source_kind source, base::time_point now) const;
  /// Sets the memory budget for the buffered bytes of incomplete stream events of the serving path.
  /// Has no effect if the node serves no published routes.
  void set_budget(std::shared_ptr<flow::byte_budget> budget) {
    if (serving_) {
      serving_->set_budget(std::move(budget));
    }
  }
  /// @return the dispatcher of the serving path; null if the node serves no published routes.
  [[nodiscard]] const serving::dispatcher* serving() const {
    return serving_ ? &*serving_ : nullptr;
  }
  [[nodiscard]] const catalog::service_watch& watch(source_kind source) const {
    return watches_[static_cast<std::size_t>(source)];
  }

 private:
  void on(const time_passed& input_event, base::time_point now);
  void on(const peer_message& input_event, base::time_point now);
  void on(const caller_arrived& arrival, base::time_point now);
  void on(const caller_disconnected& input_event, base::time_point now);
  void on(const ticket_requested& request, base::time_point now);
  void on(const execution::call_result& input_event, base::time_point now);
  void on(const execution::call_token& input_event, base::time_point now);
  void on(const service_answered& answer, base::time_point now);
  void on(const service_failed& failure, base::time_point now);
  void on(const stop_requested& input_event, base::time_point now);
  void on(const seeds_changed& input_event, base::time_point now);
  void on(const release_requested& input_event, base::time_point now);
  void on(const serving::event& input_event, base::time_point now);

  /// Counts and records an answer that shows a new, outdated or unreadable era.
  void note_era(const service_answered& answer, const catalog::answer_meaning& meaning);
  /// Detects by the time since the last event that the process or its machine was suspended. After
  /// a suspension pauses dispatch and requests the missed changes from peers.
  void detect_suspension(base::time_point now);
  /// Sends a resync request to several peers: requests the catalog changes and the leave notices
  /// that this node missed.
  void request_resync(base::time_point now);
  /// Checks whether the catalog of a message's sender equals this node's catalog. If the message
  /// also answers a resync request, ends the pause of dispatch.
  void check_resync(const wire::envelope& message, base::time_point now);
  /// Makes the node ready if its catalog has the content that it needs, and either a peer has an
  /// equal catalog or the platform services have answered and `resync_timeout` has passed.
  void update_readiness(base::time_point now);
  void run_periodic(base::time_point now);
  /// @return whether this node is one of the nodes that watch a platform service for the nodes of
  ///         their zone or region.
  [[nodiscard]] bool has_watch_job(source_kind source, base::time_point now) const;
  /// Starts the reads and probes of the platform services that are due.
  void read_services(base::time_point now);
  /// Hands over to a peer the watch of a platform service that this node failed to read.
  void hand_over_watch(source_kind source, base::time_point now);
  void on_watch_handover(const wire::watch_handover& handover, base::time_point now);
  void apply_machine_changes(base::time_point now);
  void apply_serving_changes(base::time_point now);
  void update_serving_peers(base::time_point now);
  /// @return how long this node waits after its start for peers to send it the catalog. A node that
  ///         is not ready after this time reads the platform services itself.
  [[nodiscard]] base::duration peer_wait_time() const;
  /// @return whether this node has at least the fraction `min_strong_node_fraction` of the cores of
  ///         the strongest known node.
  [[nodiscard]] bool is_strong() const;
  /// @return false if a zone is known to be in another region than this node; true for every zone
  ///         if the settings name no regions.
  [[nodiscard]] bool is_near(const base::zone_id& zone) const;
  /// @return locality of a peer; `elsewhere` if the zone of the peer is not known.
  [[nodiscard]] model::locality peer_locality(const base::network_address& peer) const;
  /// Updates the number of nodes that share the concurrency limits of back ends, which are the live
  /// nodes of this node's zone, and this node's position among them.
  void update_sharing();
  void dispatch_message(const wire::envelope& message, base::time_point now);
  void on_backend_notice(const wire::backend_notice& notice, bool is_from_own_zone,
                         base::time_point now);
  /// Sends a leave notice, which announces that a back end drains, to all nodes of this node's
  /// zone.
  void broadcast_notice(const wire::backend_notice& notice);
  /// Sends to the nodes of this node's zone the leave notices that were neither sent to them nor
  /// received from them before.
  void announce_new_leave_notices();
  void on_forwarded_request(const wire::envelope& message, base::time_point now);
  void execute_guard_decisions(base::time_point now);
  void execute(execution::run_decision& decision, base::time_point now);
  void execute(execution::attach_decision& decision, base::time_point now);
  void execute(execution::answer_decision& decision, base::time_point now);
  /// Refuses a request on arrival.
  /// @param may_be_resent whether the request carries a ticket or a key: it may have run when it
  ///        was sent before, so the outcome is `unknown` instead of `not_run`.
  void refuse(const execution::caller_ref& caller, const base::request_id& id,
              execution::reason why, base::duration retry_after, bool may_be_resent);
  /// Advances all parts and collects their commands and messages. Processes messages to this node
  /// itself at once, in a limited number of rounds.
  void flush(base::time_point now);
  /// Reports the end of a graceful stop once no request is active and no new request has arrived
  /// for `stop_linger_time`, or once the maximum duration of the stop has passed.
  void check_stop(base::time_point now);
  /// Aborts the requests on published routes once the maximum duration of a graceful stop has
  /// passed.
  void abort_overdue_requests(base::time_point now);
  /// @return whether the maximum duration of a graceful stop has passed for requests on published
  ///         routes.
  [[nodiscard]] bool must_abort_requests(base::time_point now) const;
  void emit(execution::send_answer&& answer);
  template <typename other_command>
  void emit(other_command&& other) {
    commands_.emplace_back(std::forward<other_command>(other));
  }
  /// Adds the known leave notices to digests and to answers to resync requests.
  void add_leave_notices(wire::envelope& message) const;
  /// Adds the sender fields to the queued messages and sends them; processes messages to this node
  /// itself at once.
  void flush_messages(base::time_point now);
  void answer_peer(const execution::remote_caller& peer, const execution::answer& content,
                   bool is_owner);
  void record(base::event_kind kind, const base::request_id& request, const std::string& subject,
              const std::string& detail);
  base::request_id next_request_id();
  [[nodiscard]] std::vector<base::network_address> zone_peer_addresses() const;
  /// @return peers with which this node exchanges published records: the live peers of its zone,
  ///         and a few random members of other zones if the node serves published routes.
  [[nodiscard]] std::vector<base::network_address> replication_peers();
  [[nodiscard]] std::optional<base::network_address> address_of(const base::node_id& node) const;

  node_settings settings_;
  base::time_point started_at_;
  base::time_point last_event_at_;
  base::hybrid_clock clock_;
  base::event_log events_;
  catalog::catalog catalog_;
  catalog::replicator replicator_;
  std::array<catalog::service_watch, source_count> watches_;
  /// Substitutions of one platform service: the watch that this node does in place of a node that
  /// cannot read the service, and the handover of this node's own watch.
  struct watch_substitution {
    /// End of the time for which this node watches in place of another node.
    base::time_point ends_at;
    /// Number of times that the watch of the other node may still be handed over: to a next node if
    /// this node cannot read the service either, and from there to further nodes.
    std::uint32_t handovers_left = 0;
    /// Time from which this node may hand over its own watch again.
    base::time_point next_handover_at;
  };
  std::array<watch_substitution, source_count> substitutions_;
  membership::membership membership_;
  routing::backend_table backends_;
  admission::stage_scheduler scheduler_;
  execution::executor executor_;
  execution::effect_guard guard_;
  /// Generation of the latest leave notice that was sent to the nodes of this node's zone or
  /// received from them, by back end.
  std::map<base::backend_id, std::uint64_t> announced_leave_generations_;
  std::optional<serving::dispatcher> serving_;
  /// Value of `catalog_.machine_changes()` when the machines were last passed to the other parts.
  std::uint64_t seen_machine_changes_ = 0;
  /// Value of `catalog_.serving_changes()` when the catalog was last passed to the serving path.
  std::uint64_t seen_serving_changes_ = 0;
  /// Value of `membership_.version()` when the members were last passed to the serving path.
  std::uint64_t seen_membership_version_ = 0;
  base::random_source* random_;
  /// Whether a peer with an equal, non-empty catalog has been seen since the start.
  bool is_synced_with_peer_ = false;
  bool is_ready_ = false;
  bool is_stopping_ = false;
  /// Whether `stop_completed` has been returned.
  bool is_stop_reported_ = false;
  base::time_point stop_started_at_;
  /// Time point since which no request has arrived: the latest of the arrival of a request, the end
  /// of a gap between events, in which requests may have waited in sockets, and the start of the
  /// graceful stop. A stopping node without work exits when `stop_linger_time` has passed since
  /// this time point, or `max_stop_linger_time` since the start of the stop.
  base::time_point quiet_since_;
  /// Random fraction, 0 to 1, of the maximum time to wait for peers; chosen at the start of the
  /// node.
  double peer_wait_fraction_ = 0;
  /// Time at which the pause of dispatch after a suspension ends; std::nullopt if dispatch is not
  /// paused.
  std::optional<base::time_point> dispatch_pause_ends_at_;
  base::time_point next_periodic_at_;
  std::uint64_t next_request_number_ = 1;
  control_counters control_;
  store_counters store_;
  wire::outbox outbox_;
  command_list commands_;
};

} // namespace spurrack::node
