/// The life of requests on the serving path: which route and tenant, stage pieces, the call at a
/// replica, repeats, streams, deadlines, answers. No I/O.
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
#include "quarantine/crash_ledger.h"
#include "quarantine/crash_news.h"
#include "quarantine/crash_watch.h"
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

/// Not thread-safe. Commands gather until they are taken.
class dispatcher {
 public:
  /// @param random must outlive this object.
  /// @param life start of this process, as a number higher than that of every earlier life.
  dispatcher(const fleet_peer& self, const serving_settings& settings, base::random_source& random,
             base::incarnation incarnation, decision_recorder record);

  /// Takes over what is published.
  void update(const catalog::catalog& content, base::time_point now);
  /// Takes over the other nodes. @param known nodes known at all, dead ones included.
  void set_peers(std::vector<fleet_peer> alive, std::size_t known);
  /// Counts what is held of events that are not whole yet; without it they are not counted.
  void set_budget(std::shared_ptr<flow::byte_budget> budget) { byte_budget_ = std::move(budget); }
  /// Replicas of these zones are called only where there are no others.
  void set_unreachable_zones(std::set<base::zone_id> zones) {
    replicas_.set_unreachable(std::move(zones));
  }
  /// A planned stop begins: other nodes gather the pieces of stages from now on, and only what is
  /// expected to end by `must_end_at` is taken or sent to a replica.
  void begin_stop(base::time_point now, base::time_point must_end_at);
  /// @return whether requests, or pieces made for other nodes, are still under way.
  [[nodiscard]] bool is_busy() const { return !active_.empty() || stages_.has_calls_under_way(); }

  void handle(const event& what, base::time_point now);
  /// Takes in what another node says of stage work.
  void handle_peer(const base::node_id& sender, const wire::stage_work& message,
                   base::time_point now);
  /// Takes in what another node says of engines.
  void handle_peer(const wire::engine_news& message, base::time_point now) {
    engine_directory_.handle(message, now);
  }
  /// Takes in what another node asks or lends of the share of repeats.
  void handle_peer(const base::node_id& sender, const base::network_address& address,
                   const wire::retry_lending& message, base::time_point now);
  /// Takes in what another node's calls have shown of replicas; calls at those that are lost are
  /// looked at at once.
  void handle_peer(const base::node_id& sender, const wire::replica_news& message,
                   base::time_point now);
  /// Takes in under which requests other nodes saw replicas end.
  void handle_peer(const base::network_address& address, const wire::crash_news& message,
                   base::time_point now);
  /// Takes in what another node says of what replicas say of themselves, and of permits.
  void handle_peer(const base::node_id& sender, const wire::rate_limits& message,
                   base::time_point now);
  /// This process was paused, or its machine suspended, for `gap`: others are asked what it missed,
  /// and the silence of replicas meanwhile says nothing of them.
  void resume_after_pause(base::duration gap, base::time_point now);
  /// Lets a request go that is held back. @return whether anything spoke against it.
  bool release_request(const quarantine::request_digest& digest, base::time_point now);
  /// Gives up what is past its time and hands out what waits.
  void advance(base::time_point now);
  /// Ends everything that is still open, for a stop that can wait no longer.
  void abort_all_requests(base::time_point now);

  [[nodiscard]] std::optional<base::time_point> next_wakeup(base::time_point now) const;
  [[nodiscard]] command_list take_commands();
  [[nodiscard]] wire::outbox take_messages();
  [[nodiscard]] std::size_t active() const { return active_.size(); }
  [[nodiscard]] const serving_counters& counts() const { return counters_; }
  [[nodiscard]] const replica_table& replicas() const { return replicas_; }
  [[nodiscard]] const stage_exchange& stages() const { return stages_; }
  /// @return engines whose account this node holds.
  [[nodiscard]] std::size_t engine_accounts() const { return engine_directory_.accounts(); }
  [[nodiscard]] const engine_directory_counts& engine_counts() const {
    return engine_directory_.counts();
  }
  [[nodiscard]] const replica_report_counts& replica_reports() const {
    return replica_reports_.counts();
  }
  [[nodiscard]] const budget_exchange_counts& budget_exchange() const {
    return budget_exchange_.counts();
  }
  [[nodiscard]] const replica_statements::statement_exchange& replica_self_reports() const {
    return self_reports_;
  }
  [[nodiscard]] const rate_limits::limit_exchange& limits() const { return limits_; }
  [[nodiscard]] const quarantine::crash_ledger& crashes() const { return crash_registry_; }
  [[nodiscard]] const quarantine::crash_news_counts& crash_reports() const {
    return crash_reports_.counts();
  }

