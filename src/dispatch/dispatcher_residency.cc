/// Residency of requests (the regions in which they may run): refusal on arrival if no permitted
/// region can serve a request, and counts of calls by the locality of their replica.
#include "dispatch/dispatcher.h"
#include "dispatch/dispatcher_constants.h"

#include <algorithm>

namespace spurrack::serving {

std::optional<dispatcher_state::residency_refusal>
dispatcher_state::residency_refusal_of(const active_request& request) const {
  const auto& permitted = request.permitted_regions;
  if (!permitted.is_restricted()) {
    return std::nullopt;
  }
  if (permitted.is_empty()) {
    return residency_refusal{"no region is allowed", false};
  }
  std::vector<std::string> services{request.service};
  const auto& pieces = request.content->pieces;
  for (std::size_t stage = 0; stage < request.route->stages.size(); ++stage) {
    if (stage < pieces.size() && pieces[stage] > 0) {
      services.push_back(request.route->stages[stage].service);
    }
  }
  for (const auto& service : services) {
    switch (replicas_.presence_of(service, permitted)) {
    case replica_presence::none:
      return residency_refusal{"no replica of " + service + " in the regions allowed", false};
    case replica_presence::accepts_none:
      return residency_refusal{"no replica of " + service + " takes work in the regions allowed",
                               true};
    case replica_presence::accepts_work:
      break;
    }
  }
  return std::nullopt;
}

bool dispatcher::refuse_by_residency(active_request& request) {
  const auto refusal = residency_refusal_of(request);
  if (!refusal) {
    return false;
  }
  ++counters_.refused_by_residency;
  record(base::event_kind::residency_refused, request, request.route->name, refusal->reason);
  answer_with_error(request.client, request.content->id, status::unavailable, refusal->reason,
                    refusal->is_temporary ? settings_.retry_after : base::duration{});
  finish(request, status::unavailable, refusal->reason, {});
  return true;
}

void dispatcher::note_locality(const active_request& request, const replica_state& chosen,
                               base::time_point now) {
  const auto locality = distance_from_self_.locality_of(chosen.record->zone);
  ++counters_.calls_by_locality[static_cast<std::size_t>(locality)];
  if (!request.permitted_regions.is_restricted() || request.attempts > 1) {
    return;
  }
  const auto nearer = replicas_.accepting_calls(request.service, now);
  const bool is_nearer_excluded = std::any_of(nearer.begin(), nearer.end(), [&](const auto* state) {
    return distance_from_self_.locality_of(state->record->zone) < locality;
  });
  if (is_nearer_excluded) {
    ++counters_.confined_by_residency;
    record(base::event_kind::residency_confined, request, chosen.record->id.text(),
           "a nearer replica is outside the permitted regions");
  }
}

} // namespace spurrack::serving
