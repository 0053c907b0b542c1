/// Request lifecycle on the serving path: route and tenant, stage pieces, the call at a replica,
/// retries, streams, deadlines and answers. No I/O.
#pragma once

#include "dispatch/dispatcher_state.h"
#include "dispatch/open_end.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace spurrack::serving {

/// Decides how each request is served: refuses it, queues it, computes its stages, sends it to
/// replicas and forwards the answer. Commands for the I/O layer and messages to other nodes are
/// collected until `take_commands` and `take_messages` are called. Not thread-safe.
///
/// An attempt is a call of a request at one replica, and a run is the execution of the request
/// there. A piece is a part of a stage of the request; all pieces must be computed before the
/// request itself is sent to a replica. A ticket identifies a piece that was submitted to
/// `stage_exchange`. A request gets a slot when it may be sent to some replica; if the replica
/// announces a rate limit, this node needs a permit for each request that it sends there. An exit
/// is the end of a replica's process, planned or by a crash; an exit under a request is one that
/// happened while the replica ran the request. A call is lost if it ends without a whole answer,
/// and stalled if it makes no progress in time. A stream is suspended while its call is cancelled
/// because the client reads too slowly. The digest identifies a request: if a client sends the
/// request again, its digest is the same. A quarantined request is refused because replicas exited
/// while they ran it.
class dispatcher : public dispatcher_state {
 public:
  /// @param random must outlive this object.
  /// @param incarnation number of this process; earlier processes of this node had lower ones.
  dispatcher(const fleet_peer& self, const serving_settings& settings, base::random_source& random,
             base::incarnation incarnation, decision_recorder record);

  /// Applies the published configuration, replicas and evacuations.
  void update(const catalog::catalog& content, base::time_point now);
  /// @param known_peers number of other nodes that are known, including dead nodes.
  void set_peers(std::vector<fleet_peer> alive, std::size_t known_peers);
  /// Begins a graceful stop: other nodes batch the pieces of stages from now on, and only requests
  /// that are expected to complete by `must_end_at` are accepted or sent to a replica.
  void begin_stop(base::time_point now, base::time_point must_end_at);

  void handle(const event& input_event, base::time_point now);
  void handle_peer(const base::node_id& sender, const wire::stage_work& message,
                   base::time_point now);
  void handle_peer(const wire::engine_news& message, base::time_point now) {
    engine_directory_.handle(message, now);
  }
  /// Processes another node's query for a transfer of retry budget, or its answer to such a query.
  void handle_peer(const base::node_id& sender, const base::network_address& address,
                   const wire::retry_lending& message, base::time_point now);
  /// Records another node's health reports on replicas. If a replica in the message is now declared
  /// down, this node's calls at that replica are checked for stalls at once.
  void handle_peer(const base::node_id& sender, const wire::replica_news& message,
                   base::time_point now);
  /// Processes another node's question for nodes that hear from replicas, or its answer to one.
  void handle_peer(const base::node_id& sender, const base::network_address& address,
                   const wire::relay_offer& message, base::time_point now);
  /// Processes origins of streams, queries for origins, or answers to such queries.
  void handle_peer(const base::node_id& sender, const base::network_address& address,
                   const wire::stream_origins& message, base::time_point now);
  /// Merges another node's records of requests under which replicas exited.
  void handle_peer(const base::network_address& address, const wire::crash_news& message,
                   base::time_point now);
  /// Processes a message of another node, which contains self-reports of replicas, queries for
  /// permits, issued permits, or several of these.
  void handle_peer(const base::node_id& sender, const wire::rate_limits& message,
                   base::time_point now);
  /// Queries other nodes for the messages that this process missed while it was suspended.
  void resume_after_suspension(base::time_point now);
  /// Records that this process stood: for `stand` it neither read its sockets nor handled events.
  /// Extends the times by which replicas and clients must show progress by as much.
  void note_stand(base::duration stand, base::time_point now);
  /// Ends the quarantine of a suspect on behalf of an operator.
  /// @return whether the crash registry had a record of the suspect.
  bool release_suspect(const quarantine::suspect_digest& digest, base::time_point now);
  /// Aborts requests whose deadline has passed, runs all other checks that are due, and dispatches
  /// waiting requests and pieces.
  void advance(base::time_point now);
  /// Aborts all active requests. Called when the time allowed for a graceful stop is over.
  void abort_all_requests(base::time_point now);

  [[nodiscard]] std::optional<base::time_point> next_wakeup(base::time_point now) const;
  [[nodiscard]] command_list take_commands();
  [[nodiscard]] wire::outbox take_messages();

