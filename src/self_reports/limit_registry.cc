#include "self_reports/limit_registry.h"

#include <algorithm>
#include <limits>

namespace spurrack::self_reports {
namespace {

/// Time for which the record of a lifted limit is kept after the latest answer without a limit.
/// While the record is kept, a late message of another node cannot restore the limit.
constexpr base::duration lifted_limit_lifetime = std::chrono::seconds(10);
/// Assumed maximum delay of a message between nodes. Messages carry the age of a limit without this
/// delay, so the receiver computes a time of the last report that is too late by up to this delay.
/// If a received limit has a higher version than the known limit, the known limit still wins if it
/// was reported more than this delay later.
constexpr base::duration message_delay = std::chrono::milliseconds(250);

bool is_stricter(const std::optional<double>& left, const std::optional<double>& right) {
  constexpr double unlimited = std::numeric_limits<double>::infinity();
  return left.value_or(unlimited) < right.value_or(unlimited);
}

} // namespace

bool limit_registry::record_answer(const base::replica_id& replica,
                                   incarnation_fingerprint incarnation,
                                   const limit_announcement& announcement, base::time_point now) {
  const auto found = records_.find(replica);
  const bool is_known = found != records_.end() && found->second.incarnation == incarnation;
  if (!is_known) {
    if (!announcement.per_second) {
      return false;
    }
    records_[replica] = {incarnation, announcement.per_second, 1, now};
    return true;
  }
  auto& known = found->second;
  if (known.per_second == announcement.per_second) {
    known.last_reported_at = now;
    return false;
  }
  const bool loosens = is_stricter(known.per_second, announcement.per_second);
  if (loosens && announcement.call_started_at <= known.last_reported_at) {
    return false;
  }
  known = {incarnation, announcement.per_second, known.version + 1, now};
  return true;
}

bool limit_registry::merge(const base::replica_id& replica, const limit_record& received) {
  const auto found = records_.find(replica);
  if (found == records_.end() || found->second.incarnation != received.incarnation) {
    if (received.per_second) {
      records_[replica] = received;
    }
    return received.per_second.has_value();
  }
  auto& known = found->second;
  if (received.version < known.version) {
    return false;
  }
  const bool differs = received.per_second != known.per_second;
  const auto last_reported_at = std::max(known.last_reported_at, received.last_reported_at);
  if (received.version == known.version) {
    if (differs && is_stricter(received.per_second, known.per_second)) {
      known.per_second = received.per_second;
    }
    known.last_reported_at = last_reported_at;
    return differs;
  }
  const bool known_is_newer =
      differs && known.last_reported_at > received.last_reported_at + message_delay;
  if (known_is_newer) {
    known.version = received.version + 1;
  } else {
    known = received;
    known.last_reported_at = last_reported_at;
  }
  return true;
}

void limit_registry::drop_lifted(base::time_point now) {
  std::erase_if(records_, [&](const auto& entry) {
    const auto& record = entry.second;
    return !record.per_second && now - record.last_reported_at >= lifted_limit_lifetime;
  });
}

const limit_record* limit_registry::find(const base::replica_id& replica) const {
  const auto found = records_.find(replica);
  return found == records_.end() ? nullptr : &found->second;
}

std::optional<double> limit_registry::limit_of(const base::replica_id& replica) const {
  const auto* record = find(replica);
  return record == nullptr ? std::nullopt : record->per_second;
}

} // namespace spurrack::self_reports
