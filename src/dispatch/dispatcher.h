/// Request lifecycle on the serving path: route and tenant, stage pieces, the call at a replica,
/// retries, streams, deadlines and answers. No I/O.
#pragma once

#include "base/random.h"
#include "catalog/catalog.h"
#include "dispatch/admission_estimate.h"
#include "dispatch/event_stream.h"
#include "dispatch/replica_report_exchange.h"
#include "dispatch/retry_budget.h"
#include "dispatch/retry_budget_exchange.h"
#include "dispatch/run_times.h"
#include "dispatch/stop_plan.h"
#include "engines/engine_chooser.h"
#include "engines/engine_directory.h"
#include "flow/byte_budget.h"
#include "quarantine/crash_detector.h"
#include "quarantine/crash_registry.h"
#include "quarantine/crash_report_exchange.h"
#include "quarantine/request_digest.h"
#include "rate_limits/limit_exchange.h"
#include "replicas/distance.h"
#include "replicas/least_loaded_chooser.h"
#include "replicas/replica_table.h"
#include "serving/counters.h"
#include "serving/decision_recorder.h"
#include "serving/events.h"
#include "serving/settings.h"
#include "stage_work/drain_rate.h"
#include "stage_work/stage_exchange.h"
#include "stage_work/stage_graph.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::serving {

/// Decides how each request is served: refuses it, queues it, computes its stages, sends it to
/// replicas and forwards the answer. Commands for the I/O layer and messages to other nodes are
/// collected until `take_commands` and `take_messages` are called. Not thread-safe.
///
/// An attempt is a call of a request at one replica, and a run is the execution of the request
/// there. A piece is a part of a stage of the request; all pieces must be computed before the
/// request itself is sent. A ticket identifies a piece that was submitted to `stage_exchange`. A
/// request gets a slot when some replica may be sent the request; for a replica that announces a
/// rate limit, this node needs a permit for each request. An exit is the end of a replica's
/// process, planned or by a crash.
class dispatcher {
 public:
  /// @param random must outlive this object.
  /// @param incarnation start of this process, as a number higher than that of every earlier
  ///        incarnation.
  dispatcher(const fleet_peer& self, const serving_settings& settings, base::random_source& random,
             base::incarnation incarnation, decision_recorder record);

  /// Applies the published configuration, replicas and evacuations.
  void update(const catalog::catalog& content, base::time_point now);
  /// Replaces the other nodes of the fleet.
  /// @param known_peers number of known other nodes, including dead nodes.
  void set_peers(std::vector<fleet_peer> alive, std::size_t known_peers);
  /// Sets the budget that the buffered bytes of incomplete events count against; without a budget
  /// they are not counted.
  void set_budget(std::shared_ptr<flow::byte_budget> budget) { byte_budget_ = std::move(budget); }
  /// Replaces the unreachable zones. Their replicas are called only if no other replica is
  /// available.
  void set_unreachable_zones(std::set<base::zone_id> zones) {
    replicas_.set_unreachable(std::move(zones));
  }
  /// Begins a graceful stop: other nodes batch the pieces of stages from now on, and only requests
  /// that are expected to complete by `must_end_at` are accepted or sent to a replica.
  void begin_stop(base::time_point now, base::time_point must_end_at);
  /// @return whether requests are active, or calls for pieces, including those of other nodes, are
  ///         under way.
  [[nodiscard]] bool is_busy() const { return !active_.empty() || stages_.has_calls_under_way(); }

