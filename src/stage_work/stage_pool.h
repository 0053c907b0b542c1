/// Queues pieces of stages and sends them to replicas in batches. The next call to a replica is
/// formed when the replica is free, from the pieces that are due first at that time.
///
/// Terms: a piece is a part of one stage of one request; one replica computes it. A call sends a
/// batch of pieces to a replica. A call is lost if it ends without an answer: the replica may have
/// exited while it ran the call. The result of a piece stays in the memory of its producer (the
/// replica that computed it) until it is freed or expires. A residency (`model::residency`) is the
/// set of regions to which a request, its pieces and their results are confined, or no restriction.
#pragma once

#include "base/due_times.h"
#include "base/ids.h"
#include "base/time.h"
#include "model/residency.h"
#include "model/serving_records.h"
#include "replicas/replica_table.h"
#include "serving/decision_recorder.h"
#include "serving/events.h"
#include "serving/settings.h"
#include "stage_work/drain_rate.h"
#include "stage_work/stage_result.h"

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

/// Identifier of a piece. Each `stage_pool` and each `stage_exchange` numbers its pieces itself:
/// the ticket of a piece in a pool differs from the ticket that an exchange returned for it.
using piece_ticket = std::uint64_t;

/// A piece to be computed.
struct piece_work {
  base::request_id request;
  std::string service;
  std::uint32_t stage = 0;
  std::uint32_t piece = 0;
  /// Key from the client's request. Set for pieces of the stages that do not depend on other
  /// stages, and sent to the replica; empty for all other pieces.
  std::string piece_key;
  /// Results that the piece reads.
  std::vector<stage_result> inputs;
  /// Residency: regions in which the piece may be computed, and so its result stored.
  model::residency permitted_regions;
  /// Zone in which the piece is preferably computed.
  base::zone_id zone;
  /// Bytes that are transferred between zones if the piece is computed in another zone.
  double carried_bytes = 0;
  /// Approximate size of the result, in bytes.
  double result_bytes = 0;
  /// Latest start of the piece with which its request can still meet the target latency. Pieces
  /// that are due earlier are sent first; pieces that are past due are sent last.
  base::time_point due;
  /// Time after which the result is of no use.
  base::time_point deadline;
  /// Whether replicas exited while they ran the request. If set, the piece is sent without pieces
  /// of other requests and, if its call is lost, is not retried.
  bool single_attempt = false;
};

/// Final outcome of a piece, a result or a fault.
struct finished_piece {
  piece_ticket ticket = 0;
  piece_outcome outcome;
  /// Process that produced the result; unknown if the piece has none.
  result_producer producer{};
};

/// A piece whose call was lost.
struct lost_piece {
  piece_ticket ticket = 0;
  /// Replica that was called.
  base::replica_id replica;
  /// Identifier that the exit of the called incarnation has, if the incarnation exited. Whether it
  /// did is unknown.
  replica_exit incarnation_exit = 0;
  /// Time from the begin of the call until it was lost; std::nullopt if that is unknown.
  std::optional<base::duration> call_time{};
};

/// @return whether this node may call a replica with pieces of a residency. Whether the residency
///         permits the region of the replica is checked separately.
using replica_filter = std::function<bool(const replica_state&, const model::residency&)>;

/// Holds the waiting pieces and the calls under way of one node, and accounts for the memory that
/// the results use at the replicas. Not thread-safe. Commands and results accumulate until the
/// caller takes them with the `take_` functions.
class stage_pool {
 public:
  /// @param replicas must outlive the pool.
  /// @param next_call returns the identifier of the next call, unique among all calls of the node.
  stage_pool(replica_table& replicas, const serving_settings& settings,
             std::function<base::call_id()> next_call, decision_recorder record);

  /// Replaces the capacities of the services. Waiting pieces of services that are no longer
  /// configured finish as `not_configured`.
  void set_configuration(std::shared_ptr<const model::serving_configuration> configuration);
  /// @return capacity of the replicas of a service in the configuration in force; null if the
  ///         service is not configured or has no pieces. Other nodes, and pieces and shards of an
  ///         earlier configuration, may name such a service.
  [[nodiscard]] const model::piece_capacity* capacity_of(const std::string& name) const;
  /// Restricts the replicas that may be called; without a filter all replicas may be called.
  void set_filter(replica_filter filter) { filter_ = std::move(filter); }