 private:
  /// A call of the request itself.
  struct open_call {
    base::call_id id = 0;
    base::replica_id replica;
    /// The end of the life it was made at, should that come.
    replica_end incarnation_exit = 0;
    base::time_point started_at;
    /// Where the replica shows no progress until then, the call is made elsewhere.
    std::optional<base::time_point> stalls_at;
    /// The replica has fetched its inputs by then.
    std::optional<base::time_point> inputs_fetched_at;
    /// Its replica is found lost since then.
    std::optional<base::time_point> down_since;
    /// Latest sign of life that was passed on to the replica table.
    base::time_point contact_noted_at;
    /// Its replica started again since the call began: it ends unless it shows events soon.
    std::optional<base::time_point> restart_seen_at{};
  };
  /// A request that waits for a place at a replica. The urgent come first, then those that end
  /// first.
  struct waiting_request {
    std::uint32_t priority = 0;
    base::time_point deadline;
    base::caller_id client = 0;
    auto operator<=>(const waiting_request&) const = default;
  };
  using admission_queue = std::set<waiting_request>;
  /// How a request ends that is not sent again.
  struct failure_outcome {
    /// Status of the own answer.
    unsigned code = 0;
    std::string reason;
    /// The replica's answer, which is passed on; without one the node answers itself.
    std::optional<call_answered> answer;
    /// No replica has run it; the own answer says so.
    bool is_not_run = false;
  };
  struct active_request {
    base::caller_id client = 0;
    std::shared_ptr<const request_content> content;
    /// Keeps the route alive.
    std::shared_ptr<const model::route> route;
    std::string tenant;
    /// Found when it is first asked for: most requests never need it.
    mutable std::optional<quarantine::request_digest> digest;
    std::string service;
    std::uint32_t priority = 0;
    /// Regions that its route and its tenant both allowed when it arrived.
    model::residency permitted_regions;
    std::uint64_t configuration_version = 0;
    base::time_point arrived_at;
    /// The final answer is given by then.
    base::time_point deadline;
    std::unique_ptr<stage_graph> graph;
    /// Zone of the replica that will most likely run the request.
    base::zone_id expected_zone;
    std::map<piece_ticket, piece_position> pieces;
    std::optional<open_call> call;
    /// Set while it waits for other nodes to lend a repeat: how it ends where they do not.
    std::optional<failure_outcome> pending_failure;
    /// Set while it waits for a replica that may be sent it.
    std::optional<waiting_request> queue_entry;
    std::set<base::replica_id> tried_replicas;
    std::uint32_t attempts = 0;
    std::uint32_t unreached_attempts = 0;
    /// Some replica may have worked on the request.
    bool may_have_run = false;
    bool has_begun_stream = false;
    /// When it is judged next whether its stages can still end in time; nothing where it has none.
    std::optional<base::time_point> next_feasibility_check_at;
    /// Whether the last judgement found it hopeless; nothing before the first.
    std::optional<bool> was_infeasible_at_last_check;
    std::optional<answer_head> stream_head;
    /// Arrival of the first and the latest event, and the longest time between two.
    base::time_point first_event_at;
    base::time_point latest_event_at;
    base::duration longest_event_gap{};
    event_stream events;
    /// Counts what `events` holds of an event that is not whole yet.
    std::optional<flow::byte_reservation> partial_event_reservation;
    /// The client takes less than its replica gives; reading from the replica is paused.
    bool is_window_closed = false;
    /// When it is decided next what becomes of the paused call; only while the window is closed.
    std::optional<base::time_point> slow_client_check_at;
    /// The paused call was cancelled; the stream is resumed when the client reads on.
    bool is_suspended = false;
    bool is_slow_client = false;
    /// When it is looked at next; nothing where nothing of it becomes due.
    std::optional<base::time_point> next_check_at;
  };

  /// Why regions turn a request away.
  struct residency_refusal {
    std::string reason;
    /// Replicas are there that may take work again.
    bool is_temporary = false;
  };

