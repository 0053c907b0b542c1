#include "replicas/replica_table.h"

#include "replicas/replica_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spurrack::serving {
namespace {

/// Load reported with an answer says nothing more after this time.
constexpr base::duration told_load_lifetime = std::chrono::milliseconds(500);
/// Share of the newest call in the own failure share: about the last seven calls count.
constexpr double failure_smoothing = 0.15;
/// A trial that goes well takes this part of the failure share away: few calls are trials.
constexpr double trial_smoothing = 0.5;
/// A replica that fails all calls is chosen like one with so many times its slots taken.
constexpr double failing_load = 3.0;
/// Share of the newest call in the learned slowness: two calls show what a replica has become.
constexpr double newest_pace_share = 0.6;
/// A replica that was slow is tried again after a few of these: troubles last some seconds.
constexpr base::duration slowness_half_life = std::chrono::seconds(2);
/// A replica that refused a call is left alone for this many calls and up to one more. It takes one
/// call at a time and lets some wait, so it is busy for at least as long; retries at a fixed short
/// period from many nodes would mostly be refused again.
constexpr double least_occupied_calls = 0.5;
/// A replica that rested is given one request in this time until it is heard.
constexpr base::duration probe_time = std::chrono::milliseconds(1000);
/// A replica that stays silent is reported again after this time, a third of the lifetime of a
/// report.
constexpr base::duration silence_renewal = std::chrono::milliseconds(1000);
/// A replica that could not be reached and was heard afterwards had started again in between, if it
/// was not longer ago than this: the list of replicas may lag behind by the time that its store was
/// away.
constexpr base::duration longest_list_lag = std::chrono::seconds(30);
/// An entry that nobody writes any more lapses after three heartbeats of about 1.2 s; one that came
/// back with an older copy of the store is passed over for that time.
constexpr base::duration lapse_time = std::chrono::milliseconds(4'000);

} // namespace

replica_table::replica_table(const base::node_id& self, base::zone_id own_zone,
                             const serving_settings& settings, base::random_source& random)
    : own_zone_(std::move(own_zone)), cold_callers_(self), settings_(settings), random_(&random) {}

void replica_table::set_configuration(
    std::shared_ptr<const model::serving_configuration> configuration) {
  if (configuration != configuration_) {
    configuration_ = std::move(configuration);
    cold_callers_.clear_cache();
  }
}

void replica_table::update(const published_replicas& published, base::time_point now) {
  std::vector<base::replica_id> gone;
  for (const auto& [id, state] : replicas_) {
    if (!published.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const auto& id : gone) {
    remove(id, now);
  }
  replicas_of_unknown_services_.clear();
  for (const auto& [id, record] : published) {
    apply_record(record, now);
  }
  incarnations_.forget_gone(now);
}

void replica_table::update(const published_replicas& published,
                           const std::vector<base::replica_id>& changed, base::time_point now) {
  for (const auto& id : changed) {
    if (const auto found = published.find(id); found != published.end()) {
      apply_record(found->second, now);
    } else {
      replicas_of_unknown_services_.erase(id);
      remove(id, now);
    }
  }
  incarnations_.forget_gone(now);
}

void replica_table::apply_record(const std::shared_ptr<const model::replica>& record,
                                 base::time_point now) {
  ++records_compared_;
  const auto& id = record->id;
  if (!has_known_service(*record)) {
    replicas_of_unknown_services_[id] = record->service;
    remove(id, now);
    return;
  }
  replicas_of_unknown_services_.erase(id);
  auto& state = replicas_[id];
  if (state.record == record) {
    return;
  }
  if (state.record) {
    index_.remove(state);
  }
  if (auto restart = incarnations_.note_published(*record)) {
    begin_incarnation(id, state, now);
    restarts_.push_back(std::move(*restart));
  }
  mark_cold(state, record->cold_for, now);
  if (record->may_be_gone) {
    state.paused_until = std::max(state.paused_until, now + lapse_time);
  }
  state.record = record;
  update_process(state);
  index_.add(state);
}

void replica_table::remove(const base::replica_id& id, base::time_point now) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end()) {
    return;
  }
  index_.remove(found->second);
  replicas_.erase(found);
  evidence_.forget(id);
  incarnations_.note_gone(id, now);
  forget_self_reports(id);
  for (auto& [service, failing] : failing_replicas_) {
    failing.erase(id);
  }
}

