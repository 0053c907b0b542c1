/// Stage work of the whole fleet: the replicas of a service are divided into shards, and for each
/// shard one node gathers the pieces of all nodes and puts the calls together, so that whichever
/// replica is free first takes what is due first. Few replicas are one shard of their region; many
/// are divided by zone, so that a zone that is cut off serves on. Nodes send their pieces to the
/// gatherer that will be done first; one that is silent is replaced by the next in rendezvous
/// order, and two at once do no harm. Gatherers of other zones are known by the load they report. A
/// node that holds pieces without being their gatherer, since views of the fleet differ or have
/// changed, calls replicas for them all the same.
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

/// Where a piece stands in a queue.
enum class piece_order : std::uint8_t {
  in_time,  ///< Before everything that is past due.
  past_due, ///< Behind everything else.
};

/// Work of a service that is wanted somewhere. Refers to objects of the request.
struct service_demand {
  const std::string& service;
  /// Where the results are wanted.
  const base::zone_id& zone;
  const model::residency& permitted_regions;
};

/// Not thread-safe. Commands, messages and results gather until they are taken.
class stage_exchange {
 public:
  /// @param replicas must outlive this object.
  /// @param first_ticket higher than every ticket of earlier lives of this node.
  stage_exchange(fleet_peer self, replica_table& replicas, const serving_settings& settings,
                 std::function<base::call_id()> next_call, piece_ticket first_ticket,
                 decision_recorder record);

  void set_configuration(std::shared_ptr<const model::serving_configuration> configuration);
  /// Takes over the other nodes that membership holds for alive.
  void set_peers(std::vector<fleet_peer> peers);
  /// A planned stop begins: other nodes take over what waits here.
  void begin_stop(base::time_point now);
  /// @return pieces of a service that wait here for a call.
  [[nodiscard]] std::size_t waiting(const std::string& service) const {
    return pool_.waiting(service);
  }
  /// Replicas came, went or changed.
  void on_replicas_changed() { has_replica_changes_ = true; }
  /// Some replica said that it leaves: the others are divided anew, so that nothing waits for it.
  void on_drain_announced() { are_shards_stale_ = true; }
  /// A replica started again: what its earlier life had of pieces and results is lost.
  void on_replica_restarted(const base::replica_id& replica, base::time_point now);
  /// This process was paused for `gap`: calls under way are given that much more time.
  void resume_after_suspension(base::duration gap) { pool_.resume_after_suspension(gap); }
  /// @return whether calls for pieces are under way.
  [[nodiscard]] bool has_calls_under_way() const { return pool_.has_calls_under_way(); }

  /// Has the pieces of one stage of one request made, at one place.
  /// @param zone where the results are wanted.
  /// @return the ticket of each piece.
  std::vector<piece_ticket> submit(std::vector<piece_work> pieces, const base::zone_id& zone,
                                   base::time_point now);
  /// Nobody wants the piece any more.
  void cancel(piece_ticket ticket);
  /// Nobody needs the results any more.
  void release(const std::vector<std::string>& handles);

  /// @return whether the call was one for pieces.
  bool on_call_ended(const stage_call_ended& ended, base::time_point now);
  void handle(const base::node_id& sender, const wire::stage_work& message, base::time_point now);

  /// Brings up to date who gathers for which replica; costs nothing where nothing has changed.
  void refresh(base::time_point now);
  /// @return how long a piece that is submitted now is expected to wait for its call; nothing where
  ///         nobody can make it.
  [[nodiscard]] std::optional<base::duration>
  expected_wait(const service_demand& demand, piece_order order, base::time_point now) const;

  void dispatch_waiting(base::time_point now);
  [[nodiscard]] std::optional<base::time_point> next_wakeup(base::time_point now) const;

