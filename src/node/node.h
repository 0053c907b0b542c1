/// One spurrackd as pure decision logic: membership, configuration, routing, execution, wired
/// together behind one function. No I/O, no clock, no threads.
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

/// Everything a node is told at its start.
struct node_settings {
  membership::identity self;
  std::vector<base::network_address> seeds;
  membership::timing membership_timing;
  execution::guard_settings guard;
  admission::scheduling_settings scheduling;
  routing::routing_limits routing;
  /// A gap between two events longer than this means the process was paused.
  base::duration suspension_threshold = std::chrono::milliseconds(1000);
  catalog::watch_timing service_timing;
  /// How long a node waits for peers before it is ready on the service's word, or serves alone.
  base::duration resync_timeout = std::chrono::milliseconds(1000);
  /// A stopping node ends only after no request reached it for this time: the balancer learns of
  /// the stop late, and requests may have waited in sockets through a pause of the process.
  base::duration stop_linger_time = std::chrono::milliseconds(300);
  /// Callers that do not stop sending cannot hold a stopping node longer than this.
  base::duration max_stop_linger_time = std::chrono::seconds(10);
  std::size_t event_log_capacity = 4096;
  /// Wall clock minus boot clock, in microseconds.
  std::int64_t wall_offset_microseconds = 0;
  base::safety_switches switches;
  /// Set where the node serves published routes.
  std::optional<serving::serving_settings> serving;
};

/// Bytes of one kind of message that went as far.
struct traffic_class {
  wire::envelope::BodyCase kind = wire::envelope::BODY_NOT_SET;
  model::locality locality = model::locality::elsewhere;
  auto operator<=>(const traffic_class&) const = default;
};

/// Bytes and messages a node spent on control.
struct control_counters {
  /// @return bytes sent in one kind of message.
  [[nodiscard]] std::uint64_t bytes_sent_of(wire::envelope::BodyCase kind) const;

  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::map<traffic_class, std::uint64_t> bytes_sent_by_class;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
};

/// What answers of the services said of their era.
struct store_counters {
  /// Times a service came back from an older copy, each source counted.
  std::uint64_t era_changes = 0;
  std::uint64_t outdated_answers = 0;
  std::uint64_t unreadable_eras = 0;
};

/// Not thread-safe; one owner drives it.
class node {
 public:
  /// @param random must outlive the node.
  node(node_settings settings, base::random_source& random, base::time_point now);
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  /// Takes in one event.
  /// @param now time of the event; never earlier than that of the event before.
  /// @return what is to be done, in order.
  command_list handle(const event& what, base::time_point now);

  /// @return when `time_passed` must be given at the latest.
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
  /// @return whether this node reads a service of the platform now: for others, as it starts, or in
  ///         place of a node that cannot.
  [[nodiscard]] bool should_read_service(source_kind source, base::time_point now) const;
  /// Counts what the serving path holds of events that are not whole yet; nothing where the node
  /// serves no published routes.
  void set_budget(std::shared_ptr<flow::byte_budget> budget) {
    if (serving_) {
      serving_->set_budget(std::move(budget));
    }
  }
  /// @return null where the node serves no published routes.
  [[nodiscard]] const serving::dispatcher* serving() const {
    return serving_ ? &*serving_ : nullptr;
  }
  [[nodiscard]] const catalog::service_watch& watch(source_kind source) const {
    return watches_[static_cast<std::size_t>(source)];
  }

 private:
  void on(const time_passed& what, base::time_point now);
  void on(const peer_message& what, base::time_point now);
  void on(const caller_arrived& what, base::time_point now);
  void on(const caller_disconnected& what, base::time_point now);
  void on(const ticket_requested& what, base::time_point now);
  void on(const execution::call_result& what, base::time_point now);
  void on(const execution::call_token& what, base::time_point now);
  void on(const service_answered& what, base::time_point now);
  void on(const service_failed& what, base::time_point now);
  void on(const stop_requested& what, base::time_point now);
  void on(const seeds_changed& what, base::time_point now);
  void on(const release_requested& what, base::time_point now);
  void on(const serving::event& what, base::time_point now);

