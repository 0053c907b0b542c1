/// Membership of the nodes of one zone. The published list of nodes determines which nodes may be
/// members; SWIM-style probing (Das et al., 2002) with suspicion and incarnations determines which
/// members are alive. Two relays per zone, chosen by rendezvous hashing among its strong nodes,
/// send digests to the relays of the other zones of their region, and report the contacts with
/// these zones to their own zone. Two of the relays of a region do the same for the relays of the
/// other regions, so that the bytes between regions grow with the pairs of regions, not of zones.
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
  /// Time to wait for a direct acknowledgement before other members are requested to probe.
  base::duration acknowledgement_timeout = std::chrono::milliseconds(200);
  /// Time in which a suspect can refute the suspicion before it is declared dead.
  base::duration suspicion_timeout = std::chrono::milliseconds(2000);
  /// Interval at which a random dead member is probed, to detect the end of a partition.
  base::duration dead_probe_period = std::chrono::milliseconds(1000);
  /// Interval at which a relay sends a digest to each other zone.
  base::duration relay_period = std::chrono::milliseconds(1000);
};

/// Identity of this node.
struct identity {
  base::node_id node;
  base::zone_id zone;
  base::network_address address;
  /// Start of this process, the first incarnation of the node; constant while the process runs.
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
  /// Time at which the member entered its state.
  base::time_point since;
};

/// Called whenever the state of a member changes.
using state_observer = std::function<void(const member&)>;

/// Failure detector of one node. Not thread-safe; driven by `tick` and `handle`.
class membership {
 public:
  /// @param random must outlive this object.
  /// @param regions regions of the zones; a zone that is not named there is a region of its own.
  membership(identity self, timing settings, base::random_source& random, state_observer observer,
             model::zone_regions regions = {});

  /// Replaces the published list of nodes. Members that are not listed are dropped, unless no list
  /// with machines has been published yet.
  void set_published(const catalog::machine_map& machines, base::time_point now);
  /// Adds a seed: an address at which this node requests members. The own address is ignored.
  void add_seed(const base::network_address& address);

  /// Replaces all seeds.
  void set_seeds(const std::vector<base::network_address>& addresses);

  /// Records the sender and the member updates in a message of a peer, whatever its body.
  void observe(const wire::envelope& message, base::time_point now);
  /// Handles the messages ping, ping request and acknowledgement; ignores other bodies.
  void handle(const wire::envelope& message, base::time_point now, wire::outbox& out);
  /// Runs the periodic work: probes, suspicion timeouts, requests for members and digests. Call
  /// about every 100 ms.
  void tick(base::time_point now, wire::outbox& out);
  /// Drops pending probes and restarts suspicion timeouts after a suspension of this process, so
  /// that no member is declared dead because of it.
  void resume_after_suspension(base::time_point now);
  /// Adds member updates from the gossip queue to an outgoing message.
  void piggyback(wire::envelope& message);

  /// @return whether a node may be contacted as a member: it is published, or no list is known yet.
  [[nodiscard]] bool may_be_member(const base::node_id& node) const;
  /// @return live members of the own zone, without this node.
  [[nodiscard]] const std::vector<member>& live_peers() const;
  /// @return live members of the own zone, including this node, sorted.
  [[nodiscard]] const std::vector<base::node_id>& live_zone_nodes() const;
  [[nodiscard]] const std::map<base::node_id, member>& members() const { return members_; }
  [[nodiscard]] const std::vector<base::network_address>& seeds() const { return seeds_; }
  /// @return whether this node is one of the `count` nodes that have a job in its zone.
  [[nodiscard]] bool has_zone_job(std::string_view job, std::size_t count) const;
  /// @return whether this node sends digests about its zone to other zones.
  [[nodiscard]] bool is_relay() const;
  /// A few zones of a region do a job for the whole region. They are chosen by hashing among the
  /// zones that this node can reach, so that a partitioned zone does the job for itself.
  /// @param zones number of zones that do the job.
  /// @param count number of nodes that do it in each of these zones.
  /// @return whether this node is one of them.
  [[nodiscard]] bool has_region_job(std::string_view job, std::size_t zones, std::size_t count,
                                    base::time_point now) const;
  [[nodiscard]] base::incarnation incarnation() const { return incarnation_; }
  /// @return time at which this node learned of the first other member from a message; std::nullopt
  ///         if it knows members only from the published list.
  [[nodiscard]] std::optional<base::time_point> first_member_added_at() const {
    return first_member_added_at_;
  }
  /// Increases whenever a member is added, dropped or changed.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const zone_contact& zones() const { return zones_; }
  [[nodiscard]] const identity& self() const { return self_; }
  /// @return zone of the member at an address; null if no member with this address is known.
  [[nodiscard]] const base::zone_id* zone_at(const base::network_address& address) const;

