/// Queues pieces of stages and hands them to replicas in batches: the next call to a replica is put
/// together when the replica is free, from whatever is due first then.
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

/// Number of a piece within one pool.
using piece_ticket = std::uint64_t;

/// A piece to be made.
struct piece_work {
  base::request_id request;
  std::string service;
  std::uint32_t stage = 0;
  std::uint32_t piece = 0;
  /// Set for stages that need no results of others.
  std::string piece_key;
  std::vector<std::string> inputs;
  /// Regions in which it may be made, and so in which its result may lie.
  model::residency permitted_regions;
  /// Where the piece is best made.
  base::zone_id zone;
  /// Bytes that are carried between zones where it is made elsewhere.
  double carried_bytes = 0;
  /// Approximate size of the result.
  double result_bytes = 0;
  /// Pieces that are due earlier go first; those that are past due go last.
  base::time_point due;
  /// The result is of no use after this.
  base::time_point deadline;
  /// Replicas have ended under its request: it goes alone and, where its call is lost, is not made
  /// again.
  bool single_attempt = false;
};

/// A piece that is finished, one way or another.
struct finished_piece {
  piece_ticket ticket = 0;
  piece_outcome outcome;
};

/// A call with pieces ended without an answer: its replica may have ended while it made them.
struct lost_piece {
  piece_ticket ticket = 0;
  base::replica_id replica;
  /// The end of the life that was called, should that have come.
  replica_end incarnation_exit = 0;
};

/// @return whether this node may call a replica with pieces that are held to some regions; whether
///         they may go there is asked elsewhere.
using replica_filter = std::function<bool(const replica_state&, const model::residency&)>;

/// Not thread-safe. Commands and results gather until they are taken.
class stage_pool {
 public:
  /// @param replicas must outlive the pool.
  /// @param next_call gives numbers of calls; shared with the other calls of the node.
  stage_pool(replica_table& replicas, const serving_settings& settings,
             std::function<base::call_id()> next_call, decision_recorder record);

  /// Capacities of the services; pieces of services that are gone end as `not_run`.
  void set_configuration(std::shared_ptr<const model::serving_configuration> configuration);
  /// Restricts the replicas that are called; without a filter all may be.
  void set_filter(replica_filter filter) { filter_ = std::move(filter); }

  piece_ticket submit(piece_work work, base::time_point now);
  /// Nobody wants the piece any more; a result that still comes is freed.
  void cancel(piece_ticket ticket);

  /// A result is not needed any more: it is freed at its replica.
  void release(const std::string& handle);

  /// A replica started again: the calls at its earlier life are over, their pieces are made again,
  /// and what it had made takes up no room.
  void on_replica_restarted(const base::replica_id& replica, base::time_point now);

  /// This process was paused for `gap`: calls under way are given that much more time.
  void resume_after_suspension(base::duration gap) { call_timeouts_.postpone_all(gap); }

  /// @return whether the call was one of the pool's.
  bool on_call_ended(const stage_call_ended& ended, base::time_point now);

  /// Hands out what can be handed out, and gives up what is late. Costs nothing while nothing has
  /// changed and the next look is not due.
  void dispatch_waiting(base::time_point now);
  [[nodiscard]] std::optional<base::time_point> next_wakeup(base::time_point now) const;

  [[nodiscard]] std::vector<finished_piece> take_finished() { return std::exchange(finished_, {}); }
  /// @return pieces whose replica has fetched their inputs since the last call.
  [[nodiscard]] std::vector<piece_ticket> take_fetched() { return std::exchange(fetched_, {}); }
  /// @return pieces whose calls ended without an answer since the last call; they are made again,
  ///         or end as `lost`.
  [[nodiscard]] std::vector<lost_piece> take_lost() { return std::exchange(lost_, {}); }
  [[nodiscard]] command_list take_commands() { return std::exchange(commands_, {}); }
  /// @return pieces of a service that wait for a call.
  [[nodiscard]] std::size_t waiting(const std::string& service) const;
  /// @return those of them that are not past due: only they go before a piece submitted now.
  [[nodiscard]] std::size_t waiting_in_time(const std::string& service, base::time_point now) const;
  /// @return pieces of a service a second that were handed out of late while more waited.
  [[nodiscard]] std::optional<double> drain_rate_of(const std::string& service,
                                                    base::time_point now) const;
  /// @return pieces that wait for a call.
  [[nodiscard]] std::vector<piece_ticket> waiting_tickets() const;
  /// @return pieces of one service that wait for a call.
  [[nodiscard]] std::vector<piece_ticket> waiting_tickets(const std::string& service) const;
  [[nodiscard]] bool has_calls_under_way() const { return !calls_.empty(); }
  /// @return calls of a service that are under way.
  [[nodiscard]] std::size_t calls_under_way(const std::string& service) const;

