/// Parts of `replica_table` for the health of replicas as calls of this node and reports of other
/// nodes show it: health reports, replicas declared down, shares of failed calls.
#include "replicas/replica_table.h"

#include <algorithm>
#include <cmath>

namespace spurrack::serving {
namespace {

/// Time without calls after which a replica that failed all calls gets a trial call. At a lower
/// failure share the time is shorter in proportion. The failure share keeps calls away from the
/// replica, and only a call can show that the replica has recovered.
constexpr base::duration trial_interval = std::chrono::seconds(2);
/// Minimum number of nodes that must have found a replica down before it is declared down: the
/// fault may be in the network link of a single node.
constexpr std::size_t min_down_reporters = 2;
/// At most a third of the replicas of a service are ejected at the same time, but one always may be
/// if the service has two or more. Under an overload all replicas seem unresponsive, and ejecting
/// many of them makes the overload worse.
constexpr std::size_t ejected_divisor = 3;
/// Minimum excess of a replica's failure share over the mean share of the other replicas of its
/// service that counts as a fault of the replica: requests that fail equally at all replicas show
/// no fault of a replica, and chance alone makes a difference of a tenth.
constexpr double min_failure_excess = 0.2;
/// Maximum number of other replicas of the service whose reported failure shares are averaged for
/// comparison with a replica.
constexpr std::size_t max_compared_replicas = 64;
/// Load that is added to a replica for each other node from which the replica requested a backoff,
/// as a fraction of the replica's slots. Small, because the requests that are kept from the replica
/// must not all go to another replica that then rejects requests too.
constexpr double load_per_reported_backoff = 0.1;
/// Maximum load that is added to a replica for all other nodes together from which the replica
/// requested backoffs, as a fraction of the replica's slots: a backoff requested from other nodes
/// does not show that the replica would reject requests of this node.
constexpr double max_reported_backoff_load = 0.5;
/// Half-life of failure shares computed from health reports; equal to the half-life of the counts
/// of this node's calls.
constexpr base::duration reported_failures_half_life = std::chrono::seconds(5);

} // namespace

std::optional<replica_health_report> replica_table::own_health_report(const replica_state& state,
                                                                      base::time_point now) {
  replica_health_report own;
  own.good_calls = state.calls.good(now);
  own.bad_calls = state.calls.bad(now);
  own.seen_at = now;
  own.backoff_ends_at = state.backoff.ends_at();
  const auto down_at = std::max(state.unresponsive_at, state.unreachable_at);
  const bool has_recent_activity = state.last_activity_at != base::time_point{} &&
                                   now - state.last_activity_at < down_report_lifetime;
  const bool contradicts_peers = has_recent_activity &&
                                 state.peer_reported_down_at != base::time_point{} &&
                                 state.last_activity_at > state.peer_reported_down_at;
  const bool is_down = down_at > state.last_activity_at && now - down_at < down_report_lifetime;
  if (!contradicts_peers && is_down) {
    own.health = down_at == state.unresponsive_at ? replica_health::unresponsive
                                                  : replica_health::unreachable;
    own.seen_at = down_at;
  } else if (!contradicts_peers && own.bad_calls > 0) {
    own.health = replica_health::failing;
  } else if (has_recent_activity) {
    own.seen_at = state.last_activity_at;
  } else {
    return std::nullopt;
  }
  return own;
}

bool replica_table::is_declared_down(const base::replica_id& id, base::time_point now) const {
  const auto* state = find(id);
  if (state == nullptr) {
    return false;
  }
  const auto own = own_health_report(*state, now);
  const bool own_reports_down =
      own && means_down(own->health) && own->seen_at > state->peer_reported_activity_at;
  const auto last_activity_at = std::max(state->last_activity_at, state->peer_reported_activity_at);
  return evidence_.count_down_reporters(id, last_activity_at, now) + (own_reports_down ? 1 : 0) >=
         min_down_reporters;
}

bool replica_table::seems_silent(const replica_state& state, base::time_point now) {
  const auto down_at =
      std::max({state.unresponsive_at, state.unreachable_at, state.peer_reported_down_at});
  const auto heard_at = std::max(state.last_activity_at, state.peer_reported_activity_at);
  return down_at > heard_at && now - down_at < down_report_lifetime;
}

bool replica_table::is_silent_here(const replica_state& state, base::time_point now) {
  const auto heard_at = std::max(state.last_activity_at, state.peer_reported_activity_at);
  return state.in_flight > 0 && state.unresponsive_at > heard_at &&
         now - state.silent_pause_at < down_report_lifetime;
}

bool replica_table::was_other_active_after(const base::replica_id& id,
                                           base::time_point when) const {
  return std::any_of(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
    return entry.second.last_activity_at > when && entry.first != id;
  });
}

std::vector<const replica_state*>
replica_table::replicas_on_different_paths(const std::vector<base::replica_id>& excluded,
                                           std::size_t most) const {
  using path = std::pair<base::zone_id, std::string>;
  std::map<path, std::vector<const replica_state*>> by_path;
  for (const auto& [id, state] : replicas_) {
    if (std::find(excluded.begin(), excluded.end(), id) == excluded.end()) {
      by_path[{state.record->zone, state.record->service}].push_back(&state);
    }
  }
  const auto reachability = [](const replica_state* state) {
    const auto down_at = std::max(state->unreachable_at, state->unresponsive_at);
    return std::pair(down_at <= state->last_activity_at, state->last_activity_at);
  };
  std::vector<const replica_state*> chosen;
  for (auto& [shared_path, states] : by_path) {
    std::sort(states.begin(), states.end(), [&](const auto* left, const auto* right) {
      return reachability(left) > reachability(right);
    });
  }
  for (std::size_t rank = 0; chosen.size() < most && !by_path.empty(); ++rank) {
    std::erase_if(by_path, [&](const auto& entry) { return entry.second.size() <= rank; });
    for (auto next = by_path.begin(); next != by_path.end() && chosen.size() < most; ++next) {
      chosen.push_back(next->second[rank]);
    }
  }
  return chosen;
}

