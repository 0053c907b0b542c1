#include "self_reports/drain_registry.h"

#include <algorithm>

namespace spurrack::self_reports {
namespace {

/// Time for which the drain announcement of a process is kept after the process was last found
/// published. It is longer than an outage of the store, and longer than the age of a copy from
/// which the store is restored.
constexpr base::duration retention_time = std::chrono::minutes(5);

} // namespace

bool drain_registry::note_drain(const key& draining, base::time_point announced_at,
                                const std::string& source, base::time_point now) {
  const auto [entry, is_new] =
      announcements_.try_emplace(draining, drain_announcement{announced_at, source, now});
  fingerprints_.insert(draining.process);
  entry->second.announced_at = std::min(entry->second.announced_at, announced_at);
  return is_new;
}

void drain_registry::note_published(const key& published, base::time_point now) {
  const auto found = announcements_.find(published);
  if (found != announcements_.end()) {
    found->second.last_seen_at = now;
  }
}

void drain_registry::drop_expired(base::time_point now) {
  const auto forgotten = std::erase_if(announcements_, [&](const auto& entry) {
    return now - entry.second.last_seen_at >= retention_time;
  });
  if (forgotten > 0) {
    fingerprints_.clear();
    for (const auto& [process, known] : announcements_) {
      fingerprints_.insert(process.process);
    }
  }
}

} // namespace spurrack::self_reports