 private:
  struct queued_piece {
    piece_work work;
    base::time_point submitted_at;
    std::uint32_t attempts = 0;
    /// Calls that ended without an answer while they held it.
    std::uint32_t lost_calls = 0;
    /// It is not handed out before this time.
    base::time_point backoff_ends_at{};
  };
  /// Order of handing out.
  struct queue_position {
    base::time_point due;
    piece_ticket ticket = 0;
    auto operator<=>(const queue_position&) const = default;
  };
  struct open_call {
    start_stage_call command;
    std::string service;
    /// The end of the life that is called, should that come.
    replica_end incarnation_exit = 0;
    base::time_point started_at;
    bool has_reported_fetch = false;
    /// Pieces in the order of the call; one that was cancelled has no entry in `pieces_`.
    std::vector<piece_ticket> tickets;
    /// Size of the result of each piece.
    std::vector<double> result_bytes;
  };
  using service_queue = std::set<queue_position>;
  /// Puts a piece into its queue.
  void enqueue(piece_ticket ticket);
  /// Takes a piece out of its queue.
  void dequeue(service_queue& queue, const queue_position& position);
  /// A result that takes up room at its replica.
  struct held_result {
    base::replica_id replica;
    double bytes = 0;
    /// When the call that made it began.
    base::time_point call_started_at;
  };

  void dispatch_service(const std::string& name, service_queue& queue, base::time_point now);
  /// Ends the pieces whose time was over before they were handed out.
  void drop_expired(base::time_point now);
  void cancel_timed_out_calls(base::time_point now);
  /// Finds the calls whose inputs the replicas have fetched by now.
  void note_fetched_inputs(base::time_point now);
  /// @return whether a piece that is still wanted missed a result that its maker should have.
  [[nodiscard]] bool was_freed_too_early(piece_ticket ticket, const piece_outcome& outcome,
                                         base::time_point now) const;
  /// Learns from a call how long replicas take to fetch inputs.
  void update_fetch_time(const open_call& call, const stage_call_ended& answer,
                         base::time_point now);
  bool is_batch_due(const service_queue& queue, const model::piece_capacity& capacity,
                    base::time_point now) const;
  /// Each set of regions that pieces of a queue are held to, once.
  using residency_list = std::vector<model::residency>;
  [[nodiscard]] residency_list residencies_in(const service_queue& queue) const;
  /// @return whether a replica may be called with a piece that is held to these regions.
  [[nodiscard]] bool may_serve(const replica_state& replica,
                               const model::residency& residency) const;
  /// @return whether a replica may be called with a piece of any of the sets.
  [[nodiscard]] bool may_serve_any(const replica_state& replica,
                                   const residency_list& residencies) const;
  /// Replicas that can be given a call now.
  [[nodiscard]] std::vector<const replica_state*>
  replicas_with_free_slot(const std::string& name, const model::piece_capacity& capacity,
                          const residency_list& residencies, base::time_point now) const;
  void start_call(const std::string& name, const std::vector<queue_position>& batch,
                  service_queue& queue, const replica_state& replica,
                  const model::piece_capacity& capacity, base::time_point now);
  /// When the replicas of one zone are expected to take more.
  struct zone_wait_estimate {
    /// The first of them is free then.
    base::time_point free_at;
    base::duration full_call_time{};
    std::uint32_t batch_size = 1;
    std::uint32_t replicas = 0;
    /// Pieces that wait for this zone and go before.
    std::size_t pieces_ahead = 0;
    /// @return when a piece that waits for the zone is expected to start.
    [[nodiscard]] base::time_point next_start_at() const;
  };
  /// Zones that have any replica that works.
  using zone_wait_estimates = std::map<base::zone_id, zone_wait_estimate>;
  /// Pieces of one stage of one request, which are kept together.
  struct piece_group {
    const base::request_id* request = nullptr;
    std::uint32_t stage = 0;
    base::time_point due;
    double result_bytes = 0;
    const model::residency* permitted_regions = nullptr;
    /// Where the pieces are best made, and what is carried between zones elsewhere.
    const base::zone_id* preferred_zone = nullptr;
    double carried_bytes = 0;
    base::time_point submitted_at;
    /// Replicas may have ended under its pieces: they go with no others, so that the next call
    /// shows whether they are to blame, and harms no others.
    bool must_run_alone = false;
    std::vector<queue_position> pieces;
  };
  /// Takes the pieces for the next call to a replica out of the groups: those still in time first,
  /// as many as it has room for.
  std::vector<queue_position> take_batch(std::vector<piece_group>& groups,
                                         const replica_state& replica,
                                         zone_wait_estimates estimates,
                                         const model::piece_capacity& capacity,
                                         base::time_point now) const;
  /// Moves pieces of a group into a batch, up to `free_slots` of them and `free_bytes` bytes of
  /// results.
  void move_pieces(piece_group& group, std::vector<queue_position>& batch, std::size_t free_slots,
                   double& free_bytes) const;
  /// @return whether a group may be made at a replica of `zone` now, or should wait for one of the
  ///         zone where it is best made.
  [[nodiscard]] bool may_run_in(const piece_group& group, const base::zone_id& zone,
                                const zone_wait_estimates& estimates, base::time_point now) const;
  [[nodiscard]] zone_wait_estimates estimate_zone_waits(const std::string& name,
                                                        const model::piece_capacity& capacity,
                                                        const residency_list& residencies,
                                                        base::time_point now) const;
  [[nodiscard]] std::vector<piece_group> group_pieces(const service_queue& queue,
                                                      base::time_point now) const;
  [[nodiscard]] double free_result_bytes(const base::replica_id& replica,
                                         const model::piece_capacity& capacity,
                                         base::time_point now) const;
  void note_memory_exhausted(const open_call& call, base::time_point now);
  void forget_expired_results(base::time_point now);
  /// Ends a call whose replica started again.
  void cancel_call_of_earlier_incarnation(base::call_id call, base::time_point now);
  /// @return whether results of an earlier life of a maker may still be asked for.
  [[nodiscard]] bool has_restarted_recently(const replica_state& maker, base::time_point now) const;
  void forget_result(const std::string& handle);
  /// Frees results that wait for it where their makers may be sent something now.
  /// @param only_short_of_memory those that would take no piece for want of room.
  void free_deferred_results(bool only_short_of_memory, base::time_point now);
  [[nodiscard]] bool is_short_of_memory(const replica_state& replica, base::time_point now) const;
  /// A replica refused a call: others call it too.
  void note_occupied(const open_call& call, base::time_point now);
  /// Learns from a call how fast its replica is.
  void note_pace(const open_call& call, base::time_point now);
  void release_call(const open_call& call);
  void apply_answer(const open_call& call, const stage_call_ended& answer, base::time_point now);
  void apply_outcome(piece_ticket ticket, const piece_outcome& outcome);
  /// Keeps account of the pieces of a call that ended without an answer.
  void note_lost_pieces(const open_call& call, base::time_point now);
  void record_call_end(const open_call& call, const stage_call_ended& answer,
                       base::time_point now) const;
  void record_result(const open_call& call, std::size_t index, const piece_outcome& outcome,
                     base::time_point now);
  /// Queues a piece again, or ends it with `fault` where it was tried often enough.
  void requeue(piece_ticket ticket, piece_fault fault);
  void finish(piece_ticket ticket, piece_outcome outcome);
  const model::piece_capacity* capacity_of(const std::string& name) const;

