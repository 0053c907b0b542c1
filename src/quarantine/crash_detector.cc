#include "quarantine/crash_detector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace spurrack::quarantine {
namespace {

/// Minimum time between a successful probe of a replica and the next probe of it: a replica that
/// resets some of its connections is probed with at most one new connection per second.
constexpr base::duration probe_interval = std::chrono::seconds(1);
/// Time for which the lost calls of a replica (calls that ended without a complete answer) are kept
/// after the last of them. A replica that exited disappears from the published list of replicas, or
/// is listed in another incarnation, within about four seconds. The calls are kept for two and a
/// half times as long, since the list may lag.
constexpr base::duration watch_duration = std::chrono::seconds(10);
/// Time after the last lost call of a replica from which a current list shows whether it exited.
constexpr base::duration exit_publication_time = std::chrono::seconds(5);
/// Time for which lost calls are kept at most, also while the list is not current.
constexpr base::duration max_watch_duration = std::chrono::minutes(2);
/// Time after the end of an abandoned call from which a sign of life shows that its run did not
/// crash the replica. A replica ends a run soon after its connection closes.
constexpr base::duration abandoned_run_time = std::chrono::milliseconds(500);
/// Maximum number of calls without a complete answer that are kept for one replica: no replica runs
/// more calls at once.
constexpr std::size_t max_calls_per_replica = 128;

/// Removes and returns the calls for which `is_taken` returns true.
template <typename predicate>
std::vector<lost_call> take_if(std::vector<lost_call>& calls, predicate is_taken) {
  std::vector<lost_call> taken;
  std::copy_if(calls.begin(), calls.end(), std::back_inserter(taken), is_taken);
  std::erase_if(calls, is_taken);
  return taken;
}

} // namespace

bool crash_detector::note_lost_call(const base::replica_id& replica, const lost_call& call,
                                    bool wants_probe, base::time_point now) {
  auto& watched = replicas_[replica];
  if (watched.calls.size() < max_calls_per_replica) {
    watched.calls.push_back(call);
  }
  watched.last_lost_call_at = now;
  const bool was_connected = watched.connected_at && now - *watched.connected_at < probe_interval;
  if (!wants_probe || watched.is_probe_pending || was_connected) {
    return false;
  }
  watched.is_probe_pending = true;
  return true;
}

void crash_detector::note_heard(const base::replica_id& replica, base::time_point now) {
  const auto found = replicas_.find(replica);
  if (found == replicas_.end()) {
    return;
  }
  auto& calls = found->second.calls;
  std::erase_if(calls, [&](const lost_call& call) {
    return call.is_abandoned && now - call.exit.at >= abandoned_run_time;
  });
  if (calls.empty()) {
    replicas_.erase(found);
  }
}

void crash_detector::note_accepted_end(const lost_call& call) {
  auto& ends = accepted_ends_[call.exit.replica];
  if (ends.size() >= max_calls_per_replica) {
    ends.erase(ends.begin());
  }
  ends.push_back(call);
}

std::vector<lost_call> crash_detector::take_accepted_ends(const base::replica_id& replica) {
  auto taken = accepted_ends_.extract(replica);
  return taken.empty() ? std::vector<lost_call>{} : std::move(taken.mapped());
}

std::vector<lost_call> crash_detector::take_survived_ends(const base::replica_id& replica,
                                                          base::time_point heard_call_started_at,
                                                          base::time_point ended_by) {
  const auto found = accepted_ends_.find(replica);
  if (found == accepted_ends_.end()) {
    return {};
  }
  auto taken = take_if(found->second, [&](const lost_call& call) {
    return heard_call_started_at < call.exit.at && call.exit.at <= ended_by;
  });
  if (found->second.empty()) {
    accepted_ends_.erase(found);
  }
  return taken;
}

