#include "replicas/region_spillover.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace spurrack::serving {
namespace {

/// Maximum age of a load report that counts in the mean load of a region: an older report does not
/// show the present load. Within this time, each of 100 nodes gets about ten reports from a region
/// whose replicas sustain 320 calls per second. That is enough for a mean, which needs the load of
/// only `min_known_near` replicas.
constexpr base::duration region_load_lifetime = std::chrono::seconds(3);
/// The fraction of requests that spill over is zero until the load difference between the regions
/// exceeds the load cost of the distance. It reaches one when the difference has grown further by
/// this multiple of the slots, or by more if the replicas of the other regions have more calls than
/// slots. The fraction grows gradually so that nodes that see the same load do not all send their
/// requests to another region at once. In the simulation of region_spill_test with 300 nodes and a
/// region at 1.5 times its capacity, calls wait 0.09 s on average; they wait 1.4 s if each node
/// decides by its most recent load reports alone.
constexpr double spillover_load_range = 0.7;

/// Fraction of the requests that is sent to other regions to learn their load, if no load there is
/// known and the load of this node's region exceeds the load cost of the distance. If an unknown
/// load counted as idle, 0.37 to 0.60 of all calls would spill over while every region gets 1.2
/// times its capacity; with this fraction 0.02 to 0.06 of all calls spill over (region_spill_test).
constexpr double sampling_fraction = 0.1;

/// Minimum number of replicas with known load from which the mean load of this node's region is
/// computed: a single replica may be busy by chance.
constexpr std::size_t min_known_near = 3;
/// Minimum number of replicas with known load from which the mean load of the other regions is
/// computed: only one, because few requests are sent there.
constexpr std::size_t min_known_elsewhere = 1;

/// If the share of failed calls of a replica exceeds this value, its load counts as known even
/// without a load report, and is taken to be its `failure_load` alone.
constexpr double mostly_failing_share = 0.5;

/// @param min_known number of replicas whose load must be known; all replicas if there are fewer.
/// @return the mean load of the replicas whose load is known, including their `failure_load`,
///         relative to the slots; std::nullopt if the load of too few replicas is known.
std::optional<double> mean_known_load(const std::vector<const replica_state*>& replicas,
                                      std::size_t min_known, base::time_point now) {
  double sum = 0;
  std::size_t known_count = 0;
  for (const auto* state : replicas) {
    if (state->reported_load && now - state->load_reported_at < region_load_lifetime) {
      sum += replica_table::load_reported_within(*state, region_load_lifetime, now) +
             replica_table::failure_load(*state, now);
      ++known_count;
    } else if (replica_table::failure_share_of(*state, now) > mostly_failing_share) {
      sum += replica_table::failure_load(*state, now);
      ++known_count;
    }
  }
  const bool is_known = known_count > 0 && known_count >= std::min(min_known, replicas.size());
  return is_known ? std::optional(sum / static_cast<double>(known_count)) : std::nullopt;
}

} // namespace

split_candidates split_by_region(std::vector<const replica_state*> candidates,
                                 const distance& from_here) {
  split_candidates split;
  const auto first_elsewhere =
      std::stable_partition(candidates.begin(), candidates.end(), [&](const auto* state) {
        return from_here.locality_of(state->record->zone) != model::locality::elsewhere;
      });
  split.elsewhere.assign(first_elsewhere, candidates.end());
  candidates.erase(first_elsewhere, candidates.end());
  split.near = std::move(candidates);
  return split;
}

bool region_spillover::should_spill_over(const split_candidates& candidates, base::time_point now) {
  if (candidates.near.empty() || candidates.elsewhere.empty()) {
    return candidates.near.empty();
  }
  const double excess_load = mean_known_load(candidates.near, min_known_near, now).value_or(0) -
                             distance::load_cost(model::locality::elsewhere);
  if (excess_load <= 0) {
    return false;
  }
  const auto elsewhere = mean_known_load(candidates.elsewhere, min_known_elsewhere, now);
  // Differences between long queues are mostly chance, and while all regions queue requests no
  // region gains by sending its calls to another. Therefore a load difference counts less if the
  // replicas elsewhere are busier.
  const double spillover_fraction =
      elsewhere ? (excess_load - *elsewhere) /
                      (spillover_load_range * std::max(1.0, *elsewhere * *elsewhere))
                : sampling_fraction;
  return spillover_fraction > 0 && random_->next_fraction() < spillover_fraction;
}

} // namespace spurrack::serving
