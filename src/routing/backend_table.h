/// What one node knows of the back ends: the published list, leave notices, its own calls in
/// flight, failures and latencies. Decides which back ends may get a call now.
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

/// One back end as this node sees it.
struct backend {
  base::backend_id id;
  base::zone_id zone;
  base::network_address address;
  base::pool_id pool;
  std::uint32_t concurrency = 1;
  std::uint64_t generation = 0;
  bool is_listed_as_draining = false;
  /// Calls of this node that are under way.
  std::uint32_t in_flight = 0;
  /// No calls before this time: connection failures, overload answers or ejection.
  base::time_point avoid_until;
  base::duration failure_backoff{};
  /// Moving average of the service time; zero before the first sample.
  base::duration average_latency{};
  std::uint64_t samples = 0;
  /// Calls in flight at the back end from all nodes, as its last answer said, and when.
  std::uint32_t reported_in_flight = 0;
  base::time_point reported_at;
};

/// A back end that may get a call, with this node's share of its limit.
struct candidate {
  const backend* target = nullptr;
  std::uint32_t call_quota = 1;
};

/// Limits and thresholds. Durations of the boot clock.
struct routing_limits {
  base::duration overload_backoff = std::chrono::milliseconds(20);
  base::duration min_failure_backoff = std::chrono::milliseconds(100);
  base::duration max_failure_backoff = std::chrono::seconds(5);
  base::duration ejection_duration = std::chrono::seconds(3);
  /// A back end slower than this multiple of its pool's mean is ejected.
  double ejection_latency_ratio = 3.0;
  std::uint64_t min_ejection_samples = 8;
  /// At most this share of a pool is ejected at a time.
  double max_ejected_fraction = 0.34;
  /// Reports of load older than this are not used to exceed the own share.
  base::duration load_report_lifetime = std::chrono::milliseconds(200);
  base::safety_switches switches;
};

/// Not thread-safe. Pointers to back ends are valid until the next `update`.
class backend_table {
 public:
  explicit backend_table(base::zone_id own_zone, routing_limits limits = {})
      : own_zone_(std::move(own_zone)), limits_(limits) {}

  /// Takes over the published list. Calls in flight to a back end that left it are still counted.
  void update(const catalog::machine_map& machines);

  /// Takes note that a back end leaves at `generation` or before.
  /// @return whether that was news.
  bool mark_draining(const base::backend_id& id, std::uint64_t generation);
  [[nodiscard]] bool is_draining(const backend& target) const;
  [[nodiscard]] const std::map<base::backend_id, std::uint64_t>& drain_notices() const {
    return draining_generations_;
  }

  /// @param sharing_nodes how many nodes share the limits of this zone's back ends.
  /// @param own_rank rank of this node among them, for the remainder of the division.
  void set_sharing_nodes(std::uint32_t sharing_nodes, std::uint32_t own_rank);

  /// @return back ends of the own zone with a free slot or, where there is none, of other zones.
  /// @param ignore_limits also those whose share is used up (policies without admission).
  [[nodiscard]] std::vector<candidate> candidates(const base::pool_id& pool, base::time_point now,
                                                  bool ignore_limits) const;
  /// @return calls this node may have under way in the pool, over the zone's usable back ends.
  [[nodiscard]] std::uint32_t slots(const base::pool_id& pool, base::time_point now) const;
  /// @return whether any back end of the pool is usable, now or after a pause.
  [[nodiscard]] bool has_backends(const base::pool_id& pool) const;

  void call_started(const base::backend_id& id);
  /// @param service_time time the call took; nothing where it did not run to its end.
  /// @return whether the back end was ejected for being slow.
  bool call_ended(const base::backend_id& id, std::optional<base::duration> service_time,
                  base::time_point now);
  void record_load(const base::backend_id& id, std::uint32_t in_flight, base::time_point now);
  void note_call_failure(const base::backend_id& id, base::time_point now);
  void note_overload(const base::backend_id& id, base::time_point now);

  [[nodiscard]] const backend* find(const base::backend_id& id) const;
  [[nodiscard]] const std::map<base::backend_id, backend>& all() const { return backends_; }
  /// @return earliest time at which a paused back end of the pool may be used again.
  [[nodiscard]] std::optional<base::time_point> next_usable_at(const base::pool_id& pool,
                                                               base::time_point now) const;

 private:
  /// Back ends of one pool. The two lists are apart since a node looks at the other zones'
  /// thousands only where its own zone has nothing.
  struct pool_members {
    std::vector<base::backend_id> own_zone;
    std::vector<base::backend_id> other_zones;
  };

  [[nodiscard]] std::uint32_t call_quota_of(const backend& target, base::time_point now) const;
  [[nodiscard]] bool is_usable(const backend& target, base::time_point now) const;
  bool eject_if_slow(backend& target, base::time_point now);
  /// @return the usable members of a list that have a free slot.
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