  void handle(const event& input_event, base::time_point now);
  /// Processes a message of another node about stage work.
  void handle_peer(const base::node_id& sender, const wire::stage_work& message,
                   base::time_point now);
  /// Processes a message of another node about engines.
  void handle_peer(const wire::engine_news& message, base::time_point now) {
    engine_directory_.handle(message, now);
  }
  /// Processes a query for retry budget, or a transfer of it, from another node.
  void handle_peer(const base::node_id& sender, const base::network_address& address,
                   const wire::retry_lending& message, base::time_point now);
  /// Records another node's health reports on replicas. Calls at replicas that are declared down
  /// after this message are checked at once.
  void handle_peer(const base::node_id& sender, const wire::replica_news& message,
                   base::time_point now);
  /// Merges another node's records of requests under which replicas exited.
  void handle_peer(const base::network_address& address, const wire::crash_news& message,
                   base::time_point now);
  /// Processes a message of another node about self-reports of replicas and about permits.
  void handle_peer(const base::node_id& sender, const wire::rate_limits& message,
                   base::time_point now);
  /// Handles a suspension of this process or its machine: queries other nodes for missed messages,
  /// and extends the times by which replicas must show progress.
  /// @param gap duration of the suspension.
  void resume_after_suspension(base::duration gap, base::time_point now);
  /// Releases a quarantined request.
  /// @return whether the crash registry had a record of the request.
  bool release_request(const quarantine::request_digest& digest, base::time_point now);
  /// Aborts requests whose deadline has passed, runs all other checks that are due, and dispatches
  /// waiting requests and pieces.
  void advance(base::time_point now);
  /// Aborts all active requests when the time of a graceful stop is over.
  void abort_all_requests(base::time_point now);

  [[nodiscard]] std::optional<base::time_point> next_wakeup(base::time_point now) const;
  [[nodiscard]] command_list take_commands();
  [[nodiscard]] wire::outbox take_messages();
  [[nodiscard]] std::size_t active() const { return active_.size(); }
  [[nodiscard]] const serving_counters& counts() const { return counters_; }
  [[nodiscard]] const replica_table& replicas() const { return replicas_; }
  [[nodiscard]] const stage_exchange& stages() const { return stages_; }
  /// @return number of engines whose accounting node is this node. The accounting node of an engine
  ///         adds up the tokens of the prompts that the nodes report to have sent to the engine.
  [[nodiscard]] std::size_t engine_accounts() const {
    return engine_directory_.accounted_engines();
  }
  [[nodiscard]] const engine_directory_counts& engine_counts() const {
    return engine_directory_.counts();
  }
  [[nodiscard]] const replica_report_counts& replica_reports() const {
    return replica_reports_.counts();
  }
  [[nodiscard]] const budget_exchange_counts& budget_exchange() const {
    return budget_exchange_.counts();
  }
  [[nodiscard]] const self_reports::self_report_exchange& replica_self_reports() const {
    return self_reports_;
  }
  [[nodiscard]] const rate_limits::limit_exchange& limits() const { return limits_; }
  [[nodiscard]] const quarantine::crash_registry& crashes() const { return crash_registry_; }
  [[nodiscard]] const quarantine::crash_report_counts& crash_reports() const {
    return crash_reports_.counts();
  }

