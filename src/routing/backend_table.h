/// Back ends in the view of this node: the machine list that the platform publishes, drain notices,
/// and the calls of this node in flight, their failures and their latencies. Determines to which
/// back ends this node can send a call now.
#pragma once

#include "base/ids.h"
#include "base/safety_switches.h"
#include "base/time.h"
#include "catalog/catalog.h"
#include "routing/latency_estimator.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace spurrack::routing {

/// Published record and observations of one back end.
struct backend {
  base::backend_id id;
  base::zone_id zone;
  base::network_address address;
  base::pool_id pool;
  /// Maximum number of calls in flight at the back end, over all nodes.
  std::uint32_t concurrency = 1;
  std::uint64_t generation = 0;
  /// Whether the state in the machine list is `leaving`.
  bool is_listed_as_draining = false;
  /// Number of calls of this node that are in flight at the back end.
  std::uint32_t in_flight = 0;
  /// Time before which this node sends no calls to the back end, because of failed calls, overload
  /// answers or ejection.
  base::time_point avoid_until;
  /// Duration of the latest backoff after a failed call; each completed call resets it to zero.
  base::duration failure_backoff{};
  /// Moving average of the service time; zero before the first sample.
  base::duration average_latency{};
  /// Number of service times averaged since the last ejection.
  std::uint64_t samples = 0;
  /// Latest load report of the back end: number of calls of all nodes that are in flight there, and
  /// the time at which the report arrived.
  std::uint32_t reported_in_flight = 0;
  base::time_point reported_at;
};

/// Back end to which this node can send a call.
struct candidate {
  const backend* target = nullptr;
  /// Maximum number of calls that this node may have in flight at the back end.
  std::uint32_t call_quota = 1;
};

/// Limits and thresholds of backoff, ejection and the use of load reports. Durations are measured
/// by the boot clock.
struct routing_limits {
  base::duration overload_backoff = std::chrono::milliseconds(20);
  base::duration min_failure_backoff = std::chrono::milliseconds(100);
  base::duration max_failure_backoff = std::chrono::seconds(5);
  base::duration ejection_duration = std::chrono::seconds(3);
  /// A back end is ejected if its average latency is at least this multiple of the mean latency of
  /// the other back ends of its pool. For ejection, the back ends of this node's zone and those of
  /// all other zones count as two pools.
  double ejection_latency_ratio = 3.0;
  /// Minimum number of latency samples of a back end before it can be ejected or other back ends
  /// are compared with it.
  std::uint64_t min_ejection_samples = 8;
  /// No back end is ejected if then more than this fraction of the back ends of its pool would be
  /// ejected or backing off.
  double max_ejected_fraction = 0.34;
  /// While the latest load report of a back end is at most this old, this node may use more than
  /// its fair part of the back end's limit.
  base::duration load_report_lifetime = std::chrono::milliseconds(200);
  base::safety_switches switches;
};

/// Table of the back ends. Pointers to back ends are valid until the next `update`. Not
/// thread-safe.
class backend_table {
 public:
  explicit backend_table(base::zone_id own_zone, routing_limits limits = {})
      : own_zone_(std::move(own_zone)), limits_(limits) {}

  /// Applies the machine list that the platform publishes. Calls in flight at a back end that is no
  /// longer listed are still counted.
  void update(const catalog::machine_map& machines);

  /// Records that a back end drains at its generation `generation` and at all earlier ones. The
  /// platform increases the generation of a back end each time the back end returns.
  /// @return false if this was already known.
  bool mark_draining(const base::backend_id& id, std::uint64_t generation);
  [[nodiscard]] bool is_draining(const backend& target) const;
  /// @return for each back end with a drain notice, the latest generation at which the back end
  ///         drains. Back ends that drain only according to the machine list are not included.
  [[nodiscard]] const std::map<base::backend_id, std::uint64_t>& drain_notices() const {
    return draining_generations_;
  }

