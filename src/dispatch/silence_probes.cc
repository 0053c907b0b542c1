#include "dispatch/silence_probes.h"

namespace spurrack::serving {
namespace {

/// Time between two probes of a silent replica; not shorter than the connect timeout of a probe.
constexpr base::duration probe_interval = std::chrono::milliseconds(500);
/// Time between a refused probe and the next one.
constexpr base::duration refused_probe_interval = std::chrono::milliseconds(200);
/// Time for which a record is kept after its next probe was due.
constexpr base::duration record_lifetime = std::chrono::seconds(2);

} // namespace

bool silence_probes::begin_if_due(const base::replica_id& replica, base::time_point now) {
  drop_expired(now);
  auto& record = records_[replica];
  if (now < record.next_probe_at) {
    return false;
  }
  record.next_probe_at = now + probe_interval;
  if (record.unanswered_since == base::time_point{}) {
    record.unanswered_since = now;
  }
  return true;
}

std::optional<base::time_point> silence_probes::note(const replica_probed& probe,
                                                     base::time_point now) {
  drop_expired(now);
  const auto found = records_.find(probe.replica);
  if (found == records_.end()) {
    return std::nullopt;
  }
  auto& record = found->second;
  if (probe.result != probe_result::unresponsive) {
    record.unanswered_since = {};
  }
  if (probe.result != probe_result::refused) {
    record.refused_since = {};
    return std::nullopt;
  }
  const auto began_at = probe.began_at == base::time_point{} ? now : probe.began_at;
  if (record.refused_since == base::time_point{}) {
    record.refused_since = began_at;
    record.next_probe_at = began_at + refused_probe_interval;
  }
  return began_at - record.refused_since >= refused_probe_interval
             ? std::optional(record.refused_since)
             : std::nullopt;
}

bool silence_probes::is_unanswered(const base::replica_id& replica, base::time_point silent_since,
                                   base::time_point now) const {
  const auto found = records_.find(replica);
  if (found == records_.end()) {
    return false;
  }
  const auto unanswered_since = found->second.unanswered_since;
  return unanswered_since != base::time_point{} && unanswered_since >= silent_since &&
         now - unanswered_since >= answer_time;
}

void silence_probes::note_heard(const base::replica_id& replica) {
  if (const auto found = records_.find(replica); found != records_.end()) {
    found->second.unanswered_since = {};
  }
}

void silence_probes::drop_expired(base::time_point now) {
  std::erase_if(records_, [&](const auto& entry) {
    return now - entry.second.next_probe_at >= record_lifetime;
  });
}

} // namespace spurrack::serving