 private:
  /// A call that runs the request itself, in contrast to calls for pieces of its stages.
  struct open_call {
    base::call_id id = 0;
    base::replica_id replica;
    /// Identifier that the exit of the called incarnation has on all nodes. It is known before the
    /// replica exits, and is recorded with the call if the call is lost.
    replica_exit incarnation_exit = 0;
    base::time_point started_at;
    /// Time at which the call counts as stalled unless the replica shows progress before;
    /// std::nullopt if progress is not watched.
    std::optional<base::time_point> stalls_at;
    /// Time by which the replica should have fetched the stage results that the call reads, which
    /// are then freed; std::nullopt if they were freed, or are freed only with the first event or
    /// the answer.
    std::optional<base::time_point> inputs_fetched_at;
    /// Time of the first of the latest consecutive checks that found the call stalled and its
    /// replica declared down; std::nullopt if the latest check did not.
    std::optional<base::time_point> down_since;
    /// Time of the latest contact with the replica that was recorded in the replica table.
    base::time_point contact_noted_at;
    /// Time at which this node learned that the replica restarted after the call began. A request
    /// that cannot be retried fails unless the call shows events soon after this time.
    std::optional<base::time_point> restart_seen_at{};
  };
  /// Entry of a request that waits for a slot at a replica. Ordered by priority (0 is the most
  /// urgent), then by deadline.
  struct waiting_request {
    std::uint32_t priority = 0;
    base::time_point deadline;
    base::caller_id client = 0;
    auto operator<=>(const waiting_request&) const = default;
  };
  using admission_queue = std::set<waiting_request>;
  /// Outcome of a request that fails if it is not retried.
  struct failure_outcome {
    /// Status of the answer that this node gives itself.
    unsigned code = 0;
    std::string reason;
    /// Answer of the replica, which is forwarded; std::nullopt if this node answers itself.
    std::optional<call_answered> answer;
    /// Whether no replica has run the request; this node's answer then states that the request was
    /// not run.
    bool is_not_run = false;
  };
  /// A request that has arrived and whose answer is not complete.
  struct active_request {
    base::caller_id client = 0;
    std::shared_ptr<const request_content> content;
    /// Shared with the configuration, so that the route outlives configuration changes.
    std::shared_ptr<const model::route> route;
    std::string tenant;
    /// Computed on first use; most requests never need it.
    mutable std::optional<quarantine::request_digest> digest;
    std::string service;
    std::uint32_t priority = 0;
    /// Regions that both the route and the tenant allowed when the request arrived.
    model::residency permitted_regions;
    std::uint64_t configuration_version = 0;
    base::time_point arrived_at;
    /// Time by which the client gets the final answer.
    base::time_point deadline;
    std::unique_ptr<stage_graph> graph;
    /// Zone of the replica that will probably run the request.
    base::zone_id expected_zone;
    std::map<piece_ticket, piece_position> pieces;
    std::optional<open_call> call;
    /// Outcome of the request if no other node transfers retry budget; set only while the request
    /// waits for a transfer.
    std::optional<failure_outcome> pending_failure;
    /// Entry in the admission queue; set only while the request waits for a slot at a replica.
    std::optional<waiting_request> queue_entry;
    /// Replicas that are not chosen for the next attempt because an earlier attempt went to them.
    std::set<base::replica_id> tried_replicas;
    /// Number of attempts, without those that reached no replica.
    std::uint32_t attempts = 0;
    /// Number of attempts that reached no replica.
    std::uint32_t unreached_attempts = 0;
    /// Whether some replica may have worked on the request.
    bool may_have_run = false;
    bool has_begun_stream = false;
    /// Time of the next check whether the stages can still end in time; std::nullopt if the request
    /// is not checked.
    std::optional<base::time_point> next_feasibility_check_at;
    /// Result of the last feasibility check; std::nullopt before the first check.
    std::optional<bool> was_infeasible_at_last_check;
    std::optional<answer_head> stream_head;
    /// Times of the first and the latest event, and the longest time between two consecutive
    /// events.
    base::time_point first_event_at;
    base::time_point latest_event_at;
    base::duration longest_event_gap{};
    event_stream events;
    /// Counts the bytes of an incomplete event that `events` buffers.
    std::optional<flow::byte_reservation> partial_event_reservation;
    /// Whether the client reads more slowly than the replica answers; reading from the replica is
    /// then paused.
    bool is_window_closed = false;
    /// Time at which a paused call is suspended or buffered; set only while the window is closed.
    std::optional<base::time_point> slow_client_check_at;
    /// Whether the paused call was cancelled; the stream is resumed when the client reads on.
    bool is_suspended = false;
    bool is_slow_client = false;
    /// Time of the next scheduled check; std::nullopt if no check is scheduled.
    std::optional<base::time_point> next_check_at;
  };

  /// Refusal of a request that cannot be served in its permitted regions.
  struct residency_refusal {
    std::string reason;
    /// Whether a retry may succeed because replicas in these regions may accept work again later.
    bool is_temporary = false;
  };

  void on_event(const request_arrived& arrival, base::time_point now);
  void on_event(const client_disconnected& disconnection, base::time_point now);
  void on_event(const client_window& window_change, base::time_point now);
  void on_event(const call_failed& failure, base::time_point now);
  void on_event(const answer_paused& pause, base::time_point now);
  void on_event(const answer_resumed& resumption, base::time_point now);
  void on_event(const call_answered& answered, base::time_point now);
  void on_event(const stream_opened& opened, base::time_point now);
  void on_event(const stream_bytes& chunk, base::time_point now);
  void on_event(const stream_closed& closed, base::time_point now);
  void on_event(const stage_call_ended& ended, base::time_point now);
  void on_event(const self_report_received& report, base::time_point now);
  void on_event(const replica_probed& probe, base::time_point now);