bool replica_table::has_known_service(const model::replica& record) const {
  if (!configuration_ || configuration_->find_service(record.service) != nullptr) {
    return true;
  }
  const auto* known = find(record.id);
  return known != nullptr && known->record->service == record.service;
}

void replica_table::begin_incarnation(const base::replica_id& id, replica_state& state,
                                      base::time_point now) {
  const auto lost_at = std::max(state.unreachable_at, state.unresponsive_at);
  const bool came_back_unlisted = lost_at != base::time_point{} &&
                                  state.last_activity_at > lost_at &&
                                  now - lost_at < longest_list_lag;
  replica_state fresh;
  fresh.in_flight = state.in_flight;
  fresh.restart_seen_at = now;
  fresh.earlier_incarnation_calls_until = came_back_unlisted ? lost_at : now;
  state = std::move(fresh);
  evidence_.forget(id);
  forget_self_reports(id);
  changed_.erase(id);
  for (auto& [service, failing] : failing_replicas_) {
    failing.erase(id);
  }
}

bool replica_table::is_at_earlier_incarnation(const base::replica_id& id,
                                              base::time_point began) const {
  const auto* state = find(id);
  return state != nullptr && state->restart_seen_at &&
         began <= state->earlier_incarnation_calls_until;
}

void replica_table::mark_cold(replica_state& state, base::duration cold_for, base::time_point now) {
  if (cold_for > base::duration::zero()) {
    state.cold_until = std::max(state.cold_until, now + cold_for);
    state.cold_tokens.start(now);
  }
}

void replica_table::note_cold(const base::replica_id& id, base::duration cold_for,
                              base::time_point now) {
  if (auto* state = mutable_find(id)) {
    mark_cold(*state, cold_for, now);
  }
}

void replica_table::set_evacuated(const std::set<base::zone_id>& zones, base::time_point now) {
  if (zones == evacuated_) {
    return;
  }
  for (auto& [id, state] : replicas_) {
    const auto& zone = state.record->zone;
    if (evacuated_.contains(zone) && !zones.contains(zone)) {
      mark_cold(state, settings_.cold_after_evacuation, now);
    }
  }
  evacuated_ = zones;
}

bool replica_table::accepts_work(const replica_state& state) const {
  return !state.record->draining && !state.is_replaced && !has_announced_drain(state) &&
         !evacuated_.contains(state.record->zone);
}

const model::service* replica_table::cold_service_of(const replica_state& state,
                                                     base::time_point now) const {
  if (state.cold_until <= now || !configuration_) {
    return nullptr;
  }
  const auto* service = configuration_->find_service(state.record->service);
  return service != nullptr && service->cold_requests_per_second > 0 ? service : nullptr;
}

cold_call_quota replica_table::cold_call_quota_of(const model::service& service) const {
  // One gatherer calls a replica that works on pieces.
  return serving::cold_call_quota_of(settings_.cold, service.cold_requests_per_second,
                                     service.pieces.has_value());
}

bool replica_table::cold_limit_permits(const replica_state& state, base::time_point now) const {
  const auto* service = cold_service_of(state, now);
  if (service == nullptr) {
    return true;
  }
  const auto share = cold_call_quota_of(*service);
  const auto& record = *state.record;
  const bool may_call =
      service->pieces || cold_callers_.includes_self(record.id, record.zone, share.callers);
  return may_call && state.cold_tokens.has_token(share, now);
}

