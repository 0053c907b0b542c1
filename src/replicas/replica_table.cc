#include "replicas/replica_table.h"

#include "replicas/replica_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spurrack::serving {
namespace {

/// Lifetime of the load that a replica reports with an answer.
constexpr base::duration load_report_lifetime = std::chrono::milliseconds(500);
/// Weight of the newest call in the failure share; about the last seven calls count.
constexpr double newest_failure_weight = 0.15;
/// Part of the failure share that a successful trial call removes: larger than the weight of other
/// calls, because few calls are trials.
constexpr double trial_weight = 0.5;
/// Load that is added to a replica that fails all calls, as a multiple of its slots.
constexpr double all_calls_failing_load = 3.0;
/// Fraction of the slots of a software version up to which requests that are not bound to the
/// version are sent there, while another version has room.
constexpr double max_unbound_load = 0.8;
/// Weight of the newest call in the slowdown: two calls suffice to learn the current slowdown.
constexpr double newest_call_weight = 0.6;
/// Half-life of the slowdown. A slow replica is tried again after a few half-lives, because faults
/// last some seconds.
constexpr base::duration slowdown_half_life = std::chrono::seconds(2);
/// Minimum pause of a replica that rejected a call because it was occupied by the call of another
/// node, as a multiple of the usual call time; a random part of one call time is added. The replica
/// runs one call at a time and queues some calls, so that it stays busy for at least this time;
/// retries of many nodes at a fixed short interval would mostly be rejected again.
constexpr double min_occupied_pause_in_call_times = 0.5;
/// Time for which a probe holds back further requests if the replica sends nothing.
constexpr base::duration probe_timeout = std::chrono::milliseconds(1000);
/// Minimum interval between this node's health reports on a replica that stays unresponsive: a
/// third of the lifetime of such a report.
constexpr base::duration unresponsive_report_interval = std::chrono::milliseconds(1000);
/// Maximum time from a restart until it is published: the store that holds the list of replicas may
/// be unavailable for this time. If this node found a replica down within this time before it
/// learned of the replica's restart, and the replica has sent something after it was found down,
/// the replica is assumed to have restarted when it was found down.
constexpr base::duration max_restart_publication_delay = std::chrono::seconds(30);
/// Length of the pause of a replica whose deleted record has reappeared because the store was
/// restored from an older copy. A record that no replica renews expires after three heartbeat
/// intervals of about 1.2 s each.
constexpr base::duration reappeared_record_pause = std::chrono::milliseconds(4'000);

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
  std::vector<base::replica_id> unpublished;
  for (const auto& [id, state] : replicas_) {
    if (!published.contains(id)) {
      unpublished.push_back(id);
    }
  }
  for (const auto& id : unpublished) {
    remove(id, now);
  }
  replicas_of_unknown_services_.clear();
  for (const auto& [id, record] : published) {
    apply_record(record, now);
  }
  incarnations_.forget_unpublished(now);
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
  incarnations_.forget_unpublished(now);
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
    versions_.note_removed(state.record->service, state.record->version, now);
  }
  versions_.note_published(record->service, record->version);
  if (auto restart = incarnations_.note_published(*record)) {
    begin_incarnation(id, state, now);
    restarts_.push_back(std::move(*restart));
  }
  mark_cold(state, record->cold_for, now);
  if (record->may_be_deleted) {
    state.paused_until = std::max(state.paused_until, now + reappeared_record_pause);
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
  const auto& record = *found->second.record;
  versions_.note_removed(record.service, record.version, now);
  removed_.push_back({id, exit_id_of(record), record.draining});
  replicas_.erase(found);
  evidence_.forget(id);
  incarnations_.note_unpublished(id, now);
  forget_self_reports(id);
  for (auto& [service, replicas] : reported_replicas_) {
    replicas.erase(id);
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
  const auto down_at = std::max(state.unreachable_at, state.unresponsive_at);
  const bool restarted_when_found_down = down_at != base::time_point{} &&
                                         state.last_activity_at > down_at &&
                                         now - down_at < max_restart_publication_delay;
  replica_state fresh;
  fresh.in_flight = state.in_flight;
  fresh.restart_seen_at = now;
  fresh.earlier_incarnation_calls_until = restarted_when_found_down ? down_at : now;
  state = std::move(fresh);
  evidence_.forget(id);
  forget_self_reports(id);
  changed_health_.erase(id);
  for (auto& [service, replicas] : reported_replicas_) {
    replicas.erase(id);
  }
}

bool replica_table::was_sent_to_earlier_incarnation(const base::replica_id& id,
                                                    base::time_point began_at) const {
  const auto* state = find(id);
  return state != nullptr && state->restart_seen_at &&
         began_at <= state->earlier_incarnation_calls_until;
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
  if (zones == evacuated_zones_) {
    return;
  }
  for (auto& [id, state] : replicas_) {
    const auto& zone = state.record->zone;
    if (evacuated_zones_.contains(zone) && !zones.contains(zone)) {
      mark_cold(state, settings_.cold_time_after_evacuation, now);
    }
  }
  evacuated_zones_ = zones;
}

bool replica_table::accepts_work(const replica_state& state) const {
  return !state.record->draining && !state.is_replaced && !has_announced_drain(state) &&
         !evacuated_zones_.contains(state.record->zone);
}

const model::service* replica_table::service_if_cold(const replica_state& state,
                                                     base::time_point now) const {
  if (state.cold_until <= now || !configuration_) {
    return nullptr;
  }
  const auto* service = configuration_->find_service(state.record->service);
  return service != nullptr && service->cold_requests_per_second > 0 ? service : nullptr;
}

cold_call_quota replica_table::cold_call_quota_of(const model::service& service) const {
  // A replica that works on pieces is called by a single node, its batcher.
  return serving::cold_call_quota_of(settings_.cold, service.cold_requests_per_second,
                                     service.pieces.has_value());
}

bool replica_table::cold_limit_permits(const replica_state& state, base::time_point now) const {
  const auto* service = service_if_cold(state, now);
  if (service == nullptr) {
    return true;
  }
  const auto quota = cold_call_quota_of(*service);
  const auto& record = *state.record;
  const bool may_call =
      service->pieces || cold_callers_.includes_self(record.id, record.zone, quota.callers);
  return may_call && state.cold_tokens.has_token(quota, now);
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

bool replica_table::could_serve(const replica_requirements& demand,
                                const replica_state& state) const {
  return !demand.excluded_replicas.contains(state.record->id) &&
         permits(demand.permitted_regions, state) &&
         (demand.version == nullptr || *demand.version == state.record->version);
}

std::vector<const replica_state*> replica_table::usable_replicas(const replica_requirements& demand,
                                                                 base::time_point now,
                                                                 bool ignore_pauses) const {
  std::vector<const replica_state*> found;
  for (const auto* state : index_.of_service(demand.service)) {
    const bool is_usable = ignore_pauses
                               ? accepts_work(*state) && cold_limit_permits(*state, now)
                               : accepts_calls(*state, now) && state->probe_until <= now &&
                                     !is_silent_here(*state, now);
    if (is_usable && could_serve(demand, *state) && may_send_to(*state, now)) {
      found.push_back(state);
    }
  }
  return found;
}

std::vector<const replica_state*> replica_table::candidates_for(const replica_requirements& demand,
                                                                base::time_point now) const {
  auto found = usable_replicas(demand, now, false);
  exclude_limited(found, demand);
  leave_room_for_bound_streams(found, demand, now);
  if (const auto* stale_limit = find_candidate_with_stale_limit(found, demand, now)) {
    return {stale_limit};
  }
  // Waiting for a healthy replica that accepts the request soon is better than calling a replica
  // that is paused after failures.
  const bool accepts_soon = found.empty() && (!candidates_without_permit(demand, now).empty() ||
                                              time_until_backoff_ends(demand, now).has_value());
  return found.empty() && !accepts_soon ? usable_replicas(demand, now, true) : found;
}

void replica_table::leave_room_for_bound_streams(std::vector<const replica_state*>& candidates,
                                                 const replica_requirements& demand,
                                                 base::time_point now) const {
  if (demand.version != nullptr || !versions_.has_several_published(demand.service)) {
    return;
  }
  struct capacity {
    double calls = 0;
    double slots = 0;
    [[nodiscard]] bool has_room() const { return calls < max_unbound_load * slots; }
  };
  std::map<base::software_version, capacity> capacities;
  for (const auto* state : candidates) {
    auto& of_version = capacities[state->record->version];
    of_version.calls += load_of(*state, now) * state->record->slots;
    of_version.slots += state->record->slots;
  }
  const bool has_room_elsewhere =
      std::any_of(capacities.begin(), capacities.end(),
                  [](const auto& entry) { return entry.second.has_room(); });
  if (has_room_elsewhere) {
    std::erase_if(candidates, [&](const replica_state* state) {
      return !capacities.at(state->record->version).has_room();
    });
  }
}

replica_presence replica_table::presence_of(const std::string& service,
                                            const model::residency& allowed,
                                            const base::software_version* version) const {
  auto presence = replica_presence::none;
  for (const auto* state : index_.of_service(service)) {
    const bool has_version = version == nullptr || *version == state->record->version;
    if (has_version && permits(allowed, *state)) {
      presence = std::max(presence, accepts_work(*state) ? replica_presence::accepts_work
                                                         : replica_presence::accepts_none);
    }
  }
  return presence;
}

version_availability replica_table::version_availability_of(const std::string& service,
                                                            const base::software_version& version,
                                                            const model::residency& allowed,
                                                            base::time_point now) const {
  version_availability found;
  for (const auto* state : index_.of_service(service)) {
    if (state->record->version != version || !permits(allowed, *state)) {
      continue;
    }
    if (!accepts_work(*state)) {
      ++found.leaving;
    } else if (!accepts_calls(*state, now) || load_of(*state, now) >= 1) {
      ++found.full;
    } else {
      ++found.serving;
    }
  }
  return found;
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
  return load_reported_within(state, load_report_lifetime, now);
}

double replica_table::failure_load(const replica_state& state, base::time_point now) {
  return all_calls_failing_load * failure_share_of(state, now);
}

double replica_table::load_reported_within(const replica_state& state, base::duration span,
                                           base::time_point now) {
  double calls = state.in_flight;
  if (state.reported_load && now - state.load_reported_at < span) {
    const double reported_calls = state.reported_load->running + state.reported_load->waiting;
    const double own_calls_since =
        static_cast<double>(state.in_flight) - static_cast<double>(state.in_flight_at_load_report);
    calls = std::max(calls, reported_calls + own_calls_since);
  }
  const double backoff_load = state.reported_backoff_until > now ? state.reported_backoff_load : 0;
  return calls / std::max(1U, state.record->slots) + backoff_load;
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
  state->latest_call_is_trial = is_due_for_trial(*state, now);
  state->last_call_at = now;
  ++state->in_flight;
  if (state->unreachable_backoff > base::duration::zero()) {
    state->probe_until = now + probe_timeout;
  }
  if (const auto* service = service_if_cold(*state, now)) {
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
      // Other nodes reported the replica down although it is active. This node must send a health
      // report that contradicts their reports.
      changed_health_.insert(id);
    }
    state->last_activity_at = now;
    if (state->unreachable_backoff > base::duration::zero()) {
      // The replica was paused because it was silent or could not be reached.
      state->paused_until = std::min(state->paused_until, now);
      state->ejected_until = std::min(state->ejected_until, now);
    }
    state->unreachable_backoff = {};
    state->probe_until = {};
  }
}

void replica_table::note_unresponsive(const base::replica_id& id, base::time_point began_at,
                                      base::time_point now) {
  auto* state = mutable_find(id);
  if (state == nullptr) {
    return;
  }
  pause_silent(*state, began_at, now);
  if (state->unresponsive_at <= state->last_activity_at ||
      now - state->unresponsive_at >= unresponsive_report_interval) {
    state->unresponsive_at = now;
    changed_health_.insert(id);
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
  const bool is_end_of_trial = std::exchange(state->latest_call_is_trial, false);
  state->failure_share *= 1 - (is_end_of_trial ? trial_weight : newest_failure_weight);
}

void replica_table::note_call_time(const base::replica_id& id, base::duration call_time,
                                   base::duration expected, base::time_point now) {
  auto* state = mutable_find(id);
  if (state == nullptr || expected <= base::duration::zero()) {
    return;
  }
  const double ratio = base::to_seconds(call_time) / base::to_seconds(expected);
  const double known = slowdown_of(*state, now);
  state->slowdown = known + newest_call_weight * (std::max(1.0, ratio) - known);
  state->slowdown_seen_at = now;
}

double replica_table::slowdown_of(const replica_state& state, base::time_point now) {
  const double halvings =
      base::to_seconds(now - state.slowdown_seen_at) / base::to_seconds(slowdown_half_life);
  return 1 + (state.slowdown - 1) * std::exp2(-halvings);
}

void replica_table::note_failure(const base::replica_id& id, base::time_point now) {
  if (auto* state = mutable_find(id)) {
    state->calls.note(false, now);
    state->last_failure_at = now;
    changed_health_.insert(id);
    state->failure_share += newest_failure_weight * (1 - state->failure_share);
  }
}

void replica_table::note_stalled(const base::replica_id& id, base::time_point began_at,
                                 base::time_point now) {
  note_failure(id, now);
  note_unreachable(id, began_at, now);
}

void replica_table::note_unreachable(const base::replica_id& id, base::time_point began_at,
                                     base::time_point now) {
  auto* state = mutable_find(id);
  if (state == nullptr) {
    return;
  }
  state->unreachable_at = now;
  changed_health_.insert(id);
  pause_silent(*state, began_at, now);
}

void replica_table::pause_silent(replica_state& state, base::time_point began_at,
                                 base::time_point now) const {
  if (state.unreachable_backoff > base::duration::zero() && began_at < state.silent_pause_at) {
    return;
  }
  state.silent_pause_at = now;
  state.unreachable_backoff =
      state.unreachable_backoff == base::duration{}
          ? settings_.unreachable_backoff
          : std::min(state.unreachable_backoff * 2, settings_.max_unreachable_backoff);
  state.paused_until =
      std::max<base::time_point>(state.paused_until, now + state.unreachable_backoff);
}

void replica_table::note_full(const base::replica_id& id, base::time_point now) {
  if (auto* state = mutable_find(id)) {
    state->paused_until = std::max(state->paused_until, now + settings_.full_backoff);
    state->backoff.note_rejected();
    note_rejected(id, now);
  }
}

void replica_table::note_occupied(const base::replica_id& id, base::duration usual,
                                  base::time_point now) {
  if (auto* state = mutable_find(id)) {
    const auto pause = base::from_seconds(
        base::to_seconds(usual) * (min_occupied_pause_in_call_times + random_->next_fraction()));
    state->paused_until = std::max<base::time_point>(state->paused_until, now + pause);
    state->backoff.note_rejected();
    note_rejected(id, now);
  }
}

void replica_table::note_rejected(const base::replica_id& id, base::time_point now) {
  if (self_reports_ != nullptr) {
    self_reports_->note_rejected(id, now);
  }
}

void replica_table::note_replaced(const base::replica_id& id) {
  if (auto* state = mutable_find(id)) {
    state->is_replaced = true;
  }
}

} // namespace spurrack::serving