  [[nodiscard]] std::vector<finished_piece> take_finished() { return std::exchange(finished_, {}); }
  /// @return pieces of this node whose replica has fetched their inputs since the last call.
  [[nodiscard]] std::vector<piece_ticket> take_fetched() { return std::exchange(fetched_, {}); }
  /// @return pieces of this node whose calls ended without an answer since the last call, wherever
  ///         they are made.
  [[nodiscard]] std::vector<lost_piece> take_lost() { return std::exchange(lost_, {}); }
  [[nodiscard]] command_list take_commands() { return pool_.take_commands(); }
  [[nodiscard]] wire::outbox take_messages();
  [[nodiscard]] const peer_directory& peers() const { return peers_; }
  [[nodiscard]] const shard_map& shards() const { return shards_; }

 private:
  /// A node that gathers the pieces for some replicas of a service.
  struct batcher {
    base::node_id node;
    model::neighbourhood region;
    /// Set where all its replicas are of one zone.
    std::optional<base::zone_id> zone;
    /// Those of its replicas that can be called; one that names a limit counts for the part that it
    /// takes. Where none can be called now, those that can once their pauses are over.
    double replicas = 0;
    /// When the first of these pauses ends; a time before now where some replica can be called.
    base::time_point callable_at;
  };
  /// Where a piece of this node is.
  struct placement {
    piece_work work;
    /// Empty where this node's own pool has it.
    base::node_id holder;
    piece_ticket pool_ticket = 0;
    base::time_point sent_at;
    /// When the holder said last that it has the piece; nothing before it has.
    std::optional<base::time_point> confirmed_at;
    /// When the holder was asked last whether it still has the piece.
    base::time_point queried_at;
    std::uint32_t moves = 0;
  };
  /// A piece that another node forwarded to this one, which gathers it.
  struct forwarded_piece {
    base::node_id origin;
    piece_ticket origin_ticket = 0;
  };
  /// What became of a piece that this node gathered for another; kept for a while, since the
  /// message that told it may have been lost.
  struct reported_result {
    base::time_point reported_at;
    forwarded_piece forwarded;
    piece_outcome outcome;
  };

