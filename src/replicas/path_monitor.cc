#include "replicas/path_monitor.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Time after an established connection for which a failure raises no doubt: on links that lose
/// packets failures are frequent, and each doubt costs new connections.
constexpr base::duration proof_lifetime = std::chrono::milliseconds(250);
/// Interval between the begins of two rounds of probes while it is not known whether this node is
/// cut off. A working path answers the first round sooner.
constexpr base::duration first_rounds_interval = std::chrono::milliseconds(100);
/// Interval between the begins of two rounds while this node suspects that it is cut off: the time
/// in which the end of a partition is noticed.
constexpr base::duration later_rounds_interval = std::chrono::milliseconds(200);
/// Number of failed probes from which this node suspects that it is cut off; they go to replicas of
/// as many zones and services.
constexpr std::size_t suspicious_probes = 4;

} // namespace

void path_monitor::note_failure(base::time_point now) {
  const bool is_proven =
      last_connected_at_ != base::time_point{} && now - last_connected_at_ < proof_lifetime;
  if (state_ != path_state::working || is_proven) {
    return;
  }
  state_ = path_state::in_doubt;
  doubted_since_ = now;
  next_round_at_ = now;
  failed_probes_ = 0;
  probed_.clear();
}

void path_monitor::note_probed(const base::replica_id& replica, bool has_connected,
                               base::time_point now) {
  const bool was_in_round = under_way_.erase(replica) > 0;
  if (has_connected) {
    last_connected_at_ = now;
    state_ = path_state::working;
    return;
  }
  if (was_in_round && state_ != path_state::working) {
    ++failed_probes_;
    update_state();
  }
}

void path_monitor::note_heard_by_peer(base::time_point heard_at) {
  last_heard_by_peer_at_ = std::max(last_heard_by_peer_at_, heard_at);
  update_state();
}

void path_monitor::update_state() {
  if (state_ == path_state::in_doubt && failed_probes_ >= suspicious_probes) {
    state_ = path_state::suspected;
  }
  if (state_ == path_state::suspected && last_heard_by_peer_at_ > doubted_since_) {
    state_ = path_state::partitioned;
  }
}

bool path_monitor::is_round_due(base::time_point now) const {
  return state_ != path_state::working && now >= next_round_at_;
}

void path_monitor::begin_round(const std::vector<base::replica_id>& replicas,
                               base::time_point now) {
  next_round_at_ =
      now + (state_ == path_state::in_doubt ? first_rounds_interval : later_rounds_interval);
  under_way_.insert(replicas.begin(), replicas.end());
  probed_.insert(probed_.end(), replicas.begin(), replicas.end());
}

std::optional<base::time_point> path_monitor::next_wakeup() const {
  return state_ == path_state::working ? std::nullopt : std::optional(next_round_at_);
}

} // namespace spurrack::serving