replica_state* replica_table::mutable_find(const base::replica_id& id) {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

const replica_state* replica_table::find(const base::replica_id& id) const {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

const replica_state* replica_table::find_at(const base::network_address& address) const {
  const auto* id = index_.at_address(address);
  return id == nullptr ? nullptr : find(*id);
}

bool replica_table::is_available(const replica_state& state, base::time_point now) const {
  return accepts_calls(state, now) && !state.backoff.is_active(now) && limit_of(state) != 0;
}

bool replica_table::accepts_calls(const replica_state& state, base::time_point now) const {
  return accepts_work(state) && state.paused_until <= now && is_reachable(state.record->zone) &&
         cold_limit_permits(state, now);
}

bool replica_table::could_serve(const replica_demand& demand, const replica_state& state) const {
  return !demand.excluded.contains(state.record->id) && permits(demand.permitted_regions, state);
}

std::vector<const replica_state*> replica_table::usable(const replica_demand& demand,
                                                        base::time_point now,
                                                        bool ignore_pauses) const {
  std::vector<const replica_state*> found;
  for (const auto* state : index_.of_service(demand.service)) {
    const bool usable_now = ignore_pauses ? accepts_work(*state) && cold_limit_permits(*state, now)
                                          : accepts_calls(*state, now) && state->probe_until <= now;
    if (usable_now && could_serve(demand, *state) && may_send_to(*state, now)) {
      found.push_back(state);
    }
  }
  return found;
}

std::vector<const replica_state*> replica_table::candidates_for(const replica_demand& demand,
                                                                base::time_point now) const {
  auto found = usable(demand, now, false);
  exclude_limited(found, demand);
  if (const auto* in_doubt = find_stale_limit(found, demand, now)) {
    return {in_doubt};
  }
  // A replica that is well and takes a request soon goes before those that rest after failures.
  const bool takes_soon = found.empty() && (!candidates_without_permit(demand, now).empty() ||
                                            time_until_backoff_ends(demand, now).has_value());
  return found.empty() && !takes_soon ? usable(demand, now, true) : found;
}

replica_presence replica_table::presence_of(const std::string& service,
                                            const model::residency& allowed) const {
  auto presence = replica_presence::none;
  for (const auto* state : index_.of_service(service)) {
    if (permits(allowed, *state)) {
      presence = std::max(presence, accepts_work(*state) ? replica_presence::accepts_work
                                                         : replica_presence::accepts_none);
    }
  }
  return presence;
}

std::optional<base::zone_id>
replica_table::any_accepting_zone(const std::string& service,
                                  const model::residency& allowed) const {
  for (const auto* state : index_.of_service(service)) {
    if (permits(allowed, *state) && accepts_work(*state)) {
      return state->record->zone;
    }
  }
  return std::nullopt;
}

double replica_table::load_of(const replica_state& state, base::time_point now) {
  return load_reported_within(state, told_load_lifetime, now);
}

double replica_table::failure_load(const replica_state& state, base::time_point now) {
  return failing_load * failure_share_of(state, now);
}

double replica_table::load_reported_within(const replica_state& state, base::duration span,
                                           base::time_point now) {
  double calls = state.in_flight;
  if (state.reported_load && now - state.load_reported_at < span) {
    const double told = state.reported_load->running + state.reported_load->waiting;
    const double own_since =
        static_cast<double>(state.in_flight) - static_cast<double>(state.in_flight_at_load_report);
    calls = std::max(calls, told + own_since);
  }
  const double reported_backoffs =
      state.reported_backoff_until > now ? state.reported_backoff_load : 0;
  return calls / std::max(1U, state.record->slots) + reported_backoffs;
}

std::vector<const replica_state*> replica_table::accepting_calls(const std::string& service,
                                                                 base::time_point now) const {
  std::vector<const replica_state*> found;
  for (const auto* state : index_.of_service(service)) {
    if (accepts_calls(*state, now)) {
      found.push_back(state);
    }
  }
  std::stable_partition(found.begin(), found.end(), [&](const replica_state* state) {
    return state->record->zone == own_zone_;
  });
  return found;
}

void replica_table::call_started(const base::replica_id& id, base::time_point now) {
  auto* state = mutable_find(id);
  if (state == nullptr) {
    return;
  }
  state->is_on_trial = is_due_for_trial(*state, now);
  state->last_call_at = now;
  ++state->in_flight;
  if (state->next_pause > base::duration::zero()) {
    state->probe_until = now + probe_time;
  }
  if (const auto* service = cold_service_of(*state, now)) {
    state->cold_tokens.take_token(cold_call_quota_of(*service), now);
  }
  if (limits_ != nullptr) {
    limits_->note_sent(id, now);
  }
}

void replica_table::call_ended(const base::replica_id& id) {
  auto* state = mutable_find(id);
  if (state != nullptr && state->in_flight > 0) {
    --state->in_flight;
    state->backoff.note_call_ended(state->in_flight);
  }
}

void replica_table::note_load(const base::replica_id& id, const replica_load& load,
                              base::time_point now) {
  if (auto* state = mutable_find(id)) {
    state->reported_load = load;
    state->load_reported_at = now;
    state->in_flight_at_load_report = state->in_flight;
  }
}

void replica_table::note_activity(const base::replica_id& id, base::time_point now) {
  if (auto* state = mutable_find(id)) {
    if (state->peer_reported_down_at > state->last_activity_at) {
      // Others take it for lost: a report corrects them.
      changed_.insert(id);
    }
    state->last_activity_at = now;
    state->next_pause = {};
    state->probe_until = {};
  }
}

void replica_table::note_unresponsive(const base::replica_id& id, base::time_point now) {
  auto* state = mutable_find(id);
  if (state == nullptr) {
    return;
  }
  if (state->unresponsive_at <= state->last_activity_at ||
      now - state->unresponsive_at >= silence_renewal) {
    state->unresponsive_at = now;
    changed_.insert(id);
  }
}

bool replica_table::was_active_after(const base::replica_id& id, base::time_point when) const {
  const auto* state = find(id);
  return state != nullptr &&
         std::max(state->last_activity_at, state->peer_reported_activity_at) > when;
}

void replica_table::note_success(const base::replica_id& id, base::time_point now) {
  auto* state = mutable_find(id);
  if (state == nullptr) {
    return;
  }
  note_activity(id, now);
  state->calls.note(true, now);
  const bool is_end_of_trial = std::exchange(state->is_on_trial, false);
  state->failure_share *= 1 - (is_end_of_trial ? trial_smoothing : failure_smoothing);
}

void replica_table::note_call_time(const base::replica_id& id, base::duration took,
                                   base::duration usual, base::time_point now) {
  auto* state = mutable_find(id);
  if (state == nullptr || usual <= base::duration::zero()) {
    return;
  }
  const double ratio = base::to_seconds(took) / base::to_seconds(usual);
  const double known = slowdown_of(*state, now);
  state->slowdown = known + newest_pace_share * (std::max(1.0, ratio) - known);
  state->slowdown_seen_at = now;
}

double replica_table::slowdown_of(const replica_state& state, base::time_point now) {
  const double halvings =
      base::to_seconds(now - state.slowdown_seen_at) / base::to_seconds(slowness_half_life);
  return 1 + (state.slowdown - 1) * std::exp2(-halvings);
}

void replica_table::note_failure(const base::replica_id& id, base::time_point now) {
  if (auto* state = mutable_find(id)) {
    state->calls.note(false, now);
    state->last_failure_at = now;
    changed_.insert(id);
    state->failure_share += failure_smoothing * (1 - state->failure_share);
  }
}

void replica_table::note_stalled(const base::replica_id& id, base::time_point now) {
  note_failure(id, now);
  note_unreachable(id, now);
}

void replica_table::note_unreachable(const base::replica_id& id, base::time_point now) {
  auto* state = mutable_find(id);
  if (state == nullptr) {
    return;
  }
  state->unreachable_at = now;
  changed_.insert(id);
  state->next_pause = state->next_pause == base::duration{}
                          ? settings_.unreachable_pause
                          : std::min(state->next_pause * 2, settings_.unreachable_pause_longest);
  state->paused_until = now + state->next_pause;
}

void replica_table::note_full(const base::replica_id& id, base::time_point now) {
  if (auto* state = mutable_find(id)) {
    state->paused_until = std::max(state->paused_until, now + settings_.full_pause);
    state->backoff.note_rejected();
  }
}

void replica_table::note_occupied(const base::replica_id& id, base::duration usual,
                                  base::time_point now) {
  if (auto* state = mutable_find(id)) {
    const auto rest =
        base::from_seconds(base::to_seconds(usual) * (least_occupied_calls + random_->unit()));
    state->paused_until = std::max<base::time_point>(state->paused_until, now + rest);
    state->backoff.note_rejected();
  }
}

void replica_table::note_replaced(const base::replica_id& id) {
  if (auto* state = mutable_find(id)) {
    state->is_replaced = true;
  }
}

} // namespace spurrack::serving
