/// This node's own paths to replicas: probes replicas while the paths are in doubt, and hands over
/// this node's duties while it is partitioned from all replicas.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"
#include "dispatch/retry_after.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Number of replicas that are probed in one round.
constexpr std::size_t probes_per_round = 2;

/// Time without any byte from a replica after which open connections count as cut too.
constexpr base::duration open_connection_lifetime = std::chrono::milliseconds(500);
/// Retry-After of a refusal because this node is partitioned: other nodes can serve the request at
/// once.
constexpr base::duration other_node_retry_after = std::chrono::milliseconds(50);

const char* text_of(path_state state) {
  switch (state) {
  case path_state::in_doubt:
    return "a call failed, paths to replicas are checked";
  case path_state::suspected:
    return "no replica accepts a connection of this node";
  case path_state::partitioned:
    return "this node is partitioned from all replicas, other nodes hear from them";
  case path_state::working:
    break;
  }
  return "replicas accept connections of this node again";
}

} // namespace

void dispatcher::check_paths(base::time_point now) {
  if (paths_.is_round_due(now)) {
    auto targets = replicas_.replicas_on_different_paths(paths_.probed(), probes_per_round);
    if (targets.empty()) {
      paths_.restart_rounds();
      targets = replicas_.replicas_on_different_paths({}, probes_per_round);
    }
    std::vector<base::replica_id> probed;
    for (const auto* target : targets) {
      probed.push_back(target->record->id);
      commands_.emplace_back(probe_replica{{target->record->id, target->record->address}});
    }
    paths_.begin_round(probed, now);
  }
  apply_path_state(now);
  relays_.advance(paths_.state() >= path_state::suspected, now);
}

void dispatcher::apply_path_state(base::time_point now) {
  const auto state = paths_.state();
  if (state == applied_path_state_) {
    return;
  }
  const bool concerns_operators = std::max(state, applied_path_state_) >= path_state::suspected;
  if (concerns_operators) {
    record_(base::event_kind::node_partitioned, {}, self_.node.text(), text_of(state));
  }
  const bool was_partitioned = applied_path_state_ == path_state::partitioned;
  applied_path_state_ = state;
  replica_reports_.set_path_state(state, now);
  if (is_partitioned() != was_partitioned) {
    stages_.set_partitioned(is_partitioned(), now);
  }
}

bool dispatcher::refuse_while_partitioned(active_request& request, base::time_point now) {
  if (!is_partitioned() || replicas_.was_any_active_after(now - open_connection_lifetime)) {
    return false;
  }
  ++counters_.refused_while_partitioned;
  answer_with_error(request.client, request.content->id, status::unavailable,
                    "this node reaches no replica, other nodes do",
                    jittered_retry_after(other_node_retry_after, request.deadline - now, *random_));
  finish(request, status::unavailable, "partitioned from all replicas", now);
  return true;
}

} // namespace spurrack::serving