  /// @return the time in which a dead member is detected on average: until some member probes it,
  ///         then the probe's timeout and the suspicion timeout.
  [[nodiscard]] base::duration expected_detection_time() const;

 private:
  /// Data that is derived from `members_` and read for each message; recomputed after a change.
  struct live_view {
    std::vector<member> peers;
    std::vector<base::node_id> zone_nodes;
    /// Members of each other zone, including dead members, because the members of a partitioned
    /// zone appear dead.
    std::map<base::zone_id, std::vector<base::node_id>> remote;
    std::map<base::zone_id, std::vector<base::node_id>> relays;
  };
  struct probe {
    std::uint64_t sequence = 0;
    base::node_id target;
    base::time_point started;
    bool indirect_sent = false;
  };
  /// A member update that is sent with outgoing messages.
  struct gossip_update {
    wire::member_update update;
    unsigned sends_left = 0;
  };
  /// A probe that this node sent on request of another member.
  struct indirect_probe {
    base::network_address requester;
    std::uint64_t requester_sequence = 0;
    base::time_point started;
  };

  void apply_update(const wire::member_update& update, base::time_point now);
  /// Refutes a report that this node is suspect or dead, by a higher incarnation.
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
  /// Requests members that this node does not know: from all seeds while it knows no member, then
  /// from known members, so that a start of all nodes does not overload the seeds.
  void request_members(base::time_point now, wire::outbox& out);
  void send_member_request(const base::network_address& address, wire::outbox& out);
  [[nodiscard]] base::network_address choose_member_source() const;
  /// Records a reply. If it answers the last request for members and added members, schedules the
  /// next request at once.
  void note_member_reply(std::uint64_t sequence, base::time_point now);
  /// Invalidates the data derived from `members_` and increases the version.
  void note_change();
  /// Adds to a reply live members that the requester does not know.
  void add_missing_members(const wire::envelope& request, wire::envelope& reply) const;
  /// Sends the digests that this node sends as a relay of its zone or its region.
  void send_digests(base::time_point now, wire::outbox& out);
  /// Sends digests about the own zone to the other zones of the region.
  void send_to_other_zones(base::time_point now, wire::outbox& out);
  /// Sends a digest to another zone of the region, with the contacts to other regions. The digest
  /// is itself a contact with the own zone.
  void send_to_zone(const base::zone_id& zone, const wire::zone_digest& members,
                    base::time_point now, wire::outbox& out);
  /// Sends the contacts with zones of the own region to the relays of other regions.
  void send_to_other_regions(base::time_point now, wire::outbox& out);
  /// Sends the contacts with other zones to all nodes of the own zone.
  void send_to_own_zone(base::time_point now, wire::outbox& out) const;
  /// @return the relays of a region: one relay of each of two reachable zones, or both relays of a
  ///         single zone.
  [[nodiscard]] std::vector<base::node_id> region_relays(const base::region_id& region,
                                                         base::time_point now) const;
  /// @return whether this node is a relay of its region.
  [[nodiscard]] bool is_region_relay(base::time_point now) const;
  /// @return live members of the zones of one region.
  [[nodiscard]] std::vector<base::node_id> nodes_of_region(const base::region_id& region) const;
  /// @return other regions in which members are known.
  [[nodiscard]] std::set<base::region_id> other_regions() const;
  void send_digest(const base::node_id& to, const wire::zone_digest& digest,
                   wire::outbox& out) const;
  /// @return the relays of a zone, chosen among the given nodes of the zone.
  [[nodiscard]] std::vector<base::node_id>
  choose_relays(const std::vector<base::node_id>& nodes) const;
  [[nodiscard]] float processor_share_of(const base::node_id& node) const;
  std::optional<base::node_id> next_probe_target();
  wire::envelope ping_message(std::uint64_t sequence, const member* target);
  [[nodiscard]] bool in_zone(const member& other) const { return other.zone == self_.zone; }
  /// @return number of messages with which a member update is sent.
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
  /// Sequence of the last request for members.
  std::uint64_t last_member_request_ = 0;
  std::optional<base::time_point> first_member_added_at_;
  /// Time at which a message last added a member.
  base::time_point last_member_added_at_;
};

/// @return the member update that describes `subject`.
wire::member_update update_of(const member& subject);

} // namespace spurrack::membership
