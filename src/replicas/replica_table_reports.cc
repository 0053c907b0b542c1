/// What calls of this node and of others show of replicas: reports, losses that two nodes agree on,
/// shares of calls that failed.
#include "replicas/replica_table.h"

#include <algorithm>
#include <cmath>

namespace spurrack::serving {
namespace {

/// A replica that failed is tried again after this time for each part of its calls that failed:
/// it gets no calls for its failures, so that only a call shows that it is well again.
constexpr base::duration retrial_time = std::chrono::seconds(2);
/// Nodes that must have found a replica lost before one that has not called it believes so: one
/// caller's own link may be what is lost.
constexpr std::size_t least_witnesses = 2;
/// At most this part of the replicas of a service rest on the reports of others, and at least one
/// where there are two: under an overload all seem silent, and resting many makes it worse.
constexpr std::size_t ejected_divisor = 3;
/// A replica fails more than others of its service where its share is higher by this: requests
/// that fail everywhere alike say nothing of a replica, and chance makes a tenth.
constexpr double clear_excess = 0.2;
/// Other failing replicas that are looked at to learn what is usual.
constexpr std::size_t most_compared = 64;
/// Each node that a replica asked for a pause counts as this load, in parts of its slots, and all
/// together as no more than the other: what those nodes keep from it must not all go to the next
/// that turns requests away, nor is it shown that this node would be turned away.
constexpr double load_of_told_backoff = 0.1;
constexpr double most_load_of_told_backoffs = 0.5;
/// Half-life of what others reported of failures, as that of an own tally.
constexpr base::duration told_failures_half_life = std::chrono::seconds(5);

} // namespace

std::optional<replica_health_report> replica_table::own_health_report(const replica_state& state,
                                                                      base::time_point now) {
  replica_health_report own;
  own.good_calls = state.calls.good(now);
  own.bad_calls = state.calls.bad(now);
  own.seen_at = now;
  own.backoff_ends_at = state.backoff.ends_at();
  const auto lost_at = std::max(state.unresponsive_at, state.unreachable_at);
  const bool is_heard = state.last_activity_at != base::time_point{} &&
                        now - state.last_activity_at < down_report_lifetime;
  const bool disputes = is_heard && state.peer_reported_down_at != base::time_point{} &&
                        state.last_activity_at > state.peer_reported_down_at;
  const bool is_down = lost_at > state.last_activity_at && now - lost_at < down_report_lifetime;
  if (!disputes && is_down) {
    own.health = lost_at == state.unresponsive_at ? replica_health::unresponsive
                                                  : replica_health::unreachable;
    own.seen_at = lost_at;
  } else if (!disputes && own.bad_calls > 0) {
    own.health = replica_health::failing;
  } else if (is_heard) {
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
  const bool own_vote =
      own && means_down(own->health) && own->seen_at > state->peer_reported_activity_at;
  const auto heard_at = std::max(state->last_activity_at, state->peer_reported_activity_at);
  return evidence_.count_down_reporters(id, heard_at, now) + (own_vote ? 1 : 0) >= least_witnesses;
}

bool replica_table::can_eject(const std::string& service, base::time_point now) const {
  const auto& states = index_.of_service(service);
  if (states.size() < 2) {
    return false;
  }
  const auto resting = std::count_if(states.begin(), states.end(),
                                     [&](const auto* state) { return state->ejected_until > now; });
  const auto most = std::max<std::size_t>(1, states.size() / ejected_divisor);
  return static_cast<std::size_t>(resting) < most;
}

void replica_table::record_report(const base::replica_id& id, const base::node_id& witness,
                                  const replica_health_report& said, base::time_point now) {
  auto* state = mutable_find(id);
  if (state == nullptr) {
    return;
  }
  evidence_.record_report(id, witness, said);
  if (means_down(said.health)) {
    state->peer_reported_down_at = std::max(state->peer_reported_down_at, said.seen_at);
  } else if (said.health == replica_health::healthy) {
    state->peer_reported_activity_at = std::max(state->peer_reported_activity_at, said.seen_at);
  }
  update_reported_failures(*state, now);
  update_reported_backoffs(*state, now);
  const bool rests = state->paused_until > now;
  if (!rests && is_declared_down(id, now) && can_eject(state->record->service, now)) {
    ++ejections_;
    state->next_pause = std::max(state->next_pause, settings_.unreachable_pause);
    state->paused_until = now + state->next_pause;
    state->ejected_until = state->paused_until;
  }
}

void replica_table::update_reported_backoffs(replica_state& state, base::time_point now) const {
  const auto told = evidence_.backoffs(state.record->id, now);
  state.reported_backoff_load =
      std::min(most_load_of_told_backoffs, load_of_told_backoff * static_cast<double>(told.nodes));
  state.reported_backoff_until = told.until;
}

double replica_table::decayed_share(double told, const replica_state& state, base::time_point now) {
  const double halvings = base::to_seconds(now - state.failures_reported_at) /
                          base::to_seconds(told_failures_half_life);
  return told * std::exp2(-halvings);
}

void replica_table::update_reported_failures(replica_state& state, base::time_point now) {
  const auto& id = state.record->id;
  const auto replicas = index_.of_service(state.record->service).size();
  auto& failing = failing_replicas_[state.record->service];
  failing.insert(id);
  double others = 0;
  std::size_t compared = 0;
  for (const auto& other_id : failing) {
    const auto* other = find(other_id);
    if (other != nullptr && other != &state && compared < most_compared) {
      others += decayed_share(other->reported_failure_share, *other, now);
      ++compared;
    }
  }
  // Replicas without any report count as not failing.
  const auto sampled_part = static_cast<double>(std::max<std::size_t>(1, compared)) /
                            static_cast<double>(std::max<std::size_t>(1, failing.size() - 1));
  const auto usual =
      others / sampled_part / static_cast<double>(std::max<std::size_t>(1, replicas - 1));
  state.reported_failure_share = evidence_.failure_share(id, state.calls, now);
  state.failures_reported_at = now;
  const double excess = state.reported_failure_share - usual;
  state.reported_failure_excess = excess >= clear_excess ? excess : 0;
}

double replica_table::known_failure_share(const replica_state& state, base::time_point now) {
  return std::max(state.failure_share, decayed_share(state.reported_failure_excess, state, now));
}

bool replica_table::is_due_for_trial(const replica_state& state, base::time_point now) {
  // While others go on reporting failures there is nothing to be learned from a trial.
  const auto latest =
      std::max({state.last_failure_at, state.last_call_at, state.failures_reported_at});
  return state.in_flight == 0 &&
         now - latest >= base::scaled(retrial_time, known_failure_share(state, now));
}

double replica_table::failure_share_of(const replica_state& state, base::time_point now) {
  return is_due_for_trial(state, now) ? 0 : known_failure_share(state, now);
}

} // namespace spurrack::serving
