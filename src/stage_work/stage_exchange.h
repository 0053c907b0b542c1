/// Distributes the pieces of stages over the whole fleet. The replicas of a service are divided
/// into shards. For each shard one node, the batcher, collects the pieces of all nodes and forms
/// the calls, so that the replica that becomes free first receives the pieces that are due first. A
/// small number of replicas is one shard of its region; a large number is divided by zone, so that
/// a partitioned zone continues to serve.
///
/// A node sends the pieces of its requests to the batcher with the lowest sum of expected wait and
/// cost of the distance. An unresponsive batcher is replaced by the next node in rendezvous order;
/// two batchers of one shard at the same time do no harm. Batchers of other zones are known from
/// the load that they report. Because the nodes' views of the fleet differ or change, a node may
/// hold pieces without being their batcher; it still calls replicas for them.
///
/// Terms: the origin of a piece is the node that serves the request of the piece. Its exchange
/// returns a ticket, which identifies the piece at the origin. The holder of a piece is the node in
/// whose pool the piece waits and from which it is called: the origin itself, or the node to which
/// the origin forwarded the piece. The pool of the holder identifies the piece by a second ticket,
/// the pool ticket.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "model/residency.h"
#include "replicas/distance.h"
#include "replicas/replica_table.h"
#include "serving/settings.h"
#include "stage_work/shard_map.h"
#include "stage_work/stage_pool.h"
#include "wire/outgoing.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace spurrack::serving {

/// Position of a piece in a queue relative to the pieces that are past due.
enum class piece_order : std::uint8_t {
  in_time,  ///< Before all pieces that are past due.
  past_due, ///< After all other pieces.
};

/// A service that a request needs, and where the work may run. Holds references to objects of the
/// request, which must outlive it.
struct service_demand {
  const std::string& service;
  /// Zone to which the results are delivered.
  const base::zone_id& zone;
  const model::residency& permitted_regions;
};

/// Sends the pieces of this node's requests to batchers, and forms the calls for the shards of
/// which this node is the batcher. Not thread-safe. Commands, messages and results accumulate until
/// the caller takes them with the `take_` functions.
class stage_exchange {
 public:
  /// @param replicas must outlive this object.
  /// @param next_call returns the identifier of the next call, unique among all calls of the node.
  /// @param first_ticket must be higher than every ticket of earlier incarnations of this node;
  ///        also identifies this incarnation in messages.
  stage_exchange(fleet_peer self, replica_table& replicas, const serving_settings& settings,
                 std::function<base::call_id()> next_call, piece_ticket first_ticket,
                 decision_recorder record);

  void set_configuration(std::shared_ptr<const model::serving_configuration> configuration);
  /// Replaces the list of the other nodes that membership considers alive.
  void set_peers(std::vector<fleet_peer> peers);
  /// Begins a graceful stop: returns the waiting pieces of other nodes to their origins, which
  /// place them at other nodes.
  void begin_stop(base::time_point now);
  /// Sets whether this node is partitioned from all replicas. While it is, other nodes batch the
  /// pieces, as during a graceful stop.
  void set_partitioned(bool is_partitioned, base::time_point now);
  /// @return number of pieces of a service that wait for a call in this node's pool.
  [[nodiscard]] std::size_t waiting_count(const std::string& service) const {
    return pool_.waiting_count(service);
  }
  /// Must be called after replicas were added, removed or changed.
  void on_replicas_changed() { has_replica_changes_ = true; }
  /// Must be called after a replica announced that it drains: the other replicas are divided into
  /// shards again, so that no pieces wait for the draining replica.
  void on_drain_announced() { are_shards_stale_ = true; }
  /// Cancels the calls to the earlier incarnation of a replica that restarted, queues their pieces
  /// again and forgets the results of that incarnation.
  void on_replica_restarted(const base::replica_id& replica, base::time_point now);
  /// Adds `gap`, the duration for which this process was suspended, to the timeouts of the calls
  /// under way, and to the times of the latest contact with other nodes and with the holders of its
  /// pieces: this process judges nobody by the time for which it did not read.
  void resume_after_suspension(base::duration gap);
  [[nodiscard]] bool has_calls_under_way() const { return pool_.has_calls_under_way(); }

