/// Members of the fleet as one node knows them. Only nodes on the published list of nodes may be
/// members. The list consists of the machine records of the catalog with the role `node`. While no
/// list has been published, a node becomes a member when a message reports the node as alive.
/// Within each zone, SWIM-style probing (Das et al., 2002) with suspicion and incarnations
/// determines which members are alive.
///
/// Each zone has two relays, chosen by rendezvous hashing among the nodes of the zone that have at
/// least half as many cores as the node with the most cores. A relay periodically sends digests to
/// the relays of the other zones of its region and to the nodes of its own zone. A digest contains
/// members of the sender's zone or region, or the time since the last contact with each zone
/// (zone_contact.h: the last receipt of a message from the zone), or both.
///
/// In each region, two of the relays of its zones are also the relays of the region. They send
/// digests to the relays of the other regions. The bytes between regions therefore grow with the
/// number of pairs of regions, not with the number of pairs of zones.
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

/// Timing of the failure detector. All durations are measured by the boot clock.
struct timing {
  /// Interval between probes that this node starts.
  base::duration probe_period = std::chrono::milliseconds(500);
  /// If a member has not acknowledged this node's probe within this time, other members are
  /// requested to probe the member.
  base::duration acknowledgement_timeout = std::chrono::milliseconds(200);
  /// Time in which a suspected member can refute the suspicion before it is declared dead.
  base::duration suspicion_timeout = std::chrono::milliseconds(2000);
  /// Interval at which a random dead member is probed, to detect the end of a partition.
  base::duration dead_probe_period = std::chrono::milliseconds(1000);
  /// Interval between the rounds in which a relay sends digests.
  base::duration relay_period = std::chrono::milliseconds(1000);
};

/// Identity of this node.
struct identity {
  base::node_id node;
  base::zone_id zone;
  base::network_address address;
  /// Start time of this process by the wall clock, in microseconds, and the initial incarnation of
  /// this node. When this node refutes a report that it is suspected or dead, its incarnation
  /// increases, but not `process_start`.
  base::incarnation process_start = 0;
  /// Number of cores that this node may use.
  float processor_share = 1;
};

/// A member of the fleet, with its state in the view of this node.
struct member {
  base::node_id node;
  base::zone_id zone;
  base::network_address address;
  base::incarnation incarnation = 0;
  wire::member_state state = wire::DEAD;
  /// Number of cores that the member may use; 0 if that is not known.
  float processor_share = 0;
  /// Time at which the member entered its state. For a suspected member, the time is set to the
  /// current time when this process resumes after a suspension, so that the suspicion timeout
  /// starts again.
  base::time_point state_since;
};

/// Called whenever the state of a member changes.
using state_observer = std::function<void(const member&)>;

/// Members that one node knows, and the failure detector of this node. Not thread-safe; driven by
/// `tick` and `handle`. A member is live if its state is alive or suspected. A member that is known
/// only from the published list is dead until a message reports it as alive.
class membership {
 public:
  /// @param random must outlive this object.
  /// @param regions region of each zone. A zone without an entry counts as a zone of this node's
  ///        region for digests and region jobs, and as a region of its own for requests for
  ///        members.
  membership(identity self, timing settings, base::random_source& random, state_observer observer,
             model::zone_regions regions = {});

  /// Replaces the published list of nodes by the machines with the role `node`. Once any machine
  /// has been published, members that are not on the list are dropped.
  void set_published_nodes(const catalog::machine_map& machines, base::time_point now);
  /// Adds a gossip seed: an address of a node from which this node requests members. The address of
  /// this node itself is ignored.
  void add_gossip_seed(const base::network_address& address);
  void set_gossip_seeds(const std::vector<base::network_address>& addresses);