  /// Other nodes came or went, or are fit for work or not otherwise than before.
  void note_peers_changed();
  /// Divides all replicas into shards and finds the gatherer of each.
  void assign_shards(base::time_point now);
  /// Greets those who gather from now on, so that connections to them stand.
  void connect_to_batchers(const std::vector<base::node_id>& batchers);
  /// What the replicas of a shard bear.
  struct callable_count {
    /// Those that can be called now: 1 for each, the part of full calls that it takes for one that
    /// names a limit.
    double now = 0;
    /// Those that asked this node for a pause, and when the first pause ends.
    double backing_off = 0;
    base::time_point callable_at = base::time_point::max();
  };
  [[nodiscard]] callable_count count_callable_of(const shard& entry, base::time_point now) const;
  /// @return gatherers of the shards of a service, with what their replicas bear now.
  [[nodiscard]] const std::vector<batcher>& assigned_batchers(const std::string& service,
                                                              base::time_point now) const;
  /// Counts the replicas of each shard that can be called.
  void count_callable(base::time_point now) const;
  /// Fills in for which replicas of the service this node gathers.
  void describe_own_shards(wire::stage_load& load, base::time_point now) const;
  /// @return gatherers of a service that this node has assigned, and those of other zones that
  ///         report; only such that can be reached and whose replicas lie in allowed regions.
  [[nodiscard]] std::vector<batcher> batchers_of(const std::string& service,
                                                 const model::residency& permitted_regions,
                                                 base::time_point now) const;
  /// @return what making a piece at a gatherer costs beside the wait, in seconds of waiting.
  [[nodiscard]] double distance_seconds(const batcher& candidate, const base::zone_id& zone,
                                        double result_bytes) const;
  /// @param result_bytes size of all results together.
  /// @return nothing where no node gathers for replicas that the piece may use.
  [[nodiscard]] std::optional<base::node_id>
  choose_batcher(const piece_work& work, double result_bytes, base::time_point now) const;
  /// Work of a service at a gatherer, as it told it last.
  struct batcher_load {
    double waiting = 0;
    double waiting_past_due = 0;
    double calls_under_way = 0;
    /// Pieces a second; 0 where nothing waited of late.
    double drain_rate = 0;
  };
  [[nodiscard]] batcher_load load_of(const base::node_id& node, const std::string& service,
                                     base::time_point now) const;
  [[nodiscard]] double expected_wait_seconds(const batcher& candidate, const std::string& service,
                                             piece_order order, base::time_point now) const;
  /// @param chosen nothing where no other node is fit.
  void place(piece_ticket ticket, placement& placed, const std::optional<base::node_id>& chosen,
             base::time_point now);
  /// Places pieces anew whose holder is silent or did not take them, and asks for those of which
  /// nothing was heard for long.
  void check_placements(base::time_point now);
  void query_or_move(piece_ticket ticket, placement& placed, base::time_point now);
  void collect_pool_results(base::time_point now);
  void collect_fetched_pieces();
  /// Tells the nodes whose requests they belong to which pieces were lost with their calls.
  void collect_lost_pieces();
  /// Hands waiting pieces of other nodes back to them.
  void return_forwarded(const std::vector<piece_ticket>& waiting, base::time_point now);
  /// Others gather for a service from now on: what waits here goes to them, since results that this
  /// node does not hear of any more seem to take up all room.
  void move_waiting_pieces(const std::string& service, base::time_point now);
  /// Says of a piece of another node whether it is still here, and what became of it otherwise.
  void send_piece_state(const base::node_id& sender, piece_ticket ticket);
  /// @return whether this node may call a replica with pieces that are held to some regions.
  [[nodiscard]] bool may_call(const replica_state& replica,
                              const model::residency& permitted_regions) const;
  /// @return who counts on this node for pieces.
  [[nodiscard]] report_audience audience() const;
  void note_incarnation(peer_state& peer, const wire::stage_work& message, base::time_point now);
  void accept_piece(const base::node_id& sender, const wire::piece_request& request,
                    base::time_point now);
  void apply_result(const base::node_id& sender, const wire::piece_result& result,
                    base::time_point now);
  void move(piece_ticket ticket, placement& placed, base::time_point now);
  void cancel_forwarded(const base::node_id& sender, piece_ticket ticket);
  void finish_forwarded(const forwarded_piece& forwarded, const piece_outcome& outcome,
                        base::time_point now);
  void send_result(const forwarded_piece& forwarded, const piece_outcome& outcome);
  void send_loads(base::time_point now);
  wire::stage_work& message_to(const base::node_id& node);

  fleet_peer self_;
  model::zone_regions regions_;
  replica_table* replicas_;
  stage_pool pool_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  peer_directory peers_;
  shard_map shards_;
  /// The shards are to be found anew.
  bool are_shards_stale_ = true;
  /// Replicas have changed since the shards were found.
  bool has_replica_changes_ = false;
  /// Gatherers of the shards by service, counted where a caller asks for them.
  mutable std::unordered_map<std::string, std::vector<batcher>> batchers_;
  mutable bool are_counts_stale_ = true;
  /// The node that keeps account of the room of a result, where that is another.
  std::unordered_map<std::string, base::node_id> result_accounting_nodes_;
  std::uint64_t incarnation_;
  bool is_stopping_ = false;
  piece_ticket next_ticket_;
  std::map<piece_ticket, placement> placements_;
  std::unordered_map<piece_ticket, piece_ticket> own_by_pool_ticket_;
  std::unordered_map<piece_ticket, forwarded_piece> forwarded_by_pool_ticket_;
  std::map<std::pair<base::node_id, piece_ticket>, piece_ticket> forwarded_tickets_;
  std::deque<reported_result> reported_results_;
  std::map<base::node_id, wire::stage_work> messages_;
  std::vector<finished_piece> finished_;
  std::vector<piece_ticket> fetched_;
  std::vector<lost_piece> lost_;
  base::time_point next_refresh_at_;
  base::time_point next_placement_check_at_;
  base::time_point next_load_report_at_;
};

} // namespace spurrack::serving