 private:
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
             const std::optional<model::access_key_holder>& holder, base::time_point now);
  /// Checks a request on arrival, after its service is settled, and lets it continue if no check
  /// refuses it.
  void start_request(active_request& request, base::time_point now);

  // Origins of resumed streams.

  [[nodiscard]] static bool is_resumable_stream(const active_request& request);
  /// @return whether the client has events of the stream and it is not known which version wrote
  ///         them.
  [[nodiscard]] static bool needs_origin(const active_request& request);
  /// Finds out which service and version began the stream of a request, and binds the request to
  /// them. If the origin must be looked up at other nodes, the request waits and continues later.
  /// @return whether the request may continue now; false if it waits or was refused.
  bool settle_origin(active_request& request, base::time_point now);
  /// Binds a request to the origin of its stream, or refuses it if the origin is not known and the
  /// service may have several versions, or if no replica of the version accepts work.
  /// @return whether the request may continue.
  bool apply_origin(active_request& request, const streams::origin_finding& finding,
                    base::time_point now);
  /// Binds a request whose origin nobody recorded to the only version of its service, if it is
  /// proven that this version began the stream. If the list of replicas must be verified first, the
  /// request waits and continues later. Refuses it otherwise.
  /// @return whether the request may continue now.
  bool apply_only_version(active_request& request, const streams::origin_finding& finding,
                          base::time_point now);
  /// Queries the witnesses of a request's stream. @return whether the request may continue now.
  bool look_up_origin(active_request& request, base::time_point now);
  /// Lets a request continue whose origin was settled while it waited.
  void continue_with_origin(active_request& request, base::time_point now);
  /// @return what this node knows about the version that began the stream of a request.
  [[nodiscard]] streams::version_case version_case_of(const active_request& request,
                                                      const streams::origin_finding& finding,
                                                      base::time_point now) const;
  /// Lets a request wait until the list of replicas is verified. @return false if it has waited
  /// long enough, or if the list could not be verified for an earlier request and was not since.
  bool wait_for_verified_list(const active_request& request, const streams::origin_finding& finding,
                              base::time_point now);
  /// Settles the origins of the requests whose wait for a verified list is over.
  void process_list_waits(base::time_point now);
  /// @param finding outcome of the look-up before the list was verified.
  /// @return whether the request may continue now.
  bool settle_by_verified_list(active_request& request, const streams::origin_finding& finding,
                               base::time_point now);
  /// Refuses a request to resume a stream whose origin nobody recorded and that is not proven.
  void refuse_unknown_origin(active_request& request, streams::version_verdict verdict,
                             base::time_point now);
  /// @return earliest time at which the stream that a request resumes may have begun.
  [[nodiscard]] base::time_point earliest_begin_of(const active_request& request,
                                                   base::time_point now) const;
  /// @return text for the log: how long ago the stream may have begun, for how long and until when
  ///         this node and the queried ones know the versions of the service, and how the list of
  ///         replicas is dated.
  [[nodiscard]] std::string version_evidence_text(const active_request& request,
                                                  const streams::version_case& known,
                                                  base::time_point now) const;
  /// Refuses a request to resume a stream, or breaks its answer off, because the stream cannot go
  /// on at the version that began it.
  /// @param retry_after zero if waiting does not help.
  void refuse_resumption(active_request& request, const std::string& reason,
                         base::duration retry_after, base::time_point now);
  /// Refuses a request whose version no longer accepts work.
  bool refuse_if_version_left(active_request& request, base::time_point now);
  /// Continues the requests whose look-ups have ended.
  void process_origin_findings(base::time_point now);
  /// Counts a call for a resumable stream; records the origin if the request is bound to it.
  void note_stream_sent(active_request& request, base::time_point now);
  /// Records the origin of a stream that is bound.
  void note_bound_origin(const active_request& request, base::time_point now);
  /// @return whether the witnesses are told the origin of a request's stream: another node might
  ///         otherwise let it go on at another version, or at another service of the route.
  [[nodiscard]] bool is_origin_shared(const active_request& request) const;
  /// Binds a stream to the version of the replica that wrote its event, and records its origin.
  void bind_stream(active_request& request, base::time_point now);
  /// Tells the witnesses of open streams their origins if a second version of their service
  /// appeared, or can no longer be ruled out.
  void share_origins(base::time_point now);
  /// Cancels a call of a resumable stream whose replica restarted under its id with other software,
  /// because either version may write, or have written, its events: retries a call without an
  /// event, and breaks the answer off otherwise.
  /// @return whether the call was cancelled.
  bool end_call_at_other_software(active_request& request, base::time_point now);
  /// Ends suspended streams whose version has left.
  void end_streams_of_left_versions(base::time_point now);

  /// Asks other nodes about the versions of the services for which this node does not know long
  /// enough that there is one version alone: soon after a start or a gap in the list of replicas,
  /// and then at growing intervals.
  void ask_for_versions(base::time_point now);
  /// Adopts the answers to such a question. @return false if the finding belongs to a stream.
  bool apply_version_answers(const streams::stream_key& question,
                             const streams::origin_finding& finding, base::time_point now);
  /// @return services of resumable routes with one version, of which a stream may be resumed that
  ///         began before this node knew so.
  [[nodiscard]] std::set<std::string> services_with_short_evidence(base::time_point now) const;

  /// Refuses a request that may run in no region, or whose permitted regions lack a replica that
  /// accepts work of a service that the request needs. Like every function that returns bool and
  /// whose name begins with `refuse_` or `abort_if_`, it returns whether it ended the request.
  bool refuse_by_residency(active_request& request);
  /// Counts a call by the locality of its replica: same zone as this node, same region or
  /// elsewhere. Also counts the request, on its first attempt, if its regions are restricted and a
  /// replica nearer to this node than the chosen one accepts calls.
  void note_locality(const active_request& request, const replica_state& chosen,
                     base::time_point now);
  /// @return whether a request without a call is sent later, when its wait ends.
  [[nodiscard]] static bool waits_for_other_reason(const active_request& request);
  /// Submits the pieces that have all inputs, or sends the request if its stages are done.
  void continue_request(active_request& request, base::time_point now);
  /// Refuses a request that exceeds the memory of any engine of its service, without a Retry-After
  /// time because waiting does not help.
  bool refuse_too_large(active_request& request, base::time_point now);
  /// Refuses a request with stages if the first byte of its answer is not expected in time.
  bool refuse_infeasible(active_request& request, base::time_point now);
  /// Refuses a request at once while this node is partitioned from all replicas and hears from none
  /// on open connections either.
  bool refuse_while_partitioned(active_request& request, base::time_point now);
  /// @return node to which a request may be passed on now; std::nullopt if there is none.
  std::optional<relay> choose_relay(const active_request& request, base::time_point now);
  /// Passes a request on to another node if this node is partitioned from all replicas and another
  /// one offered itself. A request passes one other node at most.
  /// @return whether the request was passed on.
  bool pass_on(active_request& request, base::time_point now);
  /// Forwards the answer of the node to which a request was passed on.
  void on_relay_answer(active_request& request, const call_answered& answered,
                       base::time_point now);
  /// Probes replicas while the paths of this node are in doubt, and applies the result.
  void check_paths(base::time_point now);
  void apply_path_state(base::time_point now);
  /// Refuses a request that a stopping node has no time to complete.
  bool refuse_while_stopping(active_request& request, base::time_point now);
  /// Aborts a request that is not expected to complete before the end of a graceful stop. The
  /// answer states that the request was not run, or that it failed if a replica may have begun to
  /// run it.
  bool abort_if_late_for_stop(active_request& request, base::time_point now);
  /// @return whether a request that is sent to a replica now is expected to complete before the end
  ///         of a graceful stop; true if no stop has begun.
  [[nodiscard]] bool has_time_before_stop(const active_request& request,
                                          base::time_point now) const;
  /// @return remaining work of a request, given the progress of its stages and its stream.
  [[nodiscard]] remaining_work remaining_work_of(const active_request& request,
                                                 base::time_point now) const;
  /// @return time between the first and the latest event of a stream. A resumption after the latest
  ///         event does not need this time again. Zero if the stream has not begun or its client is
  ///         slow; also zero if the stream has already lasted as long as expected, because its
  ///         remaining time is then unknown.
  [[nodiscard]] static base::duration streamed_time_of(const active_request& request,
                                                       base::duration expected_streaming_time);
  /// Records the duration of a completed run, unless its stream was resumed or its client was slow.
  void note_completed_run(const active_request& request, const open_call& call,
                          base::time_point now);
  /// Checks whether the stages of a request can still end in time, if that check is due. Aborts the
  /// request if its first check or two consecutive checks find that they cannot.
  bool abort_if_infeasible(active_request& request, base::time_point now);
  /// @return expected time until the first byte of the answer; std::nullopt if some stage cannot be
  ///         computed now.
  [[nodiscard]] std::optional<base::duration>
  expected_time_to_first_byte(const active_request& request, piece_order order,
                              base::time_point now) const;
  /// @return time at which the client stops waiting for the first byte.
  [[nodiscard]] static base::time_point client_deadline_of(const active_request& request);
  void submit_pieces(active_request& request, base::time_point now);
  void submit_stage(active_request& request, const std::vector<piece_position>& positions,
                    base::time_point now);
  /// Applies what `stages_` reports of submitted pieces: results, lost calls and fetched inputs.
  /// @return whether any piece finished, with or without a result.
  bool process_piece_results(base::time_point now);
  /// Frees stage results that the replicas of the next stage have fetched.
  void free_fetched_stage_inputs();
  void on_piece_finished(active_request& request, const finished_piece& finished,
                         base::time_point now);
  /// Records that the call with a piece was lost, or is silent past its timeout.
  void note_lost_piece(active_request& request, const lost_piece& lost, base::time_point now);
  /// Withdraws the pieces of requests with a suspect whose calls are silent: they are computed
  /// again only as a trial.
  void withdraw_silent_pieces_of(const quarantine::suspect_digest& digest, base::time_point now);
  void withdraw_silent_pieces(active_request& request, base::time_point now);
  /// Cancels the submitted pieces of a request.
  void cancel_pieces(active_request& request);
  /// @return whether a stage result is taken for lost: the process that holds it is no longer
  ///         published, is paused after failures, or another process has its address.
  [[nodiscard]] bool is_result_lost(const stage_result& result, base::time_point now) const;
  /// Recomputes the lost stage results that the request itself reads.
  void recompute_final_inputs(active_request& request, base::time_point now);
  /// Cancels submitted pieces whose inputs must be recomputed first, and submits the pieces whose
  /// inputs are complete.
  /// @param obsolete_results results to free.
  void resubmit_after_loss(active_request& request,
                           const std::vector<stage_result>& obsolete_results, base::time_point now);
  /// @return command that sends a request to the chosen replica.
  [[nodiscard]] start_call make_call(const active_request& request, const replica_state& chosen,
                                     base::time_point now);
  /// Checks a request before it is sent to a replica, and ends it, passes it on or lets it wait if
  /// a check demands that.
  /// @return whether the request may be sent now.
  bool may_be_sent_now(active_request& request, base::time_point now);
  void send_to_replica(active_request& request, base::time_point now);
  /// Calls the replica that was chosen for a request.
  void call_replica(active_request& request, const replica_state& chosen, base::time_point now);
  [[nodiscard]] bool is_engine(const std::string& service) const;
  /// @return time within which a call at a healthy replica makes progress; 0 if progress is not
  ///         watched.
  [[nodiscard]] base::duration progress_timeout(const active_request& request,
                                                const replica_state& replica,
                                                base::time_point now) const;
  const replica_state* choose_replica(const active_request& request, base::time_point now);
  const replica_state* choose_replica_for(const replica_requirements& demand, base::time_point now);
  /// @return what may crash a replica that runs a request, computed on first use.
  static const std::vector<quarantine::suspect>& suspects_of(const active_request& request);
  /// @return name of a suspect of a request for the log: its kind and digest, and the id of a part.
  static std::string name_of(const quarantine::suspect& subject, const active_request& request);
  /// @return text with the digest, for the log entry of a call that ended without a whole answer.
  static std::string digest_text(const active_request& request);
  /// Removes the open call from the request and from all indexes, and returns it. Leaves what is
  /// needed to count an exit of the replica later. Every call of a request ends here.
  open_call close_call(active_request& request, call_end end, base::time_point now);
  /// Records a call that ended without a whole answer, as `trace_of(end)` demands.
  void leave_trace(const active_request& request, const open_call& call, call_end end,
                   base::time_point now);
  /// Records the exit of a replica that is published no longer under a request whose call there
  /// made no progress since.
  void note_unpublished_exit(const active_request& request, open_call& call, base::time_point now);
  /// Records that a replica is active because it sent an answer. If an exit of its current
  /// incarnation is recorded and the answer shows that this incarnation still runs, withdraws the
  /// recorded exit.
  void note_answer(active_request& request, const answer_head& head, base::time_point now);
  /// Sends due messages about self-reports and permits, and processes the admission queues.
  void advance_self_reports(base::time_point now);
  /// Records an event for each drain, limit or backoff that a replica has newly reported of itself.
  void record_self_report_changes();
  /// @return requirements of a request on the replica that runs it.
  [[nodiscard]] static replica_requirements requirements_of(const active_request& request);
  /// Requests a permit for one replica, drawn at random among those that could serve the request
  /// but for which this node holds no permit.
  void request_permit(const active_request& request, base::time_point now);
  [[nodiscard]] static waiting_request queue_entry_of(const active_request& request);
  /// @return whether the first request of the admission queue precedes this request and could be
  ///         sent now.
  [[nodiscard]] bool is_behind_waiting_requests(const active_request& request,
                                                base::time_point now);
  /// Chooses a replica for the request, or queues or refuses it if no replica accepts it now.
  /// @return the chosen replica; null if the request was queued or refused.
  const replica_state* choose_in_turn(active_request& request, base::time_point now);
  /// @return time after which a refused client should send the request again: the configured
  ///         Retry-After time; or the time until the first requested backoff ends, if that is
  ///         longer and no replica accepts the request now.
  [[nodiscard]] base::duration shortest_retry_after(const active_request& request,
                                                    base::time_point now) const;
  /// Queues a request that no replica accepts now, or refuses it if no slot is expected in time.
  /// @return whether the request was queued or refused; false if no replica that could serve it is
  ///         expected to have a slot later.
  bool queue_or_refuse(active_request& request, base::time_point now);
  void enqueue(active_request& request);
  /// @param requests_ahead number of queued requests before this request.
  /// @return expected time until the request gets a slot; std::nullopt if no replica that could
  ///         serve it is expected to have a slot later; one hour if the limits of these replicas
  ///         are all zero.
  [[nodiscard]] std::optional<base::duration> expected_queue_wait(const active_request& request,
                                                                  std::size_t requests_ahead,
                                                                  base::time_point now) const;
  /// @return expected time until this node gets a permit for the request at a `limited` replica.
  [[nodiscard]] base::duration
  expected_permit_wait(const std::string& service, const std::vector<const replica_state*>& limited,
                       std::size_t requests_ahead, base::time_point now) const;
  /// @return rate per second at which queued requests of a service recently got slots; std::nullopt
  ///         if no request was queued recently.
  [[nodiscard]] std::optional<double> drain_rate_of(const std::string& service,
                                                    base::time_point now) const;
  /// @param backoff_wait time until the earliest end of the backoffs that replicas requested.
  /// @return expected time until the request is sent.
  [[nodiscard]] base::duration expected_backoff_wait(const std::string& service,
                                                     base::duration backoff_wait,
                                                     std::size_t requests_ahead,
                                                     base::time_point now) const;
  /// Refuses a request with stages if no replica is expected to accept it in time, so that its
  /// stages are not computed for nothing.
  bool refuse_without_expected_slot(active_request& request, base::time_point now);
  /// Refuses a request that gets no slot in time, or answers that it failed if it may have run.
  /// @param wait expected time until a slot, from which the Retry-After time is derived.
  void refuse_without_slot(active_request& request, base::duration wait, base::time_point now);
  void process_admission_queues(base::time_point now);
  /// Goes through the admission queue of one service in order: sends the requests that have a slot,
  /// and refuses those that are not expected to get a slot in time.
  void process_admission_queue(const std::string& service, base::time_point now);
  /// Requests one permit for each queued request of a service: for each software version that
  /// requests are bound to, and for the requests that are bound to none.
  void request_permits_for_waiting(const std::string& service, base::time_point now);
  /// Requests one permit for each of `waiting_requests` requests that may run where `first` may.
  void request_permits_for(const active_request& first, std::size_t waiting_requests,
                           base::time_point now);
  void leave_admission_queue(active_request& request);
  /// @param has_timed_out whether the connection was given up because the other side acknowledged
  ///        nothing.
  [[nodiscard]] static end_evidence evidence_of(bool has_timed_out);
  void on_not_executed(active_request& request, const answer_head& head, base::time_point now);
  /// Retries a request after an attempt that may have run, if its route, its attempts, its deadline
  /// and the retry budget allow that; otherwise the request fails.
  void retry_or_fail(active_request& request, base::time_point now);
  /// Sends a retry that the retry budget granted. A stream resumes after the last forwarded event.
  void send_retry(active_request& request, base::time_point now);
  /// Retries a request if attempts, time and retry budget allow it. If only the retry budget does
  /// not suffice, the request waits briefly for a transfer of retry budget from other nodes. If it
  /// can neither be retried nor wait, it fails with `outcome`.
  void retry_or_fail_with(active_request& request, failure_outcome outcome, base::time_point now);
  void fail_with(active_request& request, const failure_outcome& outcome, base::time_point now);
  /// Records a lost call, and has its replica probed to find out whether the replica exited.
  /// @param exit assumed exit, at the present time. Its call has no known begin if the call may not
  ///        have reached the replica.
  /// @param started_at time at which the call began.
  void note_lost_call(const active_request& request, const quarantine::exit_observation& exit,
                      base::time_point started_at, call_trace trace, base::time_point now);
  /// The same as `note_replica_exit`, if the calls ended because the replica exited.
  void note_timed_exit(const base::replica_id& replica, const char* evidence, base::time_point now);
  /// Counts the exit of a replica against each request that had a lost call (one that ended without
  /// a complete answer) at this replica.
  /// @param evidence observation that showed the exit, for the log.
  void note_replica_exit(const base::replica_id& replica, const char* evidence,
                         base::time_point now);
  /// Probes other replicas if a replica with lost calls refused a connection: if another one
  /// accepts, the refusal shows an exit and not a partition of this node.
  void probe_other_replicas(base::time_point now);
  /// Records the exits of the replicas that refused connections, if connections of this node to
  /// another replica are shown to work.
  void confirm_refused_replicas(base::time_point now);
  /// Records the exit of a replica as an exit under the request of one lost call.
  void note_exit_under_request(const quarantine::lost_call& call, const base::replica_id& replica,
                               const char* evidence, base::time_point now);
  /// Finds recent exits of brittle replicas that were overrun; no request is their cause.
  void find_overrun_replicas(base::time_point now);
  /// Records the exits that other nodes saw under the requests of this node that had a call at the
  /// replica then: a partitioned node does not notice the end of its calls, or not why they ended.
  void apply_told_exits(base::time_point now);
  /// Drops expired records of exits, begins the quarantines that are due, and sends due crash
  /// reports to other nodes.
  void advance_crashes(base::time_point now);
  /// Records the exits of replicas that have lost calls and are no longer published.
  void find_exited_replicas(base::time_point now);
  /// Withdraws the recorded exit of the published incarnation of a replica that has just answered,
  /// if the exit is at least `min_withdrawal_age` old: the answer shows that the incarnation runs.
  void withdraw_exit(const base::replica_id& replica, base::time_point now);
  /// Records that a run ended without an exit, which clears the exits recorded under its request.
  /// @param evidence observation that shows that the replica went on, for the log.
  void note_survived(const active_request& request, const char* evidence,
                     base::time_point survived_at);
  /// The same for calls whose requests may have ended. A request with an exit later than its run is
  /// not cleared.
  void note_survived(const std::vector<quarantine::lost_call>& calls, const char* evidence);
  [[nodiscard]] quarantine::quarantine_state quarantine_state_of(const active_request& request,
                                                                 base::time_point now) const;
  bool refuse_if_quarantined(active_request& request, base::time_point now);

  // Suspected exits.

  /// Probes a replica that is silent, and looks a moment later whether its exit is suspected.
  void watch_silence(const base::replica_id& replica, base::time_point now);
  /// Watches the silence of the replica of a call if that is due.
  void check_silence_of(active_request& request, base::time_point now);
  /// Looks at the replicas that `watch_silence` probed.
  void check_silences(base::time_point now);
  /// @return whether an exit of a replica is suspected: it has been silent for some time, answers
  /// no
  ///         new connection, and others are heard.
  [[nodiscard]] bool seems_exited(const replica_state& replica, base::time_point silent_since,
                                  base::time_point now) const;
  /// Suspects that the replica of a call has exited, if it seems so.
  void suspect_exit_of(active_request& request, base::time_point now);
  /// The same for the open and the lost calls at a replica.
  void suspect_exits_at(const base::replica_id& replica, base::time_point now);
  /// @param suspects what the replica ran.
  /// @param evidence observation that raises the suspicion, for the log.
  void note_suspected_exit(const std::vector<quarantine::suspect>& suspects,
                           const quarantine::suspected_exit& suspicion, const char* evidence,
                           base::time_point now);
  /// @return time at which a replica was last heard, by this node or by another one.
  [[nodiscard]] base::time_point last_heard_of(const replica_state& replica) const;
  /// @return whether another replica was heard after a time.
  [[nodiscard]] bool hears_others_after(const base::replica_id& replica,
                                        base::time_point when) const;
  /// Records that a call delivers bytes, which disproves earlier suspicions of its replica.
  void disprove_suspicions(const open_call& call, base::time_point now);
  /// Ends the suspicions that a sign of life of a replica disproves.
  void disprove_suspicions(const quarantine::disproved_exit& sign, const base::replica_id& replica,
                           const char* evidence);
  /// Ends the suspicions of an incarnation because its exit is proven, and records the exit under
  /// the requests that it ran.
  /// @param exited_at time of the exit; std::nullopt if the list shows that the incarnation ended.
  void prove_suspicions(replica_exit exit, std::optional<base::time_point> exited_at,
                        const char* evidence, base::time_point now);
  /// Proves the suspicions of replicas that were removed from the list without having announced it.
  void apply_removed_replicas(base::time_point now);
  /// Disproves the suspicions of replicas that a current list still shows, and of those that
  /// announce a planned end.
  void check_suspicions(base::time_point now);
  /// Tells the issuers of a suspect of the runs with it that are under way at this node.
  void hold_runs_of(const quarantine::suspect_digest& digest, base::time_point now);

  // Trials.

  /// Lets a request wait if it may run only as a trial.
  /// @return whether the request waits.
  bool wait_for_trial(active_request& request, base::time_point now);
  /// The same before its stages are computed, if the whole request is the suspect: its pieces may
  /// crash replicas too.
  bool wait_for_trial_of_stages(active_request& request, base::time_point now);
  void join_trial_queue(active_request& request, const quarantine::suspect_digest& digest,
                        base::time_point now);
  void leave_trial_queue(active_request& request);
  /// Lets a request whose call is stalled wait for the permission to run elsewhere, if that call is
  /// the only one under which an exit is suspected.
  void await_trial_of_stalled_call(active_request& request, base::time_point now);
  /// Lets a request go on whose wait for a trial has ended.
  void continue_after_trial_wait(active_request& request, base::time_point now);
  /// Runs the trial that was granted to a request.
  void begin_trial(active_request& request, base::time_point now);
  /// Tells the issuers that a run of a suspected request is over.
  /// @param is_known whether it is known how it ended.
  void release_trial(active_request& request, bool is_known, base::time_point now);
  /// Refuses a request at once that gets no trial until suspected exits are proven or disproved.
  void refuse_held(active_request& request, const quarantine::suspect& subject,
                   base::time_point now);
  /// Refuses the requests that wait for a trial of a suspect and get none now.
  void refuse_waiting_if_held(const quarantine::suspect_digest& digest, base::time_point now);
  /// Refuses a request that has waited too long for a trial.
  bool refuse_if_trial_overdue(active_request& request, base::time_point now);
  /// Applies the decisions on trials, and asks again for denied ones.
  void process_trials(base::time_point now);
  void apply_trial_decision(const quarantine::trial_decision& decision, base::time_point now);
  /// Sends the requests that wait for a trial of a suspect that is no longer restricted.
  void continue_without_trial(const quarantine::suspect_digest& suspect, base::time_point now);
  /// Refuses a request with a quarantined suspect, or answers that it failed if it may have run.
  /// @param subject the suspect, one of `suspects_of(request)`.
  void refuse_in_quarantine(active_request& request, const quarantine::suspect& subject,
                            base::time_point now);

  // Answers that end with their connection.

  /// Closes the call of a request whose answer ended with its connection, and probes the replica.
  /// The request waits until the replica is seen to go on or to have exited.
  /// @param answer answer to forward if it is whole; std::nullopt for a stream.
  void settle_later(active_request& request, std::optional<call_answered> answer,
                    base::time_point now);
  /// Settles the end of a whole answer without framing later. Without a body, it counts as lost.
  void handle_unframed_answer(active_request& request, const call_answered& answer,
                              base::time_point now);
  /// Removes the unsettled end from the request and from the index, and returns it.
  unsettled_answer_end take_unsettled_end(active_request& request);
  /// @return clients whose answer from the replica ended at `seen_at` or before and is not settled.
  [[nodiscard]] std::vector<base::caller_id>
  clients_with_end_before(const base::replica_id& replica, base::time_point seen_at) const;
  /// Settles the answers that had ended when a probe of their replica began.
  void settle_by_probe(const replica_probed& probe, base::time_point now);
  /// Accepts the ends that shortly precede bytes of their replica on another connection, and clears
  /// the requests whose ends the bytes show to be of a process that goes on.
  /// @param heard call for which the replica sent something now.
  void settle_by_activity(const open_call& heard, base::time_point now);
  /// @return whether the replica of an end is not likely to have started again since.
  [[nodiscard]] bool is_too_soon_to_restart(const unsettled_answer_end& end,
                                            base::time_point now) const;
  /// Clears the requests of ends of which only a connection showed that the replica went on, once
  /// the list of replicas shows that it did not restart.
  void clear_listed_ends(base::time_point now);
  /// Accepts an end whose replica accepts connections again after a while, once the list of
  /// replicas shows that it did not restart.
  /// @return whether the request was answered.
  bool accept_end_if_confirmed(active_request& request, base::time_point now);
  /// Probes the replica of an unsettled end again if that is due.
  void probe_unsettled_end(active_request& request, base::time_point now);
  /// Rejects the ends of answers by an earlier incarnation of a replica.
  void reject_ends_of_earlier_incarnation(const base::replica_id& replica, base::time_point now);
  /// Lets a request go on whose answer ended with its connection and whose replica went on.
  /// @param is_same_process whether the process of the call went on; if not, it may be another one
  ///        that was started again at once, and the run may have crashed the first one.
  void accept_end(active_request& request, const char* evidence, bool is_same_process,
                  base::time_point now);
  /// Keeps the call of an end as one at which its replica may have exited.
  void watch_accepted_end(const active_request& request, const unsettled_answer_end& end,
                          base::time_point now);
  /// Treats an answer as broken off, because its replica has exited.
  /// @param reason text for the log.
  void reject_end(active_request& request, const char* reason, end_evidence evidence,
                  base::time_point now);
  /// Counts and logs what became of an answer whose replica marked no end.
  /// @param subject replica or node of the call.
  void note_open_end(const active_request& request, open_end_outcome outcome,
                     const std::string& subject, const std::string& detail);
  /// @return whether another run of the request may show if an answer was whole: it is repeatable,
  ///         replicas of its route normally mark the ends of their answers, and the run can end in
  ///         time.
  [[nodiscard]] bool can_run_for_end(const active_request& request, const open_answer_end& end,
                                     base::time_point now) const;
  /// Runs the request again to see its end, or passes the end on as it is.
  void handle_open_end(active_request& request, open_answer_end end, base::time_point now);
  /// Gives the client an answer without a marked end. A stream with chunks is broken off instead.
  void pass_on_open_end(active_request& request, const open_answer_end& end, base::time_point now);
  /// Passes on the end that the request keeps while another run is to show it.
  /// @return whether there was such an end, so that the request is answered.
  bool pass_on_kept_end(active_request& request, base::time_point now);
  /// Does so if the other run brought a failure, which shows nothing of the end.
  bool pass_on_instead_of(active_request& request, const call_answered& answer,
                          base::time_point now);
  /// Does so if the client would have to wait too long for the other run.
  bool pass_on_overdue_end(active_request& request, base::time_point now);
  /// @return which of two runs without a marked end the client gets if no other run shows the end:
  ///         the first, unless it is the begin of the latest.
  open_answer_end choose_kept_end(active_request& request, open_answer_end latest,
                                  base::time_point now);
  /// Drops the end that the request keeps, since another run brought more.
  void refute_open_end(active_request& request, base::time_point now);
  /// Records that an answer without a marked end was broken off.
  void note_refuted_end(const active_request& request, const open_answer_end& end,
                        base::time_point now);
  /// Records that a call of the request brought a marked end.
  /// @param answer the whole answer; null for a stream.
  void note_marked_end(active_request& request, const call_answered* answer);
  /// Records that the run of a call has ended and that its replica went on. The end shows that the
  /// run survived unless the call went to another node, which judges that itself.
  void note_ended_run(const active_request& request, const open_call& call, const char* evidence,
                      base::time_point ended_at, base::time_point now);
  /// Retries a request whose call was closed without a whole answer, or lets it fail.
  /// @param detail how the call ended, for the log.
  void handle_lost_answer(active_request& request, const open_call& call, const std::string& detail,
                          base::time_point now);
  /// Ends the stream of a client as complete.
  void complete_stream(active_request& request, base::time_point now);
  /// Ends the stream of a client with its last chunk, or with its connection if it has no chunks.
  /// @param reason text for the log.
  void end_stream_in_order(active_request& request, const std::string& reason,
                           base::time_point now);
  /// Retries a request whose stream was broken off, or ends the stream of its client.
  void break_off_stream(active_request& request, const stream_closed& closed, base::time_point now);
  /// Ends the call of a stream whose replica sends an event that is longer than
  /// `serving_settings::max_event_bytes`, and sends the request again if that is allowed.
  void break_off_long_event(active_request& request, base::time_point now);

  /// Begins the quarantine of a suspect. Active requests with the suspect continue if their call
  /// has delivered an event of its stream; the others are refused, or answered as failed if they
  /// may have run.
  void begin_quarantine(const quarantine::suspect_digest& digest, base::time_point now);
  /// @return whether attempts and time are left. A stream whose client has an event without an
  ///         identifier after `last_id` has none: another run would repeat this event.
  [[nodiscard]] static bool has_attempt_left(const active_request& request, base::time_point now);
  /// @return whether route, deadline and quarantine state allow another attempt, and it is expected
  ///         to complete before the end of a graceful stop. Does not check the retry budget.
  [[nodiscard]] bool can_retry(const active_request& request, base::time_point now) const;
  /// Checks the requests that wait for retry budget of other nodes. A request is retried once the
  /// budget suffices, and fails once no queried node is expected to answer any more.
  void check_requests_awaiting_budget(base::time_point now);
  /// Takes a retry from the retry budget if `can_retry`; returns whether the retry was granted.
  [[nodiscard]] bool try_take_retry(active_request& request, base::time_point now);
  /// @param open_call_end why a call that is still open ends.
  void forward_answer(active_request& request, const call_answered& answer, base::time_point now,
                      call_end open_call_end = call_end::whole_answer);
  void begin_stream(active_request& request, base::time_point now);
  /// Records that events of the stream arrived now, for the log entry at the end of the stream.
  static void note_event(active_request& request, base::time_point now);
  /// Restarts the stall timeout of the request's call. The call cannot stall if `timeout` is 0, or
  /// while reading from its replica is paused.
  void watch_progress(active_request& request, base::duration timeout, base::time_point now);
  /// Records in the replica table that the call's replica sends data, at most every 100 ms.
  void note_contact(open_call& call, base::time_point now);
  /// Pauses reading from the replica until the client reads on.
  void pause_stream(active_request& request, base::time_point now);
  /// Resumes reading from the replica, or sends the request to a replica again if its call was
  /// suspended.
  void resume_stream(active_request& request, base::time_point now);
  /// Handles a stream whose client has not read on for `max_call_pause`: suspends the stream if it
  /// can be resumed later, and otherwise has its remainder buffered. This happens before the
  /// replica would break off the answer that stays unread.
  void handle_slow_client(active_request& request, base::time_point now);
  [[nodiscard]] static bool can_suspend(const active_request& request);
  void mark_slow_client(active_request& request);
  /// Counts the buffered bytes of an incomplete event against the byte budget.
  /// @return whether the budget has enough memory left for the bytes.
  bool reserve_partial_event(active_request& request);
  /// Passes whole events of a stream on to the client.
  void forward_events(active_request& request, std::string whole_events, base::time_point now);
  void abort_request(active_request& request, const std::string& reason, end_evidence evidence,
                     base::time_point now);
  /// @return time at which a request must be checked next, for its feasibility, fetched inputs, a
  ///         stalled call or a slow client; std::nullopt if it needs no check.
  [[nodiscard]] static std::optional<base::time_point>
  next_due_check(const active_request& request);
  /// Schedules the next check of a request. If an earlier check is already scheduled, nothing is
  /// changed: that check schedules the next one when it runs. The events of a stream, each of which
  /// postpones the stall timeout, therefore cost no rescheduling.
  void schedule_check(active_request& request);
  void check_requests(base::time_point now);
  /// Schedules an immediate check of each call at a replica that is declared down, if the call's
  /// route allows retries and the replica is not known to have sent anything since the call began.
  void recheck_calls_at(const base::replica_id& replica, base::time_point now);
  /// Handles a stalled call: moves it if the route, the attempts and the deadline allow another
  /// attempt. Otherwise the call stays until it ends, its replica is known to have exited or its
  /// deadline passes. Until then, further checks are scheduled.
  void on_stalled(active_request& request, base::time_point now);
  /// Records that a replica sends nothing, and has it probed.
  void note_unresponsive(const open_call& call, base::time_point now);
  /// Records that the call of a request makes progress: it is not moved any more.
  void note_progress(active_request& request, base::time_point now);
  /// Ends the calls at a replica that has exited, except those with unread bytes.
  /// @param refused_since time since which the replica refuses connections. If it was heard later,
  ///        nothing is ended.
  void end_calls_at_exited_replica(const base::replica_id& replica, base::time_point refused_since,
                                   base::time_point now);
  /// @return replica that can run a request at once, so that its present call may be given up for
  ///         it: place, permit, inputs and attempts are there. Null if something of it is not.
  const replica_state* certain_successor(const active_request& request, base::time_point now);
  /// Gives a stalled call up for a certain successor; otherwise schedules another check, because
  /// permission and replicas may change.
  void move_stalled_call(active_request& request, base::time_point now);
  void give_up_stalled_call(active_request& request, base::time_point now);
  /// Computes the stages of a request again while its stalled call stays open, once the silence has
  /// lasted as long as that takes.
  void recompute_beside_call(active_request& request, base::time_point now);
  /// Ends a recomputation because the call goes on or the stages cannot be computed.
  void drop_recomputation(active_request& request);
  /// Lets a request wait whose call was given up although its replica may live, and which no
  /// replica takes now: it is sent again until its deadline.
  void wait_for_replica(active_request& request, const std::string& reason, base::time_point now);
  void send_again_if_due(active_request& request, base::time_point now);
  /// Records an event if no tenant of the configuration holds a key, or several hold the same key.
  void report_keys();
  /// Applies the published replicas that changed since the last update, or `all` of them.
  void update_replicas(const catalog::catalog& content, bool all, base::time_point now);
  /// Drops the state of earlier incarnations of replicas that restarted under their id.
  void handle_replica_restarts(base::time_point now);
  void handle_replica_restart(const replica_restart& restart, base::time_point now);
  /// Separates a call that was sent to an earlier incarnation from its replica, so that its outcome
  /// does not count for the new one, and schedules the check that retries the request or lets it
  /// fail.
  void detach_from_restarted_replica(active_request& request, base::time_point now);
  /// Lets a request fail if its call was sent to an earlier incarnation, cannot be retried and gets
  /// no event within `restart_confirm_time`.
  void check_call_at_earlier_incarnation(active_request& request, base::time_point now);
  /// Records an event, once per replica and service, for replicas of unconfigured services.
  void report_unknown_services();
  /// Frees the stage results that a call reads, once the time by which its replica should have
  /// fetched them has passed and the replica was heard since the call began.
  void free_fetched_inputs(active_request& request, base::time_point now);
  void abort_expired_requests(base::time_point now);

  /// @param log_detail further text for the log, which the client does not get.
  void answer_with_error(base::caller_id client, const base::request_id& id, unsigned http_status,
                         const std::string& reason, base::duration retry_after,
                         const std::string& log_detail = {});
  /// Refuses a request that the configuration does not allow. If the configuration may be outdated,
  /// the answer is a temporary refusal instead of `http_status`.
  void refuse_by_configuration(const request_arrived& arrival, unsigned http_status,
                               const std::string& reason);
  /// Answers that a request was not run, or that it failed if it may have run.
  void answer_not_run(active_request& request, const std::string& reason, base::time_point now);
  /// Answers that a request failed, or breaks off its stream. If the evidence does not allow to end
  /// an answer, the request waits for a replica instead. If the request keeps an answer whose end
  /// was not marked, the client gets that answer.
  void answer_failed(active_request& request, unsigned http_status, const std::string& reason,
                     end_evidence evidence, base::time_point now);
  /// Counts and records an answer that ends before it is whole, with what is known of its replica.
  void record_early_end(const active_request& request, const std::string& reason,
                        end_evidence evidence, base::time_point now);
  /// Removes a request: cancels its pieces and call, and frees its results.
  /// @param end why its call ends, if it is open.
  void finish(active_request& request, unsigned http_status, const std::string& reason,
              base::time_point now, call_end end = call_end::given_up);
  void release_results(const std::vector<stage_result>& results);
  /// Sets the preferred zone of the pieces of a stage so that few bytes are transferred between
  /// zones. It is the zone that holds the most bytes of a piece's inputs, if these are more than
  /// the bytes of the piece's result that the request itself will read. Otherwise it is the zone in
  /// which the request is expected to run, because the request reads the result there. The request
  /// itself reads only results of stages on which no other stage depends; of all other results it
  /// reads zero bytes.
  void choose_zone(const active_request& request, std::uint32_t stage, piece_work& work) const;
  /// @return zone in which a request is expected to run.
  base::zone_id preferred_zone(const active_request& request, base::time_point now);
  void record(base::event_kind kind, const active_request& request, const std::string& subject,
              const std::string& detail);
};

} // namespace spurrack::serving
