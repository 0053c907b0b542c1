/// Membership of the nodes of one zone: the published list says who may be a member, SWIM-style
/// probing (Das et al., 2002) with suspicion and incarnations says who is. Two relays a zone,
/// chosen by rendezvous hashing among its strong nodes, send digests to the relays of the other
/// zones of their region and tell their own zone what they heard from there. Two of the relays of a
/// region do the same for the relays of the other regions, so that bytes between regions grow with
/// pairs of regions and not of zones.
#pragma once

#include "base/event_log.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "catalog/catalog.h"
#include "membership/zone_contact.h"
#include "model/residency.h"
#include "wire/outgoing.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace spurrack::membership {

/// Timing of the failure detector. All are durations of the boot clock.
struct timing {
  base::duration probe_period = std::chrono::milliseconds(500);
  /// Time for a direct acknowledgement before others are asked to probe.
  base::duration acknowledgement_timeout = std::chrono::milliseconds(200);
  /// Time a suspect has to refute.
  base::duration suspicion_timeout = std::chrono::milliseconds(2000);
  /// How often one dead but still published member is probed, to notice the end of a cut.
  base::duration dead_probe_period = std::chrono::milliseconds(1000);
  /// How often a relay sends a digest to each other zone.
  base::duration relay_period = std::chrono::milliseconds(1000);
};

/// Who this node is.
struct identity {
  base::node_id node;
  base::zone_id zone;
  base::network_address address;
  /// Start of this process; never changes during its life.
  base::incarnation process_start = 0;
  /// Cores this node may use.
  float processor_share = 1;
};

/// One member as this node sees it.
struct member {
  base::node_id node;
  base::zone_id zone;
  base::network_address address;
  base::incarnation incarnation = 0;
  wire::member_state state = wire::DEAD;
  /// Cores it may use; 0 where that is not known.
  float processor_share = 0;
  /// When the state was entered.
  base::time_point since;
};

/// Called at each change of a member's state.
using state_observer = std::function<void(const member&)>;

/// Failure detector of one node. Not thread-safe; driven by `tick` and `handle`.
class membership {
 public:
  /// @param random must outlive this object.
  /// @param regions what is not named there is a region of its own.
  membership(identity self, timing settings, base::random_source& random, state_observer observer,
             model::zone_regions regions = {});

  /// Takes over the published list of nodes; members that are no longer listed are dropped.
  void set_published(const catalog::machine_map& machines, base::time_point now);
  /// Adds an address to contact before any list is known.
  void add_seed(const base::network_address& address);

  /// Replaces the addresses to contact.
  void set_seeds(const std::vector<base::network_address>& addresses);

  /// Takes note of the sender and of the rumours in any message of a peer.
  void observe(const wire::envelope& message, base::time_point now);
  /// Answers or accounts for a probe message; other bodies are ignored.
  void handle(const wire::envelope& message, base::time_point now, wire::outbox& out);
  /// Drives probes, suspicion and relays. Call about every 100 ms.
  void tick(base::time_point now, wire::outbox& out);
  /// Forgets probes under way after a pause of this process, so that nobody is blamed for it.
  void resume_after_suspension(base::time_point now);
  /// Adds rumours to an outgoing message.
  void piggyback(wire::envelope& message);

  /// @return whether this node may be contacted as a member: published, or no list is known yet.
  [[nodiscard]] bool may_be_member(const base::node_id& node) const;
  /// @return live members of the own zone without this node.
  [[nodiscard]] const std::vector<member>& live_peers() const;
  /// @return live members of the own zone with this node, sorted.
  [[nodiscard]] const std::vector<base::node_id>& live_zone_nodes() const;
  [[nodiscard]] const std::map<base::node_id, member>& members() const { return members_; }
  [[nodiscard]] const std::vector<base::network_address>& seeds() const { return seeds_; }
  /// @return whether this node is among the `count` that hold a job of its zone.
  [[nodiscard]] bool has_zone_job(std::string_view job, std::size_t count) const;
  /// @return whether this node tells other zones of its own.
  [[nodiscard]] bool is_relay() const;
  /// A few zones of a region do a job for all: those that come first among the zones that a node
  /// hears, so that a zone that is cut off does it for itself.
  /// @param zones how many do it. @param count how many nodes of each.
  /// @return whether this node is one of them.
  [[nodiscard]] bool has_region_job(std::string_view job, std::size_t zones, std::size_t count,
                                    base::time_point now) const;
  [[nodiscard]] base::incarnation incarnation() const { return incarnation_; }
  /// @return when this node met the first other one; nothing where a published list names them.
  [[nodiscard]] std::optional<base::time_point> first_member_added_at() const {
    return first_member_added_at_;
  }
  /// Grows whenever a member comes, goes or changes.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const zone_contact& zones() const { return zones_; }
  [[nodiscard]] const identity& self() const { return self_; }
  /// @return zone of the member at an address; null where none is known.
  [[nodiscard]] const base::zone_id* zone_at(const base::network_address& address) const;

  /// Longest time to notice a dead member: probing by somebody, then suspicion. Mean over members.
  [[nodiscard]] base::duration expected_detection_time() const;