  /// Records that the sender of a message is alive, and applies the member updates and the zone
  /// digest in the message. Call for each received message, whatever its body.
  void observe(const wire::envelope& message, base::time_point now);
  /// Handles messages with the body `ping`, `ping_request` or `acknowledgement`; ignores messages
  /// with another body.
  void handle(const wire::envelope& message, base::time_point now, wire::outbox& out);
  /// Runs the periodic work: probes, suspicion timeouts, requests for members and digests. Call
  /// about every 100 ms.
  void tick(base::time_point now, wire::outbox& out);
  /// Extends the timeouts of probes, suspicions and zone contacts by a time for which this process
  /// read no messages.
  /// @param now end of that time.
  void note_stand(base::duration stand, base::time_point now);
  /// Drops pending probes and restarts suspicion timeouts after a suspension of this process, so
  /// that no member is declared dead because this process did not run.
  void resume_after_suspension(base::time_point now);
  /// Adds member updates from the gossip queue to an outgoing message.
  void piggyback(wire::envelope& message);

  /// @return whether a node may be a member: it is on the published list of nodes, or no list has
  ///         been published yet.
  [[nodiscard]] bool may_be_member(const base::node_id& node) const;
  /// @return live members of this node's zone, without this node.
  [[nodiscard]] const std::vector<member>& live_peers() const;
  /// @return live members of this node's zone, including this node, sorted.
  [[nodiscard]] const std::vector<base::node_id>& live_zone_nodes() const;
  [[nodiscard]] const std::map<base::node_id, member>& members() const { return members_; }
  [[nodiscard]] const std::vector<base::network_address>& gossip_seeds() const {
    return gossip_seeds_;
  }
  /// A zone job is work that a few nodes of a zone do for all nodes of the zone, such as watching a
  /// platform service. These nodes are chosen among the live nodes of the zone by rendezvous
  /// hashing with the name of the job.
  /// @param count number of nodes of the zone that do the job.
  /// @return whether this node does the job.
  [[nodiscard]] bool has_zone_job(std::string_view job, std::size_t count) const;
  /// @return whether this node is a relay of its zone.
  [[nodiscard]] bool is_relay() const;
  /// A region job is work that a few nodes in each of a few zones do for the whole region. The
  /// zones are chosen by rendezvous hashing with the name of the job among this node's zone and the
  /// reachable zones of its region. A partitioned zone reaches no other zone, so it does the job
  /// for itself.
  /// @param zones number of zones whose nodes do the job.
  /// @param count number of nodes of each of these zones that do the job.
  /// @return position of this node among the nodes that do the job, starting at 0; std::nullopt if
  ///         this node does not do the job.
  [[nodiscard]] std::optional<std::size_t> region_job_rank(std::string_view job, std::size_t zones,
                                                           std::size_t count,
                                                           base::time_point now) const;
  /// @return addresses of the other nodes that do the job, as far as this node knows, in the order
  ///         of their positions.
  [[nodiscard]] std::vector<base::network_address>
  other_region_job_nodes(std::string_view job, std::size_t zones, std::size_t count,
                         base::time_point now) const;
  /// Position of this node in an order in which the nodes of its region that do not have a region
  /// job take turns, and the sizes that determine the order.
  struct turn_position {
    /// Position among the live nodes of its zone without the job, ordered by rendezvous hashing,
    /// and their number, at least 1.
    std::size_t zone_rank = 0;
    std::size_t zone_nodes = 1;
    /// Position of its zone among the zones of the region that have nodes without the job, ordered
    /// by name, and their number, at least 1. Nodes of other zones count even if they are dead.
    std::size_t zone_index = 0;
    std::size_t zones = 1;
  };
  /// @param subject what the turns are for; nodes have different positions for each subject.
  /// @param job,zones,count the region job, as in `region_job_rank`. If this node has the job, it
  ///        counts as a node without the job.
  [[nodiscard]] turn_position position_besides_job(std::string_view subject, std::string_view job,
                                                   std::size_t zones, std::size_t count,
                                                   base::time_point now) const;
  /// Numbers of zones and nodes.
  struct region_size {
    std::size_t zones = 1;
    std::size_t nodes = 1;
  };
  /// @return size of this node's region, including this node; nodes of other zones count even if
  ///         they are dead.
  [[nodiscard]] region_size own_region_size() const;
  /// @return the relays of each other zone of this node's region.
  [[nodiscard]] std::vector<std::vector<base::network_address>> relays_of_other_zones() const;
  /// @return the other relays of this node's zone.
  [[nodiscard]] std::vector<base::network_address> relays_of_own_zone() const;
  [[nodiscard]] base::incarnation incarnation() const { return incarnation_; }
  /// @return time at which a message added the first member; std::nullopt if no message has added a
  ///         member. Members that the published list adds do not count.
  [[nodiscard]] std::optional<base::time_point> first_member_added_at() const {
    return first_member_added_at_;
  }
  /// Increases whenever a member is added, dropped or changed.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const zone_contact& zones() const { return zones_; }
  [[nodiscard]] const identity& self() const { return self_; }
  /// @return zone of the member at an address; null if no member with this address is known.
  [[nodiscard]] const base::zone_id* zone_at(const base::network_address& address) const;