std::vector<lost_call> crash_detector::take_listed_ends(base::time_point list_confirmed_at) {
  std::vector<lost_call> taken;
  for (auto& [replica, ends] : accepted_ends_) {
    auto listed = take_if(ends, [&](const lost_call& call) {
      return call.exit.at + exit_publication_time <= list_confirmed_at;
    });
    std::move(listed.begin(), listed.end(), std::back_inserter(taken));
  }
  std::erase_if(accepted_ends_, [](const auto& entry) { return entry.second.empty(); });
  return taken;
}

std::vector<base::replica_id> crash_detector::replicas_with_accepted_ends() const {
  std::vector<base::replica_id> ids;
  for (const auto& [id, ends] : accepted_ends_) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<lost_call> crash_detector::lost_calls_of(const base::replica_id& replica) const {
  const auto found = replicas_.find(replica);
  return found == replicas_.end() ? std::vector<lost_call>{} : found->second.calls;
}

std::vector<lost_call> crash_detector::take_lost_calls(const base::replica_id& replica) {
  const auto found = replicas_.find(replica);
  if (found == replicas_.end()) {
    return {};
  }
  auto calls = std::move(found->second.calls);
  replicas_.erase(found);
  return calls;
}

std::vector<lost_call> crash_detector::take_calls_lost_to(replica_exit exit,
                                                          base::time_point exited_at) {
  std::vector<lost_call> taken;
  for (auto& [id, watched] : replicas_) {
    std::erase_if(watched.calls, [&](const lost_call& call) {
      const auto distance =
          call.exit.at > exited_at ? call.exit.at - exited_at : exited_at - call.exit.at;
      const bool is_lost_to_exit = call.exit.exit == exit && distance < path_check_time;
      if (is_lost_to_exit) {
        taken.push_back(call);
      }
      return is_lost_to_exit;
    });
  }
  std::erase_if(replicas_, [](const auto& entry) { return entry.second.calls.empty(); });
  return taken;
}

void crash_detector::note_connected(const base::replica_id& replica, base::time_point now) {
  const auto found = replicas_.find(replica);
  if (found != replicas_.end()) {
    // A probe of another part of the node must not delay those of lost calls that follow.
    if (std::exchange(found->second.is_probe_pending, false)) {
      found->second.connected_at = now;
    }
    found->second.is_refused = false;
  }
}

void crash_detector::note_refused(const base::replica_id& replica, base::time_point now) {
  const auto found = replicas_.find(replica);
  if (found != replicas_.end()) {
    found->second.is_probe_pending = false;
    found->second.is_refused = true;
    path_checks_end_at_ = std::max(path_checks_end_at_, now + path_check_time);
  }
}

std::vector<crash_detector::refused_replica>
crash_detector::refused_replicas(base::time_point now) const {
  std::vector<refused_replica> refused;
  for (const auto& [id, watched] : replicas_) {
    if (watched.is_refused && now - watched.last_lost_call_at < path_check_time) {
      refused.push_back({id, watched.last_lost_call_at});
    }
  }
  return refused;
}

void crash_detector::note_probe_failed(const base::replica_id& replica) {
  const auto found = replicas_.find(replica);
  if (found != replicas_.end()) {
    found->second.is_probe_pending = false;
  }
}

std::map<base::replica_id, std::size_t>
crash_detector::drop_expired(base::time_point list_confirmed_at, base::time_point now) {
  std::map<base::replica_id, std::size_t> dropped;
  std::erase_if(replicas_, [&](const auto& entry) {
    const auto& [id, watched] = entry;
    const auto age = now - watched.last_lost_call_at;
    const bool is_listed_since =
        list_confirmed_at >= watched.last_lost_call_at + exit_publication_time;
    const bool is_expired = age >= (is_listed_since ? watch_duration : max_watch_duration);
    if (is_expired) {
      dropped[id] = watched.calls.size();
    }
    return is_expired;
  });
  return dropped;
}

std::vector<base::replica_id> crash_detector::watched_replicas() const {
  std::vector<base::replica_id> ids;
  for (const auto& [id, watched] : replicas_) {
    ids.push_back(id);
  }
  return ids;
}

} // namespace spurrack::quarantine
