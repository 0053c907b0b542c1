/// Counters of the serving path, exported as metrics.
#pragma once

#include "base/time.h"
#include "model/residency.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace spurrack::serving {

/// Histogram of times to first byte in fixed buckets.
class latency_histogram {
 public:
  /// Upper bounds of the buckets, in seconds; the last bucket is unbounded.
  static constexpr std::array<double, 12> bounds{0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
                                                 1.0,  1.6,   2.5,  4.0, 8.0,  16.0};

  void add(base::duration took) {
    const double seconds = base::to_seconds(took);
    std::size_t bucket = 0;
    while (bucket < bounds.size() && seconds > bounds[bucket]) {
      ++bucket;
    }
    ++counts_[bucket];
    sum_seconds_ += seconds;
  }
  [[nodiscard]] const std::array<std::uint64_t, bounds.size() + 1>& counts() const {
    return counts_;
  }
  [[nodiscard]] double sum_seconds() const { return sum_seconds_; }

 private:
  std::array<std::uint64_t, bounds.size() + 1> counts_{};
  double sum_seconds_ = 0;
};

struct serving_counters {
  /// Answers by status; 0 counts disconnected clients and aborted streams.
  std::map<unsigned, std::uint64_t> answers;
  latency_histogram first_byte;
  std::uint64_t calls = 0;
  /// Calls by locality of their replica, indexed by `model::locality`.
  std::array<std::uint64_t, model::locality_count> calls_by_locality{};
  /// Requests refused because no replica in their permitted regions could serve them.
  std::uint64_t refused_by_residency = 0;
  /// Requests sent to a more distant replica although a nearer one was available outside their
  /// permitted regions.
  std::uint64_t confined_by_residency = 0;
  std::uint64_t retries = 0;
  /// Retries that exceeded the retry budget.
  std::uint64_t retries_denied = 0;
  /// Retries that waited for retry budget transferred by other nodes.
  std::uint64_t retries_on_transferred_budget = 0;
  /// Requests ended before their deadline because their replica was declared down or had restarted.
  std::uint64_t ended_at_down_replicas = 0;
  /// Replicas that restarted under the same id.
  std::uint64_t replica_restarts = 0;
  /// Calls in flight at the earlier incarnation of a replica that restarted.
  std::uint64_t calls_at_earlier_incarnations = 0;
  /// Replicas published with a service that is not configured.
  std::uint64_t replicas_of_unknown_services = 0;
  /// Requests accepted after a graceful stop began.
  std::uint64_t accepted_while_stopping = 0;
  /// Requests refused after a graceful stop began.
  std::uint64_t refused_while_stopping = 0;
  /// Requests ended during a graceful stop before they were sent to a replica.
  std::uint64_t ended_while_stopping = 0;
  /// Requests aborted when the grace period of a stop was over.
  std::uint64_t aborted_at_stop = 0;
  /// Exits of replicas attributed to requests; an exit counts once for each request that ran there.
  std::uint64_t crashes_under_requests = 0;
  /// Requests refused because they were quarantined.
  std::uint64_t refused_in_quarantine = 0;
  /// Times a request entered quarantine.
  std::uint64_t quarantines = 0;
  /// Requests that are no longer suspected because a run of them ended without an exit.
  std::uint64_t requests_cleared = 0;
  /// Requests that waited for a slot at replicas that announce a limit or requested a backoff.
  std::uint64_t slot_waits = 0;
  /// Requests refused because no slot at such replicas could be free before their deadline.
  std::uint64_t refused_without_slot = 0;
  std::uint64_t stage_pieces = 0;
  std::uint64_t results_freed = 0;
  /// Streams resumed at another replica after their replica broke off.
  std::uint64_t streams_resumed = 0;
  /// Streams whose client read too slowly for some time.
  std::uint64_t slow_clients = 0;
  /// Streams whose upstream call was cancelled until their client reads on.
  std::uint64_t streams_suspended = 0;
  /// Suspended streams whose client read on, so that they were resumed.
  std::uint64_t suspended_streams_resumed = 0;
};

} // namespace spurrack::serving