  /// Queues a piece. @return its ticket in this pool.
  piece_ticket submit(piece_work work, base::time_point now);
  /// Cancels a piece whose result is no longer needed. A call that holds the piece continues; the
  /// result of the piece is freed when it arrives.
  void cancel(piece_ticket ticket);

  /// Frees a result that is no longer needed at its producer, unless that process has ended. If the
  /// producer limits its calls or has requested a backoff, the request to free waits until the
  /// producer may be called.
  void release(const stage_result& result);
  /// Frees a result that a call of this pool produced; has no effect if the pool holds no such
  /// result. Other nodes name the results that they no longer need by their handles alone.
  void release_own(const std::string& handle);

  /// Cancels the calls to the earlier incarnation of a replica that restarted, queues their pieces
  /// again, and forgets the results of that incarnation.
  void on_replica_restarted(const base::replica_id& replica, base::time_point now);

  /// Extends the timeouts of the calls under way by `gap`, the duration for which this process was
  /// suspended.
  void resume_after_suspension(base::duration gap) { call_timeouts_.postpone_all(gap); }

  /// Applies the answer of a call, or queues the pieces of the call again if there is no answer.
  /// @return whether the call was under way in this pool.
  bool on_call_ended(const stage_call_ended& ended, base::time_point now);

  /// Starts calls for waiting pieces if replicas are free, expires pieces past their deadline and
  /// gives up calls past their timeout if other replicas take their pieces. Returns immediately
  /// while nothing has changed and the next check is not due.
  void dispatch_waiting(base::time_point now);
  /// @return latest time for the next `dispatch_waiting`; std::nullopt if there is nothing to wait
  ///         for.
  [[nodiscard]] std::optional<base::time_point> next_wakeup(base::time_point now) const;

  [[nodiscard]] std::vector<finished_piece> take_finished() { return std::exchange(finished_, {}); }
  /// @return tickets of the pieces whose replica is assumed to have fetched their inputs since the
  ///         previous `take_fetched`.
  [[nodiscard]] std::vector<piece_ticket> take_fetched() { return std::exchange(fetched_, {}); }
  /// @return pieces whose calls were lost since the previous `take_lost`; the pieces are queued
  ///         again or finish as `lost`.
  [[nodiscard]] std::vector<lost_piece> take_lost() { return std::exchange(lost_, {}); }
  [[nodiscard]] command_list take_commands() { return std::exchange(commands_, {}); }
  /// @return number of pieces of a service that wait for a call.
  [[nodiscard]] std::size_t waiting_count(const std::string& service) const;
  /// @return number of waiting pieces of a service that are not past due. Only these pieces can be
  ///         ahead of a new piece that is not past due itself.
  [[nodiscard]] std::size_t waiting_in_time_count(const std::string& service,
                                                  base::time_point now) const;
  /// @return pieces of a service per second that were dispatched recently while more pieces waited;
  ///         std::nullopt if no pieces waited recently.
  [[nodiscard]] std::optional<double> drain_rate_of(const std::string& service,
                                                    base::time_point now) const;
  /// @return tickets of all pieces that wait for a call.
  [[nodiscard]] std::vector<piece_ticket> waiting_tickets() const;
  /// @return tickets of the pieces of one service that wait for a call, in the order of sending.
  [[nodiscard]] std::vector<piece_ticket> waiting_tickets(const std::string& service) const;
  [[nodiscard]] bool has_calls_under_way() const { return !calls_.empty(); }
  /// @return number of calls under way to replicas of a service.
  [[nodiscard]] std::size_t calls_under_way(const std::string& service) const;