  /// @return mean time from the failure of a member until the member is declared dead: the sum of
  ///         the mean time until another member probes the failed member, the timeout of this
  ///         probe, and the suspicion timeout.
  [[nodiscard]] base::duration expected_detection_time() const;

 private:
  /// Data derived from `members_`. Cached, because it is read for each message; recomputed after a
  /// member has changed.
  struct live_view {
    /// Result of `live_peers()`.
    std::vector<member> peers;
    /// Result of `live_zone_nodes()`.
    std::vector<base::node_id> zone_nodes;
    /// Members of each other zone, including dead members: the members of a partitioned zone may
    /// appear dead and must still receive digests, so that the end of the partition is detected.
    std::map<base::zone_id, std::vector<base::node_id>> remote;
    /// Relays of each zone, including this node's zone.
    std::map<base::zone_id, std::vector<base::node_id>> relays;
  };
  /// A probe that this node started, whose acknowledgement is pending.
  struct probe {
    std::uint64_t sequence = 0;
    base::node_id target;
    base::time_point started_at;
    bool has_requested_indirect = false;
  };
  /// A member update in the gossip queue. The update leaves the queue after `gossip_sends()`
  /// messages have carried it.
  struct gossip_update {
    wire::member_update update;
    unsigned sends_left = 0;
  };
  /// A probe that this node sent on request of another member.
  struct indirect_probe {
    base::network_address requester;
    std::uint64_t requester_sequence = 0;
    base::time_point started_at;
  };