  void admit(const request_arrived& arrival, std::shared_ptr<const model::route> route,
             const std::optional<model::key_holder>& holder, base::time_point now);
  /// Refuses a request that may run in no region, or only in regions that cannot serve it now.
  /// @return whether the request was refused.
  bool refuse_by_residency(active_request& request);
  /// @return reason for which a request cannot be served in its permitted regions; std::nullopt if
  ///         it can be served.
  [[nodiscard]] std::optional<residency_refusal>
  residency_refusal_of(const active_request& request) const;
  /// Counts a call by the locality of its replica, and requests that residency keeps from a nearer
  /// replica.
  void note_locality(const active_request& request, const replica_state& chosen,
                     base::time_point now);
  /// Submits the pieces that are ready, or sends the request to a replica if all stages are done.
  void continue_request(active_request& request, base::time_point now);
  /// Refuses a request that exceeds the memory of any engine of its service, without a Retry-After
  /// time because waiting does not help.
  /// @return whether the request was refused.
  bool refuse_too_large(active_request& request, base::time_point now);
  /// Refuses a request that is not expected to be served in time.
  /// @return whether the request was refused.
  bool refuse_infeasible(active_request& request, base::time_point now);
  /// Refuses a request that a stopping node has no time to complete.
  /// @return whether the request was refused.
  bool refuse_while_stopping(active_request& request, base::time_point now);
  /// Aborts a request that is not expected to complete before the end of a graceful stop. If no
  /// replica may have run the request, the answer states that it was not run.
  /// @return whether the request was aborted.
  bool abort_if_late_for_stop(active_request& request, base::time_point now);
  /// @return whether a request that is sent to a replica now is expected to complete before the end
  ///         of a graceful stop; true if no stop has begun.
  [[nodiscard]] bool has_time_before_stop(const active_request& request,
                                          base::time_point now) const;
  /// @return remaining work of a request, given the progress of its stages and its stream.
  [[nodiscard]] remaining_work remaining_work_of(const active_request& request,
                                                 base::time_point now) const;
  /// @return part of the expected streaming time that a stream has already used, and does not need
  ///         again if it is resumed after its last event. Zero if the stream has already lasted
  ///         longer than expected, because its remaining time is then unknown, and zero for a slow
  ///         client.
  [[nodiscard]] static base::duration streamed_time_of(const active_request& request,
                                                       base::duration expected_streaming_time);
  /// Records the times of a completed run, if one replica ran the request without interruptions.
  void note_completed_run(const active_request& request, base::time_point now);
  /// Runs a due feasibility check. Aborts a request whose stages cannot end in time according to
  /// its first check, or to two consecutive later checks.
  /// @return whether the request was aborted.
  bool abort_if_infeasible(active_request& request, base::time_point now);
  /// @return expected time to the first byte; std::nullopt if some stage cannot be computed now.
  [[nodiscard]] std::optional<base::duration>
  expected_time_to_first_byte(const active_request& request, piece_order order,
                              base::time_point now) const;
  /// @return time at which the client stops waiting for the first byte.
  [[nodiscard]] static base::time_point client_deadline_of(const active_request& request);
  void submit_pieces(active_request& request, base::time_point now);
  void submit_stage(active_request& request, const std::vector<piece_position>& positions,
                    base::time_point now);
  /// Applies the results, losses and fetched inputs of pieces.
  /// @return whether there were any results.
  bool process_piece_results(base::time_point now);
  /// Frees results that the replicas of the next stage have fetched.
  void free_fetched_stage_inputs();
  void on_piece_finished(active_request& request, piece_ticket ticket, const piece_outcome& outcome,
                         base::time_point now);
  /// @return whether the replica that holds a result is no longer published, was replaced or is
  ///         paused.
  [[nodiscard]] bool is_result_lost(const std::string& handle, base::time_point now) const;
  /// Recomputes the lost results that the request itself reads.
  void recompute_final_inputs(active_request& request, base::time_point now);
  /// Cancels the pieces that wait for results that are recomputed, and submits the pieces that are
  /// ready.
  /// @param obsolete_results handles of results to free.
  void resubmit_after_loss(active_request& request,
                           const std::vector<std::string>& obsolete_results, base::time_point now);
  /// @return next call of a request, at the chosen replica.
  [[nodiscard]] start_call make_call(const active_request& request, const replica_state& chosen,
                                     base::time_point now);
  void send_to_replica(active_request& request, base::time_point now);
  [[nodiscard]] bool is_engine(const std::string& service) const;
  /// @return time within which a healthy replica shows progress with a new call; 0 if progress is
  ///         not watched.
  [[nodiscard]] base::duration progress_timeout(const active_request& request,
                                                const replica_state& replica,
                                                base::time_point now) const;
  const replica_state* choose_replica(const active_request& request, base::time_point now);
  const replica_state* choose_replica_for(const replica_demand& demand, base::time_point now);
  /// @return digest that identifies repetitions of a request.
  static const quarantine::request_digest& digest_of(const active_request& request);
  /// @return text with the digest, for the log entry of a call that ended without a whole answer.
  static std::string digest_text(const active_request& request);
  /// Removes the open call from the request and from all indexes.
  /// @return the call.
  open_call close_call(active_request& request);
  /// Records that a replica answered: as contact, and as evidence against its recorded exit.
  void note_answer(const base::replica_id& replica, const answer_head& head, base::time_point now);
  /// Advances the exchanges of self-reports and of permits, and processes the admission queues.
  void advance_self_reports(base::time_point now);
  /// Records events for new facts in the self-reports of replicas.
  void record_self_report_changes();
  /// @return published facts of a replica; std::nullopt if it is not known.
  [[nodiscard]] std::optional<self_reports::published_replica>
  find_published(const base::replica_id& id) const;
  /// @return requirements of a request on the replicas of its service.
  [[nodiscard]] static replica_demand demand_of(const active_request& request);
  /// Requests a permit of a limited replica that could serve the request.
  void request_permit(const active_request& request, base::time_point now);
  [[nodiscard]] static waiting_request queue_entry_of(const active_request& request);
  /// @return whether the first request of the admission queue precedes this request and could be
  ///         sent now.
  [[nodiscard]] bool is_behind_waiting_requests(const active_request& request,
                                                base::time_point now);
  /// Chooses a replica, or queues or refuses the request.
  /// @return replica for the request; null if the request waits in the admission queue, or was
  ///         refused because no replica accepts it in time.
  const replica_state* choose_in_turn(active_request& request, base::time_point now);
  /// @return time after which a refused client may find a replica.
  [[nodiscard]] base::duration shortest_retry_after(const active_request& request,
                                                    base::time_point now) const;
  /// Queues a request that cannot be sent to any replica now, or refuses it if no slot is expected
  /// in time.
  /// @return whether the request was queued or refused; false if no replica that has slots later
  ///         could serve it.
  bool queue_or_refuse(active_request& request, base::time_point now);
  void enqueue(active_request& request);
  /// @param requests_ahead number of queued requests before this request.
  /// @return time until the request is expected to get a slot; std::nullopt if no replica that has
  ///         slots later could serve it, and one hour if the limits of the replicas that could
  ///         serve it allow no requests.
  [[nodiscard]] std::optional<base::duration> expected_queue_wait(const active_request& request,
                                                                  std::size_t requests_ahead,
                                                                  base::time_point now) const;
  /// @param requests_ahead number of queued requests before the request.
  /// @return expected time until this node gets a permit for one of these replicas.
  [[nodiscard]] base::duration
  expected_permit_wait(const std::string& service, const std::vector<const replica_state*>& limited,
                       std::size_t requests_ahead, base::time_point now) const;
  /// @return rate per second at which queued requests of a service recently got slots; std::nullopt
  ///         if none waited recently.
  [[nodiscard]] std::optional<double> drain_rate_of(const std::string& service,
                                                    base::time_point now) const;
  /// @param backoff_wait time until the first backoff of a replica ends.
  /// @param requests_ahead number of queued requests before the request.
  /// @return time until the request is expected to be sent.
  [[nodiscard]] base::duration expected_backoff_wait(const std::string& service,
                                                     base::duration backoff_wait,
                                                     std::size_t requests_ahead,
                                                     base::time_point now) const;
  /// Refuses a request with stages if no replica is expected to accept it in time, so that its
  /// stages are not computed for nothing.
  /// @return whether the request was refused.
  bool refuse_without_expected_slot(active_request& request, base::time_point now);
  /// Refuses a request that gets no slot in time, with a Retry-After time derived from `wait`. A
  /// request that may have run fails instead.
  void refuse_without_slot(active_request& request, base::duration wait, base::time_point now);
  void process_admission_queues(base::time_point now);
  /// Sends or refuses the queued requests of one service in their order.
  void process_admission_queue(const std::string& service, base::time_point now);
  /// Requests as many permits as requests of a service wait.
  void request_permits_for_waiting(const std::string& service, base::time_point now);
  void leave_admission_queue(active_request& request);
  void on_not_executed(active_request& request, const answer_head& head, base::time_point now);
  /// Retries a request after an attempt that may have run, if its route, its attempts, its deadline
  /// and the retry budget allow that; otherwise the request fails.
  void retry_or_fail(active_request& request, base::time_point now);
  /// Sends a granted retry. A stream resumes after the last forwarded event.
  void send_retry(active_request& request, base::time_point now);
  /// Retries a request if attempts, time and retry budget allow it. If only the budget is spent,
  /// the request waits shortly for a transfer from other nodes. Otherwise it fails with `outcome`.
  void retry_or_fail_with(active_request& request, failure_outcome outcome, base::time_point now);
  void fail_with(active_request& request, const failure_outcome& outcome, base::time_point now);
  /// Records a call that ended without a whole answer (a lost call), and has its replica probed to
  /// find out whether it exited.
  void note_lost_call(const active_request& request, const base::replica_id& replica,
                      replica_exit incarnation_exit, base::time_point now);
  /// Records the exit of a replica under the requests of all its lost calls.
  /// @param evidence observation that showed the exit, for the log.
  void note_replica_exit(const base::replica_id& replica, const char* evidence,
                         base::time_point now);
  /// Records the exit of a replica under the request of one lost call.
  void note_exit_under_request(const quarantine::lost_call& call, const base::replica_id& replica,
                               const char* evidence, base::time_point now);
  /// Drops expired records, quarantines newly suspected requests and sends crash reports.
  void advance_crashes(base::time_point now);
  /// Records the exits of replicas that have lost calls and are no longer published.
  void find_exited_replicas(base::time_point now);
  /// Withdraws the recorded exit of a replica's published incarnation, if the replica answers
  /// `min_withdrawal_age` or more after it, which shows that the replica has not exited.
  void withdraw_exit(const base::replica_id& replica, base::time_point now);
  /// Records that a replica survived a run of a request.
  void note_survived(const active_request& request, base::time_point now);
  [[nodiscard]] quarantine::quarantine_state quarantine_state_of(const active_request& request,
                                                                 base::time_point now) const;
  /// Refuses a request that is quarantined.
  /// @return whether the request was refused.
  bool refuse_if_quarantined(active_request& request, base::time_point now);
  /// Begins the quarantine of a request: refuses the active requests with this digest, except those
  /// whose call has shown events. Requests that may have run fail instead.
  void quarantine_request(const quarantine::request_digest& digest, base::time_point now);
  [[nodiscard]] static bool has_attempt_left(const active_request& request, base::time_point now);
  /// @return whether another attempt is allowed and is expected to complete before the end of a
  ///         graceful stop; the retry budget is not checked.
  [[nodiscard]] bool can_retry(const active_request& request, base::time_point now) const;
  /// Retries the requests that waited for a budget transfer and have it now. Requests for which no
  /// more answers are awaited fail.
  void process_awaiting_budget(base::time_point now);
  /// Takes a retry from the budget if another attempt is allowed.
  /// @return whether the retry was granted.
  [[nodiscard]] bool try_take_retry(active_request& request, base::time_point now);
  void forward_answer(active_request& request, const call_answered& answer, base::time_point now);
  void begin_stream(active_request& request, base::time_point now);
  /// Records the arrival of events; the times are logged at the end of the stream.
  static void note_event(active_request& request, base::time_point now);
  /// Sets the time at which the call counts as stalled. A timeout of 0, or a closed window, means
  /// that the call cannot stall.
  void watch_progress(active_request& request, base::duration timeout, base::time_point now);
  /// Records contact with the replica of a call in the replica table, at most once per
  /// `contact_note_interval`.
  void note_contact(open_call& call, base::time_point now);
  /// Pauses reading from the replica until the client reads on.
  void pause_stream(active_request& request, base::time_point now);
  /// Resumes reading from the replica, or sends the request to a replica again if its call was
  /// suspended.
  void resume_stream(active_request& request, base::time_point now);
  /// Suspends the upstream call of a paused stream if the stream can be resumed later; otherwise
  /// has the remainder of the stream buffered. This happens before the replica would break the
  /// unread answer off.
  void handle_slow_client(active_request& request, base::time_point now);
  [[nodiscard]] static bool can_suspend(const active_request& request);
  void mark_slow_client(active_request& request);
  /// Counts the buffered bytes of an incomplete event against the byte budget.
  /// @return whether the budget has enough memory left for the bytes.
  bool reserve_partial_event(active_request& request);
  void abort_request(active_request& request, const std::string& reason, base::time_point now);
  /// @return time of the earliest due check of a request: of its feasibility, of fetched inputs, of
  ///         a stalled call or of a slow client; std::nullopt if no check is due.
  [[nodiscard]] static std::optional<base::time_point>
  next_due_check(const active_request& request);
  /// Schedules the next due check of a request. If an earlier check is already scheduled, it stays
  /// and schedules the next check when it runs, so that the events of a stream cost no
  /// rescheduling.
  void schedule_check(active_request& request);
  /// Runs the due checks of all requests.
  void check_requests(base::time_point now);
  /// Schedules an immediate check of the calls at a replica that is declared down, if their route
  /// allows retries, they have shown no events, and the replica has shown no activity since they
  /// began.
  void recheck_calls_at(const base::replica_id& replica, base::time_point now);
  /// Handles a stalled call: retries it at another replica if that is allowed. If it is not and the
  /// replica stays declared down, the request fails; otherwise another check is scheduled.
  void on_stalled(active_request& request, base::time_point now);
  /// @return whether the replica of a call has shown no activity since the last progress of the
  ///         call.
  [[nodiscard]] bool is_replica_unresponsive(const active_request& request) const;
  /// Retries a stalled call at another replica if that is allowed and a replica is available;
  /// otherwise schedules another check, because permission and replicas may change.
  void retry_elsewhere(active_request& request, base::time_point now);
  /// Applies the published replicas: those that changed since the last update, or all of them.
  void update_replicas(const catalog::catalog& content, bool all, base::time_point now);
  /// Drops the state of earlier incarnations of replicas that restarted under their id.
  void handle_replica_restarts(base::time_point now);
  void handle_replica_restart(const replica_restart& restart, base::time_point now);
  /// Detaches a call at an earlier incarnation from the replica, and schedules the check that
  /// retries the call or lets its request fail.
  void move_to_earlier_incarnation(active_request& request, base::time_point now);
  /// Lets the request of a call at an earlier incarnation fail if the call cannot be retried and
  /// shows no events within `restart_confirm_time`.
  void check_call_at_earlier_incarnation(active_request& request, base::time_point now);
  /// Records an event for each replica of a service that is not configured, once per replica and
  /// service.
  void report_unknown_services();
  /// Frees the inputs of a call if its replica should have fetched them by now.
  void free_fetched_inputs(active_request& request, base::time_point now);
  void abort_expired(base::time_point now);