  /// Submits the pieces of one stage of one request, all to the same batcher.
  /// @param zone preferred zone of the pieces; see `piece_work::zone`.
  /// @return the ticket of each piece, in the order of `pieces`.
  std::vector<piece_ticket> submit(std::vector<piece_work> pieces, const base::zone_id& zone,
                                   base::time_point now);
  /// Cancels a submitted piece whose result is no longer needed, also if another node holds the
  /// piece.
  void cancel(piece_ticket ticket);
  /// Frees results that are no longer needed.
  void release(const std::vector<stage_result>& results);

  /// Applies the answer of a call, or queues the pieces of the call again if there is no answer.
  /// @return whether the call was under way in this node's pool.
  bool on_call_ended(const stage_call_ended& ended, base::time_point now);
  /// Applies a message of another node; ignores unknown senders.
  void handle(const base::node_id& sender, const wire::stage_work& message, base::time_point now);

  /// Updates the batchers of the shards; returns immediately if no update is due.
  void refresh(base::time_point now);
  /// @return time for which a piece submitted now is expected to wait for its call, plus the cost
  ///         of the distance to the batcher; std::nullopt if no batcher has a replica that it can
  ///         call for the piece, now or when a requested backoff ends, or if the service is not a
  ///         stage service of the configuration in force.
  [[nodiscard]] std::optional<base::duration>
  expected_wait(const service_demand& demand, piece_order order, base::time_point now) const;

  /// Starts calls for the pieces that wait in this node's pool. Queries the other nodes about the
  /// pieces of this node's requests that they hold, or moves these pieces (see `check_placements`).
  /// Sends this node's load report if it is due.
  void dispatch_waiting(base::time_point now);
  /// @return latest time at which this node's pool needs the next call of `dispatch_waiting`;
  ///         std::nullopt if the pool waits for nothing. Only the pool is considered: load reports,
  ///         and checks of the pieces that other nodes hold, may be due earlier.
  [[nodiscard]] std::optional<base::time_point> next_wakeup(base::time_point now) const;

  [[nodiscard]] std::vector<finished_piece> take_finished() { return std::exchange(finished_, {}); }
  /// @return tickets of submitted pieces, whichever node holds them, whose inputs are assumed to
  ///         have been fetched since the previous `take_fetched`. The replica of a piece is assumed
  ///         to have fetched the inputs when the expected fetch time has passed since the start of
  ///         its call (`serving_settings::input_fetch_time`, adapted by the pool of the holder).
  [[nodiscard]] std::vector<piece_ticket> take_fetched() { return std::exchange(fetched_, {}); }
  /// @return submitted pieces, at any holder, whose calls were lost (ended without an answer) since
  ///         the previous `take_lost`.
  [[nodiscard]] std::vector<lost_piece> take_lost() { return std::exchange(lost_, {}); }
  [[nodiscard]] command_list take_commands() { return pool_.take_commands(); }
  [[nodiscard]] wire::outbox take_messages();
  [[nodiscard]] const peer_directory& peers() const { return peers_; }
  [[nodiscard]] const shard_map& shards() const { return shards_; }

