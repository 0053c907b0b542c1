/// Stage work of the whole fleet: the replicas of a service in a region are divided into shards,
/// and for each shard one node gathers the pieces of all nodes and puts the calls together, so that
/// whichever replica is free first takes what is due first. Nodes send their pieces to the gatherer
/// that will be done first; one that is silent is replaced by the next in rendezvous order, and two
/// at once do no harm. A node that holds pieces without being their gatherer, since views of the
/// fleet differ or have changed, calls replicas for them all the same.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "serving/peer_directory.h"
#include "serving/replica_table.h"
#include "serving/settings.h"
#include "serving/stage_pool.h"
#include "wire/outgoing.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace spurrack::serving {

/// Where a piece stands in a queue.
enum class piece_standing : std::uint8_t {
  in_time,  ///< Before everything that is past due.
  past_due, ///< Behind everything else.
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

  /// Finds anew who gathers for which replica, where that was long ago.
  void refresh(base::time_point now);
  /// @return how long a piece of a service that is submitted now is expected to wait for its call;
  ///         nothing where nobody can make it.
  [[nodiscard]] std::optional<base::duration>
  expected_wait(const std::string& service, piece_standing standing, base::time_point now) const;

  void pump(base::time_point now);
  [[nodiscard]] std::optional<base::time_point> next_wakeup(base::time_point now) const;

  [[nodiscard]] std::vector<piece_finished> take_finished() { return std::exchange(finished_, {}); }
  /// @return pieces of this node whose replica has fetched their inputs since the last call.
  [[nodiscard]] std::vector<piece_ticket> take_fetched() { return std::exchange(fetched_, {}); }
  [[nodiscard]] command_list take_commands() { return pool_.take_commands(); }
  [[nodiscard]] wire::outbox take_messages();
  [[nodiscard]] const peer_directory& peers() const { return peers_; }

 private:
  /// A node that gathers the pieces for some replicas of a service.
  struct gatherer {
    base::node_id node;
    std::string region;
    /// Those of its replicas that can be called now.
    std::uint32_t replicas = 0;
  };
  /// Replicas of one service in one region.
  struct replica_group {
    std::string service;
    std::string region;
    auto operator<=>(const replica_group&) const = default;
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
    base::time_point asked_at;
    std::uint32_t moves = 0;
  };
  /// A piece that this node gathers for another.
  struct guest_piece {
    base::node_id origin;
    piece_ticket origin_ticket = 0;
  };
  /// What became of a piece that this node gathered for another; kept for a while, since the
  /// message that told it may have been lost.
  struct told_result {
    base::time_point told_at;
    guest_piece guest;
    piece_outcome outcome;
  };

  /// Nodes that may gather pieces, by region and in all.
  struct candidate_nodes {
    std::map<std::string, std::vector<base::node_id>> by_region;
    std::vector<base::node_id> all;
  };
  [[nodiscard]] candidate_nodes find_candidates() const;
  /// Divides the replicas of a group into shards and finds the gatherer of each.
  void assign(const replica_group& group, const std::vector<base::replica_id>& replicas,
              const std::vector<base::node_id>& candidates, base::time_point now);
  /// @return whether calls to a replica are expected to arrive.
  [[nodiscard]] bool is_usable(const base::replica_id& id, base::time_point now) const;
  /// Drops gatherers that membership dropped, until they are found anew.
  void forget_unknown_gatherers();
  void add_gatherer(const replica_group& group, const base::node_id& node, bool has_usable_replica);
  [[nodiscard]] std::string region_of(const base::zone_id& zone) const;
  /// @param result_bytes size of all results together.
  const gatherer* choose_gatherer(const std::string& service, double result_bytes,
                                  const base::zone_id& zone, base::time_point now) const;
  /// Work of a service at a gatherer, as it told it last.
  struct gatherer_load {
    double waiting = 0;
    double waiting_past_due = 0;
    double calls_under_way = 0;
    /// Pieces a second; 0 where nothing waited of late.
    double drain_rate = 0;
  };
  [[nodiscard]] gatherer_load load_of(const base::node_id& node, const std::string& service,
                                      base::time_point now) const;
  [[nodiscard]] double expected_wait_seconds(const gatherer& candidate, const std::string& service,
                                             piece_standing standing, base::time_point now) const;
  /// @param chosen null where no other node is fit.
  void place(piece_ticket ticket, placement& placed, const gatherer* chosen, base::time_point now);
  /// Places pieces anew whose holder is silent or did not take them, and asks for those of which
  /// nothing was heard for long.
  void place_again(base::time_point now);
  void ask_or_move(piece_ticket ticket, placement& placed, base::time_point now);
  void take_pool_results(base::time_point now);
  void take_pool_fetched();
  /// Hands waiting pieces of other nodes back to them.
  void hand_back_guests(const std::vector<piece_ticket>& waiting, base::time_point now);
  /// Others gather for a service from now on: what waits here goes to them, since results that
  /// this node does not hear of any more seem to take up all room.
  void hand_over(const std::string& service, base::time_point now);
  /// Says of a piece of another node whether it is still here, and what became of it otherwise.
  void tell_state(const base::node_id& sender, piece_ticket ticket);
  /// @return whether this node may call a replica with pieces.
  [[nodiscard]] bool may_call(const replica_state& replica) const;
  /// @return whether other nodes count on this one for pieces.
  [[nodiscard]] bool gathers() const;
  void note_life(peer_state& peer, const wire::stage_work& message, base::time_point now);
  void take_wanted(const base::node_id& sender, const wire::piece_request& wanted,
                   base::time_point now);
  void take_made(const base::node_id& sender, const wire::piece_result& result,
                 base::time_point now);
  void move(piece_ticket ticket, placement& placed, base::time_point now);
  void take_cancelled(const base::node_id& sender, piece_ticket ticket);
  void finish_guest(const guest_piece& guest, const piece_outcome& outcome, base::time_point now);
  void tell_result(const guest_piece& guest, const piece_outcome& outcome);
  void send_loads(base::time_point now);
  wire::stage_work& message_to(const base::node_id& node);

  fleet_peer self_;
  std::map<base::zone_id, std::string> regions_;
  double processor_share_;
  replica_table* replicas_;
  stage_pool pool_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  peer_directory peers_;
  /// Replicas this node gathers for, and the services they belong to.
  std::set<base::replica_id> own_replicas_;
  std::set<std::string> own_services_;
  std::unordered_map<std::string, std::vector<gatherer>> gatherers_;
  std::unordered_map<base::replica_id, base::node_id> gatherer_of_;
  std::uint64_t life_;
  bool stopping_ = false;
  piece_ticket next_ticket_;
  std::map<piece_ticket, placement> placements_;
  std::unordered_map<piece_ticket, piece_ticket> own_by_pool_ticket_;
  std::unordered_map<piece_ticket, guest_piece> guests_by_pool_ticket_;
  std::map<std::pair<base::node_id, piece_ticket>, piece_ticket> guest_tickets_;
  std::deque<told_result> told_results_;
  std::map<base::node_id, wire::stage_work> messages_;
  std::vector<piece_finished> finished_;
  std::vector<piece_ticket> fetched_;
  base::time_point next_refresh_;
  base::time_point next_load_report_;
};

} // namespace spurrack::serving