 private:
  struct queued_piece {
    piece_work work;
    base::time_point submitted_at;
    /// Number of calls with this piece. Calls that no replica ran, and calls whose replica had no
    /// memory for the piece's result, are subtracted again.
    std::uint32_t attempts = 0;
    /// Number of calls with this piece that were lost.
    std::uint32_t lost_calls = 0;
    /// Time before which the piece is not sent.
    base::time_point backoff_ends_at{};
  };
  /// Sort key of a queue: pieces are sent in the order of their due times.
  struct queue_position {
    base::time_point due;
    piece_ticket ticket = 0;
    auto operator<=>(const queue_position&) const = default;
  };
  /// A call under way.
  struct open_call {
    start_stage_call command;
    std::string service;
    /// Identifier that the exit of the called incarnation of the replica will have.
    replica_exit incarnation_exit = 0;
    base::time_point started_at;
    /// Whether the inputs of the call are assumed to be fetched and its pieces were added to
    /// `fetched_`.
    bool has_reported_fetch = false;
    /// Whether the call is past its timeout.
    bool is_overdue = false;
    /// Tickets of the pieces of the call, in the order of the pieces in the call. If a piece was
    /// cancelled since, its ticket is still listed but has no entry in `pieces_`.
    std::vector<piece_ticket> tickets;
    /// Size of the result of each piece, in bytes.
    std::vector<double> result_bytes;
    /// @return the process that produces the results of the call.
    [[nodiscard]] result_producer producer() const {
      return {command.target.replica, command.target.address, incarnation_exit, service};
    }
  };
  using service_queue = std::set<queue_position>;
  void enqueue(piece_ticket ticket);
  void dequeue(service_queue& queue, const queue_position& position);
  /// Removes a piece from its queue that is not dispatched; does nothing if it does not wait.
  void remove_waiting(piece_ticket ticket);
  /// @return positions in the queue of the pieces of a call that are not cancelled.
  [[nodiscard]] std::vector<queue_position> remaining_pieces_of(const open_call& call) const;
  /// A result that occupies memory at its replica.
  struct held_result {
    result_producer producer;
    double bytes = 0;
    /// Start of the call that produced the result.
    base::time_point call_started_at;
  };