  void apply_update(const wire::member_update& update, base::time_point now);
  /// Refutes a report that this node is suspected or dead: sets the incarnation of this node to the
  /// reported incarnation plus one, and gossips that this node is alive.
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
  /// If a request for members is due, requests the members that this node does not know:
  /// - from all gossip seeds while this node knows no member;
  /// - from a known member while members are being added, so that the seeds are not overloaded if
  ///   all nodes of the fleet start at once;
  /// - from a random gossip seed otherwise.
  void request_members(base::time_point now, wire::outbox& out);
  void send_member_request(const base::network_address& address, wire::outbox& out);
  [[nodiscard]] base::network_address choose_member_source() const;
  /// Handles a message that may be the reply to a request for members. If the message has the
  /// sequence number of the last request and has added members, the next request is due at once.
  void note_member_reply(std::uint64_t sequence, base::time_point now);
  /// Invalidates the data derived from `members_` and increases the version.
  void note_change();
  /// Adds to the reply the alive members that the requester does not know, up to a maximum number.
  void add_missing_members(const wire::envelope& request, wire::envelope& reply) const;
  /// Sends one round of digests if this node is a relay of its zone or of its region.
  void send_digests(base::time_point now, wire::outbox& out);
  /// Sends digests to the other zones of this node's region. In some rounds, the digests list the
  /// live members of this node's zone.
  void send_digests_to_other_zones(base::time_point now, wire::outbox& out);
  /// Sends digests to another zone of this node's region. The relays of that zone receive the time
  /// since the last contact with each zone of other regions; a random node of that zone receives
  /// `members`. Each receiver also records a contact with this node's zone.
  void send_digests_to_zone(const base::zone_id& zone, const wire::zone_digest& members,
                            base::time_point now, wire::outbox& out);
  /// Sends digests to the relays and to a random node of each other region. The digests contain the
  /// time since the last contact with each other zone of this node's region. In some rounds the
  /// digest to the random node also lists the live members of this node's region.
  void send_digests_to_other_regions(base::time_point now, wire::outbox& out);
  /// Sends the time since the last contact with each other zone to all live members of this node's
  /// zone.
  void send_digests_to_own_zone(base::time_point now, wire::outbox& out) const;
  /// @return the relays of a region: one relay of each of two zones, or both relays of a zone if
  ///         only this zone can be chosen. The zones are chosen among the reachable zones of the
  ///         region, or among all zones of the region if none of them is reachable.
  [[nodiscard]] std::vector<base::node_id> region_relays(const base::region_id& region,
                                                         base::time_point now) const;
  /// @return whether this node is a relay of its region.
  [[nodiscard]] bool is_region_relay(base::time_point now) const;
  /// @return live members of all zones of a region, without this node.
  [[nodiscard]] std::vector<base::node_id> nodes_of_region(const base::region_id& region) const;
  /// @return the regions of the known members, without this node's region.
  [[nodiscard]] std::set<base::region_id> other_regions() const;
  void send_digest(const base::node_id& to, const wire::zone_digest& digest,
                   wire::outbox& out) const;
  /// @param nodes nodes of one zone.
  /// @return the relays of the zone.
  [[nodiscard]] std::vector<base::node_id>
  choose_relays(const std::vector<base::node_id>& nodes) const;
  [[nodiscard]] float processor_share_of(const base::node_id& node) const;
  std::optional<base::node_id> next_probe_target();
  wire::envelope ping_message(std::uint64_t sequence, const member* target);
  /// @return position of this node among the nodes that do a zone job, starting at 0; std::nullopt
  ///         if this node does not do the job.
  [[nodiscard]] std::optional<std::size_t> zone_job_rank(std::string_view job,
                                                         std::size_t count) const;
  /// @return zones whose nodes do a region job, in the order of their positions.
  [[nodiscard]] std::vector<base::zone_id> region_job_zones(std::string_view job, std::size_t zones,
                                                            base::time_point now) const;
  /// @return live nodes of a zone, including this node if the zone is its own.
  [[nodiscard]] std::vector<base::node_id> live_nodes_of(const base::zone_id& zone) const;
  [[nodiscard]] bool is_in_own_zone(const member& other) const { return other.zone == self_.zone; }
  /// @return number of messages in which one member update is sent before it leaves the gossip
  ///         queue.
  [[nodiscard]] unsigned gossip_sends() const;
  [[nodiscard]] const live_view& live() const;

  identity self_;
  model::zone_regions regions_;
  timing settings_;
  base::random_source* random_;
  state_observer observer_;
  base::incarnation incarnation_;
  bool has_published_list_ = false;
  std::map<base::node_id, member> members_;
  std::unordered_map<base::network_address, base::zone_id> zones_by_address_;
  std::uint64_t version_ = 0;
  zone_contact zones_;
  mutable std::optional<live_view> live_;
  std::vector<base::network_address> gossip_seeds_;
  std::deque<gossip_update> gossip_queue_;
  std::vector<base::node_id> probe_order_;
  std::optional<probe> probe_;
  std::map<std::uint64_t, indirect_probe> indirect_probes_;
  std::uint64_t next_sequence_ = 1;
  base::time_point next_probe_at_;
  base::time_point next_dead_probe_at_;
  base::time_point next_digests_at_;
  /// Number of rounds in which this node, as a relay, sent digests to the other zones of its region
  /// (`relay_rounds_`) and to other regions (`region_rounds_`). The numbers decide in which rounds
  /// the digests list members.
  std::uint64_t relay_rounds_ = 0;
  std::uint64_t region_rounds_ = 0;
  base::time_point next_member_request_at_;
  /// Sequence number of the last request for members.
  std::uint64_t last_member_request_ = 0;
  std::optional<base::time_point> first_member_added_at_;
  /// Time at which a message last added a member.
  base::time_point last_member_added_at_;
};

/// @return the member update that describes `subject`.
wire::member_update update_of(const member& subject);

} // namespace spurrack::membership
