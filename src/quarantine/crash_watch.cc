#include "quarantine/crash_watch.h"

#include <utility>

namespace spurrack::quarantine {
namespace {

/// A replica that took a connection is not asked again within this time: where replicas reset a
/// part of their connections, one new connection a second is all that this costs.
constexpr base::duration ask_again_after = std::chrono::seconds(1);
/// A replica that ended is off the list within about four seconds, or listed in another life: two
/// and a half times that, since the list may lag.
constexpr base::duration watch_time = std::chrono::seconds(10);
/// Calls kept of one replica: the most that one runs at once.
constexpr std::size_t most_calls = 128;

} // namespace

bool crash_watch::note_lost_call(const base::replica_id& replica, const ended_call& call,
                                 base::time_point now) {
  auto& watched = replicas_[replica];
  if (watched.calls.size() < most_calls) {
    watched.calls.push_back(call);
  }
  watched.newest = now;
  const bool was_connected = watched.connected_at && now - *watched.connected_at < ask_again_after;
  if (watched.is_asked || was_connected) {
    return false;
  }
  watched.is_asked = true;
  return true;
}

std::vector<ended_call> crash_watch::take_ended(const base::replica_id& replica) {
  const auto found = replicas_.find(replica);
  if (found == replicas_.end()) {
    return {};
  }
  auto calls = std::move(found->second.calls);
  replicas_.erase(found);
  return calls;
}

void crash_watch::note_connected(const base::replica_id& replica, base::time_point now) {
  const auto found = replicas_.find(replica);
  if (found != replicas_.end()) {
    found->second.is_asked = false;
    found->second.connected_at = now;
  }
}

void crash_watch::note_silent(const base::replica_id& replica) {
  const auto found = replicas_.find(replica);
  if (found != replicas_.end()) {
    found->second.is_asked = false;
  }
}

void crash_watch::forget_old(base::time_point now) {
  std::erase_if(replicas_,
                [&](const auto& entry) { return now - entry.second.newest >= watch_time; });
}

std::vector<base::replica_id> crash_watch::watched() const {
  std::vector<base::replica_id> ids;
  for (const auto& [id, watched] : replicas_) {
    ids.push_back(id);
  }
  return ids;
}

} // namespace spurrack::quarantine