  /// Starts calls for the waiting pieces of one service.
  void dispatch_service(const std::string& name, service_queue& queue, base::time_point now);
  /// Finishes waiting pieces past their deadline as `expired`.
  void drop_expired(base::time_point now);
  /// Pauses the replicas of calls that are past their timeout, and gives up the calls whose pieces
  /// other replicas take at once, or whose pieces are all cancelled. The other calls stay open and
  /// are checked again.
  void check_overdue_calls(base::time_point now);
  /// @return whether other replicas with a free slot would be sent all pieces of a call now, if the
  ///         call were given up. False if a piece of the call has a single attempt.
  [[nodiscard]] bool has_certain_successors(const open_call& call, base::time_point now) const;
  /// Cancels a call and queues its pieces again.
  void give_up_call(base::call_id call, base::time_point now);
  /// Reports the pieces of a call that ended by silence alone as lost, and queues them again. The
  /// call counts neither as an attempt nor for the isolation of its pieces.
  void give_up_pieces(const open_call& call, base::time_point now);
  /// For each call whose inputs are assumed to be fetched by now: adds the pieces of the call to
  /// `fetched_`, except those cancelled since.
  void note_fetched_inputs(base::time_point now);
  /// @return whether a piece failed because its inputs were freed before its replica fetched them.
  ///         False if the piece was cancelled, or if the producer of an input may have lost the
  ///         input without being asked to free it, for example by a restart.
  [[nodiscard]] bool was_freed_too_early(piece_ticket ticket, const piece_outcome& outcome,
                                         base::time_point now) const;
  /// Adjusts `fetch_time_` after a call whose inputs are assumed to be fetched: doubles it if
  /// inputs of the call were freed too early, and otherwise reduces it towards its configured
  /// value.
  void update_fetch_time(const open_call& call, const stage_call_ended& answer,
                         base::time_point now);
  /// @return whether the queue holds a full batch or a piece that has waited for
  ///         `serving_settings::batch_wait`.
  bool is_batch_due(const service_queue& queue, const model::piece_capacity& capacity,
                    base::time_point now) const;
  using residency_list = std::vector<model::residency>;
  /// @return the distinct residencies of the pieces of a queue.
  [[nodiscard]] residency_list residencies_in(const service_queue& queue) const;
  /// @return whether a replica may be called with a piece that is confined to `residency`.
  [[nodiscard]] bool may_serve(const replica_state& replica,
                               const model::residency& residency) const;
  /// @return whether, for at least one of `residencies`, a replica may be called with a piece that
  ///         is confined to it.
  [[nodiscard]] bool may_serve_any(const replica_state& replica,
                                   const residency_list& residencies) const;
  /// @return replicas that can be called now with a piece that is confined to one of `residencies`,
  ///         slow replicas last.
  [[nodiscard]] std::vector<const replica_state*>
  replicas_with_free_slot(const std::string& name, const model::piece_capacity& capacity,
                          const residency_list& residencies, base::time_point now) const;
  /// Starts a call with the pieces of a batch and removes them from the queue.
  void start_call(const std::string& name, const std::vector<queue_position>& batch,
                  service_queue& queue, const replica_state& replica,
                  const model::piece_capacity& capacity, base::time_point now);
  /// Estimate of the time at which the replicas of one zone can accept further calls.
  struct zone_wait_estimate {
    /// Time at which the first replica of the zone is free.
    base::time_point free_at;
    /// Duration of a call with a full batch.
    base::duration full_call_time{};
    /// Pieces in a full batch.
    std::uint32_t batch_size = 1;
    std::uint32_t replicas = 0;
    /// Number of pieces that wait for a replica of this zone and come earlier in the queue than the
    /// group of pieces that is being placed.
    std::size_t pieces_ahead = 0;
    /// @return time at which the call of a piece that waits for the zone is expected to start.
    [[nodiscard]] base::time_point next_start_at() const;
  };
  /// Estimates by zone; only zones with a replica that may be called have an entry.
  using zone_wait_estimates = std::map<base::zone_id, zone_wait_estimate>;
  /// Pieces of one stage of one request with the same residency, which are sent together.
  struct piece_group {
    const base::request_id* request = nullptr;
    std::uint32_t stage = 0;
    base::time_point due;
    double result_bytes = 0;
    const model::residency* permitted_regions = nullptr;
    /// Zone in which the pieces are preferably computed, and the bytes that are transferred between
    /// zones if they are computed in another zone.
    const base::zone_id* preferred_zone = nullptr;
    double carried_bytes = 0;
    base::time_point submitted_at;
    /// Whether replicas may have exited because of these pieces. If set, the group is sent without
    /// other pieces, so that the next call shows whether the group is the cause, and so that
    /// another exit does not affect other pieces.
    bool must_run_alone = false;
    std::vector<queue_position> pieces;
  };
  /// Moves the pieces for the next call to a replica from the groups into a batch: pieces that are
  /// not past due first, up to a full batch and to the free result memory of the replica.
  /// @return the batch; empty if the replica should not be called now.
  std::vector<queue_position> take_batch(std::vector<piece_group>& groups,
                                         const replica_state& replica,
                                         zone_wait_estimates estimates,
                                         const model::piece_capacity& capacity,
                                         base::time_point now) const;
  /// Moves up to `free_slots` pieces of a group with up to `free_bytes` bytes of results into a
  /// batch. Subtracts the sizes of their results from `free_bytes`.
  void move_pieces(piece_group& group, std::vector<queue_position>& batch, std::size_t free_slots,
                   double& free_bytes) const;
  /// @return whether a group may run at a replica of `zone` now; false if it should wait for a
  ///         replica of its preferred zone.
  [[nodiscard]] bool may_run_in(const piece_group& group, const base::zone_id& zone,
                                const zone_wait_estimates& estimates, base::time_point now) const;
  /// @return for each zone, the estimated time at which its replicas can accept further calls; only
  ///         zones with a replica that may serve a piece that is confined to one of `residencies`.
  [[nodiscard]] zone_wait_estimates estimate_zone_waits(const std::string& name,
                                                        const model::piece_capacity& capacity,
                                                        const residency_list& residencies,
                                                        base::time_point now) const;
  /// @return the pieces of a queue in groups, in queue order, without the pieces that are in a
  ///         backoff after a lost call.
  [[nodiscard]] std::vector<piece_group> group_pieces(const service_queue& queue,
                                                      base::time_point now) const;
  /// @return bytes of result memory of a replica that further calls may fill; may be negative.
  [[nodiscard]] double available_result_bytes(const base::replica_id& replica,
                                              const model::piece_capacity& capacity,
                                              base::time_point now) const;
  /// Records that a replica had no memory for a result. The memory that this pool counts as free is
  /// assumed to be used by results that are unknown to this pool.
  void note_memory_exhausted(const open_call& call, base::time_point now);
  void forget_expired_results(base::time_point now);
  /// Cancels a call whose replica restarted and queues its pieces again.
  void cancel_call_of_earlier_incarnation(base::call_id call, base::time_point now);
  /// @return whether a producer restarted so recently that pieces may still read results of its
  ///         earlier incarnation.
  [[nodiscard]] bool has_restarted_recently(const replica_state& producer,
                                            base::time_point now) const;
  /// Removes a result from the accounting of result memory.
  void forget_result(const std::string& handle);
  /// Sends the deferred requests to free results to the producers that may be called now.
  /// @param only_short_of_memory whether to send only to producers that are short of memory.
  void free_deferred_results(bool only_short_of_memory, base::time_point now);
  [[nodiscard]] bool is_short_of_memory(const replica_state& replica, base::time_point now) const;
  /// Records that a replica refused a call because calls of other nodes occupy it.
  void note_occupied(const open_call& call, base::time_point now);
  /// Records the duration of a call, from which the slowdown of its replica is computed.
  void note_call_time(const open_call& call, base::time_point now);
  /// Removes a call that ended from the counts, the timeouts and the accounting of result memory.
  void release_call(const open_call& call);
  /// Applies the outcome of a call to its replica and its pieces.
  void apply_answer(const open_call& call, const stage_call_ended& answer, base::time_point now);
  /// Finishes a piece, or queues it again if its fault permits a retry; frees the result of a
  /// cancelled piece.
  /// @param producer process that was called.
  void apply_outcome(piece_ticket ticket, const piece_outcome& outcome,
                     const result_producer& producer);
  /// Reports the pieces of a lost call as lost and sets their backoff.
  void note_lost_pieces(const open_call& call, base::time_point now);
  /// Reports the pieces of a call as lost, except those cancelled since.
  void report_lost_pieces(const open_call& call, base::time_point now);
  /// Writes the event for the end of a call.
  void record_call_end(const open_call& call, const stage_call_ended& answer,
                       base::time_point now) const;
  /// Adds a result to the accounting of result memory.
  void record_result(const open_call& call, std::size_t index, const piece_outcome& outcome,
                     base::time_point now);
  /// Queues a piece again, or finishes it with `fault` if it has no attempts left.
  void requeue(piece_ticket ticket, piece_fault fault);
  void finish(piece_ticket ticket, piece_outcome outcome, result_producer producer = {});
  replica_table* replicas_;
  serving_settings settings_;
  std::function<base::call_id()> next_call_;
  decision_recorder record_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  replica_filter filter_;
  piece_ticket next_ticket_ = 1;
  /// Time before which `dispatch_waiting` does nothing. Reset after a change that may permit a
  /// call, so that the next `dispatch_waiting` checks the queues.
  base::time_point next_check_at_;
  std::unordered_map<piece_ticket, queued_piece> pieces_;
  std::map<std::string, service_queue> queues_;
  std::map<std::string, drain_rate> drain_rates_;
  std::unordered_map<base::call_id, open_call> calls_;
  /// Number of calls under way, by service.
  std::map<std::string, std::size_t> call_counts_by_service_;
  /// Deadlines of the pieces that wait for a call.
  base::due_times<piece_ticket> waiting_deadlines_;
  /// Times at which calls without an answer are checked.
  base::due_times<base::call_id> call_timeouts_;
  /// Times at which replicas are assumed to have fetched the inputs of their calls. Calls without
  /// inputs, and calls whose time has passed, have no entry.
  base::due_times<base::call_id> expected_fetches_;
  /// Times at which results expire at their producers.
  base::due_times<std::string> result_expiries_;
  /// Number of calls under way, by replica.
  std::map<base::replica_id, std::uint32_t> call_counts_by_replica_;
  /// Memory of results that are being computed or wait to be fetched, in bytes, by replica.
  std::map<base::replica_id, double> result_bytes_by_replica_;
  /// Result memory of a replica that is assumed to be used by results unknown to this pool.
  /// Computed when the replica had no memory left for a result.
  struct unaccounted_memory {
    double bytes = 0;
    base::time_point expires_at;
  };
  std::map<base::replica_id, unaccounted_memory> unaccounted_memory_;
  /// Results at replicas, by handle.
  std::unordered_map<std::string, held_result> results_;
  std::vector<finished_piece> finished_;
  std::vector<piece_ticket> fetched_;
  std::vector<lost_piece> lost_;
  /// Results to be freed when their producer may be called again, by replica.
  std::map<base::replica_id, std::vector<stage_result>> deferred_frees_;
  /// Time after the start of a call at which its replica is assumed to have fetched the inputs.
  base::duration fetch_time_;
  command_list commands_;
};

} // namespace spurrack::serving