 private:
  /// Batcher of one or more shards of a service, all of the same region or all of the same zone.
  struct batcher {
    base::node_id node;
    model::effective_region region;
    /// Set if the shards belong to one zone; std::nullopt for shards of a region.
    std::optional<base::zone_id> zone;
    /// Number of replicas of these shards that can be called now. If none can be called now, the
    /// number of replicas that are blocked only by a requested backoff and can be called when it
    /// ends. A replica with a limit on calls per second counts as a fraction of one.
    double callable_replicas = 0;
    /// If no replica can be called now, the time at which the first of these backoffs ends;
    /// otherwise a time in the past.
    base::time_point callable_at;
  };
  /// A piece of one of this node's requests, and its holder: the node in whose pool the piece waits
  /// and from which it is called.
  struct placement {
    piece_work work;
    /// Node that holds the piece; empty if this node itself holds it.
    base::node_id holder;
    /// Ticket of the piece in this node's pool. Valid only if this node itself holds the piece.
    piece_ticket pool_ticket = 0;
    /// Time at which the piece was sent to the holder.
    base::time_point sent_at;
    /// Time at which the holder last confirmed that it has the piece; std::nullopt before the first
    /// confirmation.
    std::optional<base::time_point> confirmed_at;
    /// Time at which the holder was last asked whether it still has the piece.
    base::time_point queried_at;
    /// Number of times that `move_piece` has placed the piece again.
    std::uint32_t moves = 0;
  };
  /// A piece of another node, the origin, that this node holds.
  struct forwarded_piece {
    base::node_id origin;
    /// Ticket of the piece at the origin.
    piece_ticket origin_ticket = 0;
  };
  /// Outcome of a piece that this node held for another node; kept for `reported_result_lifetime`
  /// because the message that reported the outcome may have been lost.
  struct reported_result {
    base::time_point reported_at;
    forwarded_piece forwarded;
    piece_outcome outcome;
    result_producer producer;
  };