  void refuse(base::caller_id client, const base::request_id& id, unsigned status,
              const std::string& reason, base::duration retry_after);
  /// Answers that a request was not run, or that it failed if it may have run.
  void answer_not_run(active_request& request, const std::string& reason, base::time_point now);
  void answer_failed(active_request& request, unsigned status, const std::string& reason,
                     base::time_point now);
  /// Removes a request: cancels its pieces and call, and frees its results.
  void finish(active_request& request, unsigned status, const std::string& reason,
              base::time_point now);
  void release_results(const std::vector<std::string>& handles);
  /// Sets the preferred zone of a stage's pieces so that the larger transfer stays within one zone.
  /// The zone that holds the most input bytes of a piece is preferred if it holds more bytes than
  /// the request will read from the piece's result. Otherwise the zone in which the request is
  /// expected to run is preferred, because the result is read there. The request reads only results
  /// of the last stage; for other stages, the result counts as zero bytes.
  void choose_zone(const active_request& request, std::uint32_t stage, piece_work& work) const;
  /// @return zone in which a request is expected to run.
  base::zone_id preferred_zone(const active_request& request, base::time_point now);
  active_request* find_by_call(base::call_id call);
  void record(base::event_kind kind, const active_request& request, const std::string& subject,
              const std::string& detail);

