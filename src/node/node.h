/// Decision logic of one spurrackd process: membership, configuration, routing and execution behind
/// the function `node::handle`, which processes events. Uses no I/O, no clock and no threads.
///
/// A peer is another node of the fleet. The catalog is a node's copy of the records that the
/// platform services publish. A node watches a platform service if it reads the service
/// continuously; most nodes receive the published records from peers instead. A resync is a request
/// to a peer for the changes that this node missed. A leave notice announces to other nodes that a
/// back end drains. The serving path serves requests on published routes.
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

/// Settings that a node receives at its start.
struct node_settings {
  membership::identity self;
  std::vector<base::network_address> seeds;
  membership::timing membership_timing;
  execution::guard_settings guard;
  admission::scheduling_settings scheduling;
  routing::routing_limits routing;
  /// Maximum interval between two events of a process that runs without interruption. After a
  /// longer interval, the process counts as having been suspended.
  base::duration suspension_threshold = std::chrono::milliseconds(1000);
  catalog::watch_timing service_timing;
  /// Time after the start of a node from which the answers of the platform services alone can make
  /// the node ready. Before this time, the node becomes ready only if a peer has the same catalog.
  /// Also the time after which dispatch resumes after a suspension if no peer with the same catalog
  /// answers.
  base::duration resync_timeout = std::chrono::milliseconds(1000);
  /// Time since the last new request after which a stopping node may exit. Requests may still
  /// arrive during a graceful stop: load balancers learn of the stop late, and requests may have
  /// waited in sockets while the process was suspended.
  base::duration stop_linger_time = std::chrono::milliseconds(300);
  /// Time after the start of a graceful stop from which `stop_linger_time` no longer applies, so
  /// that callers that keep sending requests cannot delay the exit further.
  base::duration max_stop_linger_time = std::chrono::seconds(10);
  /// Maximum number of events that the event log keeps.
  std::size_t event_log_capacity = 4096;
  /// Difference between the two clocks, wall clock minus boot clock, in microseconds.
  std::int64_t wall_offset_microseconds = 0;
  base::safety_switches switches;
  /// Settings of the serving path; std::nullopt if the node serves no published routes.
  std::optional<serving::serving_settings> serving;
};

/// Class of messages that a node sends to peers: the kind of the messages, and the locality of
/// their receivers relative to the node.
struct traffic_class {
  wire::envelope::BodyCase kind = wire::envelope::BODY_NOT_SET;
  model::locality locality = model::locality::elsewhere;
  auto operator<=>(const traffic_class&) const = default;
};

/// Counts of the messages that a node exchanged with its peers.
struct control_counters {
  /// @return number of bytes sent in messages of one kind, to receivers of every locality.
  [[nodiscard]] std::uint64_t bytes_sent_of(wire::envelope::BodyCase kind) const;

  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::map<traffic_class, std::uint64_t> bytes_sent_by_class;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
};

/// Counts of the answers of the platform services whose era is unusual. The era is a number that
/// increases each time the store of the platform is restored from an older backup.
struct store_counters {
  /// Number of answers that showed that the store was restored from an older backup. Each restore
  /// is counted once for each platform service that this node reads.
  std::uint64_t era_changes = 0;
  /// Number of answers that were ignored because their era is before the latest known era.
  std::uint64_t outdated_answers = 0;
  /// Number of answers whose era cannot be read or is implausibly far beyond the latest known era.
  std::uint64_t unreadable_eras = 0;
};

/// Node of the fleet, driven by the events of node/events.h. Not thread-safe.
class node {
 public:
  /// @param random must outlive the node.
  node(node_settings settings, base::random_source& random, base::time_point now);
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  /// Processes an event.
  /// @param now time of the event; must not be earlier than the time of the previous event.
  /// @return commands that the caller must carry out, in this order.
  command_list handle(const event& input_event, base::time_point now);