 private:
  /// What is derived from `members_` and read with every message; made anew after a change.
  struct live_view {
    std::vector<member> peers;
    std::vector<base::node_id> zone_nodes;
    /// Members of each other zone, dead ones included, since a cut zone looks dead.
    std::map<base::zone_id, std::vector<base::node_id>> remote;
    std::map<base::zone_id, std::vector<base::node_id>> relays;
  };
  struct probe {
    std::uint64_t sequence = 0;
    base::node_id target;
    base::time_point started;
    bool indirect_sent = false;
  };
  struct gossip_update {
    wire::member_update update;
    unsigned sends_left = 0;
  };
  struct indirect_probe {
    base::network_address requester;
    std::uint64_t requester_sequence = 0;
    base::time_point started;
  };

  void apply_update(const wire::member_update& update, base::time_point now);
  void refute(base::incarnation reported_incarnation);
  void set_state(member& subject, wire::member_state state, base::incarnation incarnation,
                 base::time_point now);
  void gossip(const member& subject);
  void enqueue_gossip(const wire::member_update& update);
  void start_probe(base::time_point now, wire::outbox& out);
  void check_probe(base::time_point now, wire::outbox& out);
  void request_indirect_probes(const member& target, wire::outbox& out);
  void expire_suspects(base::time_point now);
  void probe_dead_member(wire::outbox& out);
  /// Asks for members this node does not know: seeds while it knows nobody, then others that were
  /// introduced like itself, so that a start of all nodes is no rush to the seeds.
  void request_members(base::time_point now, wire::outbox& out);
  void send_member_request(const base::network_address& address, wire::outbox& out);
  [[nodiscard]] base::network_address choose_member_source() const;
  /// The last question for members was answered.
  void note_member_reply(std::uint64_t sequence, base::time_point now);
  /// Forgets what is derived from `members_`.
  void note_change();
  void add_missing_members(const wire::envelope& requester, wire::envelope& reply) const;
  void send_digests(base::time_point now, wire::outbox& out);
  /// Sends digests to the nodes of other zones that are to hear of this one.
  void send_to_other_zones(base::time_point now, wire::outbox& out);
  /// Tells one other zone of this region that this one lives, and what came from other regions.
  void send_to_zone(const base::zone_id& zone, const wire::zone_digest& members,
                    base::time_point now, wire::outbox& out);
  /// Tells the relays of other regions which zones of the own region this node has heard of.
  void send_to_other_regions(base::time_point now, wire::outbox& out);
  /// Tells the own zone which other zones this node has heard of.
  void send_to_own_zone(base::time_point now, wire::outbox& out) const;
  /// @return relays that speak for a region: of two zones that are heard, where it has so many.
  [[nodiscard]] std::vector<base::node_id> region_relays(const base::region_id& region,
                                                         base::time_point now) const;
  [[nodiscard]] bool is_region_relay(base::time_point now) const;
  /// @return live members of the zones of one region.
  [[nodiscard]] std::vector<base::node_id> nodes_of_region(const base::region_id& region) const;
  /// @return other regions that have members.
  [[nodiscard]] std::set<base::region_id> other_regions() const;
  void send_digest(const base::node_id& to, const wire::zone_digest& digest,
                   wire::outbox& out) const;
  /// @return relays of a zone among some of its nodes.
  [[nodiscard]] std::vector<base::node_id>
  choose_relays(const std::vector<base::node_id>& nodes) const;
  [[nodiscard]] float processor_share_of(const base::node_id& node) const;
  std::optional<base::node_id> next_probe_target();
  wire::envelope ping_message(std::uint64_t sequence, const member* target);
  [[nodiscard]] bool in_zone(const member& other) const { return other.zone == self_.zone; }
  [[nodiscard]] unsigned gossip_sends() const;
  [[nodiscard]] const live_view& live() const;

  identity self_;
  model::zone_regions regions_;
  timing settings_;
  base::random_source* random_;
  state_observer observer_;
  base::incarnation incarnation_;
  bool is_list_known_ = false;
  std::map<base::node_id, member> members_;
  std::unordered_map<base::network_address, base::zone_id> zones_by_address_;
  std::uint64_t version_ = 0;
  zone_contact zones_;
  mutable std::optional<live_view> live_;
  std::vector<base::network_address> seeds_;
  std::deque<gossip_update> gossip_queue_;
  std::vector<base::node_id> probe_order_;
  std::optional<probe> probe_;
  std::map<std::uint64_t, indirect_probe> indirect_probes_;
  std::uint64_t next_sequence_ = 1;
  base::time_point next_probe_at_;
  base::time_point next_dead_probe_at_;
  base::time_point next_relay_at_;
  std::uint64_t relay_rounds_ = 0;
  std::uint64_t region_rounds_ = 0;
  base::time_point next_member_request_at_;
  /// Sequence of the last question for members.
  std::uint64_t last_member_request_ = 0;
  std::optional<base::time_point> first_member_added_at_;
  /// When a member was last added.
  base::time_point last_member_added_at_;
};

/// @return the rumour that describes `subject`.
wire::member_update update_of(const member& subject);

} // namespace spurrack::membership
