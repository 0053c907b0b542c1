/// Estimates from recent runs how long a run of a route lasts. A run is one execution of a request
/// at a replica, from the call to the end of the answer.
#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace spurrack::serving {

/// Times of one completed run.
struct run_time {
  /// Time from the call to the first event, or to the answer if it is not a stream.
  base::duration time_to_first_event{};
  /// Time from the first event to the end; zero if the answer is not a stream.
  base::duration streaming_time{};
};

/// Keeps the times of the latest runs of each route and service. Not thread-safe.
class run_times {
 public:
  /// Records a run whose whole answer arrived.
  /// @param output_tokens number of tokens that the client asked for; 0 if the request names none.
  void note_run(const std::string& route, const std::string& service, std::uint32_t output_tokens,
                const run_time& observed);

  /// @return times that few of the recent runs of the route exceeded. The streaming time is scaled
  ///         to `output_tokens` if that number is known for this request and for enough of the
  ///         recorded runs. If too few runs of the route are known, the recent runs of all routes
  ///         of the service are used instead, provided that the streaming time can be scaled. If
  ///         neither is possible, default times are returned.
  [[nodiscard]] run_time upper_estimate(const std::string& route, const std::string& service,
                                        std::uint32_t output_tokens) const;

 private:
  /// Maximum number of recorded runs of a route or service. At one or two runs per second for a
  /// route on one node, the recorded runs reflect the load of the last half minute.
  static constexpr std::size_t max_runs = 32;
  struct sample {
    double seconds_to_first_event = 0;
    double streaming_seconds = 0;
    /// Number of tokens that the client asked for; 0 if the request names none.
    std::uint32_t output_tokens = 0;
  };
  /// Ring buffer of the latest runs of one route or service.
  struct history {
    std::array<sample, max_runs> latest;
    std::size_t count = 0;
    std::size_t next = 0;
  };
  using histories = std::unordered_map<std::string, history>;

  static void add_sample(history& runs, const sample& run);
  /// @return whether the number of tokens is known for the next run and for at least `min_runs`
  ///         recorded runs.
  static bool can_scale_by_tokens(const history& runs, std::uint32_t output_tokens);
  /// @return seconds from the first event to the end that few of the runs exceeded, scaled by the
  ///         number of tokens if `can_scale_by_tokens`.
  static double upper_streaming_seconds(const history& runs, std::uint32_t output_tokens);
  /// @return recorded runs of a route or service; null if they are fewer than `min_runs`.
  static const history* find(const histories& known, const std::string& name);

  histories runs_by_route_;
  histories runs_by_service_;
};

} // namespace spurrack::serving
