/// Requests that no replica takes now, since each names a limit or asked for a pause: they wait for
/// a place, the urgent first, and are refused at once where none can come in their time.
#include "dispatch/dispatcher.h"

#include "base/hashing.h"
#include "dispatch/dispatcher_constants.h"
#include "dispatch/return_time.h"

#include <algorithm>
#include <iterator>

namespace spurrack::serving {
namespace {

/// Waiting requests are looked at this often; also whenever permits come.
constexpr base::duration place_check_period = std::chrono::milliseconds(25);
/// A request that waits already is given up only where this part of the expected wait exceeds the
/// time it has left: waits vary as much as they last, and what it has waited would be lost.
constexpr double certain_wait_part = 0.5;
/// More than any request may wait.
constexpr base::duration for_ever = std::chrono::hours(1);

} // namespace

void dispatcher::advance_statements(base::time_point now) {
  statements_.advance(now);
  limits_.advance(now);
  const auto received = limits_.counts().permits_received;
  if (received != permits_seen_) {
    permits_seen_ = received;
    next_place_check_ = now;
  }
  go_on_with_places(now);
}

replica_demand dispatcher::demand_of(const active_request& request) {
  const auto* results_zone = request.graph ? &request.zone : nullptr;
  return {request.service, *request.content, request.permitted_regions, request.tried,
          results_zone};
}

// --- asking --------------------------------------------------------------------------------------

void dispatcher::want_permit(const active_request& request, base::time_point now) {
  if (!limits_.any()) {
    return;
  }
  auto limited = replicas_.short_of_permits(demand_of(request), now);
  if (request.graph) {
    // Elsewhere its results would have to be carried, so that a permit there is of no use.
    std::erase_if(limited,
                  [&](const replica_state* state) { return state->record->zone != request.zone; });
  }
  if (!limited.empty()) {
    limits_.note_wanted(base::take_random(limited, *random_)->record->id, now);
  }
}

void dispatcher::ask_for_waiting(const std::string& service, base::time_point now) {
  const auto& queue = awaiting_places_.at(service);
  // What the first in the queue may use, the others may, but for regions and tried replicas.
  const auto limited =
      replicas_.short_of_permits(demand_of(active_.at(queue.begin()->client)), now);
  if (limited.empty()) {
    return;
  }
  // A permit for any of them serves, so no more are asked for than requests wait. Others are asked
  // after a while: the node that issues for the first ones may be lost.
  const auto asked = std::min(limited.size(), queue.size());
  const auto each = static_cast<std::uint32_t>((queue.size() + asked - 1) / asked);
  const auto turn =
      static_cast<std::uint64_t>(now.time_since_epoch() / rate_limits::request_lifetime);
  const auto first = (base::stable_hash(self_.node.text()) + turn) % limited.size();
  for (std::size_t index = 0; index < asked; ++index) {
    const auto* replica = limited[(first + index) % limited.size()];
    limits_.note_waiting(replica->record->id, each, now);
  }
}

// --- waiting -------------------------------------------------------------------------------------

std::optional<base::duration> dispatcher::expected_wait_for_place(const active_request& request,
                                                                  std::size_t ahead,
                                                                  base::time_point now) const {
  const auto demand = demand_of(request);
  std::optional<base::duration> least;
  if (const auto opening = replicas_.time_to_opening(demand, now)) {
    least = wait_behind(request.service, *opening, ahead, now);
  }
  const auto limited = replicas_.short_of_permits(demand, now);
  if (!limited.empty()) {
    const auto wait = expected_permit_wait(request.service, limited, ahead, now);
    least = std::min(least.value_or(wait), wait);
  }
  return least;
}

base::duration dispatcher::expected_permit_wait(const std::string& service,
                                                const std::vector<const replica_state*>& limited,
                                                std::size_t ahead, base::time_point now) const {
  double per_second = 0;
  for (const auto* replica : limited) {
    per_second += replicas_.limit_of(*replica).value_or(0);
  }
  if (per_second <= 0) {
    return for_ever;
  }
  // Other nodes get permits too: what came here of late says more, where requests waited for it.
  const auto rate = std::min(per_second, drain_rate_of(service, now).value_or(per_second));
  return base::from_seconds(
      std::min(static_cast<double>(ahead + 1) / rate, base::to_seconds(for_ever)));
}

std::optional<double> dispatcher::drain_rate_of(const std::string& service,
                                                base::time_point now) const {
  const auto drain = place_drains_.find(service);
  return drain == place_drains_.end() ? std::nullopt : drain->second.per_second(now);
}

base::duration dispatcher::wait_behind(const std::string& service, base::duration opening,
                                       std::size_t ahead, base::time_point now) const {
  // After a pause calls begin slowly; how fast is known once some have begun.
  const auto of_late = drain_rate_of(service, now);
  return of_late ? opening + base::from_seconds(static_cast<double>(ahead) / *of_late) : opening;
}

void dispatcher::refuse_without_place(active_request& request, base::duration wait,
                                      base::time_point now) {
  ++counters_.refused_without_place;
  leave_place_queue(request);
  const auto reason = "replicas take no more now, a place is expected after " +
                      std::to_string(base::to_milliseconds(wait)) + " ms";
  if (request.may_have_run || request.stream_begun) {
    answer_failed(request, status::bad_gateway, reason, now);
    return;
  }
  refuse(request.client, request.content->id, status::unavailable, reason,
         return_time(wait, request.ends_at - now, *random_));
  finish(request, status::unavailable, reason, now);
}

bool dispatcher::refuse_without_outlook(active_request& request, base::time_point now) {
  const bool all_take_any = !limits_.any() && !replicas_.any_backoff(now);
  if (all_take_any || !request.graph) {
    return false;
  }
  auto demand = demand_of(request);
  demand.is_planned = true;
  if (choose_for(demand, now) != nullptr) {
    return false;
  }
  // Also those come before it whose stages are being made: they want the same places.
  const auto ahead = std::count_if(active_.begin(), active_.end(), [&](const auto& entry) {
    const auto& other = entry.second;
    return other.client != request.client && other.service == request.service && !other.call;
  });
  const auto wait = expected_wait_for_place(request, static_cast<std::size_t>(ahead), now);
  const auto target = request.route->target_latency;
  const auto in_time = request.arrived + base::scaled(target, admitted_target_part);
  const auto leaves_at = client_leaves_at(request);
  const auto useful_until =
      target > base::duration::zero() ? std::min<base::time_point>(in_time, leaves_at) : leaves_at;
  if (!wait || now + *wait <= useful_until) {
    return false;
  }
  refuse_without_place(request, *wait, now);
  return true;
}

bool dispatcher::is_behind_others(const active_request& request, base::time_point now) {
  const auto queue = awaiting_places_.find(request.service);
  if (hands_out_places_ || queue == awaiting_places_.end()) {
    return false;
  }
  const auto& first = *queue->second.begin();
  return first < place_of(request) && choose_replica(active_.at(first.client), now) != nullptr;
}

const replica_state* dispatcher::choose_in_turn(active_request& request, base::time_point now) {
  if (is_behind_others(request, now)) {
    // Places that have come free go to those who wait; this one is next to them.
    enqueue_for_place(request);
    go_on_with_places_of(request.service, now);
    return nullptr;
  }
  const auto* chosen = choose_replica(request, now);
  if (chosen == nullptr && !await_place(request, now)) {
    answer_not_run(request, request.may_have_run ? "no replica is left" : "no replica", now);
  }
  return chosen;
}

dispatcher::waiting_request dispatcher::place_of(const active_request& request) {
  return {request.priority, request.ends_at, request.client};
}

bool dispatcher::await_place(active_request& request, base::time_point now) {
  const auto place = place_of(request);
  const auto queue = awaiting_places_.find(request.service);
  const auto ahead = queue == awaiting_places_.end()
                         ? 0
                         : std::distance(queue->second.begin(), queue->second.lower_bound(place));
  const auto wait = expected_wait_for_place(request, static_cast<std::size_t>(ahead), now);
  if (!wait) {
    return false;
  }
  if (now + *wait > client_leaves_at(request)) {
    refuse_without_place(request, *wait, now);
    return true;
  }
  ++counters_.awaited_places;
  record(base::event_kind::replica_limit, request, request.service,
         "waits for a place behind " + std::to_string(ahead) + " requests, " +
             std::to_string(base::to_milliseconds(*wait)) + " ms expected");
  enqueue_for_place(request);
  ask_for_waiting(request.service, now);
  return true;
}

base::duration dispatcher::least_return_time(const active_request& request,
                                             base::time_point now) const {
  const std::set<base::replica_id> none_tried;
  const replica_demand demand{request.service, *request.content, request.permitted_regions,
                              none_tried, nullptr};
  const auto opening = replicas_.time_to_opening(demand, now);
  const bool some_take_it = !opening || !replicas_.candidates_for(demand, now).empty();
  return some_take_it ? base::duration{settings_.retry_after}
                      : std::max<base::duration>(settings_.retry_after, *opening);
}

void dispatcher::enqueue_for_place(active_request& request) {
  const auto place = place_of(request);
  request.awaits_place = place;
  awaiting_places_[request.service].insert(place);
}

void dispatcher::leave_place_queue(active_request& request) {
  if (!request.awaits_place) {
    return;
  }
  const auto queue = awaiting_places_.find(request.service);
  queue->second.erase(*request.awaits_place);
  if (queue->second.empty()) {
    awaiting_places_.erase(queue);
  }
  request.awaits_place.reset();
}

void dispatcher::go_on_with_places(base::time_point now) {
  if (awaiting_places_.empty() || now < next_place_check_) {
    return;
  }
  next_place_check_ = now + place_check_period;
  std::vector<std::string> services;
  for (const auto& [service, queue] : awaiting_places_) {
    services.push_back(service);
  }
  for (const auto& service : services) {
    go_on_with_places_of(service, now);
  }
}

void dispatcher::go_on_with_places_of(const std::string& service, base::time_point now) {
  const auto waiting = awaiting_places_.at(service);
  hands_out_places_ = true;
  std::size_t ahead = 0;
  for (const auto& place : waiting) {
    auto& request = active_.at(place.client);
    if (end_at_stop(request, now)) {
      continue;
    }
    if (choose_replica(request, now) != nullptr) {
      leave_place_queue(request);
      place_drains_[service].note_handed_out(1, waiting.size() - 1, now);
      send_to_replica(request, now);
      continue;
    }
    const auto wait = expected_wait_for_place(request, ahead, now);
    if (!wait) {
      // No replica is left that takes it later: it ends as any request without a replica.
      leave_place_queue(request);
      send_to_replica(request, now);
    } else if (now + base::scaled(*wait, certain_wait_part) > client_leaves_at(request)) {
      refuse_without_place(request, *wait, now);
    } else {
      ++ahead;
    }
  }
  hands_out_places_ = false;
  if (awaiting_places_.contains(service)) {
    ask_for_waiting(service, now);
  }
}

} // namespace spurrack::serving
