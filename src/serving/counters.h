/// Counts of what the serving path did, for metrics.
#pragma once

#include "base/time.h"
#include "model/residency.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace spurrack::serving {

/// Times to an answer in fixed buckets.
class latency_histogram {
 public:
  /// Upper bounds of the buckets, in seconds; the last bucket has none.
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
  /// Answers by status; 0 counts clients that left and streams that were broken off.
  std::map<unsigned, std::uint64_t> answers;
  latency_histogram first_byte;
  std::uint64_t calls = 0;
  /// Calls by how far their replica is: `model::locality`.
  std::array<std::uint64_t, model::locality_count> calls_by_locality{};
  /// Requests that no replica in the regions allowed could serve.
  std::uint64_t turned_away_by_residency = 0;
  /// Requests sent farther than a replica that was available outside the regions allowed.
  std::uint64_t kept_from_nearer_by_residency = 0;
  std::uint64_t repeats = 0;
  std::uint64_t repeats_denied = 0;
  /// Repeats that waited for what other nodes lent.
  std::uint64_t repeats_borrowed = 0;
  /// Requests ended before their time because their replica was found lost.
  std::uint64_t ended_at_lost_replicas = 0;
  /// Replicas seen to start again under their id, and requests that were at their earlier life.
  std::uint64_t replica_restarts = 0;
  std::uint64_t calls_at_earlier_lives = 0;
  /// Replicas that name a service which is not configured.
  std::uint64_t replicas_of_unknown_services = 0;
  /// Of a planned stop: requests that arrived after it began and were taken or refused, those ended
  /// before they were sent to a replica, and those given up when the process had to end.
  std::uint64_t taken_while_stopping = 0;
  std::uint64_t refused_while_stopping = 0;
  std::uint64_t ended_while_stopping = 0;
  std::uint64_t given_up_at_stop = 0;
  /// Ends of replicas that were laid to a request under way there, each request counted.
  std::uint64_t crashes_under_requests = 0;
  /// Requests refused since replicas ended under them, and times a request began to be held back.
  std::uint64_t refused_in_quarantine = 0;
  std::uint64_t quarantines = 0;
  /// Requests against which nothing speaks any more, since a run of them ended well.
  std::uint64_t requests_cleared = 0;
  /// Requests that waited for a place at replicas that name limits or asked for pauses, and those
  /// refused since none could come in their time.
  std::uint64_t awaited_places = 0;
  std::uint64_t refused_without_place = 0;
  std::uint64_t stage_pieces = 0;
  std::uint64_t results_freed = 0;
  std::uint64_t streams_resumed = 0;
  /// Streams whose client took too little for a while.
  std::uint64_t clients_judged_slow = 0;
  /// Streams let go at their replica until their client reads on, and those taken up again.
  std::uint64_t streams_let_go = 0;
  std::uint64_t streams_taken_up = 0;
};

} // namespace spurrack::serving