  fleet_peer self_;
  serving_settings settings_;
  decision_recorder record_;
  base::random_source* random_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  /// Number of changes of the catalog that were applied.
  std::uint64_t applied_changes_ = 0;
  base::call_id next_call_ = 1;
  distance distance_from_self_;
  self_reports::self_report_exchange self_reports_;
  rate_limits::limit_exchange limits_;
  replica_table replicas_;
  least_loaded_chooser plain_chooser_;
  engine_directory engine_directory_;
  engine_chooser engine_chooser_;
  retry_budget retry_budget_;
  retry_budget_exchange budget_exchange_;
  replica_report_exchange replica_reports_;
  quarantine::crash_detector crash_detector_;
  quarantine::crash_registry crash_registry_;
  quarantine::crash_report_exchange crash_reports_;
  base::time_point next_crash_expiry_at_;
  /// Requests whose quarantine begins with the next `advance`.
  std::vector<quarantine::request_digest> newly_quarantined_;
  stage_exchange stages_;
  admission_estimate admission_estimate_;
  run_times run_times_;
  stop_plan stop_plan_;
  /// Active requests, by client.
  std::unordered_map<base::caller_id, active_request> active_;
  std::unordered_map<base::call_id, base::caller_id> clients_by_call_;
  /// By replica, the clients whose request has a call there.
  std::unordered_map<base::replica_id, std::set<base::caller_id>> clients_by_replica_;
  std::unordered_map<piece_ticket, base::caller_id> clients_by_ticket_;
  /// Names of unconfigured services that were reported, by the replica whose record names them.
  std::map<base::replica_id, std::string> reported_unknown_services_;
  /// Clients whose request waits for a budget transfer, in the order in which they began to wait.
  std::vector<base::caller_id> awaiting_budget_;
  /// By service, the requests that wait for slots, and the rate at which requests leave the queue
  /// for a slot.
  std::map<std::string, admission_queue> admission_queues_;
  std::map<std::string, drain_rate> drain_rates_;
  base::time_point next_queue_check_at_;
  /// Whether the requests of an admission queue are being processed in their order.
  bool is_processing_queue_ = false;
  /// Number of received permits when the admission queues were last checked for new permits.
  std::uint64_t counted_permits_ = 0;
  /// Deadlines of all active requests, the earliest first.
  std::set<std::pair<base::time_point, base::caller_id>> deadlines_;
  /// Scheduled checks of requests, the earliest first.
  std::set<std::pair<base::time_point, base::caller_id>> due_checks_;
  serving_counters counters_;
  std::shared_ptr<flow::byte_budget> byte_budget_;
  command_list commands_;
};

} // namespace spurrack::serving
