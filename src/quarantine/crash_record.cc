#include "quarantine/crash_record.h"

#include <algorithm>
#include <map>

namespace spurrack::quarantine {

base::time_point crash_record::last_exit_at() const {
  base::time_point latest{};
  for (const auto& observation : exits) {
    latest = std::max(latest, observation.at);
  }
  return latest;
}

base::time_point crash_record::last_update_at() const {
  const auto latest_suspicion_at = suspected.empty() ? base::time_point{} : suspected_at;
  return std::max({last_exit_at(), survived_at.value_or(base::time_point{}), last_refused_at,
                   latest_suspicion_at});
}

std::size_t crash_record::distinct_exits() const {
  if (kind == suspect_kind::request) {
    return exits.size();
  }
  std::map<std::uint64_t, std::size_t> exits_by_request;
  for (const auto& observation : exits) {
    ++exits_by_request[observation.request];
  }
  std::size_t distinct = 0;
  for (const auto& [request, count] : exits_by_request) {
    distinct += std::min(count, max_exits_per_request);
  }
  return distinct;
}

bool crash_record::contains(const exit_key& exit) const {
  return std::any_of(exits.begin(), exits.end(),
                     [&](const exit_observation& known) { return known.key() == exit; });
}

} // namespace spurrack::quarantine
