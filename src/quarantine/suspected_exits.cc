#include "quarantine/suspected_exits.h"

#include <algorithm>
#include <limits>

namespace spurrack::quarantine {
namespace {

/// Maximum number of suspected exits; further ones are ignored. A third of the replicas of a large
/// fleet may fall silent at once.
constexpr std::size_t max_suspected = 4096;
/// Maximum number of disproved exits that are kept.
constexpr std::size_t max_disproved = 256;
/// Time after which a suspicion ends although nothing proved or disproved it, and for which a
/// disproved exit is kept. The list of replicas shows an exit within some seconds, or once the
/// store is back.
constexpr base::duration max_age = std::chrono::minutes(2);
/// Minimum time that a replica takes to start again.
constexpr base::duration min_restart_time = std::chrono::milliseconds(800);
/// Maximum error of a time that another node reported: the delay of its message.
constexpr base::duration report_time_error = std::chrono::milliseconds(200);

} // namespace

bool disproved_exit::disproves(const suspected_exit& suspicion) const {
  return suspicion.exit == exit && suspicion.noted_at <= heard_at &&
         call_started_at < suspicion.silent_since + min_restart_time;
}

std::optional<exit_key> suspected_exits::add(const suspected_exit& suspicion) {
  const auto sign = disproved_.find(suspicion.exit);
  if (sign != disproved_.end() && sign->second.disproves(suspicion)) {
    return std::nullopt;
  }
  std::uint32_t process = 0;
  for (auto known = suspected_.lower_bound({suspicion.exit, 0});
       known != suspected_.end() && known->first.first == suspicion.exit; ++known) {
    auto& [key, earlier] = *known;
    // A call that began after the replica was found silent ran in a later process, or the replica
    // fell silent again.
    const bool began_later = suspicion.call_started_at > earlier.noted_at + report_time_error;
    const bool was_noted_earlier = suspicion.noted_at + report_time_error < earlier.call_started_at;
    if (!began_later && !was_noted_earlier) {
      earlier.silent_since = std::max(earlier.silent_since, suspicion.silent_since);
      return key;
    }
    process = key.second + 1;
  }
  if (suspected_.size() == max_suspected) {
    return std::nullopt;
  }
  const exit_key key{suspicion.exit, process};
  suspected_[key] = suspicion;
  return key;
}

std::vector<exit_key> suspected_exits::disprove(const disproved_exit& disproved) {
  if (!disproved_.contains(disproved.exit) && disproved_.size() == max_disproved) {
    disproved_.erase(std::min_element(disproved_.begin(), disproved_.end(),
                                      [](const auto& left, const auto& right) {
                                        return left.second.heard_at < right.second.heard_at;
                                      }));
  }
  auto& latest = disproved_[disproved.exit];
  if (latest.heard_at <= disproved.heard_at) {
    latest = disproved;
  }
  std::vector<exit_key> ended;
  std::erase_if(suspected_, [&](const auto& entry) {
    const bool has_ended = disproved.disproves(entry.second);
    if (has_ended) {
      ended.push_back(entry.first);
    }
    return has_ended;
  });
  return ended;
}

std::vector<std::pair<exit_key, suspected_exit>>
suspected_exits::take(replica_exit exit, std::optional<base::time_point> exited_at) {
  std::vector<std::pair<exit_key, suspected_exit>> taken;
  std::erase_if(suspected_, [&](const auto& entry) {
    const auto& [key, suspicion] = entry;
    const bool is_proven = key.first == exit &&
                           (!exited_at || *exited_at + report_time_error >= suspicion.silent_since);
    if (is_proven) {
      taken.emplace_back(key, suspicion);
    }
    return is_proven;
  });
  return taken;
}

std::vector<exit_key> suspected_exits::take_expired(base::time_point now) {
  std::erase_if(disproved_,
                [&](const auto& entry) { return now - entry.second.heard_at >= max_age; });
  std::vector<exit_key> expired;
  std::erase_if(suspected_, [&](const auto& entry) {
    const bool is_expired = now - entry.second.noted_at >= max_age;
    if (is_expired) {
      expired.push_back(entry.first);
    }
    return is_expired;
  });
  return expired;
}

bool suspected_exits::is_disproved_by(const disproved_exit& sign) const {
  const auto first = suspected_.lower_bound({sign.exit, 0});
  const auto last = suspected_.upper_bound({sign.exit, std::numeric_limits<std::uint32_t>::max()});
  return std::any_of(first, last, [&](const auto& known) { return sign.disproves(known.second); });
}

std::vector<disproved_exit> suspected_exits::latest_disproved(std::size_t most) const {
  std::vector<disproved_exit> latest;
  for (const auto& [exit, sign] : disproved_) {
    latest.push_back(sign);
  }
  std::sort(latest.begin(), latest.end(),
            [](const auto& left, const auto& right) { return left.heard_at > right.heard_at; });
  latest.resize(std::min(latest.size(), most));
  return latest;
}

} // namespace spurrack::quarantine