  /// Schedules a new division into shards after other nodes were added or removed, or their
  /// eligibility for work changed.
  void note_peers_changed();
  /// Divides all replicas into shards and selects the batcher of each.
  void assign_shards(base::time_point now);
  /// Sends an empty message to each new batcher, so that the transport connects to it.
  void connect_to_batchers(const std::vector<base::node_id>& batchers);
  /// Number of replicas of a shard that can be called. A replica without a limit counts as 1. A
  /// replica that announces a limit on calls per second counts as the fraction of its time for
  /// which it is busy if it runs as many calls as the limit permits, each with a full batch.
  struct callable_replica_count {
    /// Number of replicas that can be called now.
    double now = 0;
    /// Number of replicas that cannot be called now because of a backoff that they requested from
    /// this node, and that can be called when this backoff ends.
    double after_backoff = 0;
    /// Time at which the first of these backoffs ends; `time_point::max()` if there are none.
    base::time_point callable_at = base::time_point::max();
  };
  [[nodiscard]] callable_replica_count count_callable_replicas_of(const shard& entry,
                                                                  base::time_point now) const;
  /// @return batchers of the shards of a service, with the number of their callable replicas.
  [[nodiscard]] const std::vector<batcher>& assigned_batchers(const std::string& service,
                                                              base::time_point now) const;
  /// Computes `batchers_`: counts the callable replicas of the shards of each batcher.
  void count_callable_replicas(base::time_point now) const;
  /// Sets, in the load report of a service, the number of callable replicas for which this node is
  /// the batcher, and whether these replicas are in one zone.
  void describe_own_shards(wire::stage_load& load, base::time_point now) const;
  /// @return the batchers to which pieces of a service can be sent, without those whose replicas
  ///         are in regions that are not permitted. First, the batchers that this node selected for
  ///         the shards in its shard map, if membership considers them alive. Second, nodes of
  ///         other zones whose recent load reports say that they are batchers for their own zone,
  ///         if these nodes are eligible for work and their zone is reachable and not evacuated.
  [[nodiscard]] std::vector<batcher> batchers_of(const std::string& service,
                                                 const model::residency& permitted_regions,
                                                 base::time_point now) const;
  /// @param zone preferred zone of the pieces.
  /// @param result_bytes total size of the results that are transferred to that zone.
  /// @return cost of the distance between that zone and a batcher's replicas, as the wait in
  ///         seconds that is accepted to avoid the distance.
  [[nodiscard]] double distance_seconds(const batcher& candidate, const base::zone_id& zone,
                                        double result_bytes) const;
  /// @param result_bytes total size of the results of all pieces that are placed together.
  /// @return the batcher with the lowest expected wait for a piece, the cost of the distance
  ///         included; std::nullopt if no batcher has replicas that the piece may use, or if the
  ///         service is not a stage service of the configuration in force.
  [[nodiscard]] std::optional<base::node_id>
  choose_batcher(const piece_work& work, double result_bytes, base::time_point now) const;
  /// Pieces and calls of a service at a batcher: those that the batcher reported last, and the
  /// pieces that this node has sent to the batcher since.
  struct batcher_load {
    /// Waiting pieces that are not past due.
    double waiting_in_time = 0;
    double waiting_past_due = 0;
    double calls_under_way = 0;
    /// Pieces per second that the batcher dispatched while further pieces waited; 0 if no pieces
    /// waited recently.
    double drain_rate = 0;
  };
  [[nodiscard]] batcher_load load_of(const base::node_id& node, const std::string& service,
                                     base::time_point now) const;
  /// @return time that a piece is expected to wait at a batcher for its call, in seconds, without
  ///         the cost of the distance.
  [[nodiscard]] double expected_wait_seconds(const batcher& candidate, const std::string& service,
                                             const model::piece_capacity& capacity,
                                             piece_order order, base::time_point now) const;
  /// Sends a piece to a batcher, or submits it to this node's pool if `chosen` is this node or
  /// std::nullopt.
  void place(piece_ticket ticket, placement& placed, const std::optional<base::node_id>& chosen,
             base::time_point now);
  /// Checks the pieces of this node's requests that other nodes hold. Moves a piece if its holder
  /// is unresponsive, did not acknowledge the piece within `acceptance_timeout`, or has not
  /// confirmed it for `confirmation_timeout`. Queries the holder of a piece that was not confirmed
  /// for `confirmation_interval`.
  void check_placements(base::time_point now);
  /// Moves an accepted piece if its holder has not confirmed it for `confirmation_timeout`.
  /// Otherwise queries the holder if it has not confirmed the piece for `confirmation_interval`.
  void query_or_move(piece_ticket ticket, placement& placed, base::time_point now);
  /// Takes from this node's pool the pieces whose inputs are assumed to be fetched, the pieces
  /// whose calls were lost, and the outcomes of finished pieces. Keeps those of this node's
  /// requests for the `take_` functions of this object; reports the others to their origins by
  /// message.
  void collect_pool_results(base::time_point now);
  void collect_fetched_pieces();
  void collect_lost_pieces();
  /// For the waiting pieces that other nodes forwarded to this node: cancels them here and reports
  /// them to their origins as not run. Ignores the pieces of this node's own requests.
  /// @param waiting pool tickets of waiting pieces.
  void return_forwarded(const std::vector<piece_ticket>& waiting, base::time_point now);
  /// Called after this node stopped being a batcher of a service. Of the pieces of the service that
  /// wait here, returns those of other nodes' requests to their origins, and moves those of this
  /// node's own requests to another batcher if there is one. The pieces would not progress here:
  /// this node no longer learns which results are freed, and would regard the memory of the
  /// replicas as full.
  void move_waiting_pieces(const std::string& service, base::time_point now);
  /// Answers the query of a node about a piece that it forwarded to this node: reports that this
  /// node still holds the piece or, if not, the outcome of the piece. If the outcome is not known
  /// here, reports the piece as not run.
  /// @param sender origin of the piece, which sent the query.
  /// @param ticket ticket of the piece at the origin.
  void send_piece_state(const base::node_id& sender, piece_ticket ticket);
  /// @return whether the division into shards lets this node call `replica` with pieces of this
  ///         residency. Whether the residency permits the region of the replica is checked
  ///         separately.
  [[nodiscard]] bool may_call(const replica_state& replica,
                              const model::residency& permitted_regions) const;
  /// @return nodes to which this node reports its load as a batcher.
  [[nodiscard]] report_audience load_report_audience() const;
  /// Records the incarnation of a peer and whether the peer is stopping. If the peer restarted,
  /// moves the pieces that its earlier incarnation held.
  void note_incarnation(peer_state& peer, const wire::stage_work& message, base::time_point now);
  /// Submits a piece of another node to this node's pool and acknowledges it to the origin.
  void accept_piece(const base::node_id& sender, const wire::piece_request& request,
                    base::time_point now);
  /// Applies the outcome of a piece that another node held. Moves the piece if it was not run.
  void apply_result(const base::node_id& sender, const wire::piece_result& result,
                    base::time_point now);
  /// Places a piece of one of this node's requests again: at a batcher or, after `max_moves` moves,
  /// in this node's pool. Cancels the piece at the previous holder unless the same node is chosen
  /// again.
  void move_piece(piece_ticket ticket, placement& placed, base::time_point now);
  /// Cancels a piece that another node forwarded to this node.
  /// @param ticket ticket of the piece at the origin.
  void cancel_forwarded(const base::node_id& sender, piece_ticket ticket);
  /// Reports the outcome of a piece to its origin and keeps the outcome for later queries.
  /// @param producer process that produced the result; unknown if the piece has none.
  void finish_forwarded(const forwarded_piece& forwarded, const piece_outcome& outcome,
                        const result_producer& producer, base::time_point now);
  void send_result(const forwarded_piece& forwarded, const piece_outcome& outcome,
                   const result_producer& producer);
  /// Sends the load of this node's pool to the nodes of `load_report_audience`, at most once per
  /// `load_report_interval`.
  void send_loads(base::time_point now);
  /// @return the message to `node` that the next `take_messages` will return.
  wire::stage_work& message_to(const base::node_id& node);

