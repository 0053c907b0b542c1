#include "replica_statements/limit_book.h"

#include <algorithm>
#include <limits>

namespace spurrack::replica_statements {
namespace {

/// A limit that was lifted is remembered for this time, so that late news does not bring it back.
constexpr base::duration lifted_lifetime = std::chrono::seconds(10);
/// Ages that other nodes tell are younger by the time of a message: what this node heard itself
/// counts as newer only where it is newer by more.
constexpr base::duration message_time = std::chrono::milliseconds(250);

bool is_stricter(const std::optional<double>& left, const std::optional<double>& right) {
  constexpr double unlimited = std::numeric_limits<double>::infinity();
  return left.value_or(unlimited) < right.value_or(unlimited);
}

} // namespace

bool limit_book::hear(const base::replica_id& replica, life_mark life, const limit_notice& notice,
                      base::time_point now) {
  const auto found = records_.find(replica);
  const bool is_known = found != records_.end() && found->second.life == life;
  if (!is_known) {
    if (!notice.per_second) {
      return false;
    }
    records_[replica] = {life, notice.per_second, 1, now};
    return true;
  }
  auto& known = found->second;
  if (known.per_second == notice.per_second) {
    known.heard_at = now;
    return false;
  }
  const bool loosens = is_stricter(known.per_second, notice.per_second);
  if (loosens && notice.call_started_at <= known.heard_at) {
    return false;
  }
  known = {life, notice.per_second, known.version + 1, now};
  return true;
}

bool limit_book::merge(const base::replica_id& replica, const limit_record& told) {
  const auto found = records_.find(replica);
  if (found == records_.end() || found->second.life != told.life) {
    if (told.per_second) {
      records_[replica] = told;
    }
    return told.per_second.has_value();
  }
  auto& known = found->second;
  if (told.version < known.version) {
    return false;
  }
  const bool differs = told.per_second != known.per_second;
  const auto heard_at = std::max(known.heard_at, told.heard_at);
  if (told.version == known.version) {
    if (differs && is_stricter(told.per_second, known.per_second)) {
      known.per_second = told.per_second;
    }
    known.heard_at = heard_at;
    return differs;
  }
  const bool known_is_newer = differs && known.heard_at > told.heard_at + message_time;
  if (known_is_newer) {
    known.version = told.version + 1;
  } else {
    known = told;
    known.heard_at = heard_at;
  }
  return true;
}

void limit_book::forget_lifted(base::time_point now) {
  std::erase_if(records_, [&](const auto& entry) {
    const auto& record = entry.second;
    return !record.per_second && now - record.heard_at >= lifted_lifetime;
  });
}

const limit_record* limit_book::find(const base::replica_id& replica) const {
  const auto found = records_.find(replica);
  return found == records_.end() ? nullptr : &found->second;
}

std::optional<double> limit_book::limit_of(const base::replica_id& replica) const {
  const auto* record = find(replica);
  return record == nullptr ? std::nullopt : record->per_second;
}

} // namespace spurrack::replica_statements