  replica_table* replicas_;
  serving_settings settings_;
  std::function<base::call_id()> next_call_;
  decision_recorder record_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  replica_filter filter_;
  piece_ticket next_ticket_ = 1;
  /// The queues are looked at again then; earlier after a change.
  base::time_point next_check_at_;
  std::unordered_map<piece_ticket, queued_piece> pieces_;
  std::map<std::string, service_queue> queues_;
  std::map<std::string, drain_rate> drain_rates_;
  std::unordered_map<base::call_id, open_call> calls_;
  /// Calls under way by service.
  std::map<std::string, std::size_t> call_counts_by_service_;
  /// Deadlines of the pieces that wait for a call.
  base::due_times<piece_ticket> waiting_deadlines_;
  /// When calls without an answer are given up.
  base::due_times<base::call_id> call_timeouts_;
  /// When the replicas of calls have fetched the inputs of their pieces; calls without inputs, and
  /// those of which it was told, have no entry.
  base::due_times<base::call_id> expected_fetches_;
  /// When results expire at their makers.
  base::due_times<std::string> result_expiries_;
  std::map<base::replica_id, std::uint32_t> call_counts_by_replica_;
  /// Room taken by results, at work or waiting to be fetched.
  std::map<base::replica_id, double> result_bytes_by_replica_;
  /// Room taken by results that this pool knows nothing of, seen when a replica had none left.
  struct unaccounted_memory {
    double bytes = 0;
    base::time_point until;
  };
  std::map<base::replica_id, unaccounted_memory> unaccounted_memory_;
  std::unordered_map<std::string, held_result> results_;
  std::vector<finished_piece> finished_;
  std::vector<piece_ticket> fetched_;
  std::vector<lost_piece> lost_;
  /// Results that are to be freed when their makers may be sent something again.
  std::map<base::replica_id, std::vector<std::string>> deferred_frees_;
  /// Time after which a replica is taken to have fetched the inputs of a call.
  base::duration fetch_time_;
  command_list commands_;
};

} // namespace spurrack::serving
