/// Decision logic of one spurrackd process: membership, configuration, routing and execution behind
/// the function `node::handle`, which processes events. Uses no I/O, no clock and no threads.
///
/// A peer is another node of the fleet. The catalog is a node's copy of the records that the
/// platform services publish. A few nodes watch a platform service, which means that they read the
/// service continuously; the other nodes receive its records from peers. A leave notice announces
/// to other nodes that a back end drains. A resync request asks a peer for the catalog changes and
/// leave notices that this node missed. The executor runs requests of callers for pipelines; the
/// serving path serves requests of clients on published routes.
#pragma once

#include "admission/stage_scheduler.h"
#include "base/event_log.h"
#include "base/hybrid_clock.h"
#include "base/random.h"
#include "base/safety_switches.h"
#include "catalog/catalog.h"
#include "catalog/read_turns.h"
#include "catalog/replicator.h"
#include "catalog/service_watch.h"
#include "dispatch/dispatcher.h"
#include "execution/effect_guard.h"
#include "execution/executor.h"
#include "membership/membership.h"
#include "node/events.h"
#include "node/position_queries.h"
#include "node/shared_reads.h"
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
  /// Addresses of nodes that this node contacts to join the fleet.
  std::vector<base::network_address> seeds;
  membership::timing membership_timing;
  execution::guard_settings guard;
  admission::scheduling_settings scheduling;
  routing::routing_limits routing;
  /// Interval between two events of the node above which the process counts as having been
  /// suspended.
  base::duration suspension_threshold = std::chrono::milliseconds(1000);
  catalog::watch_timing service_timing;
  /// Ages at which the knowledge of the platform services must be confirmed again. Used only by
  /// nodes that serve published routes.
  catalog::knowledge_limits knowledge_limits;
  /// Time for which a node waits, after its start and after a suspension, for a message which shows
  /// that a peer has the same catalog as this node. After this time, a starting node becomes ready
  /// as soon as both platform services have answered, and a node that was suspended dispatches
  /// stage calls again.
  base::duration resync_timeout = std::chrono::milliseconds(1000);
  /// Minimum time from the last new request to the exit of a stopping node. Requests still arrive
  /// during a graceful stop: load balancers learn of the stop late, and requests may have waited in
  /// sockets while the process was suspended.
  base::duration stop_linger_time = std::chrono::milliseconds(300);
  /// Time after the start of a graceful stop from which `stop_linger_time` no longer applies, so
  /// that new requests cannot delay the exit further.
  base::duration max_stop_linger_time = std::chrono::seconds(10);
  /// Maximum number of events that the event log keeps.
  std::size_t event_log_capacity = 4096;
  /// Wall clock minus boot clock, in microseconds.
  std::int64_t wall_offset_microseconds = 0;
  base::safety_switches switches;
  /// Settings of the serving path; std::nullopt if the node serves no published routes.
  std::optional<serving::serving_settings> serving;
};

/// Class of messages to peers: kind of the message, and locality of the receiver relative to the
/// sender.
struct traffic_class {
  wire::envelope::BodyCase kind = wire::envelope::BODY_NOT_SET;
  model::locality locality = model::locality::elsewhere;
  auto operator<=>(const traffic_class&) const = default;
};

/// Counts of the messages that a node exchanged with its peers.
struct control_counters {
  /// @return number of bytes sent in messages of one kind, to receivers of all localities.
  [[nodiscard]] std::uint64_t bytes_sent_of(wire::envelope::BodyCase kind) const;

  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::map<traffic_class, std::uint64_t> bytes_sent_by_class;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
};