  fleet_peer self_;
  model::zone_regions regions_;
  replica_table* replicas_;
  stage_pool pool_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  peer_directory peers_;
  shard_map shards_;
  /// Whether the shards must be recomputed.
  bool are_shards_stale_ = true;
  /// Whether replicas have changed since the shards were computed.
  bool has_replica_changes_ = false;
  /// Batchers of the shards, with the number of their callable replicas, by service; computed on
  /// demand.
  mutable std::unordered_map<std::string, std::vector<batcher>> batchers_;
  mutable bool are_batchers_stale_ = true;
  /// Node that accounts for the memory of a result, by handle of the result: the node that held the
  /// piece. Results that this node itself accounts for have no entry.
  std::unordered_map<std::string, base::node_id> result_accounting_nodes_;
  /// Identifier of this incarnation of the node, sent with each message.
  std::uint64_t incarnation_;
  /// @return whether other nodes are to batch the pieces.
  [[nodiscard]] bool hands_over_pieces() const { return is_stopping_ || is_partitioned_; }

  bool is_stopping_ = false;
  bool is_partitioned_ = false;
  piece_ticket next_ticket_;
  /// Unfinished pieces of this node's requests, at any holder, by the tickets that `submit`
  /// returned.
  std::map<piece_ticket, placement> placements_;
  /// For the pieces of this node's requests that are in this node's own pool: the ticket that
  /// `submit` returned, by pool ticket.
  std::unordered_map<piece_ticket, piece_ticket> own_ticket_by_pool_ticket_;
  /// Pieces that other nodes forwarded to this node, by pool ticket.
  std::unordered_map<piece_ticket, forwarded_piece> forwarded_by_pool_ticket_;
  /// Pool tickets of the pieces that other nodes forwarded to this node, by origin and the ticket
  /// of the piece at the origin.
  std::map<std::pair<base::node_id, piece_ticket>, piece_ticket> forwarded_pool_tickets_;
  std::deque<reported_result> reported_results_;
  /// Messages that the next `take_messages` will return, by receiver.
  std::map<base::node_id, wire::stage_work> messages_;
  std::vector<finished_piece> finished_;
  std::vector<piece_ticket> fetched_;
  std::vector<lost_piece> lost_;
  base::time_point next_refresh_at_;
  base::time_point next_placement_check_at_;
  base::time_point next_load_report_at_;
};

} // namespace spurrack::serving
