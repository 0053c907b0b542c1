/// Replicas that name how many requests a second they take from all nodes together.
#include "dispatch/dispatcher.h"

#include <cstdio>

namespace spurrack::serving {
namespace {

/// A limit that cannot be read is logged once in this time for each replica.
constexpr base::duration unreadable_log_period = std::chrono::minutes(1);

std::string limit_text(const std::optional<double>& per_second) {
  if (!per_second) {
    return "names no limit any more";
  }
  char text[64];
  std::snprintf(text, sizeof(text), "takes %g requests a second from all nodes", *per_second);
  return text;
}

} // namespace

void dispatcher::note_limit(const base::replica_id& replica, const named_limit& limit,
                            base::time_point call_began, base::time_point now) {
  if (limit.unreadable) {
    ++counters_.limits_unreadable;
    auto& logged_at = unreadable_limits_[replica];
    if (logged_at == base::time_point{} || now - logged_at >= unreadable_log_period) {
      logged_at = now;
      record_(base::event_kind::replica_limit, {}, replica.text(),
              "its limit cannot be read, the one before stands");
    }
    return;
  }
  const auto* state = replicas_.find(replica);
  if (state == nullptr) {
    return;
  }
  const auto life = life_mark_of(*state->record);
  if (limits_.hear(replica, life, {limit.per_second, call_began}, now)) {
    record_(base::event_kind::replica_limit, {}, replica.text(), limit_text(limit.per_second));
  }
}

} // namespace spurrack::serving
