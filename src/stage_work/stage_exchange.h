/// Distributes the pieces of stages over the whole fleet. The replicas of a service are divided
/// into shards. For each shard one node, the batcher, collects the pieces of all nodes and forms
/// the calls, so that the replica that becomes free first receives the pieces that are due first. A
/// small number of replicas is one shard of its region; a large number is divided by zone, so that
/// a partitioned zone continues to serve.
///
/// A node sends its pieces to the batcher with the lowest expected wait, the cost of the distance
/// included. An unresponsive batcher is replaced by the next node in rendezvous order; two batchers
/// of one shard at the same time do no harm. Batchers of other zones are known from the load that
/// they report. Because the nodes' views of the fleet differ or change, a node may hold pieces
/// without being their batcher; it still calls replicas for them.
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

/// A service that a request needs, and where the work may run. Refers to objects of the request.
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
  /// Extends the timeouts of the calls under way by `gap`, the duration for which this process was
  /// suspended.
  void resume_after_suspension(base::duration gap) { pool_.resume_after_suspension(gap); }
  [[nodiscard]] bool has_calls_under_way() const { return pool_.has_calls_under_way(); }

  /// Submits the pieces of one stage of one request, all to the same batcher.
  /// @param zone preferred zone of the pieces; see `piece_work::zone`.
  /// @return the ticket of each piece, in the order of `pieces`.
  std::vector<piece_ticket> submit(std::vector<piece_work> pieces, const base::zone_id& zone,
                                   base::time_point now);
  /// Cancels a piece of this node whose result is no longer needed.
  void cancel(piece_ticket ticket);
  /// Frees results that are no longer needed.
  void release(const std::vector<std::string>& handles);

  /// Applies the answer of a call, or queues the pieces of the call again if there is no answer.
  /// @return whether the call was under way in this node's pool.
  bool on_call_ended(const stage_call_ended& ended, base::time_point now);
  /// Applies a message of another node; ignores unknown senders.
  void handle(const base::node_id& sender, const wire::stage_work& message, base::time_point now);

  /// Updates the batchers of the shards; returns immediately if no update is due.
  void refresh(base::time_point now);
  /// @return time that a piece submitted now is expected to wait for its call, the cost of the
  ///         batcher's distance included; std::nullopt if no batcher can call a replica for it.
  [[nodiscard]] std::optional<base::duration>
  expected_wait(const service_demand& demand, piece_order order, base::time_point now) const;

  /// Starts calls for waiting pieces, checks the pieces that other nodes hold, and reports this
  /// node's load.
  void dispatch_waiting(base::time_point now);
  /// @return latest time at which this node's pool needs the next `dispatch_waiting`; std::nullopt
  ///         if the pool waits for nothing. Checks of pieces at other nodes and load reports are
  ///         not taken into account.
  [[nodiscard]] std::optional<base::time_point> next_wakeup(base::time_point now) const;

  [[nodiscard]] std::vector<finished_piece> take_finished() { return std::exchange(finished_, {}); }
  /// @return pieces of this node whose inputs were fetched by their replica since the previous
  ///         `take_fetched`.
  [[nodiscard]] std::vector<piece_ticket> take_fetched() { return std::exchange(fetched_, {}); }
  /// @return pieces of this node, at any holder, whose calls ended without an answer since the
  ///         previous `take_lost`.
  [[nodiscard]] std::vector<lost_piece> take_lost() { return std::exchange(lost_, {}); }
  [[nodiscard]] command_list take_commands() { return pool_.take_commands(); }
  [[nodiscard]] wire::outbox take_messages();
  [[nodiscard]] const peer_directory& peers() const { return peers_; }
  [[nodiscard]] const shard_map& shards() const { return shards_; }

 private:
  /// Batcher of the shards of a service in one region or zone.
  struct batcher {
    base::node_id node;
    model::effective_region region;
    /// Set if the shards belong to one zone; std::nullopt for shards of a region.
    std::optional<base::zone_id> zone;
    /// Number of replicas of these shards that can be called now; a replica with a limit on calls
    /// per second counts as a fraction of one. If no replica can be called now, the number of
    /// replicas that can be called after their backoffs.
    double callable_replicas = 0;
    /// Time at which the first of these backoffs ends; a time in the past if a replica can be
    /// called now.
    base::time_point callable_at;
  };
  /// A piece of this node and its holder.
  struct placement {
    piece_work work;
    /// Empty if this node itself is the holder.
    base::node_id holder;
    /// Valid only if this node itself is the holder.
    piece_ticket pool_ticket = 0;
    /// Time at which the piece was sent to the holder.
    base::time_point sent_at;
    /// Time at which the holder last confirmed that it has the piece; std::nullopt before the first
    /// confirmation.
    std::optional<base::time_point> confirmed_at;
    /// Time at which the holder was last asked whether it still has the piece.
    base::time_point queried_at;
    /// Number of times that the piece was sent to a holder again.
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
  };

  /// Schedules a new division into shards after other nodes were added or removed, or their
  /// eligibility for work changed.
  void note_peers_changed();
  /// Divides all replicas into shards and selects the batcher of each.
  void assign_shards(base::time_point now);
  /// Sends an empty message to each new batcher, so that the transport connects to it.
  void connect_to_batchers(const std::vector<base::node_id>& batchers);
  /// Number of replicas of a shard that can be called. A replica without a limit counts as 1. A
  /// replica that announces a limit on calls per second counts as the fraction of its time in which
  /// that many calls, each with a full batch of pieces, keep it busy.
  struct callable_replica_count {
    /// Number of replicas that can be called now.
    double now = 0;
    /// Number of replicas that can be called after the backoff that they requested from this node.
    double after_backoff = 0;
    /// Time at which the first of these backoffs ends.
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
  /// @return the batchers of a service: those of the shards that this node assigned, and batchers
  ///         of other zones that report to this node. Only batchers that can be reached and whose
  ///         replicas are in permitted regions.
  [[nodiscard]] std::vector<batcher> batchers_of(const std::string& service,
                                                 const model::residency& permitted_regions,
                                                 base::time_point now) const;
  /// @param zone preferred zone of the pieces.
  /// @param result_bytes total size of the results that are transferred to that zone.
  /// @return cost of the distance to a batcher's replicas, in seconds of waiting.
  [[nodiscard]] double distance_seconds(const batcher& candidate, const base::zone_id& zone,
                                        double result_bytes) const;
  /// @param result_bytes total size of the results of all pieces that are placed together.
  /// @return the batcher with the lowest expected wait for a piece, the cost of the distance
  ///         included; std::nullopt if no batcher has replicas that the piece may use.
  [[nodiscard]] std::optional<base::node_id>
  choose_batcher(const piece_work& work, double result_bytes, base::time_point now) const;
  /// Pieces and calls of a service at a batcher: those that the batcher reported last, and the
  /// pieces that this node has sent to the batcher since.
  struct batcher_load {
    /// Waiting pieces that are not past due.
    double waiting_in_time = 0;
    double waiting_past_due = 0;
    double calls_under_way = 0;
    /// Pieces per second; 0 if no pieces waited recently.
    double drain_rate = 0;
  };
  [[nodiscard]] batcher_load load_of(const base::node_id& node, const std::string& service,
                                     base::time_point now) const;
  /// @return time that a piece is expected to wait at a batcher for its call, in seconds, without
  ///         the cost of the distance.
  [[nodiscard]] double expected_wait_seconds(const batcher& candidate, const std::string& service,
                                             piece_order order, base::time_point now) const;
  /// Sends a piece to a batcher, or submits it to this node's pool if `chosen` is this node or
  /// std::nullopt.
  void place(piece_ticket ticket, placement& placed, const std::optional<base::node_id>& chosen,
             base::time_point now);
  /// Moves pieces whose holder is unresponsive or did not acknowledge them, and queries the holders
  /// of pieces that were not confirmed within `confirmation_interval`.
  void check_placements(base::time_point now);
  /// Queries the holder of an accepted piece, or moves the piece if the holder has not confirmed it
  /// within `confirmation_timeout`.
  void query_or_move(piece_ticket ticket, placement& placed, base::time_point now);
  /// Passes on fetched inputs, lost pieces and results of this node's pool: to the caller for
  /// pieces of this node, by message to the origin for other pieces.
  void collect_pool_results(base::time_point now);
  void collect_fetched_pieces();
  void collect_lost_pieces();
  /// Returns the waiting pieces of other nodes to their origins as not run. Ignores pieces of this
  /// node.
  /// @param waiting pool tickets of waiting pieces.
  void return_forwarded(const std::vector<piece_ticket>& waiting, base::time_point now);
  /// Returns or moves the waiting pieces of a service to other nodes after this node stopped being
  /// a batcher of the service. The pieces would not progress here: this node no longer learns which
  /// results are freed, and would regard the memory of the replicas as full.
  void move_waiting_pieces(const std::string& service, base::time_point now);
  /// Reports to the origin of a piece that this node still holds the piece, or otherwise the
  /// outcome of the piece; a piece of unknown outcome is reported as not run.
  /// @param sender origin of the piece, which sent the query.
  /// @param ticket ticket of the piece at the origin.
  void send_piece_state(const base::node_id& sender, piece_ticket ticket);
  /// @return whether this node may call a replica with pieces of this residency.
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
  /// Sends a piece of this node to a batcher again, or, after `max_moves` moves, submits it to this
  /// node's pool. Cancels the piece at the previous holder unless that node stays the holder.
  void move_piece(piece_ticket ticket, placement& placed, base::time_point now);
  /// Cancels a piece that another node forwarded to this node.
  /// @param ticket ticket of the piece at the origin.
  void cancel_forwarded(const base::node_id& sender, piece_ticket ticket);
  /// Reports the outcome of a piece to its origin and keeps the outcome for later queries.
  void finish_forwarded(const forwarded_piece& forwarded, const piece_outcome& outcome,
                        base::time_point now);
  void send_result(const forwarded_piece& forwarded, const piece_outcome& outcome);
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
  /// Node that accounts for the memory of a result (the holder of the piece), by handle. Results
  /// that this node itself accounts for have no entry.
  std::unordered_map<std::string, base::node_id> result_accounting_nodes_;
  /// Identifier of this incarnation of the node, sent with each message.
  std::uint64_t incarnation_;
  bool is_stopping_ = false;
  piece_ticket next_ticket_;
  /// Unfinished pieces of this node, by ticket.
  std::map<piece_ticket, placement> placements_;
  /// Tickets of the pieces of this node that this node itself holds, by pool ticket.
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