bool replica_table::can_eject(const std::string& service, base::time_point now) const {
  const auto& states = index_.of_service(service);
  if (states.size() < 2) {
    return false;
  }
  const auto ejected = std::count_if(states.begin(), states.end(),
                                     [&](const auto* state) { return state->ejected_until > now; });
  const auto max_ejected = std::max<std::size_t>(1, states.size() / ejected_divisor);
  return static_cast<std::size_t>(ejected) < max_ejected;
}

void replica_table::record_report(const base::replica_id& id, const base::node_id& reporter,
                                  const replica_health_report& report, base::time_point now) {
  auto* state = mutable_find(id);
  if (state == nullptr) {
    return;
  }
  evidence_.record_report(id, reporter, report);
  if (means_down(report.health)) {
    state->peer_reported_down_at = std::max(state->peer_reported_down_at, report.seen_at);
  } else if (report.health == replica_health::healthy) {
    state->peer_reported_activity_at = std::max(state->peer_reported_activity_at, report.seen_at);
  }
  update_reported_failures(*state, now);
  update_reported_backoffs(*state, now);
  const bool is_paused = state->paused_until > now;
  if (!is_paused && is_declared_down(id, now) && can_eject(state->record->service, now)) {
    ++ejections_;
    state->unreachable_backoff =
        std::max(state->unreachable_backoff, settings_.unreachable_backoff);
    state->paused_until = now + state->unreachable_backoff;
    state->ejected_until = state->paused_until;
  }
}

void replica_table::discard_reports_of(const base::node_id& reporter, base::time_point now) {
  for (const auto& id : evidence_.discard_reports_of(reporter)) {
    auto* state = mutable_find(id);
    if (state == nullptr) {
      continue;
    }
    update_reported_failures(*state, now);
    update_reported_backoffs(*state, now);
    const bool depended_on_reporter = state->ejected_until > now && !is_declared_down(id, now);
    if (depended_on_reporter) {
      state->paused_until = now;
      state->ejected_until = now;
      state->unreachable_backoff = {};
    }
  }
}

void replica_table::note_doubtful_report(const base::replica_id& id, replica_health health,
                                         base::time_point seen_at) {
  auto* state = mutable_find(id);
  if (state != nullptr && means_down(health)) {
    state->peer_reported_down_at = std::max(state->peer_reported_down_at, seen_at);
  }
}

bool replica_table::was_any_active_after(base::time_point when) const {
  return std::any_of(replicas_.begin(), replicas_.end(),
                     [&](const auto& entry) { return entry.second.last_activity_at > when; });
}

void replica_table::update_reported_backoffs(replica_state& state, base::time_point now) const {
  const auto backoffs = evidence_.reported_backoffs_of(state.record->id, now);
  state.reported_backoff_load = std::min(
      max_reported_backoff_load, load_per_reported_backoff * static_cast<double>(backoffs.nodes));
  state.reported_backoff_until = backoffs.last_ends_at;
}

double replica_table::decayed_share(double reported, const replica_state& state,
                                    base::time_point now) {
  const double halvings = base::to_seconds(now - state.failures_reported_at) /
                          base::to_seconds(reported_failures_half_life);
  return reported * std::exp2(-halvings);
}

void replica_table::update_reported_failures(replica_state& state, base::time_point now) {
  const auto& id = state.record->id;
  const auto replicas = index_.of_service(state.record->service).size();
  auto& reported_ids = reported_replicas_[state.record->service];
  reported_ids.insert(id);
  double sum_of_others = 0;
  std::size_t compared = 0;
  for (const auto& other_id : reported_ids) {
    const auto* other = find(other_id);
    if (other != nullptr && other != &state && compared < max_compared_replicas) {
      sum_of_others += decayed_share(other->reported_failure_share, *other, now);
      ++compared;
    }
  }
  // Replicas without any health report count as not failing.
  const auto compared_fraction =
      static_cast<double>(std::max<std::size_t>(1, compared)) /
      static_cast<double>(std::max<std::size_t>(1, reported_ids.size() - 1));
  const auto usual_share = sum_of_others / compared_fraction /
                           static_cast<double>(std::max<std::size_t>(1, replicas - 1));
  state.reported_failure_share = evidence_.failure_share(id, state.calls, now);
  state.failures_reported_at = now;
  const double excess = state.reported_failure_share - usual_share;
  state.reported_failure_excess = excess >= min_failure_excess ? excess : 0;
}

double replica_table::known_failure_share(const replica_state& state, base::time_point now) {
  return std::max(state.failure_share, decayed_share(state.reported_failure_excess, state, now));
}

bool replica_table::is_due_for_trial(const replica_state& state, base::time_point now) {
  // While other nodes still report failures, a trial call would show nothing new.
  const auto latest =
      std::max({state.last_failure_at, state.last_call_at, state.failures_reported_at});
  return state.in_flight == 0 &&
         now - latest >= base::scaled(trial_interval, known_failure_share(state, now));
}

double replica_table::failure_share_of(const replica_state& state, base::time_point now) {
  return is_due_for_trial(state, now) ? 0 : known_failure_share(state, now);
}

} // namespace spurrack::serving