  void on_event(const request_arrived& arrival, base::time_point now);
  void on_event(const client_left& disconnection, base::time_point now);
  void on_event(const client_window& window_change, base::time_point now);
  void on_event(const call_failed& failure, base::time_point now);
  void on_event(const answer_paused& pause, base::time_point now);
  void on_event(const answer_resumed& resumption, base::time_point now);
  void on_event(const call_answered& answered, base::time_point now);
  void on_event(const stream_opened& opened, base::time_point now);
  void on_event(const stream_bytes& chunk, base::time_point now);
  void on_event(const stream_closed& closed, base::time_point now);
  void on_event(const stage_call_ended& ended, base::time_point now);
  void on_event(const statement_heard& report, base::time_point now);
  void on_event(const replica_probed& probe, base::time_point now);

  void admit(const request_arrived& arrival, std::shared_ptr<const model::route> route,
             const std::optional<model::key_holder>& holder, base::time_point now);
  /// Answers a request at once that may run in no region, or only in such as cannot serve it now.
  /// @return whether it was turned away.
  bool refuse_by_residency(active_request& request);
  /// @return why a request cannot be served in the regions allowed; nothing where it can.
  [[nodiscard]] std::optional<residency_refusal>
  residency_refusal_of(const active_request& request) const;
  /// Counts how far a request goes, and whether residency keeps it from a nearer replica.
  void note_locality(const active_request& request, const replica_state& chosen,
                     base::time_point now);
  void continue_request(active_request& request, base::time_point now);
  /// Refuses a request that no engine has the memory for; no wait changes that.
  /// @return whether it was refused.
  bool refuse_too_large(active_request& request, base::time_point now);
  /// Refuses a request that is not expected to be served in time.
  /// @return whether it was refused.
  bool refuse_infeasible(active_request& request, base::time_point now);
  /// Refuses a request that a stopping node has no time to end.
  /// @return whether it was refused.
  bool refuse_while_stopping(active_request& request, base::time_point now);
  /// @return whether a request that cannot end before a planned stop was ended; one that has run
  ///         nowhere is told so.
  bool end_if_late_for_stop(active_request& request, base::time_point now);
  /// @return whether a request that is sent to a replica now is expected to end before a planned
  ///         stop must; true where none has begun.
  [[nodiscard]] bool has_time_before_stop(const active_request& request,
                                          base::time_point now) const;
  /// @return what is left of a request whose stages stand as they do.
  [[nodiscard]] remaining_work remaining_work_of(const active_request& request,
                                                 base::time_point now) const;
  /// @return the part of the time expected for the events of a stream that is behind it when it is
  ///         taken up after the last one; zero where it lasts longer than expected, since then
  ///         nothing is known of the rest.
  [[nodiscard]] static base::duration streamed_time_of(const active_request& request,
                                                       base::duration expected_events);
  /// A run came to its end.
  void note_completed_run(const active_request& request, base::time_point now);
  /// Gives a request up whose stages are too far behind to end in time.
  /// @return whether it was given up.
  bool abort_if_infeasible(active_request& request, base::time_point now);
  [[nodiscard]] std::optional<base::duration>
  expected_time_to_first_byte(const active_request& request, piece_standing order,
                              base::time_point now) const;
  /// @return when the client of a request that has sent nothing yet stops waiting.
  [[nodiscard]] static base::time_point client_deadline_of(const active_request& request);
  void submit_pieces(active_request& request, base::time_point now);
  void submit_stage(active_request& request, const std::vector<piece_position>& positions,
                    base::time_point now);
  /// @return whether there were any.
  bool process_piece_results(base::time_point now);
  /// Frees results that the replicas of the next stage have fetched by now.
  void free_fetched_stage_inputs();
  void on_piece_finished(active_request& request, piece_ticket ticket, const piece_outcome& outcome,
                         base::time_point now);
  /// @return whether the maker of a result is gone or cannot be reached.
  [[nodiscard]] bool is_result_lost(const std::string& handle, base::time_point now) const;
  /// Results that the request itself reads are gone: makes them again.
  void remake_final_inputs(active_request& request, base::time_point now);
  /// Cancels the pieces that wait for a result which is made again, and submits what can be made.
  void resubmit_after_loss(active_request& request,
                           const std::vector<std::string>& obsolete_results, base::time_point now);
  /// @return the next call of a request, at a chosen replica.
  [[nodiscard]] start_call make_call(const active_request& request, const replica_state& chosen,
                                     base::time_point now);
  void send_to_replica(active_request& request, base::time_point now);
  [[nodiscard]] bool is_engine(const std::string& service) const;
  /// @return time within which a replica that is alive shows progress with a new call; 0 where that
  ///         is not watched.
  [[nodiscard]] base::duration progress_timeout(const active_request& request,
                                                const replica_state& replica,
                                                base::time_point now) const;
  const replica_state* choose_replica(const active_request& request, base::time_point now);
  const replica_state* choose_replica_for(const replica_demand& demand, base::time_point now);
  /// @return what a request is known by when it comes again.
  static const quarantine::request_digest& digest_of(const active_request& request);
  /// @return the same for the log line of a call that ended without a whole answer.
  static std::string digest_text(const active_request& request);
  /// Ends the account of the open call. @return the call.
  open_call close_call(active_request& request);
  /// Takes in that a replica answered.
  void note_answer(const base::replica_id& replica, const answer_head& head, base::time_point now);
  /// Tells what replicas say of themselves, keeps to the limits that they name, and has the
  /// requests looked at that wait for a place.
  void advance_self_reports(base::time_point now);
  /// Reports what replicas say of themselves that was not known before.
  void record_self_report_changes();
  [[nodiscard]] std::optional<replica_statements::published_replica>
  find_published(const base::replica_id& id) const;
  /// @return what is asked of the replicas of its service for a request.
  [[nodiscard]] static replica_demand demand_of(const active_request& request);
  /// A request may be sent limited replicas too: has a permit asked for.
  void request_permit(const active_request& request, base::time_point now);
  [[nodiscard]] static waiting_request queue_entry_of(const active_request& request);
  /// @return whether requests that go before this one wait, and the first could be sent now.
  [[nodiscard]] bool is_behind_waiting_requests(const active_request& request,
                                                base::time_point now);
  /// @return the replica that takes a request now; null where it waits for its turn or a place, or
  ///         was answered since no replica takes it in its time.
  const replica_state* choose_in_turn(active_request& request, base::time_point now);
  /// @return after which time a client that is refused may find a replica.
  [[nodiscard]] base::duration shortest_retry_after(const active_request& request,
                                                    base::time_point now) const;
  /// No replica may be sent a request now: it waits for a place, or is refused at once where none
  /// can come in its time.
  /// @return whether either was done; not where no replica that has places later could serve it.
  bool queue_or_refuse(active_request& request, base::time_point now);
  void enqueue(active_request& request);
  /// @return when a request is expected to get a place, behind so many others; nothing where no
  ///         replica that has places later could serve it, and forever where those that could take
  ///         nothing.
  [[nodiscard]] std::optional<base::duration>
  expected_queue_wait(const active_request& request, std::size_t ahead, base::time_point now) const;
  /// @return when a permit of some of these replicas is expected, behind so many others.
  [[nodiscard]] base::duration
  expected_permit_wait(const std::string& service, const std::vector<const replica_state*>& limited,
                       std::size_t ahead, base::time_point now) const;
  /// @return requests a second of a service that got their places of late; nothing where none
  ///         waited.
  [[nodiscard]] std::optional<double> drain_rate_of(const std::string& service,
                                                    base::time_point now) const;
  /// @return the time until a request behind so many others is sent, where the first pause of a
  ///         replica ends after `opening`.
  [[nodiscard]] base::duration expected_backoff_wait(const std::string& service,
                                                     base::duration backoff_wait, std::size_t ahead,
                                                     base::time_point now) const;
  /// Refuses a request whose stages would be made in vain, since no replica takes it in its time.
  /// @return whether it was refused.
  bool refuse_without_expected_slot(active_request& request, base::time_point now);
  /// Refuses a request that gets no place in its time, and says when there may be one.
  void refuse_without_slot(active_request& request, base::duration wait, base::time_point now);
  void process_admission_queues(base::time_point now);
  /// Looks at the requests of one service in their order.
  void process_admission_queue(const std::string& service, base::time_point now);
  /// Has as many permits asked for as requests of a service wait.
  void request_permits_for_waiting(const std::string& service, base::time_point now);
  void leave_admission_queue(active_request& request);
  void on_not_executed(active_request& request, const answer_head& head, base::time_point now);
  /// After an attempt that may have run: once more where that is allowed, else the final answer.
  void retry_or_fail(active_request& request, base::time_point now);
  /// Makes the next attempt, which was granted: a stream goes on after the last event passed on.
  void send_retry(active_request& request, base::time_point now);
  /// Sends a request again where attempts, time and share allow it, waits shortly where others may
  /// lend of theirs, and ends it otherwise.
  void retry_or_end(active_request& request, failure_outcome outcome, base::time_point now);
  void end_with_failure(active_request& request, const failure_outcome& outcome,
                        base::time_point now);
  /// A call ended without a whole answer: finds out whether its replica ended with it.
  void note_lost_call(const active_request& request, const base::replica_id& replica,
                      replica_end incarnation_exit, base::time_point now);
  /// @param evidence what showed that a replica ended, for the log.
  void note_replica_exit(const base::replica_id& replica, const char* evidence,
                         base::time_point now);
  void note_exit_under_request(const quarantine::ended_call& call, const base::replica_id& replica,
                               const char* evidence, base::time_point now);
  /// Tells other nodes what has changed, and forgets what is over.
  void advance_crashes(base::time_point now);
  /// Finds watched replicas that are published no longer.
  void find_exited_replicas(base::time_point now);
  /// A replica answered: it has not ended after all, where that was believed of this life.
  void withdraw_exit(const base::replica_id& replica, base::time_point now);
  /// A run of a request came to an end and its replica lives.
  void note_survived(const active_request& request, base::time_point now);
  [[nodiscard]] quarantine::standing quarantine_state_of(const active_request& request,
                                                         base::time_point now) const;
  /// Refuses a request that is held back. @return whether it was refused.
  bool refuse_if_quarantined(active_request& request, base::time_point now);
  /// A request is held back from now on: those of it that wait or have shown nothing yet end.
  void quarantine_request(const quarantine::request_digest& digest, base::time_point now);
  [[nodiscard]] static bool has_attempt_left(const active_request& request, base::time_point now);
  /// @return whether another attempt is allowed and would end before a planned stop must; the share
  ///         of repeats is not asked.
  [[nodiscard]] bool can_retry(const active_request& request, base::time_point now) const;
  /// Looks at the requests that wait for a loan.
  void process_awaiting_budget(base::time_point now);
  [[nodiscard]] bool try_take_retry(active_request& request, base::time_point now);
  void forward_answer(active_request& request, const call_answered& answer, base::time_point now);
  void begin_stream(active_request& request, base::time_point now);
  /// Keeps account of when events arrive, for what is recorded at the end of the stream.
  static void note_event(active_request& request, base::time_point now);
  void watch_progress(active_request& request, base::duration allowed, base::time_point now);
  /// Tells the replica table of a sign of life, not for every event of a stream.
  void note_heard(open_call& call, base::time_point now);
  /// The replica's side rests until the client reads on.
  void pause_stream(active_request& request, base::time_point now);
  /// The client reads on: so does the replica's side, which is taken up again where it was let go.
  void resume_stream(active_request& request, base::time_point now);
  /// Before the replica would cut a resting stream off: lets it go where it can be taken up again,
  /// else has it buffered.
  void handle_slow_client(active_request& request, base::time_point now);
  [[nodiscard]] static bool can_suspend(const active_request& request);
  void mark_slow_client(active_request& request);
  /// Counts what is held of an event that is not whole yet. @return whether there is memory for it.
  bool reserve_partial_event(active_request& request);
  void abort_request(active_request& request, const std::string& reason, base::time_point now);
  /// @return when something of a request is due: a judgement, inputs that were fetched, a replica
  ///         without progress.
  [[nodiscard]] static std::optional<base::time_point>
  next_due_check(const active_request& request);
  /// Has a request looked at when something of it is due. Later times are left to the check that
  /// stands, so that an event of a stream costs nothing.
  void schedule_check(active_request& request);
  /// Looks at the requests of which something is due.
  void check_requests(base::time_point now);
  /// Has the repeatable calls at a lost replica looked at that have shown nothing since it fell
  /// silent.
  void recheck_calls_at(const base::replica_id& replica, base::time_point now);
  /// A call shows no progress: it is made elsewhere, or ended where that is not allowed and its
  /// replica is lost; otherwise it is looked at again soon.
  void on_stalled(active_request& request, base::time_point now);
  /// @return whether nothing was heard of the replica of a call since the call last showed
  /// anything.
  [[nodiscard]] bool is_replica_unresponsive(const active_request& request) const;
  /// Makes a call that shows no progress elsewhere, where that is allowed and there is a replica;
  /// otherwise it is looked at again soon, since either may change.
  void retry_elsewhere(active_request& request, base::time_point now);
  /// Replicas started again under their id: what is kept of their earlier lives is given up.
  /// Takes over what changed of the published replicas, or all of them.
  void update_replicas(const catalog::catalog& content, bool all, base::time_point now);
  void handle_replica_restarts(base::time_point now);
  void handle_replica_restart(const replica_restart& restart, base::time_point now);
  /// Has a call at a life that is over made elsewhere, or ended where that is not allowed.
  void move_to_earlier_incarnation(active_request& request, base::time_point now);
  /// A call at a life that is over cannot be made elsewhere: it ends unless it shows events soon.
  void check_call_at_earlier_incarnation(active_request& request, base::time_point now);
  /// Reports replicas of services that are not configured, each once.
  void report_unknown_services();
  /// Frees results that the replica has fetched by now.
  void free_fetched_inputs(active_request& request, base::time_point now);
  void abort_expired(base::time_point now);

