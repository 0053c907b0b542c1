#include "quarantine/exit_index.h"

#include <algorithm>
#include <utility>

namespace spurrack::quarantine {
namespace {

/// Maximum number of withdrawn exits that are kept; a further withdrawal evicts the exit that was
/// withdrawn first.
constexpr std::size_t max_withdrawn_exits = 64;

} // namespace

std::uint32_t exit_index::add(const exit_observation& observation) {
  std::uint32_t next_process = 0;
  for (auto known = exits_.lower_bound({observation.exit, 0});
       known != exits_.end() && known->first.first == observation.exit; ++known) {
    auto& [at, call_started_at, replica, is_overrun] = known->second;
    if (!observation.is_timed()) {
      return known->first.second;
    }
    if (call_started_at == base::time_point{}) {
      known->second = {observation.at, observation.call_started_at, observation.replica,
                       is_overrun};
      return known->first.second;
    }
    const bool began_later = observation.call_started_at > at + report_time_error;
    const bool ended_earlier = observation.at + report_time_error < call_started_at;
    if (!began_later && !ended_earlier) {
      at = std::min(at, observation.at);
      call_started_at = std::max(call_started_at, observation.call_started_at);
      return known->first.second;
    }
    next_process = known->first.second + 1;
  }
  if (exits_.size() < max_exits) {
    exits_[{observation.exit, next_process}] = {observation.at, observation.call_started_at,
                                                observation.replica, false};
  }
  return next_process;
}

void exit_index::add_recent(const std::vector<exit_observation>& received, base::time_point now) {
  for (const auto& observation : received) {
    const bool is_recent = now - observation.at < recent_window;
    if (is_recent && !is_withdrawn(observation)) {
      add(observation);
    }
  }
}

bool exit_index::withdraw(replica_exit exit, base::time_point now) {
  const auto erased =
      std::erase_if(exits_, [&](const auto& entry) { return entry.first.first == exit; });
  if (erased == 0) {
    return false;
  }
  if (withdrawn_.size() == max_withdrawn_exits) {
    withdrawn_.erase(std::min_element(
        withdrawn_.begin(), withdrawn_.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; }));
  }
  withdrawn_[exit] = now;
  return true;
}

bool exit_index::mark_overrun(const exit_key& exit) {
  const auto found = exits_.find(exit);
  return found != exits_.end() && !std::exchange(found->second.is_overrun, true);
}

void exit_index::expire(base::time_point now) {
  std::erase_if(exits_,
                [&](const auto& entry) { return now - entry.second.at >= short_record_lifetime; });
  std::erase_if(withdrawn_,
                [&](const auto& entry) { return now - entry.second >= short_record_lifetime; });
}

bool exit_index::is_withdrawn(const exit_observation& observation) const {
  const auto found = withdrawn_.find(observation.exit);
  return found != withdrawn_.end() && observation.at <= found->second;
}

bool exit_index::is_overrun(const exit_key& exit) const {
  const auto found = exits_.find(exit);
  return found != exits_.end() && found->second.is_overrun;
}

std::optional<base::time_point> exit_index::exit_time_of(replica_exit exit) const {
  std::optional<base::time_point> latest;
  for (auto known = exits_.lower_bound({exit, 0});
       known != exits_.end() && known->first.first == exit; ++known) {
    latest = std::max(latest.value_or(known->second.at), known->second.at);
  }
  return latest;
}

std::vector<exit_observation> exit_index::latest(std::size_t most, base::time_point now) const {
  std::vector<exit_observation> latest;
  for (const auto& [key, known] : exits_) {
    if (now - known.at < recent_window) {
      latest.push_back({key.first, known.at, known.replica, known.call_started_at, key.second});
    }
  }
  std::sort(latest.begin(), latest.end(),
            [](const auto& left, const auto& right) { return left.at > right.at; });
  latest.resize(std::min(latest.size(), most));
  return latest;
}

} // namespace spurrack::quarantine