  /// Divides the limits of this zone's back ends among the nodes of the zone.
  /// @param sharing_nodes number of nodes that share the limits, including this node.
  /// @param own_rank rank of this node among these nodes, from 0; the first ranks get the remainder
  ///        of the division.
  void set_sharing_nodes(std::uint32_t sharing_nodes, std::uint32_t own_rank);

  /// @param ignore_limits whether back ends without a free slot are included as well; true for
  ///        policies that enforce no limits.
  /// @return the usable back ends of this node's zone that have a free slot; if there are none, the
  ///         usable back ends of other zones that have a free slot.
  [[nodiscard]] std::vector<candidate> candidates(const base::pool_id& pool, base::time_point now,
                                                  bool ignore_limits) const;
  /// @return number of calls that this node may have in flight in the pool at the back ends that do
  ///         not drain: at those of this node's zone or, if its zone has none, at those of other
  ///         zones.
  [[nodiscard]] std::uint32_t slots(const base::pool_id& pool, base::time_point now) const;
  /// @return whether the pool has a back end that does not drain, including back ends that are
  ///         backing off or ejected.
  [[nodiscard]] bool has_backends(const base::pool_id& pool) const;

  void call_started(const base::backend_id& id);
  /// @param service_time duration of the call; std::nullopt if the call did not complete.
  /// @return whether the back end was ejected for being slow.
  bool call_ended(const base::backend_id& id, std::optional<base::duration> service_time,
                  base::time_point now);
  /// Records the number of calls in flight that a back end reported.
  void record_load(const base::backend_id& id, std::uint32_t in_flight, base::time_point now);
  /// Starts or doubles the backoff of a back end at which a call broke or could not be sent.
  void note_call_failure(const base::backend_id& id, base::time_point now);
  /// Starts the backoff of a back end that refused a call because of overload.
  void note_overload(const base::backend_id& id, base::time_point now);

  [[nodiscard]] const backend* find(const base::backend_id& id) const;
  [[nodiscard]] const std::map<base::backend_id, backend>& all() const { return backends_; }
  /// @return earliest time at which the backoff or ejection of a back end of the pool ends;
  ///         std::nullopt if no back end is backing off or ejected.
  [[nodiscard]] std::optional<base::time_point> next_usable_at(const base::pool_id& pool,
                                                               base::time_point now) const;

 private:
  /// Back ends of one pool, in one list for this node's zone and one for all other zones. The lists
  /// are separate because this node searches the thousands of back ends of other zones only if its
  /// own zone has no candidate.
  struct pool_members {
    std::vector<base::backend_id> own_zone;
    std::vector<base::backend_id> other_zones;
  };

  /// @return number of calls that this node may have in flight at a back end.
  [[nodiscard]] std::uint32_t call_quota_of(const backend& target, base::time_point now) const;
  [[nodiscard]] bool is_usable(const backend& target, base::time_point now) const;
  /// Ejects a back end if it is much slower than the other back ends of its pool.
  /// @return whether it was ejected.
  bool eject_if_slow(backend& target, base::time_point now);
  /// @return the usable back ends of `members` that have a free slot; all usable ones if
  ///         `ignore_limits` is set.
  [[nodiscard]] std::vector<candidate>
  members_with_free_slot(const std::vector<base::backend_id>& members, base::time_point now,
                         bool ignore_limits) const;
  [[nodiscard]] std::uint32_t slots_of(const std::vector<base::backend_id>& members,
                                       base::time_point now) const;
  [[nodiscard]] const pool_members& members_of(const base::pool_id& pool) const;

  base::zone_id own_zone_;
  routing_limits limits_;
  std::uint32_t sharing_nodes_ = 1;
  std::uint32_t own_rank_ = 0;
  std::map<base::backend_id, backend> backends_;
  std::map<base::pool_id, pool_members> pools_;
  std::map<base::backend_id, std::uint64_t> draining_generations_;
};

} // namespace spurrack::routing
