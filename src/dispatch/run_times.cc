#include "dispatch/run_times.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace spurrack::serving {
namespace {

/// Assumed while no runs are known: what a busy engine needs to the first event and for each token,
/// and a long answer where the client did not say how many it wants, since one that lasts longer
/// than expected is cut.
constexpr base::duration usual_first_event = std::chrono::milliseconds(500);
constexpr base::duration usual_token_time = std::chrono::milliseconds(10);
constexpr std::uint32_t usual_tokens = 600;
/// Fewer runs say too little of how long the longest last.
constexpr std::size_t least_runs = 4;
/// One in so many runs may be longer than what is expected of the next.
constexpr std::size_t runs_per_exception = 16;
/// The next run may be longer than all that were seen: of few the longest is often beaten by some
/// hundredths.
constexpr double beyond_seen = 1.1;

run_time usual_run(std::uint32_t output_tokens) {
  const auto tokens = output_tokens > 0 ? output_tokens : usual_tokens;
  return {usual_first_event, usual_token_time * tokens};
}

/// @return the longest but for the exceptions, and more where they differ and few are known: of
///         streams of three to six seconds the longest of four was beaten by a second.
double upper_of(std::vector<double> seconds) {
  std::sort(seconds.begin(), seconds.end());
  const double longest = seconds[seconds.size() - 1 - seconds.size() / runs_per_exception];
  const double spread = longest - seconds.front();
  return beyond_seen * (longest + spread / std::sqrt(static_cast<double>(seconds.size())));
}

} // namespace

void run_times::add(history& grown, const sample& added) {
  grown.latest[grown.next] = added;
  grown.next = (grown.next + 1) % remembered;
  grown.count = std::min(grown.count + 1, remembered);
}

void run_times::note(const std::string& route, const std::string& service,
                     std::uint32_t output_tokens, const run_time& seen) {
  const sample added{base::to_seconds(seen.to_first_event), base::to_seconds(seen.events),
                     output_tokens};
  add(by_route_[route], added);
  add(by_service_[service], added);
}

const run_times::history* run_times::find(const histories& known, const std::string& name) {
  const auto found = known.find(name);
  const bool is_known = found != known.end() && found->second.count >= least_runs;
  return is_known ? &found->second : nullptr;
}

bool run_times::is_by_token(const history& seen, std::uint32_t output_tokens) {
  const auto end = seen.latest.begin() + static_cast<std::ptrdiff_t>(seen.count);
  const auto stated = std::count_if(seen.latest.begin(), end,
                                    [](const sample& run) { return run.output_tokens > 0; });
  return output_tokens > 0 && static_cast<std::size_t>(stated) >= least_runs;
}

double run_times::upper_events(const history& seen, std::uint32_t output_tokens) {
  std::vector<double> whole;
  std::vector<double> by_token;
  for (std::size_t index = 0; index < seen.count; ++index) {
    const auto& run = seen.latest[index];
    whole.push_back(run.seconds_of_events);
    if (run.output_tokens > 0) {
      by_token.push_back(run.seconds_of_events / run.output_tokens);
    }
  }
  return is_by_token(seen, output_tokens) ? upper_of(std::move(by_token)) * output_tokens
                                          : upper_of(std::move(whole));
}

run_time run_times::upper(const std::string& route, const std::string& service,
                          std::uint32_t output_tokens) const {
  const auto* of_route = find(by_route_, route);
  const auto* of_service = find(by_service_, service);
  const auto* seen = of_route != nullptr ? of_route : of_service;
  if (seen == nullptr) {
    return usual_run(output_tokens);
  }
  // By the token, routes of a service are alike; how long their answers are differs too much.
  if (of_route == nullptr && !is_by_token(*seen, output_tokens)) {
    return usual_run(output_tokens);
  }
  std::vector<double> first_events;
  for (std::size_t index = 0; index < seen->count; ++index) {
    first_events.push_back(seen->latest[index].seconds_to_first_event);
  }
  return {base::from_seconds(upper_of(std::move(first_events))),
          base::from_seconds(upper_events(*seen, output_tokens))};
}

} // namespace spurrack::serving