/// Counts of the answers of the platform services with an unexpected era (`service_answered::era`).
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
  /// @return commands that the caller must carry out, in the order of the list.
  command_list handle(const event& input_event, base::time_point now);

  /// Processes events that waited in the sockets while this process stood. All of them are
  /// processed before the node looks at the clocks of requests on published routes, of their calls
  /// and, if the last event is `time_passed`, of its peers.
  /// @return commands that the caller must carry out, in the order of the list.
  command_list handle_unread(const std::vector<event>& events, base::time_point now);

  /// Notes that this process did not read its sockets for a time: silence of replicas in this time
  /// counts for nobody. Call before the events that waited meanwhile are processed.
  /// @param now end of the stand.
  void note_stand(base::duration stand, base::time_point now);

  /// Makes this node verify its list of replicas as of `since` or later, as it does for requests on
  /// published routes that need that. Has no effect if the node serves no published routes.
  void require_verified_list(base::time_point since);

  /// @return time at which the caller must deliver the event `time_passed` at the latest.
  [[nodiscard]] base::time_point next_wakeup() const;

  [[nodiscard]] bool is_ready() const { return is_ready_ && !is_stopping_; }
  /// @return whether load balancers are to direct clients here: the node is ready and can reach
  ///         replicas, or no other node can either.
  [[nodiscard]] bool accepts_clients() const {
    return is_ready() && !(serving_ && serving_->is_partitioned());
  }
  [[nodiscard]] bool is_stopping() const { return is_stopping_; }
  [[nodiscard]] const node_settings& settings() const { return settings_; }
  [[nodiscard]] const membership::membership& members() const { return membership_; }
  [[nodiscard]] const catalog::catalog& published_catalog() const { return catalog_; }
  [[nodiscard]] const routing::backend_table& backends() const { return backends_; }
  [[nodiscard]] const execution::executor& executor() const { return executor_; }
  [[nodiscard]] const execution::effect_guard& guard() const { return guard_; }
  [[nodiscard]] const admission::stage_scheduler& scheduler() const { return scheduler_; }
  [[nodiscard]] const base::event_log& events() const { return events_; }
  [[nodiscard]] const control_counters& message_counters() const { return control_; }
  [[nodiscard]] const store_counters& store_answer_counters() const { return store_; }
  /// @return whether this node should read a platform service now, for one of three reasons: the
  ///         node is starting and has waited for peers for `peer_wait_time`; the node is ready and
  ///         has the job to watch the service; or the node is ready and substitutes for a node that
  ///         cannot read the service.
  [[nodiscard]] bool should_read_service(source_kind source, base::time_point now) const;
  /// Sets the memory budget for incomplete stream events that the serving path buffers. Has no
  /// effect if the node serves no published routes.
  void set_byte_budget(std::shared_ptr<flow::byte_budget> budget) {
    if (serving_) {
      serving_->set_byte_budget(std::move(budget));
    }
  }
  /// @return the serving path; null if the node serves no published routes.
  [[nodiscard]] const serving::dispatcher* serving() const {
    return serving_ ? &*serving_ : nullptr;
  }
  [[nodiscard]] const catalog::service_watch& watch(source_kind source) const {
    return watches_[static_cast<std::size_t>(source)];
  }
  /// @return what this node knows of a platform service. Maintained only by nodes that serve
  ///         published routes.
  [[nodiscard]] const catalog::source_knowledge& knowledge(source_kind source) const {
    return knowledge_[static_cast<std::size_t>(source)];
  }
  /// @return whether the service may have written entries that must be in effect by now and that
  ///         this node does not know.
  [[nodiscard]] bool is_knowledge_overdue(source_kind source, base::time_point now) const;
  /// @return the turns in which this node reads a service because nobody confirms what it knows.
  [[nodiscard]] const catalog::read_turns& turns(source_kind source) const {
    return turns_[static_cast<std::size_t>(source)];
  }
  /// @return time until this node reads a service in its turn if nobody confirms its knowledge
  ///         before; std::nullopt if nothing was ever confirmed or if this node is not ready.
  [[nodiscard]] std::optional<base::duration> time_until_own_turn(source_kind source,
                                                                  base::time_point now) const;

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

  /// Counts and logs a new, outdated, implausible or unreadable era of an answer. Logs a revision
  /// that is earlier than in the previous answer.
  void note_era(const service_answered& answer, const catalog::answer_meaning& meaning);
  /// Detects from the time since the last event whether the process or its machine was suspended.
  /// If so, pauses the dispatch of stage calls and sends resync requests.
  void detect_suspension(base::time_point now);
  /// Tells the failure detectors of peers and replicas about a stand of this process.
  void forward_stand(base::duration stand, base::time_point now);
  /// Records that messages which are handled now may have waited since `since`, because this
  /// process read none.
  void note_unread_messages(base::time_point since, base::time_point now);
  /// @return earliest time at which a message that is handled now can have arrived.
  [[nodiscard]] base::time_point earliest_arrival(base::time_point now) const {
    return now <= unread_until_ ? unread_since_ : now;
  }
  void request_resync(base::time_point now);
  /// If the sender of the message has the same, non-empty catalog as this node, marks this node as
  /// up to date and updates the readiness of this node. If such a message also answers a resync
  /// request, ends the pause of dispatch.
  void check_resync(const wire::envelope& message, base::time_point now);
  /// Makes the node ready once the catalog has the content that the node needs and either a peer
  /// has the same catalog or, after `resync_timeout`, both platform services have answered.
  void update_readiness(base::time_point now);
  void run_periodic(base::time_point now);
  /// @return whether this node is one of the nodes that watch a platform service for a whole zone
  ///         or region.
  [[nodiscard]] bool has_watch_job(source_kind source, base::time_point now) const;
  /// @return position of this node among the nodes that have the job to watch a platform service;
  ///         std::nullopt if this node does not have the job.
  [[nodiscard]] std::optional<std::size_t> reader_rank(source_kind source,
                                                       base::time_point now) const;
  /// @return the other nodes that have this job, the first reader first.
  [[nodiscard]] std::vector<base::network_address> other_readers(source_kind source,
                                                                 base::time_point now) const;
  /// @return hold time of the next read.
  /// @param is_immediate whether the read must be answered at once, because it is this node's turn
  ///        to read or because the read verifies the list of replicas. A read is also answered at
  ///        once if the knowledge of this node is too old.
  [[nodiscard]] base::duration hold_time_of(source_kind source, bool is_immediate,
                                            base::time_point now) const;

  // --- knowledge of the platform services (node_knowledge.cc)
  /// @return whether this node receives no messages from peers.
  [[nodiscard]] bool is_isolated(base::time_point now) const;
  /// @return whether this node must read a platform service because its knowledge is too old and
  ///         its turn has come.
  [[nodiscard]] bool is_turn_to_read(source_kind source, base::time_point now) const;
  /// @return position of this node in the order in which nodes read a service.
  [[nodiscard]] catalog::turn_order turn_order_of(source_kind source, base::time_point now) const;
  /// Records and logs that this node reads a service in its turn.
  void begin_turn(source_kind source, base::time_point now);
  /// Ends the attempt of this node to read a service in its turn if any node has confirmed the
  /// knowledge of the service since.
  void end_outdated_attempt(source_kind source);
  /// @return what this node knows of a service, by whom and when it was confirmed, and when this
  ///         node reads the service itself, for operators.
  [[nodiscard]] std::string describe_knowledge(source_kind source, base::time_point now) const;
  /// Updates the knowledge of a service after an answer, and reports a new confirmation to peers.
  void note_read(const service_answered& answer, const catalog::answer_meaning& meaning,
                 base::time_point now);
  /// @return a random relay of each zone of the region. These receive new entries directly, so that
  ///         they have the entries when they forward the read report that tells of the entries.
  [[nodiscard]] std::vector<base::network_address> one_relay_per_zone();
  /// Sends a read report to the relays of the region and to nodes of the zone.
  void send_read_report();
  /// Sends a read report to the nodes of the zone, unless they were already sent the same
  /// knowledge.
  void forward_read_report();
  /// Applies the knowledge that a peer sent, and requests the entries that this node lacks.
  /// @param has_entries false if the message contains entries that cannot be read.
  void note_peer_knowledge(const wire::envelope& message, bool has_entries, base::time_point now);
  void note_peer_knowledge(const wire::service_knowledge& told, const std::string& sender,
                           bool is_content_equal, base::time_point now);
  /// Records the sender of a message as the peer from which this node requests missing entries, if
  /// the sender has entries that this node lacks.
  void note_missing_entries(const wire::service_knowledge& told,
                            const base::network_address& sender, base::time_point now);
  /// Requests the entries that have been missing for some time.
  void request_missing_entries(base::time_point now);
  /// Requests the entries of a service that this node lacks from a peer.
  void request_entries(source_kind source, const base::network_address& peer, base::time_point now);
  /// Adds the knowledge of this node to a message that spreads knowledge.
  void add_knowledge(wire::envelope& message, base::time_point now) const;
  /// Logs if the knowledge of a service has become overdue or is confirmed again.
  void log_knowledge_changes(base::time_point now);

  // --- verification of the list of replicas (node_verification.cc)
  /// @return time at or after which the list of replicas must be verified; std::nullopt if it was,
  ///         or if nothing needs that.
  [[nodiscard]] std::optional<base::time_point> list_verification_wanted() const;
  [[nodiscard]] position_queries::reader_list readers_of_list(base::time_point now) const;
  /// Sends the position query or starts the read that is due to verify the list of replicas.
  void advance_list_verification(base::time_point now);
  void on_position_query(const wire::envelope& message, base::time_point now);
  void on_position_answer(const wire::envelope& message, base::time_point now);
  /// Answers the position queries that an answer of the service answers.
  void answer_position_queries(const service_answered& answer,
                               const catalog::answer_meaning& meaning, base::time_point now);
  /// @return whether peers should be told of a confirmation by a read that verifies the list, which
  ///         may be one of many in a short time.
  [[nodiscard]] bool should_report(source_kind source, catalog::store_position through,
                                   base::time_point confirmed_at) const;

  /// Starts the due reads and probes of the platform services.
  void read_services(base::time_point now);
  /// Ends the substitution for other nodes if another node has confirmed the knowledge of a service
  /// later than this node.
  void end_superfluous_substitution(source_kind source);
  /// Hands over the watch of a platform service after this node failed to read the service: asks a
  /// random peer to watch the service in place of this node. `max_handovers` and
  /// `handover_interval` limit how often a watch is handed over.
  void hand_over_watch(source_kind source, base::time_point now);
  void on_watch_handover(const wire::watch_handover& handover, base::time_point now);
  void apply_machine_changes(base::time_point now);
  void apply_serving_changes(base::time_point now);
  /// Tells the serving path when the list of replicas was last known to be current.
  void update_replica_list_age();
  void update_serving_peers(base::time_point now);
  /// @return time after its start for which this node waits for peers to send the catalog before it
  ///         reads the platform services.
  [[nodiscard]] base::duration peer_wait_time() const;
  /// @return whether this node has at least `min_strong_node_fraction` times the cores of the
  ///         strongest known node.
  [[nodiscard]] bool is_strong() const;
  /// @return whether a zone may be in the region of this node: false only if the settings name a
  ///         region for that zone and a different region for the zone of this node.
  [[nodiscard]] bool is_near(const base::zone_id& zone) const;
  /// @return locality of a peer relative to this node; `elsewhere` if the peer's zone is unknown.
  [[nodiscard]] model::locality peer_locality(const base::network_address& peer) const;
  /// Divides the concurrency limits of back ends among the current live nodes of this node's zone.
  void update_limit_sharing();
  void dispatch_message(const wire::envelope& message, base::time_point now);
  void on_backend_notice(const wire::backend_notice& notice, bool is_from_own_zone,
                         base::time_point now);
  /// Sends a leave notice for a back end to all nodes of this node's zone.
  void broadcast_leave_notice(const wire::backend_notice& notice);
  /// Sends the known leave notices to the nodes of this node's zone, except notices that were
  /// already sent to these nodes or received from one of them.
  void announce_new_leave_notices();
  void on_forwarded_request(const wire::envelope& message, base::time_point now);
  void execute_guard_decisions(base::time_point now);
  void execute(execution::run_decision& decision, base::time_point now);
  void execute(execution::attach_decision& decision, base::time_point now);
  void execute(execution::answer_decision& decision, base::time_point now);
  /// Refuses a request on arrival.
  /// @param may_be_resent whether the request carries a ticket or an idempotency key. Such a
  ///        request may have been sent and run before, so its outcome is `unknown` instead of
  ///        `not_run`.
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
  /// Aborts all requests on published routes if `must_abort_requests` returns true.
  void abort_overdue_requests(base::time_point now);
  /// Call only during a graceful stop.
  /// @return whether the maximum duration of the stop has passed; false if the node serves no
  ///         published routes.
  [[nodiscard]] bool must_abort_requests(base::time_point now) const;
  void emit(execution::send_answer&& answer);
  template <typename other_command>
  void emit(other_command&& other) {
    commands_.emplace_back(std::forward<other_command>(other));
  }
  /// Adds the known leave notices to a message if the message is a digest or an answer to a resync
  /// request.
  void add_leave_notices(wire::envelope& message) const;
  /// Adds the fields that describe the sender to the queued messages and sends each message to its
  /// receiver. A message to this node itself is processed at once instead.
  void flush_messages(base::time_point now);
  void answer_peer(const execution::remote_caller& peer, const execution::answer& content,
                   bool is_owner);
  void record(base::event_kind kind, const base::request_id& request, const std::string& subject,
              const std::string& detail);
  base::request_id next_request_id();
  [[nodiscard]] std::vector<base::network_address> zone_peer_addresses() const;
  /// @return addresses of peers for the exchange of published records: the live peers of this
  ///         node's zone and, if the node serves published routes, a few random members of other
  ///         zones.
  [[nodiscard]] std::vector<base::network_address> replication_peers();
  [[nodiscard]] std::optional<base::network_address> address_of(const base::node_id& node) const;

  node_settings settings_;
  base::time_point started_at_;
  base::time_point last_event_at_;
  /// End of the last stand that the caller noted.
  base::time_point stand_noted_at_;
  /// Start of the last stand, and the time until which messages are handled that waited meanwhile.
  base::time_point unread_since_;
  base::time_point unread_until_;
  base::hybrid_clock clock_;
  base::event_log events_;
  catalog::catalog catalog_;
  catalog::replicator replicator_;
  std::array<catalog::service_watch, source_count> watches_;
  /// State of the substitution for one platform service: this node watches the service in place of
  /// another node that cannot read the service.
  struct watch_substitution {
    /// Time for which a node watches a service in place of another node. If the watch is taken over
    /// again within this time, the time starts again.
    static constexpr base::duration duration = std::chrono::seconds(10);
    /// End of the substitution. At or before the current time if this node now substitutes for no
    /// other node.
    base::time_point ends_at;
    /// Number of times that the watch which this node took over may still be handed over. This node
    /// hands over the watch if this node cannot read the service either.
    std::uint32_t handovers_left = 0;
    /// Earliest time at which this node may again hand over the watch that is its own job.
    base::time_point next_handover_at;
  };
  std::array<watch_substitution, source_count> substitutions_;
  catalog::source_knowledge_table knowledge_;
  std::array<catalog::read_turns, source_count> turns_;
  position_queries list_queries_;
  shared_reads list_reads_;
  /// Time of the latest call of `require_verified_list`.
  std::optional<base::time_point> list_required_at_;
  /// Knowledge of a service that this node, as a reader or relay, last sent in a read report.
  struct forwarded_knowledge {
    catalog::store_position through;
    base::time_point confirmed_at;
  };
  std::array<forwarded_knowledge, source_count> last_forwarded_;
  /// Entries of a service that a peer has and this node lacks.
  struct missing_entries {
    /// Peer that last told that it has the entries.
    base::network_address peer;
    /// Time at which the entries are requested if they are still missing.
    base::time_point request_at;
  };
  std::array<std::optional<missing_entries>, source_count> missing_entries_;
  /// Whether the knowledge of a service was overdue at the last check.
  std::array<bool, source_count> was_overdue_{};
  /// Time at which this node last received a message from a peer.
  base::time_point last_peer_message_at_;
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
  /// Whether a peer has had the same, non-empty catalog as this node since the start.
  bool is_synced_with_peer_ = false;
  bool is_ready_ = false;
  bool is_stopping_ = false;
  /// Whether `stop_completed` has been emitted.
  bool is_stop_reported_ = false;
  base::time_point stop_started_at_;
  /// Start of the time without new requests, which is compared with `stop_linger_time`. The latest
  /// of: the last arrival of a request; the end of the last gap between events
  /// (`max_regular_event_interval`), because requests may have waited in sockets during the gap;
  /// and the start of the graceful stop.
  base::time_point quiet_since_;
  /// Random number from 0 to 1 that determines the random part of `peer_wait_time`.
  double peer_wait_fraction_ = 0;
  /// End of the pause of dispatch after a suspension; std::nullopt if dispatch is not paused.
  std::optional<base::time_point> dispatch_pause_ends_at_;
  base::time_point next_periodic_at_;
  std::uint64_t next_request_number_ = 1;
  control_counters control_;
  store_counters store_;
  wire::outbox outbox_;
  command_list commands_;
};

} // namespace spurrack::node
