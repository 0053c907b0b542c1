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
             base::incarnation life, decision_recorder record);

  /// Takes over what is published.
  void update(const catalog::catalog& content, base::time_point now);
  /// Takes over the other nodes. @param known nodes known at all, dead ones included.
  void set_peers(std::vector<fleet_peer> alive, std::size_t known);
  /// Counts what is held of events that are not whole yet; without it they are not counted.
  void set_budget(std::shared_ptr<flow::byte_budget> budget) { budget_ = std::move(budget); }
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
    directory_.handle(message, now);
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
  [[nodiscard]] std::size_t engine_accounts() const { return directory_.accounts(); }
  [[nodiscard]] const engine_directory_counts& engine_counts() const { return directory_.counts(); }
  [[nodiscard]] const replica_report_counts& news() const { return news_.counts(); }
  [[nodiscard]] const budget_exchange_counts& lending() const { return lending_.counts(); }
  [[nodiscard]] const replica_statements::statement_exchange& statements() const {
    return statements_;
  }
  [[nodiscard]] const rate_limits::limit_exchange& limits() const { return limits_; }
  [[nodiscard]] const quarantine::crash_ledger& crashes() const { return crash_ledger_; }
  [[nodiscard]] const quarantine::crash_news_counts& crash_news() const {
    return crash_news_.counts();
  }

 private:
  /// A call of the request itself.
  struct open_call {
    base::call_id id = 0;
    base::replica_id replica;
    /// The end of the life it was made at, should that come.
    replica_end life_end = 0;
    base::time_point started;
    /// Where the replica shows no progress until then, the call is made elsewhere.
    std::optional<base::time_point> stalls_at;
    /// The replica has fetched its inputs by then.
    std::optional<base::time_point> inputs_fetched_at;
    /// Its replica is found lost since then.
    std::optional<base::time_point> found_lost_at;
    /// Latest sign of life that was passed on to the replica table.
    base::time_point heard_at;
    /// Its replica started again since the call began: it ends unless it shows events soon.
    std::optional<base::time_point> life_ended_at{};
  };
  /// A request that waits for a place at a replica. The urgent come first, then those that end
  /// first.
  struct waiting_request {
    std::uint32_t priority = 0;
    base::time_point ends_at;
    base::caller_id client = 0;
    auto operator<=>(const waiting_request&) const = default;
  };
  using place_queue = std::set<waiting_request>;
  /// How a request ends that is not sent again.
  struct failed_ending {
    /// Status of the own answer.
    unsigned code = 0;
    std::string reason;
    /// The replica's answer, which is passed on; without one the node answers itself.
    std::optional<call_answered> answer;
    /// No replica has run it; the own answer says so.
    bool not_run = false;
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
    base::time_point arrived;
    /// The final answer is given by then.
    base::time_point ends_at;
    std::unique_ptr<stage_graph> graph;
    /// Zone of the replica that will most likely run the request.
    base::zone_id zone;
    std::map<piece_ticket, piece_position> pieces;
    std::optional<open_call> call;
    /// Set while it waits for other nodes to lend a repeat: how it ends where they do not.
    std::optional<failed_ending> awaits_loan;
    /// Set while it waits for a replica that may be sent it.
    std::optional<waiting_request> awaits_place;
    std::set<base::replica_id> tried;
    std::uint32_t sent = 0;
    std::uint32_t not_sent = 0;
    /// Some replica may have worked on the request.
    bool may_have_run = false;
    bool stream_begun = false;
    /// When it is judged next whether its stages can still end in time; nothing where it has none.
    std::optional<base::time_point> judge_at;
    /// Whether the last judgement found it hopeless; nothing before the first.
    std::optional<bool> looked_hopeless;
    std::optional<answer_head> stream_head;
    /// Arrival of the first and the latest event, and the longest time between two.
    base::time_point first_event_at;
    base::time_point latest_event_at;
    base::duration longest_pause{};
    event_stream events;
    /// Counts what `events` holds of an event that is not whole yet.
    std::optional<flow::byte_reservation> partial_event;
    /// The client takes less than its replica gives; reading from the replica is paused.
    bool window_closed = false;
    /// When it is decided next what becomes of the paused call; only while the window is closed.
    std::optional<base::time_point> slow_reader_due;
    /// The paused call was cancelled; the stream is resumed when the client reads on.
    bool let_go = false;
    bool judged_slow = false;
    /// When it is looked at next; nothing where nothing of it becomes due.
    std::optional<base::time_point> next_check;
  };

  /// Why regions turn a request away.
  struct residency_refusal {
    std::string reason;
    /// Replicas are there that may take work again.
    bool waiting_helps = false;
  };

  void on(const request_arrived& what, base::time_point now);
  void on(const client_left& what, base::time_point now);
  void on(const client_window& what, base::time_point now);
  void on(const call_failed& what, base::time_point now);
  void on(const answer_paused& what, base::time_point now);
  void on(const answer_resumed& what, base::time_point now);
  void on(const call_answered& what, base::time_point now);
  void on(const stream_opened& what, base::time_point now);
  void on(const stream_bytes& what, base::time_point now);
  void on(const stream_closed& what, base::time_point now);
  void on(const stage_call_ended& what, base::time_point now);
  void on(const statement_heard& what, base::time_point now);
  void on(const replica_probed& what, base::time_point now);

  void admit(const request_arrived& what, std::shared_ptr<const model::route> route,
             const std::optional<model::key_holder>& holder, base::time_point now);
  /// Answers a request at once that may run in no region, or only in such as cannot serve it now.
  /// @return whether it was turned away.
  bool turn_away(active_request& request);
  /// @return why a request cannot be served in the regions allowed; nothing where it can.
  [[nodiscard]] std::optional<residency_refusal>
  residency_refusal_of(const active_request& request) const;
  /// Counts how far a request goes, and whether residency keeps it from a nearer replica.
  void note_way(const active_request& request, const replica_state& chosen, base::time_point now);
  void go_on(active_request& request, base::time_point now);
  /// Refuses a request that no engine has the memory for; no wait changes that.
  /// @return whether it was refused.
  bool refuse_too_large(active_request& request, base::time_point now);
  /// Refuses a request that is not expected to be served in time.
  /// @return whether it was refused.
  bool refuse_hopeless(active_request& request, base::time_point now);
  /// Refuses a request that a stopping node has no time to end.
  /// @return whether it was refused.
  bool refuse_at_stop(active_request& request, base::time_point now);
  /// @return whether a request that cannot end before a planned stop was ended; one that has run
  ///         nowhere is told so.
  bool end_at_stop(active_request& request, base::time_point now);
  /// @return whether a request that is sent to a replica now is expected to end before a planned
  ///         stop must; true where none has begun.
  [[nodiscard]] bool has_time_before_stop(const active_request& request,
                                          base::time_point now) const;
  /// @return what is left of a request whose stages stand as they do.
  [[nodiscard]] remaining_work work_ahead_of(const active_request& request,
                                             base::time_point now) const;
  /// @return the part of the time expected for the events of a stream that is behind it when it is
  ///         taken up after the last one; zero where it lasts longer than expected, since then
  ///         nothing is known of the rest.
  [[nodiscard]] static base::duration passed_on_of(const active_request& request,
                                                   base::duration expected_events);
  /// A run came to its end.
  void note_run(const active_request& request, base::time_point now);
  /// Gives a request up whose stages are too far behind to end in time.
  /// @return whether it was given up.
  bool give_up_hopeless(active_request& request, base::time_point now);
  [[nodiscard]] std::optional<base::duration>
  expected_time(const active_request& request, piece_standing standing, base::time_point now) const;
  /// @return when the client of a request that has sent nothing yet stops waiting.
  [[nodiscard]] static base::time_point client_leaves_at(const active_request& request);
  void submit_pieces(active_request& request, base::time_point now);
  void submit_stage(active_request& request, const std::vector<piece_position>& positions,
                    base::time_point now);
  /// @return whether there were any.
  bool take_piece_results(base::time_point now);
  /// Frees results that the replicas of the next stage have fetched by now.
  void free_fetched_stage_inputs();
  void on_piece_finished(active_request& request, piece_ticket ticket, const piece_outcome& outcome,
                         base::time_point now);
  /// @return whether the maker of a result is gone or cannot be reached.
  [[nodiscard]] bool is_lost(const std::string& handle, base::time_point now) const;
  /// Results that the request itself reads are gone: makes them again.
  void remake_final_inputs(active_request& request, base::time_point now);
  /// Cancels the pieces that wait for a result which is made again, and submits what can be made.
  void go_on_after_loss(active_request& request, const std::vector<std::string>& useless,
                        base::time_point now);
  /// @return the next call of a request, at a chosen replica.
  [[nodiscard]] start_call call_of(const active_request& request, const replica_state& chosen,
                                   base::time_point now);
  void send_to_replica(active_request& request, base::time_point now);
  [[nodiscard]] bool is_engine(const std::string& service) const;
  /// @return time within which a replica that is alive shows progress with a new call; 0 where that
  ///         is not watched.
  [[nodiscard]] base::duration time_to_progress(const active_request& request,
                                                const replica_state& replica,
                                                base::time_point now) const;
  const replica_state* choose_replica(const active_request& request, base::time_point now);
  const replica_state* choose_for(const replica_demand& demand, base::time_point now);
  /// @return what a request is known by when it comes again.
  static const quarantine::request_digest& digest_of(const active_request& request);
  /// @return the same for the log line of a call that ended without a whole answer.
  static std::string identity_text(const active_request& request);
  /// Ends the account of the open call. @return the call.
  open_call close_call(active_request& request);
  /// Takes in that a replica answered.
  void note_answer(const base::replica_id& replica, const answer_head& head, base::time_point now);
  /// Tells what replicas say of themselves, keeps to the limits that they name, and has the
  /// requests looked at that wait for a place.
  void advance_statements(base::time_point now);
  /// Reports what replicas say of themselves that was not known before.
  void record_statements();
  [[nodiscard]] std::optional<replica_statements::published_replica>
  find_published(const base::replica_id& id) const;
  /// @return what is asked of the replicas of its service for a request.
  [[nodiscard]] static replica_demand demand_of(const active_request& request);
  /// A request may be sent limited replicas too: has a permit asked for.
  void want_permit(const active_request& request, base::time_point now);
  [[nodiscard]] static waiting_request place_of(const active_request& request);
  /// @return whether requests that go before this one wait, and the first could be sent now.
  [[nodiscard]] bool is_behind_others(const active_request& request, base::time_point now);
  /// @return the replica that takes a request now; null where it waits for its turn or a place, or
  ///         was answered since no replica takes it in its time.
  const replica_state* choose_in_turn(active_request& request, base::time_point now);
  /// @return after which time a client that is refused may find a replica.
  [[nodiscard]] base::duration least_return_time(const active_request& request,
                                                 base::time_point now) const;
  /// No replica may be sent a request now: it waits for a place, or is refused at once where none
  /// can come in its time.
  /// @return whether either was done; not where no replica that has places later could serve it.
  bool await_place(active_request& request, base::time_point now);
  void enqueue_for_place(active_request& request);
  /// @return when a request is expected to get a place, behind so many others; nothing where no
  ///         replica that has places later could serve it, and forever where those that could take
  ///         nothing.
  [[nodiscard]] std::optional<base::duration> expected_wait_for_place(const active_request& request,
                                                                      std::size_t ahead,
                                                                      base::time_point now) const;
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
  [[nodiscard]] base::duration wait_behind(const std::string& service, base::duration opening,
                                           std::size_t ahead, base::time_point now) const;
  /// Refuses a request whose stages would be made in vain, since no replica takes it in its time.
  /// @return whether it was refused.
  bool refuse_without_outlook(active_request& request, base::time_point now);
  /// Refuses a request that gets no place in its time, and says when there may be one.
  void refuse_without_place(active_request& request, base::duration wait, base::time_point now);
  void go_on_with_places(base::time_point now);
  /// Looks at the requests of one service in their order.
  void go_on_with_places_of(const std::string& service, base::time_point now);
  /// Has as many permits asked for as requests of a service wait.
  void ask_for_waiting(const std::string& service, base::time_point now);
  void leave_place_queue(active_request& request);
  void on_not_executed(active_request& request, const answer_head& head, base::time_point now);
  /// After an attempt that may have run: once more where that is allowed, else the final answer.
  void repeat_or_fail(active_request& request, base::time_point now);
  /// Makes the next attempt, which was granted: a stream goes on after the last event passed on.
  void send_again(active_request& request, base::time_point now);
  /// Sends a request again where attempts, time and share allow it, waits shortly where others may
  /// lend of theirs, and ends it otherwise.
  void send_again_or_end(active_request& request, failed_ending ending, base::time_point now);
  void end_failed(active_request& request, const failed_ending& ending, base::time_point now);
  /// A call ended without a whole answer: finds out whether its replica ended with it.
  void note_lost_call(const active_request& request, const base::replica_id& replica,
                      replica_end life_end, base::time_point now);
  /// @param evidence what showed that a replica ended, for the log.
  void note_replica_ended(const base::replica_id& replica, const char* evidence,
                          base::time_point now);
  void note_end_under(const quarantine::ended_call& call, const base::replica_id& replica,
                      const char* evidence, base::time_point now);
  /// Tells other nodes what has changed, and forgets what is over.
  void advance_crashes(base::time_point now);
  /// Finds watched replicas that are published no longer.
  void find_ended_replicas(base::time_point now);
  /// A replica answered: it has not ended after all, where that was believed of this life.
  void withdraw_end(const base::replica_id& replica, base::time_point now);
  /// A run of a request came to an end and its replica lives.
  void note_survived(const active_request& request, base::time_point now);
  [[nodiscard]] quarantine::standing standing_of(const active_request& request,
                                                 base::time_point now) const;
  /// Refuses a request that is held back. @return whether it was refused.
  bool refuse_in_quarantine(active_request& request, base::time_point now);
  /// A request is held back from now on: those of it that wait or have shown nothing yet end.
  void quarantine_request(const quarantine::request_digest& digest, base::time_point now);
  [[nodiscard]] static bool has_attempt_left(const active_request& request, base::time_point now);
  /// @return whether another attempt is allowed and would end before a planned stop must; the share
  ///         of repeats is not asked.
  [[nodiscard]] bool can_be_sent_again(const active_request& request, base::time_point now) const;
  /// Looks at the requests that wait for a loan.
  void go_on_with_loans(base::time_point now);
  [[nodiscard]] bool may_send_again(active_request& request, base::time_point now);
  void pass_on(active_request& request, const call_answered& answer, base::time_point now);
  void begin_stream(active_request& request, base::time_point now);
  /// Keeps account of when events arrive, for what is recorded at the end of the stream.
  static void note_event(active_request& request, base::time_point now);
  void watch_progress(active_request& request, base::duration allowed, base::time_point now);
  /// Tells the replica table of a sign of life, not for every event of a stream.
  void note_heard(open_call& call, base::time_point now);
  /// The replica's side rests until the client reads on.
  void pause_stream(active_request& request, base::time_point now);
  /// The client reads on: so does the replica's side, which is taken up again where it was let go.
  void go_on_with_stream(active_request& request, base::time_point now);
  /// Before the replica would cut a resting stream off: lets it go where it can be taken up again,
  /// else has it buffered.
  void decide_on_slow_reader(active_request& request, base::time_point now);
  [[nodiscard]] static bool can_be_let_go(const active_request& request);
  void judge_slow(active_request& request);
  /// Counts what is held of an event that is not whole yet. @return whether there is memory for it.
  bool count_partial_event(active_request& request);
  void give_up(active_request& request, const std::string& reason, base::time_point now);
  /// @return when something of a request is due: a judgement, inputs that were fetched, a replica
  ///         without progress.
  [[nodiscard]] static std::optional<base::time_point> next_due(const active_request& request);
  /// Has a request looked at when something of it is due. Later times are left to the check that
  /// stands, so that an event of a stream costs nothing.
  void schedule_check(active_request& request);
  /// Looks at the requests of which something is due.
  void check_requests(base::time_point now);
  /// Has the repeatable calls at a lost replica looked at that have shown nothing since it fell
  /// silent.
  void look_at_calls_of(const base::replica_id& replica, base::time_point now);
  /// A call shows no progress: it is made elsewhere, or ended where that is not allowed and its
  /// replica is lost; otherwise it is looked at again soon.
  void on_stalled(active_request& request, base::time_point now);
  /// @return whether nothing was heard of the replica of a call since the call last showed
  /// anything.
  [[nodiscard]] bool is_silent(const active_request& request) const;
  /// Makes a call that shows no progress elsewhere, where that is allowed and there is a replica;
  /// otherwise it is looked at again soon, since either may change.
  void take_up_elsewhere(active_request& request, base::time_point now);
  /// Replicas started again under their id: what is kept of their earlier lives is given up.
  /// Takes over what changed of the published replicas, or all of them.
  void update_replicas(const catalog::catalog& content, bool all, base::time_point now);
  void give_up_earlier_lives(base::time_point now);
  void give_up_earlier_life(const replica_restart& restart, base::time_point now);
  /// Has a call at a life that is over made elsewhere, or ended where that is not allowed.
  void leave_earlier_life(active_request& request, base::time_point now);
  /// A call at a life that is over cannot be made elsewhere: it ends unless it shows events soon.
  void end_at_earlier_life(active_request& request, base::time_point now);
  /// Reports replicas of services that are not configured, each once.
  void report_unknown_services();
  /// Frees results that the replica has fetched by now.
  void free_fetched_inputs(active_request& request, base::time_point now);
  void expire(base::time_point now);

  void refuse(base::caller_id client, const base::request_id& id, unsigned status,
              const std::string& reason, base::duration retry_after);
  /// Answers that a request was not run; one that may have run has failed instead.
  void answer_not_run(active_request& request, const std::string& reason, base::time_point now);
  void answer_failed(active_request& request, unsigned status, const std::string& reason,
                     base::time_point now);
  /// Forgets a request: cancels its pieces and call, frees its results.
  void finish(active_request& request, unsigned status, const std::string& reason,
              base::time_point now);
  void free(const std::vector<std::string>& handles);
  /// Fills in where the pieces of a stage are best made: where what they read lies, or where what
  /// they make is read.
  void choose_zone(const active_request& request, std::uint32_t stage, piece_work& work) const;
  base::zone_id wanted_zone(const active_request& request, base::time_point now);
  active_request* find_by_call(base::call_id call);
  void record(base::event_kind kind, const active_request& request, const std::string& subject,
              const std::string& detail);

  fleet_peer self_;
  serving_settings settings_;
  decision_recorder record_;
  base::random_source* random_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  /// Changes of the catalog that were taken over.
  std::uint64_t seen_changes_ = 0;
  base::call_id next_call_ = 1;
  distance from_here_;
  replica_statements::statement_exchange statements_;
  rate_limits::limit_exchange limits_;
  replica_table replicas_;
  least_loaded_chooser plain_replicas_;
  engine_directory directory_;
  engine_chooser engines_;
  retry_share retries_;
  retry_lending lending_;
  replica_news news_;
  quarantine::crash_watch crash_watch_;
  quarantine::crash_ledger crash_ledger_;
  quarantine::crash_news crash_news_;
  base::time_point next_crash_expiry_;
  std::vector<quarantine::request_digest> newly_held_back_;
  stage_exchange stages_;
  admission_estimate estimate_;
  run_times run_times_;
  stop_plan stop_;
  std::unordered_map<base::caller_id, active_request> active_;
  std::unordered_map<base::call_id, base::caller_id> calls_;
  /// Requests with a call at each replica.
  std::unordered_map<base::replica_id, std::set<base::caller_id>> clients_at_;
  std::unordered_map<piece_ticket, base::caller_id> tickets_;
  /// Services that are not configured, by the replicas that name them, as reported.
  std::map<base::replica_id, std::string> unknown_services_;
  /// Requests that wait for a loan, the earliest first.
  std::vector<base::caller_id> awaiting_loans_;
  /// Requests that wait for permits, by service, and how fast they get them.
  std::map<std::string, place_queue> awaiting_places_;
  std::map<std::string, drain_rate> place_drains_;
  base::time_point next_place_check_;
  /// Set while those who wait are looked at in their order.
  bool hands_out_places_ = false;
  std::uint64_t permits_seen_ = 0;
  std::set<std::pair<base::time_point, base::caller_id>> ends_;
  std::set<std::pair<base::time_point, base::caller_id>> checks_;
  serving_counters counters_;
  std::shared_ptr<flow::byte_budget> budget_;
  command_list commands_;
};

} // namespace spurrack::serving