  void refuse(base::caller_id client, const base::request_id& id, unsigned status,
              const std::string& reason, base::duration retry_after);
  /// Answers that a request was not run; one that may have run has failed instead.
  void answer_not_run(active_request& request, const std::string& reason, base::time_point now);
  void answer_failed(active_request& request, unsigned status, const std::string& reason,
                     base::time_point now);
  /// Forgets a request: cancels its pieces and call, frees its results.
  void finish(active_request& request, unsigned status, const std::string& reason,
              base::time_point now);
  void release_results(const std::vector<std::string>& handles);
  /// Fills in where the pieces of a stage are best made: where what they read lies, or where what
  /// they make is read.
  void choose_zone(const active_request& request, std::uint32_t stage, piece_work& work) const;
  base::zone_id preferred_zone(const active_request& request, base::time_point now);
  active_request* find_by_call(base::call_id call);
  void record(base::event_kind kind, const active_request& request, const std::string& subject,
              const std::string& detail);

  fleet_peer self_;
  serving_settings settings_;
  decision_recorder record_;
  base::random_source* random_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  /// Changes of the catalog that were taken over.
  std::uint64_t applied_changes_ = 0;
  base::call_id next_call_ = 1;
  distance distance_from_self_;
  replica_statements::statement_exchange self_reports_;
  rate_limits::limit_exchange limits_;
  replica_table replicas_;
  least_loaded_chooser plain_chooser_;
  engine_directory engine_directory_;
  engine_chooser engine_chooser_;
  retry_budget retry_budget_;
  retry_budget_exchange budget_exchange_;
  replica_report_exchange replica_reports_;
  quarantine::crash_watch crash_detector_;
  quarantine::crash_ledger crash_registry_;
  quarantine::crash_news crash_reports_;
  base::time_point next_crash_expiry_at_;
  std::vector<quarantine::request_digest> newly_quarantined_;
  stage_exchange stages_;
  admission_estimate admission_estimate_;
  run_times run_times_;
  stop_plan stop_plan_;
  std::unordered_map<base::caller_id, active_request> active_;
  std::unordered_map<base::call_id, base::caller_id> clients_by_call_;
  /// Requests with a call at each replica.
  std::unordered_map<base::replica_id, std::set<base::caller_id>> clients_by_replica_;
  std::unordered_map<piece_ticket, base::caller_id> clients_by_ticket_;
  /// Services that are not configured, by the replicas that name them, as reported.
  std::map<base::replica_id, std::string> reported_unknown_services_;
  /// Requests that wait for a loan, the earliest first.
  std::vector<base::caller_id> awaiting_budget_;
  /// Requests that wait for permits, by service, and how fast they get them.
  std::map<std::string, admission_queue> admission_queues_;
  std::map<std::string, drain_rate> drain_rates_;
  base::time_point next_queue_check_at_;
  /// Set while those who wait are looked at in their order.
  bool is_processing_queue_ = false;
  std::uint64_t counted_permits_ = 0;
  std::set<std::pair<base::time_point, base::caller_id>> deadlines_;
  std::set<std::pair<base::time_point, base::caller_id>> due_checks_;
  serving_counters counters_;
  std::shared_ptr<flow::byte_budget> byte_budget_;
  command_list commands_;
};

} // namespace spurrack::serving
