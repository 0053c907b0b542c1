/// How long the runs of a route last at replicas, from what recent ones have shown.
#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace spurrack::serving {

/// Time of one run that came to its end.
struct run_time {
  /// From the call to the first event; of a whole answer, to the answer.
  base::duration time_to_first_event{};
  /// From the first event to the end; zero for whole answers.
  base::duration streaming_time{};
};

/// Keeps the latest runs of each route. Not thread-safe.
class run_times {
 public:
  /// A run was served whole.
  /// @param output_tokens that the client asked for; 0 where it did not say.
  void note_run(const std::string& route, const std::string& service, std::uint32_t output_tokens,
                const run_time& observed);

  /// @return a time that few of the recent runs of the route took longer than, for as many tokens;
  ///         that of all runs at the service by the token while too few of the route were seen, and
  ///         a usual time where that is not known either.
  [[nodiscard]] run_time upper_estimate(const std::string& route, const std::string& service,
                                        std::uint32_t output_tokens) const;

 private:
  /// Runs that are remembered: at one or two a second for a route and node, what load did to them
  /// in the last half minute.
  static constexpr std::size_t max_runs = 32;
  struct sample {
    double seconds_to_first_event = 0;
    double streaming_seconds = 0;
    /// 0 where the client did not say.
    std::uint32_t output_tokens = 0;
  };
  struct history {
    std::array<sample, max_runs> latest;
    std::size_t count = 0;
    std::size_t next = 0;
  };
  using histories = std::unordered_map<std::string, history>;

  static void add_sample(history& runs, const sample& run);
  /// @return whether the tokens of a run and of enough of those seen are known.
  static bool can_scale_by_tokens(const history& runs, std::uint32_t output_tokens);
  /// @return seconds from the first event to the end that few of the runs took longer than; by the
  ///         token where the tokens of this one and of enough of them are known.
  static double upper_streaming_seconds(const history& runs, std::uint32_t output_tokens);
  /// @return null while too few runs are known.
  static const history* find(const histories& known, const std::string& name);

  histories runs_by_route_;
  histories runs_by_service_;
};

} // namespace spurrack::serving
