/// Requests whose replicas take no more than they name: they wait for a permit, the urgent first,
/// and are refused at once where none can come in their time.
#include "dispatch/dispatcher.h"

#include "base/hashing.h"
#include "dispatch/dispatcher_constants.h"
#include "dispatch/return_time.h"

#include <algorithm>
#include <iterator>

namespace spurrack::serving {
namespace {

/// Waiting requests are looked at this often; also whenever permits come.
constexpr base::duration permit_check_period = std::chrono::milliseconds(25);
/// A request that waits already is given up only where this part of the expected wait exceeds the
/// time it has left: waits vary as much as they last, and what it has waited would be lost.
constexpr double certain_wait_part = 0.5;
/// More than any request may wait.
constexpr base::duration for_ever = std::chrono::hours(1);

} // namespace

void dispatcher::advance_limits(base::time_point now) {
  statements_.advance(now);
  limits_.advance(now);
  const auto received = limits_.counts().permits_received;
  if (received != permits_seen_) {
    permits_seen_ = received;
    next_permit_check_ = now;
  }
  go_on_with_permits(now);
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
  const auto& queue = awaiting_permits_.at(service);
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

std::optional<base::duration> dispatcher::expected_permit_wait(const active_request& request,
                                                               std::size_t ahead,
                                                               base::time_point now) const {
  const auto limited = replicas_.short_of_permits(demand_of(request), now);
  if (limited.empty()) {
    return std::nullopt;
  }
  double per_second = 0;
  for (const auto* replica : limited) {
    per_second += replicas_.limit_of(*replica).value_or(0);
  }
  if (per_second <= 0) {
    return for_ever;
  }
  // Other nodes get permits too: what came here of late says more, where requests waited for it.
  const auto drain = permit_drains_.find(request.service);
  const auto of_late = drain == permit_drains_.end() ? std::nullopt : drain->second.per_second(now);
  const auto rate = std::min(per_second, of_late.value_or(per_second));
  return base::from_seconds(
      std::min(static_cast<double>(ahead + 1) / rate, base::to_seconds(for_ever)));
}

void dispatcher::refuse_without_permit(active_request& request, base::duration wait,
                                       base::time_point now) {
  ++counters_.refused_without_permit;
  leave_permit_queue(request);
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

bool dispatcher::refuse_beyond_limits(active_request& request, base::time_point now) {
  if (!limits_.any() || !request.graph) {
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
  const auto wait = expected_permit_wait(request, static_cast<std::size_t>(ahead), now);
  const auto target = request.route->target_latency;
  const auto in_time = request.arrived + base::scaled(target, admitted_target_part);
  const auto leaves_at = client_leaves_at(request);
  const auto useful_until =
      target > base::duration::zero() ? std::min<base::time_point>(in_time, leaves_at) : leaves_at;
  if (!wait || now + *wait <= useful_until) {
    return false;
  }
  refuse_without_permit(request, *wait, now);
  return true;
}

bool dispatcher::await_permit(active_request& request, base::time_point now) {
  const waiting_request place{request.priority, request.ends_at, request.client};
  const auto queue = awaiting_permits_.find(request.service);
  const auto ahead = queue == awaiting_permits_.end()
                         ? 0
                         : std::distance(queue->second.begin(), queue->second.lower_bound(place));
  const auto wait = expected_permit_wait(request, static_cast<std::size_t>(ahead), now);
  if (!wait) {
    return false;
  }
  if (now + *wait > client_leaves_at(request)) {
    refuse_without_permit(request, *wait, now);
    return true;
  }
  ++counters_.awaited_permits;
  record(base::event_kind::replica_limit, request, request.service,
         "waits for a permit behind " + std::to_string(ahead) + " requests, " +
             std::to_string(base::to_milliseconds(*wait)) + " ms expected");
  request.awaits_permit = place;
  awaiting_permits_[request.service].insert(place);
  ask_for_waiting(request.service, now);
  return true;
}

void dispatcher::leave_permit_queue(active_request& request) {
  if (!request.awaits_permit) {
    return;
  }
  const auto queue = awaiting_permits_.find(request.service);
  queue->second.erase(*request.awaits_permit);
  if (queue->second.empty()) {
    awaiting_permits_.erase(queue);
  }
  request.awaits_permit.reset();
}

void dispatcher::go_on_with_permits(base::time_point now) {
  if (awaiting_permits_.empty() || now < next_permit_check_) {
    return;
  }
  next_permit_check_ = now + permit_check_period;
  std::vector<std::string> services;
  for (const auto& [service, queue] : awaiting_permits_) {
    services.push_back(service);
  }
  for (const auto& service : services) {
    go_on_with_permits_of(service, now);
  }
}

void dispatcher::go_on_with_permits_of(const std::string& service, base::time_point now) {
  const auto waiting = awaiting_permits_.at(service);
  std::size_t ahead = 0;
  for (const auto& place : waiting) {
    auto& request = active_.at(place.client);
    if (end_at_stop(request, now)) {
      continue;
    }
    if (choose_replica(request, now) != nullptr) {
      leave_permit_queue(request);
      permit_drains_[service].note_handed_out(1, waiting.size() - 1, now);
      send_to_replica(request, now);
      continue;
    }
    const auto wait = expected_permit_wait(request, ahead, now);
    if (!wait) {
      // No limited replica is left for it: it ends as any request without a replica.
      leave_permit_queue(request);
      send_to_replica(request, now);
    } else if (now + base::scaled(*wait, certain_wait_part) > client_leaves_at(request)) {
      refuse_without_permit(request, *wait, now);
    } else {
      ++ahead;
    }
  }
  if (awaiting_permits_.contains(service)) {
    ask_for_waiting(service, now);
  }
}

} // namespace spurrack::serving
