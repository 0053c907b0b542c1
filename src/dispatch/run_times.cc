#include "dispatch/run_times.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace spurrack::serving {
namespace {

/// Default times and answer length, used while too few runs are known: the times that a busy engine
/// needs to the first event and for each token, and the length of a long answer for requests that
/// name no number of tokens. The length is generous because a stream that lasts longer than
/// expected is broken off at a stop.
constexpr base::duration default_time_to_first_event = std::chrono::milliseconds(500);
constexpr base::duration default_time_per_token = std::chrono::milliseconds(10);
constexpr std::uint32_t default_output_tokens = 600;
/// Minimum number of recorded runs for an estimate: the longest of fewer runs says too little about
/// the next run.
constexpr std::size_t min_runs = 4;
/// One outlier is ignored for each group of this number of recorded runs. The estimate thus ignores
/// the longest of 16 runs and the two longest of 32, so about one run in 16 may last longer than
/// the estimate.
constexpr std::size_t runs_per_outlier = 16;
/// The estimate is multiplied by this factor because the next run may last longer than all recorded
/// runs: the longest of a few runs is often exceeded by some hundredths of its length.
constexpr double headroom_factor = 1.1;

run_time default_run(std::uint32_t output_tokens) {
  const auto tokens = output_tokens > 0 ? output_tokens : default_output_tokens;
  return {default_time_to_first_event, default_time_per_token * tokens};
}

/// @return `headroom_factor` times the sum of the longest value that is not an outlier and an
///         allowance. The allowance grows with the spread of the values and shrinks with their
///         number. It is needed because, for streams of three to six seconds, the next stream
///         exceeded the longest of four recorded ones by a second.
double upper_estimate_of(std::vector<double> seconds) {
  std::sort(seconds.begin(), seconds.end());
  const double longest = seconds[seconds.size() - 1 - seconds.size() / runs_per_outlier];
  const double spread = longest - seconds.front();
  return headroom_factor * (longest + spread / std::sqrt(static_cast<double>(seconds.size())));
}

} // namespace

void run_times::add_sample(history& runs, const sample& run) {
  runs.latest[runs.next] = run;
  runs.next = (runs.next + 1) % max_runs;
  runs.count = std::min(runs.count + 1, max_runs);
}

void run_times::note_run(const std::string& route, const std::string& service,
                         std::uint32_t output_tokens, const run_time& observed) {
  const sample run{base::to_seconds(observed.time_to_first_event),
                   base::to_seconds(observed.streaming_time), output_tokens};
  add_sample(runs_by_route_[route], run);
  add_sample(runs_by_service_[service], run);
}

const run_times::history* run_times::find(const histories& known, const std::string& name) {
  const auto found = known.find(name);
  const bool is_known = found != known.end() && found->second.count >= min_runs;
  return is_known ? &found->second : nullptr;
}

bool run_times::can_scale_by_tokens(const history& runs, std::uint32_t output_tokens) {
  const auto end = runs.latest.begin() + static_cast<std::ptrdiff_t>(runs.count);
  const auto with_tokens = std::count_if(runs.latest.begin(), end,
                                         [](const sample& run) { return run.output_tokens > 0; });
  return output_tokens > 0 && static_cast<std::size_t>(with_tokens) >= min_runs;
}

double run_times::upper_streaming_seconds(const history& runs, std::uint32_t output_tokens) {
  std::vector<double> totals;
  std::vector<double> per_token;
  for (std::size_t index = 0; index < runs.count; ++index) {
    const auto& run = runs.latest[index];
    totals.push_back(run.streaming_seconds);
    if (run.output_tokens > 0) {
      per_token.push_back(run.streaming_seconds / run.output_tokens);
    }
  }
  return can_scale_by_tokens(runs, output_tokens)
             ? upper_estimate_of(std::move(per_token)) * output_tokens
             : upper_estimate_of(std::move(totals));
}

run_time run_times::upper_estimate(const std::string& route, const std::string& service,
                                   std::uint32_t output_tokens) const {
  const auto* route_runs = find(runs_by_route_, route);
  const auto* service_runs = find(runs_by_service_, service);
  const auto* runs = route_runs != nullptr ? route_runs : service_runs;
  if (runs == nullptr) {
    return default_run(output_tokens);
  }
  // Routes of one service have similar times per token, but the lengths of their answers differ.
  if (route_runs == nullptr && !can_scale_by_tokens(*runs, output_tokens)) {
    return default_run(output_tokens);
  }
  std::vector<double> seconds_to_first_events;
  for (std::size_t index = 0; index < runs->count; ++index) {
    seconds_to_first_events.push_back(runs->latest[index].seconds_to_first_event);
  }
  return {base::from_seconds(upper_estimate_of(std::move(seconds_to_first_events))),
          base::from_seconds(upper_streaming_seconds(*runs, output_tokens))};
}

} // namespace spurrack::serving
