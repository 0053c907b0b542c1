/// The one place where the calls of requests end. A call that ends without a whole answer leaves
/// what is needed to count an exit of its replica later, however the call ended.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Time without any byte of a replica after which it is probed if this node ends a call there.
constexpr base::duration probed_silence = std::chrono::milliseconds(100);

} // namespace

open_call dispatcher::close_call(active_request& request, call_end end, base::time_point now) {
  auto call = *request.call;
  clients_by_call_.erase(call.id);
  replicas_.call_ended(call.replica);
  const auto at_replica = clients_by_replica_.find(call.replica);
  at_replica->second.erase(request.client);
  if (at_replica->second.empty()) {
    clients_by_replica_.erase(at_replica);
  }
  if (call.relay_node) {
    relays_.note_ended(*call.relay_node);
  }
  request.call.reset();
  ++counters_.closed_calls[serving::name_of(end)];
  leave_trial_queue(request);
  leave_trace(request, call, end, now);
  if (!request.has_trial) {
    const bool is_known = call.is_exit_noted || trace_of(end) == call_trace::none;
    release_trial(request, is_known, now);
  }
  return call;
}

void dispatcher::leave_trace(const active_request& request, const open_call& call, call_end end,
                             base::time_point now) {
  const auto trace = trace_of(end);
  if (trace == call_trace::none || call.relay_node) {
    return;
  }
  if (replicas_.find(call.replica) == nullptr) {
    auto ended = call;
    note_unpublished_exit(request, ended, now);
    return;
  }
  // A call whose connection tells nothing may never have reached the replica.
  const auto known_start = trace == call_trace::silent ? base::time_point{} : call.started_at;
  note_lost_call(request, {call.incarnation_exit, now, call.replica, known_start}, call.started_at,
                 trace, now);
  const auto* state = replicas_.find(call.replica);
  const auto heard_at = std::max(last_heard_of(*state), call.started_at);
  if (trace != call_trace::lost && now - heard_at >= probed_silence) {
    suspect_exits_at(call.replica, now);
    watch_silence(call.replica, now);
  }
}

void dispatcher::note_unpublished_exit(const active_request& request, open_call& call,
                                       base::time_point now) {
  const bool is_silent = call.unpublished_at && request.latest_event_at <= *call.unpublished_at;
  if (!is_silent || call.is_exit_noted) {
    return;
  }
  call.is_exit_noted = true;
  note_exit_under_request({suspects_of(request),
                           {call.incarnation_exit, *call.unpublished_at, call.replica},
                           call.started_at},
                          call.replica, "it is published no longer, and silent", now);
}

} // namespace spurrack::serving