  /// @return time at which the caller must deliver the event `time_passed` at the latest.
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
  /// @return whether this node should read a platform service now, for one of three reasons: this
  ///         node is one of the nodes that watch the service for a whole zone or region; or this
  ///         node is starting and its peers have not sent the catalog within `peer_wait_time`; or
  ///         this node watches the service in place of a node that cannot read the service.
  [[nodiscard]] bool should_read_service(source_kind source, base::time_point now) const;
  /// Sets the memory budget that limits the bytes of incomplete stream events buffered by the
  /// serving path. Has no effect if the node serves no published routes.
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

  /// Checks the era and the revision that an answer names. Counts an answer with a new, outdated,
  /// implausible or unreadable era in `store_counters`. Writes an event to the event log for each
  /// of these cases, and if the revision is earlier than before.
  void note_era(const service_answered& answer, const catalog::answer_meaning& meaning);
  /// Detects from the time since the last event that the process or its machine was suspended.
  /// After a suspension, pauses dispatch and requests from peers the changes that this node missed.
  void detect_suspension(base::time_point now);
  /// Sends a resync request to several peers, to obtain the catalog changes and the leave notices
  /// that this node missed.
  void request_resync(base::time_point now);
  /// Checks whether the sender of a message has the same catalog as this node. If so, this node is
  /// up to date, and the dispatch of this node resumes if the message answers a resync request.
  void check_resync(const wire::envelope& message, base::time_point now);
  /// Makes the node ready on two conditions: the catalog has the content that the node needs, and
  /// either a peer has an equal catalog or, after `resync_timeout`, both platform services have
  /// answered.
  void update_readiness(base::time_point now);
  void run_periodic(base::time_point now);
  /// @return whether this node is one of the nodes whose job is to watch a platform service for a
  ///         whole zone or region.
  [[nodiscard]] bool has_watch_job(source_kind source, base::time_point now) const;
  /// Starts each read and each probe of the platform services that is due.
  void read_services(base::time_point now);
  /// Hands over the watch of a platform service to a peer, because this node failed to read the
  /// service.
  void hand_over_watch(source_kind source, base::time_point now);
  void on_watch_handover(const wire::watch_handover& handover, base::time_point now);
  void apply_machine_changes(base::time_point now);
  void apply_serving_changes(base::time_point now);
  void update_serving_peers(base::time_point now);
  /// @return time for which this node waits after its start for peers to send the catalog. If the
  ///         node is not ready after this time, the node reads the platform services itself.
  [[nodiscard]] base::duration peer_wait_time() const;
  /// @return whether this node is strong, which means that it has at least the fraction
  ///         `min_strong_node_fraction` of the cores of the strongest known node.
  [[nodiscard]] bool is_strong() const;
  /// @return whether a zone may be in the region of this node: false if the settings name different
  ///         regions for the zone and this node; true for every zone if the settings name no
  ///         regions.
  [[nodiscard]] bool is_near(const base::zone_id& zone) const;
  /// @return locality of a peer relative to this node; `elsewhere` if the zone of the peer is not
  ///         known.
  [[nodiscard]] model::locality peer_locality(const base::network_address& peer) const;
  /// Updates the number of nodes that share the concurrency limits of back ends, and the position
  /// of this node among them. The live nodes of this node's zone share the limits.
  void update_sharing();
  void dispatch_message(const wire::envelope& message, base::time_point now);
  void on_backend_notice(const wire::backend_notice& notice, bool is_from_own_zone,
                         base::time_point now);
  /// Sends a leave notice for a back end to all nodes of this node's zone.
  void broadcast_notice(const wire::backend_notice& notice);
  /// Sends leave notices to the nodes of this node's zone. Omits each notice that was already sent
  /// to these nodes or received from one of them.
  void announce_new_leave_notices();
  void on_forwarded_request(const wire::envelope& message, base::time_point now);
  void execute_guard_decisions(base::time_point now);
  void execute(execution::run_decision& decision, base::time_point now);
  void execute(execution::attach_decision& decision, base::time_point now);
  void execute(execution::answer_decision& decision, base::time_point now);
  /// Refuses a request on arrival.
  /// @param may_be_resent whether the request carries a ticket or an idempotency key. The caller
  ///        may have sent such a request before, and the request may have run then, so the outcome
  ///        in the answer is `unknown` instead of `not_run`.
  void refuse(const execution::caller_ref& caller, const base::request_id& id,
              execution::reason why, base::duration retry_after, bool may_be_resent);
  /// Advances the guard, the executor and the serving path, and collects their commands and
  /// messages. Messages from this node to itself are processed at once and can cause further
  /// messages, for at most `max_loopback_rounds` rounds.
  void flush(base::time_point now);
  /// Emits `stop_completed` once during a graceful stop: when no request is active and no new
  /// request has arrived for `stop_linger_time`, or when the maximum duration of the stop has
  /// passed.
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
  /// Adds the known leave notices to a message if the message is a digest or an answer to a resync
  /// request.
  void add_leave_notices(wire::envelope& message) const;
  /// Adds the fields that describe the sender to each queued message. Then sends the message, or
  /// processes the message at once if this node is also the receiver.
  void flush_messages(base::time_point now);
  void answer_peer(const execution::remote_caller& peer, const execution::answer& content,
                   bool is_owner);
  void record(base::event_kind kind, const base::request_id& request, const std::string& subject,
              const std::string& detail);
  base::request_id next_request_id();
  [[nodiscard]] std::vector<base::network_address> zone_peer_addresses() const;
  /// @return addresses of the peers with which this node exchanges published records: the live
  ///         peers of its zone and, if the node serves published routes, a few random members of
  ///         other zones.
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
  /// State of the substitutions for one platform service. In a substitution, a node watches the
  /// service in place of another node that cannot read the service.
  struct watch_substitution {
    /// End of the time for which this node watches the service in place of another node.
    base::time_point ends_at;
    /// Number of times that this node and the nodes after it may still hand over a watch that this
    /// node took from another node. This node hands over the watch to a next node if this node
    /// cannot read the service either.
    std::uint32_t handovers_left = 0;
    /// Earliest time at which this node may hand over its own watch again.
    base::time_point next_handover_at;
  };
  std::array<watch_substitution, source_count> substitutions_;
  membership::membership membership_;
  routing::backend_table backends_;
  admission::stage_scheduler scheduler_;
  execution::executor executor_;
  execution::effect_guard guard_;
  /// By back end: generation of the latest leave notice that was sent to the nodes of this node's
  /// zone or received from one of them.
  std::map<base::backend_id, std::uint64_t> announced_leave_generations_;
  std::optional<serving::dispatcher> serving_;
  /// Value of `catalog_.machine_changes()` when the machines of the catalog were last passed to
  /// `membership_`, `backends_` and `guard_`.
  std::uint64_t seen_machine_changes_ = 0;
  /// Value of `catalog_.serving_changes()` when the catalog was last passed to the serving path.
  std::uint64_t seen_serving_changes_ = 0;
  /// Value of `membership_.version()` when the members were last passed to the serving path.
  std::uint64_t seen_membership_version_ = 0;
  base::random_source* random_;
  /// Whether a message since the start has shown that a peer has the same, non-empty catalog as
  /// this node.
  bool is_synced_with_peer_ = false;
  bool is_ready_ = false;
  bool is_stopping_ = false;
  /// Whether the command `stop_completed` has been emitted.
  bool is_stop_reported_ = false;
  base::time_point stop_started_at_;
  /// Time since which no request has arrived. This is the latest of three times: the last arrival
  /// of a request; the end of the last gap between events, because requests may have waited in
  /// sockets during the gap; and the start of the graceful stop. A stopping node without work exits
  /// `stop_linger_time` after `quiet_since_`, and at the latest `max_stop_linger_time` after the
  /// start of the stop.
  base::time_point quiet_since_;
  /// Random number from 0 to 1, chosen at the start of the node. The number determines the random
  /// part of `peer_wait_time`.
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
