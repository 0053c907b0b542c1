#include "streams/stream_ages.h"

#include <algorithm>

namespace spurrack::streams {

void stream_ages::note_begun(const std::string& route, base::duration allowed) {
  auto& longest = longest_allowed_[route];
  longest = std::max(longest, allowed);
}

void stream_ages::keep_routes_of(const model::serving_configuration& configuration) {
  const auto names = configuration.route_names();
  std::erase_if(longest_allowed_, [&](const auto& entry) { return !names.contains(entry.first); });
}

base::time_point stream_ages::earliest_begin(const model::route& route,
                                             std::optional<base::duration> remaining,
                                             base::time_point now) const {
  const auto seen = longest_allowed_.find(route.name);
  if (!route.timeout || !remaining || seen == longest_allowed_.end()) {
    return now - max_stream_age;
  }
  const auto allowed = std::max<base::duration>(*route.timeout, seen->second);
  return *remaining > allowed ? now - max_stream_age : now - (allowed - *remaining);
}

} // namespace spurrack::streams