  /// Reports what an answer says of the service's era.
  void note_era(const service_answered& what, const catalog::answer_meaning& meaning);
  void detect_suspension(base::time_point now);
  void request_resync(base::time_point now);
  void check_resync(const wire::envelope& message, base::time_point now);
  void update_readiness(base::time_point now);
  void run_periodic(base::time_point now);
  /// @return whether this node watches a service for others as long as it lives.
  [[nodiscard]] bool has_watch_job(source_kind source, base::time_point now) const;
  void read_services(base::time_point now);
  /// This node cannot read a service: another, which may reach it, is asked to watch it.
  void hand_over_watch(source_kind source, base::time_point now);
  void on_watch_handover(const wire::watch_handover& asked, base::time_point now);
  void apply_machine_changes(base::time_point now);
  void apply_serving_changes(base::time_point now);
  void update_serving_peers(base::time_point now);
  /// @return time after its start at which a node that is not ready reads the services itself.
  [[nodiscard]] base::duration peer_wait_time() const;
  /// @return whether no node that is known has much more of a processor.
  [[nodiscard]] bool is_strong() const;
  /// @return whether a zone is of the own region; all are where the settings name no region.
  [[nodiscard]] bool is_near(const base::zone_id& zone) const;
  /// @return how far a peer is; `elsewhere` where it is not known yet.
  [[nodiscard]] model::locality peer_locality(const base::network_address& peer) const;
  void update_sharing();
  void dispatch_message(const wire::envelope& message, base::time_point now);
  void on_backend_notice(const wire::backend_notice& notice, bool from_zone, base::time_point now);
  void broadcast_notice(const wire::backend_notice& notice);
  void announce_new_leave_notices();
  void on_forwarded_request(const wire::envelope& message, base::time_point now);
  void execute_guard_decisions(base::time_point now);
  void execute(execution::run_decision& decision, base::time_point now);
  void execute(execution::attach_decision& decision, base::time_point now);
  void execute(execution::answer_decision& decision, base::time_point now);
  /// Refuses a request at the door. One that carries a ticket or key may have been run when it was
  /// sent before, so its outcome is `unknown` there.
  void refuse(const execution::caller_ref& caller, const base::request_id& id,
              execution::reason why, base::duration retry_after, bool may_be_resent);
  void flush(base::time_point now);
  void check_stop(base::time_point now);
  void abort_overdue_requests(base::time_point now);
  /// @return whether a planned stop can wait no longer for requests on published routes.
  [[nodiscard]] bool must_abort_requests(base::time_point now) const;
  void emit(execution::send_answer&& wanted);
  template <typename other_command>
  void emit(other_command&& wanted) {
    commands_.emplace_back(std::forward<other_command>(wanted));
  }
  /// Adds the known leave notices to digests and to answers to a resync.
  void add_leave_notices(wire::envelope& message) const;
  void flush_messages(base::time_point now);
  void answer_peer(const execution::remote_caller& peer, const execution::answer& content,
                   bool is_owner);
  void record(base::event_kind kind, const base::request_id& request, const std::string& subject,
              const std::string& detail);
  base::request_id next_request_id();
  [[nodiscard]] std::vector<base::network_address> zone_peer_addresses() const;
  /// Peers with which published records are exchanged: those of the zone, and a few of other zones
  /// where the node serves published routes.
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
  /// A service that this node watches for another.
  struct watch_substitution {
    base::time_point ends_at;
    std::uint32_t handovers_left = 0;
    /// When this node may ask another to watch for it.
    base::time_point next_handover_at;
  };
  std::array<watch_substitution, source_count> substitutions_;
  membership::membership membership_;
  routing::backend_table backends_;
  admission::stage_scheduler scheduler_;
  execution::executor executor_;
  execution::effect_guard guard_;
  std::map<base::backend_id, std::uint64_t> announced_leave_generations_;
  std::optional<serving::dispatcher> serving_;
  std::uint64_t seen_machine_changes_ = 0;
  std::uint64_t seen_serving_changes_ = 0;
  /// Version of the membership that the serving path knows.
  std::uint64_t seen_membership_version_ = 0;
  base::random_source* random_;
  bool is_synced_with_peer_ = false;
  bool is_ready_ = false;
  bool is_stopping_ = false;
  bool is_stop_reported_ = false;
  base::time_point stop_started_at_;
  /// Last time a request reached this node, or it woke from a pause.
  base::time_point quiet_since_;
  /// Part of the longest wait for peers that this node waits, 0 to 1; drawn at its start.
  double peer_wait_fraction_ = 0;
  /// Set while dispatch is on hold after a pause.
  std::optional<base::time_point> hold_ends_at_;
  base::time_point next_periodic_at_;
  std::uint64_t next_request_number_ = 1;
  control_counters control_;
  store_counters store_;
  wire::outbox outbox_;
  command_list commands_;
};

} // namespace spurrack::node
