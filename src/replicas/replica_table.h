/// Replicas as this node sees them: their published records, and what the calls of this node and
/// the reports of other nodes have shown of them.
///
/// Terms: a replica is published while its record is in the list of replicas that this node last
/// received from the store. A replica is paused while it gets no calls after a failed connection, a
/// call without progress or a rejected call. It is ejected if it is paused because at least two
/// nodes found it down, that is, unresponsive or unreachable. The first call after an ejection or
/// after a pause for a failed connection or a call without progress is a probe: the replica gets no
/// further call until it sends something or the probe times out. A trial is a call to a replica
/// that has had no calls for some time because of its failures; the trial shows whether the replica
/// has recovered.
///
/// The table holds one `replica_state` per replica of a configured service, found by id;
/// `replica_index` finds the states by service and by address. Applying one published, changed or
/// removed record takes a time that hardly depends on the size of the fleet; a new configuration
/// visits every replica. A choice visits each replica of the service, without copying ids or
/// looking them up.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "model/serving_records.h"
#include "rate_limits/limit_exchange.h"
#include "replicas/cold_limit.h"
#include "replicas/replica_evidence.h"
#include "replicas/replica_incarnations.h"
#include "replicas/replica_index.h"
#include "replicas/replica_state.h"
#include "replicas/version_history.h"
#include "self_reports/self_report_exchange.h"
#include "serving/events.h"
#include "serving/settings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::serving {

struct replica_requirements;

/// Backoff that a replica requested from this node, or an extension of a backoff in effect.
struct backoff_change {
  base::replica_id replica;
  /// Time from the answer that requested the backoff until the backoff ends.
  base::duration span{};
};

/// Whether the replicas of a service can serve a request within its permitted regions.
enum class replica_presence : std::uint8_t {
  /// No replica of the service is published in the permitted regions.
  none,
  /// No published replica accepts work: each drains, is in an evacuated zone, or another process
  /// answers at its address.
  accepts_none,
  /// At least one replica accepts work; it may still be paused, cold or limited now.
  accepts_work,
};

/// Numbers of published replicas of a software version.
struct version_availability {
  std::size_t serving = 0;
  /// Replicas whose slots are all taken, or that are paused.
  std::size_t full = 0;
  std::size_t leaving = 0;
};

using published_replicas = std::map<base::replica_id, std::shared_ptr<const model::replica>>;

/// Decides which replicas may be sent a request. Not thread-safe.
class replica_table {
 public:
  /// @param self id of this node.
  /// @param random must outlive the table.
  replica_table(const base::node_id& self, base::zone_id own_zone, const serving_settings& settings,
                base::random_source& random);

  /// Replaces the published replicas. Keeps what is known of replicas whose incarnation is
  /// unchanged, and ignores replicas of services that are not configured.
  void update(const published_replicas& published, base::time_point now);
  /// Applies only the replicas in `changed`. Precondition: all other replicas are published as in
  /// the last update, and the configuration has not changed since.
  void update(const published_replicas& published, const std::vector<base::replica_id>& changed,
              base::time_point now);
  /// @return the published replicas that are ignored because their service is not configured, with
  ///         the name of that service.
  [[nodiscard]] const std::map<base::replica_id, std::string>&
  replicas_of_unknown_services() const {
    return replicas_of_unknown_services_;
  }
  /// @return restarts of replicas that calls of `update` have detected since the last call of this
  ///         function.
  [[nodiscard]] std::vector<replica_restart> take_restarts() {
    return std::exchange(restarts_, {});
  }
  /// @return replicas that calls of `update` have removed since the last call of this function.
  [[nodiscard]] std::vector<removed_replica> take_removed() { return std::exchange(removed_, {}); }
  /// @return whether a call that began at `began_at` was sent to an earlier incarnation of the
  ///         replica.
  [[nodiscard]] bool was_sent_to_earlier_incarnation(const base::replica_id& id,
                                                     base::time_point began_at) const;
  void set_configuration(std::shared_ptr<const model::serving_configuration> configuration);
  /// Enforces the request limits that replicas announce; without this call no replica is limited.
  /// @param limits must outlive the table.
  void set_limits(rate_limits::limit_exchange& limits) { limits_ = &limits; }
  /// Shares the self-reports of replicas with all nodes; without this call they are not shared.
  /// @param self_reports must outlive the table.
  void set_self_reports(self_reports::self_report_exchange& self_reports) {
    self_reports_ = &self_reports;
  }
  /// Replaces the nodes that are alive, grouped by zone. They include this node.
  void set_nodes(std::map<base::zone_id, std::vector<base::node_id>> by_zone) {
    cold_callers_.set_nodes(std::move(by_zone));
  }
  /// Replaces the evacuated zones, whose replicas are sent no calls. Replicas of a zone whose
  /// evacuation ended count as cold for `serving_settings::cold_time_after_evacuation`: they may
  /// have turned cold shortly before the evacuation ended, which this node would learn only later.
  void set_evacuated(const std::set<base::zone_id>& zones, base::time_point now);
  [[nodiscard]] bool is_evacuated(const base::zone_id& zone) const {
    return evacuated_zones_.contains(zone);
  }

  /// Replaces the zones that this node cannot reach: their replicas are chosen only if no other
  /// replica is a candidate.
  void set_unreachable(std::set<base::zone_id> zones) { unreachable_zones_ = std::move(zones); }
  [[nodiscard]] bool is_reachable(const base::zone_id& zone) const {
    return !unreachable_zones_.contains(zone);
  }

  /// @return usually the replicas that may be sent the request now. If one of them announced a
  ///         limit that is stale: only that replica. If there are none, but a replica is expected
  ///         to accept the request soon (when its backoff ends or a permit arrives): no replica. If
  ///         there are none and no replica is expected to accept the request soon: the replicas
  ///         that could be sent the request if pauses, probes and unreachable zones were ignored.
  [[nodiscard]] std::vector<const replica_state*> candidates_for(const replica_requirements& demand,
                                                                 base::time_point now) const;
  /// @return the calls of all nodes at a replica, as far as this node knows, divided by the
  ///         replica's slots, plus a load for backoffs that the replica requested from other nodes.
  [[nodiscard]] static double load_of(const replica_state& state, base::time_point now);
  /// @return the load by which a replica counts as busier because calls to it fail, as a multiple
  ///         of its slots.
  [[nodiscard]] static double failure_load(const replica_state& state, base::time_point now);
  /// @return the same as `load_of`, except that the replica's latest load report is used if it is
  ///         younger than `span`.
  [[nodiscard]] static double load_reported_within(const replica_state& state, base::duration span,
                                                   base::time_point now);
  /// @return whether a request with the permitted regions `allowed` may be sent to a replica.
  [[nodiscard]] bool permits(const model::residency& allowed, const replica_state& state) const {
    return !allowed.is_restricted() ||
           allowed.permits(settings_.regions.region_of(state.record->zone));
  }
  /// @param version software version that the replicas must have; null if any will do.
  [[nodiscard]] replica_presence presence_of(const std::string& service,
                                             const model::residency& allowed,
                                             const base::software_version* version = nullptr) const;
  /// @return how the replicas of a software version in the permitted regions can serve now.
  [[nodiscard]] version_availability version_availability_of(const std::string& service,
                                                             const base::software_version& version,
                                                             const model::residency& allowed,
                                                             base::time_point now) const;
  /// @return software versions of the replicas of each service.
  [[nodiscard]] const version_history& versions() const { return versions_; }
  /// @return the zone of a replica of the service that accepts work and is in the permitted
  ///         regions; std::nullopt if there is none.
  [[nodiscard]] std::optional<base::zone_id>
  any_accepting_zone(const std::string& service, const model::residency& allowed) const;
  /// @return the replicas of a service that accept calls, those in this node's zone first. Does not
  ///         check their backoffs and limits: `may_send_to` does.
  [[nodiscard]] std::vector<const replica_state*> accepting_calls(const std::string& service,
                                                                  base::time_point now) const;

  /// @return whether a replica accepts calls, has no backoff in effect and does not announce a
  ///         limit of zero. A call to a limited replica may still have to wait for a permit.
  [[nodiscard]] bool is_available(const replica_state& state, base::time_point now) const;
  /// @return whether a replica's self-reports permit a call now: it has announced no drain, and its
  ///         backoff and its limit permit a call. Each send must check this and be recorded with
  ///         `call_started`.
  [[nodiscard]] bool may_send_to(const replica_state& state, base::time_point now) const;
  /// @return whether the limit that a replica announces permits one more request now.
  [[nodiscard]] bool has_permit(const replica_state& state, base::time_point now) const {
    return limits_ == nullptr || limits_->may_send(state.record->id, now);
  }
  /// @return the requests per second that a replica accepts from all nodes together; std::nullopt
  ///         if it announces no limit.
  [[nodiscard]] std::optional<double> limit_of(const replica_state& state) const;
  /// @return the fraction of its time in which a replica is busy if it runs calls of `call_time`
  ///         one after another, as many as its limit permits; 1 if it announces no limit.
  [[nodiscard]] double limited_capacity_fraction(const replica_state& state,
                                                 base::duration call_time) const;
  /// @return replicas with an announced limit that accept calls and could serve the request, but
  ///         for which this node holds no permit now.
  [[nodiscard]] std::vector<const replica_state*>
  candidates_without_permit(const replica_requirements& demand, base::time_point now) const;
  /// @return whether two conditions hold. First, a backoff that the replica requested, or the slow
  ///         start after it, forbids a call now. Second, the replica accepts calls at the end of
  ///         the backoff, or now if the backoff has ended. Does not check the replica's limit.
  [[nodiscard]] bool is_blocked_only_by_backoff(const replica_state& state,
                                                base::time_point now) const;
  /// @return whether any replica may now be in a backoff that it requested, or in the slow start
  ///         after such a backoff.
  [[nodiscard]] bool has_backoffs(base::time_point now) const {
    return now < latest_backoff_end_ + slow_start_duration;
  }
  /// @return the shortest time until a backoff ends. Considers only replicas that could serve a
  ///         request and are blocked only by their backoff or by the slow start after it. Zero if
  ///         one of them is in its slow start; std::nullopt if there is no such replica.
  [[nodiscard]] std::optional<base::duration>
  time_until_backoff_ends(const replica_requirements& demand, base::time_point now) const;
  /// Records that `count` calls wait for a permit of a limited replica and cannot be sent to any
  /// other replica now. Has no effect if the replica announces no limit.
  void note_calls_waiting_for_permit(const base::replica_id& id, std::uint32_t count,
                                     base::time_point now);
  /// @return null if the table does not hold the replica.
  [[nodiscard]] const replica_state* find(const base::replica_id& id) const;
  /// @return null if no replica of the table has the address.
  [[nodiscard]] const replica_state* find_at(const base::network_address& address) const;

  /// Records that this node makes a call to a replica. Takes the permit that the call needs. If the
  /// replica is cold, also takes a token from the bucket of the replica.
  void call_started(const base::replica_id& id, base::time_point now);
  /// Records the self-report in the head of an answer. Ignores a self-report of an earlier
  /// incarnation.
  void note_self_report(const self_report_received& received, base::time_point now);
  /// @return whether the current process of a replica announced its drain to this node or another.
  [[nodiscard]] bool has_announced_drain(const replica_state& state) const;
  /// @return the backoffs that replicas requested from this node, or extended, since the last call
  ///         of this function.
  [[nodiscard]] std::vector<backoff_change> take_backoff_changes() {
    return std::exchange(backoff_changes_, {});
  }
  /// @return how often replicas requested a backoff from this node, or extended one, since the
  ///         construction of the table.
  [[nodiscard]] std::uint64_t backoffs() const { return backoffs_; }
  /// Records the report of a replica that it stays cold for `cold_for` from `now`.
  void note_cold(const base::replica_id& id, base::duration cold_for, base::time_point now);
  void call_ended(const base::replica_id& id);
  void note_load(const base::replica_id& id, const replica_load& load, base::time_point now);
  void note_success(const base::replica_id& id, base::time_point now);
  /// Records that the replica sent something, whether a success or a failure.
  void note_activity(const base::replica_id& id, base::time_point now);
  /// Records that a call makes no progress, and that the replica has sent nothing to this node on
  /// any call since that call began or last made progress.
  /// The replica is paused until it sends something, at most as long as after a failed connection.
  /// @param began_at time at which the call began.
  void note_unresponsive(const base::replica_id& id, base::time_point began_at,
                         base::time_point now);
  /// @return whether the replica sent something after `when`, either to this node or, according to
  ///         health reports, to another node.
  [[nodiscard]] bool was_active_after(const base::replica_id& id, base::time_point when) const;

  /// @return whether any other replica sent something to this node after `when`.
  [[nodiscard]] bool was_other_active_after(const base::replica_id& id,
                                            base::time_point when) const;
  /// @return up to `most` replicas of as many zones and services as possible, so that their paths
  ///         from this node have little in common. Of one zone and service, those that this node
  ///         heard from last come first.
  [[nodiscard]] std::vector<const replica_state*>
  replicas_on_different_paths(const std::vector<base::replica_id>& excluded,
                              std::size_t most) const;

  /// Records the health report of another node on a replica. If the replica is then declared down
  /// and not paused yet, ejects it, unless too many replicas of its service are already ejected.
  void record_report(const base::replica_id& id, const base::node_id& reporter,
                     const replica_health_report& report, base::time_point now);
  /// Discards the reports of a node that doubts its own paths to replicas, and ends the ejections
  /// that depended on them.
  void discard_reports_of(const base::node_id& reporter, base::time_point now);
  /// Records a report of a node that doubts its own paths: it is no evidence, but this node
  /// contradicts it if it hears from the replica.
  void note_doubtful_report(const base::replica_id& id, replica_health health,
                            base::time_point seen_at);
  /// @return whether any replica sent something to this node after `when`.
  [[nodiscard]] bool was_any_active_after(base::time_point when) const;
  /// @return whether at least two nodes (this node may be one of them) found a replica unresponsive
  ///         or unreachable and this node knows of no activity of the replica since.
  [[nodiscard]] bool is_declared_down(const base::replica_id& id, base::time_point now) const;
  /// @return whether the latest news of a replica, by this node or another, is that it sends
  /// nothing
  ///         or cannot be reached, and the news is recent.
  [[nodiscard]] static bool seems_silent(const replica_state& state, base::time_point now);
  /// @return whether a call of this node that is in flight at a replica found it silent, and nobody
  ///         has heard of it since. The call shows when the replica goes on, so no trial is needed
  ///         within the time for which a report of silence counts.
  [[nodiscard]] static bool is_silent_here(const replica_state& state, base::time_point now);
  /// @return the expected share of calls to a replica that fail, 0 to 1: zero once the replica is
  ///         due for a trial call, otherwise the higher of two values. The first value is the share
  ///         of this node's latest calls to the replica that failed. The second value compares the
  ///         replica with the other replicas of its service: it is the share of failed calls to the
  ///         replica over all nodes that reported calls, less the mean of that share at the other
  ///         replicas. The second value decays with time, and is 0 if the difference is too small
  ///         to show a fault of the replica.
  [[nodiscard]] static double failure_share_of(const replica_state& state, base::time_point now);
  /// @return the health of a replica as this node's calls show it. std::nullopt if this node has
  ///         nothing to report: none of its calls to the replica failed, and within the last
  ///         `down_report_lifetime` it neither received anything from the replica nor found it
  ///         down.
  [[nodiscard]] static std::optional<replica_health_report>
  own_health_report(const replica_state& state, base::time_point now);
  /// @return replicas whose health, as this node's calls show it, has changed since the last call
  ///         of this function.
  [[nodiscard]] std::set<base::replica_id> take_replicas_with_changed_health() {
    return std::exchange(changed_health_, {});
  }
  [[nodiscard]] bool has_changed_health() const { return !changed_health_.empty(); }
  /// @return the number of ejections of replicas because of reports of other nodes.
  [[nodiscard]] std::uint64_t ejections() const { return ejections_; }
  /// Records the time that a call took.
  /// @param expected call time according to the published capacity.
  void note_call_time(const base::replica_id& id, base::duration call_time, base::duration expected,
                      base::time_point now);
  /// @return the expected call time as a multiple of the published call time, at least 1. Decays to
  ///         1 while the replica gets no calls, so that the replica is tried again.
  [[nodiscard]] static double slowdown_of(const replica_state& state, base::time_point now);
  void note_failure(const base::replica_id& id, base::time_point now);
  /// Records that a call was abandoned because it made no progress. The replica's machine may be
  /// down or cut off from the network, which open connections do not show. Pauses the replica as
  /// after a failed connection, so that the next request with the same prompt prefix does not stall
  /// there too.
  /// @param began_at time at which the call began.
  void note_stalled(const base::replica_id& id, base::time_point began_at, base::time_point now);
  /// Records that no connection to the replica could be made, and pauses it. The pause doubles with
  /// each failed connection, up to `serving_settings::max_unreachable_backoff`.
  /// @param began_at time at which the connection or the call began. If the pause in effect began
  ///        later, the failure shows the fault that the replica is paused for already.
  void note_unreachable(const base::replica_id& id, base::time_point now) {
    note_unreachable(id, now, now);
  }
  void note_unreachable(const base::replica_id& id, base::time_point began_at,
                        base::time_point now);
  /// Records that the replica rejected a call or failed a call with pieces, and pauses it for
  /// `serving_settings::full_backoff`.
  void note_full(const base::replica_id& id, base::time_point now);
  /// Records that a replica that works on pieces rejected a call although this node has no other
  /// call in flight at the replica, which shows that another node calls it too. Pauses the replica
  /// for a random time after which the call of the other node may have ended, so that several
  /// callers do not collide again.
  /// @param usual usual duration of a call.
  void note_occupied(const base::replica_id& id, base::duration usual, base::time_point now);
  /// Records that another process answers at the replica's address. The replica is sent no more
  /// work in its current incarnation.
  void note_replaced(const base::replica_id& id);

  using state_map = std::unordered_map<base::replica_id, replica_state>;
  [[nodiscard]] const state_map& all() const { return replicas_; }
  /// @return the replicas of a service, ordered by id.
  [[nodiscard]] const replica_index::state_list& of_service(const std::string& service) const {
    return index_.of_service(service);
  }
  /// @return the number of published records that updates have compared with the table since its
  ///         construction.
  [[nodiscard]] std::uint64_t records_compared() const { return records_compared_; }

 private:
  /// Updates the process fingerprint from the record. Drops the requested backoff if the process
  /// changed, because the earlier process requested it.
  static void update_process(replica_state& state);
  void forget_self_reports(const base::replica_id& id);
  void note_backoff(replica_state& state, const self_report_received& received,
                    base::time_point now);
  /// @return whether a replica is neither excluded from a request nor outside the permitted regions
  ///         of the request, and has the software version that the request is bound to.
  [[nodiscard]] bool could_serve(const replica_requirements& demand,
                                 const replica_state& state) const;
  /// @param ignore_pauses whether to include replicas that are paused, that were sent a probe, or
  ///        that are in an unreachable zone.
  /// @return the replicas that could serve a request and may be sent it now.
  [[nodiscard]] std::vector<const replica_state*>
  usable_replicas(const replica_requirements& demand, base::time_point now,
                  bool ignore_pauses) const;
  /// Removes candidates that announce a limit, if the request should not depend on that limit. For
  /// a planned request these are all such candidates; for a request that needs stored results they
  /// are those outside the zone that stores the results. Removes none if all candidates announce a
  /// limit.
  void exclude_limited(std::vector<const replica_state*>& candidates,
                       const replica_requirements& demand) const;
  /// Removes the candidates of software versions that are nearly full, unless the request is bound
  /// to a version or all versions are nearly full: resumed streams can run nowhere else.
  void leave_room_for_bound_streams(std::vector<const replica_state*>& candidates,
                                    const replica_requirements& demand, base::time_point now) const;
  /// @return a candidate whose limit no recent answer has confirmed; null if there is none.
  [[nodiscard]] const replica_state*
  find_candidate_with_stale_limit(const std::vector<const replica_state*>& candidates,
                                  const replica_requirements& demand, base::time_point now) const;
  /// @return whether a replica accepts work, is neither paused nor in an unreachable zone, and, if
  ///         it is cold, may get a request of this node now. Does not check its backoff and limit.
  [[nodiscard]] bool accepts_calls(const replica_state& state, base::time_point now) const;
  /// @return the higher of two shares: the share of this node's calls that failed, and the excess
  ///         share computed from reports of other nodes. The excess share decays with time.
  [[nodiscard]] static double known_failure_share(const replica_state& state, base::time_point now);
  /// @return whether a replica is to get a trial call in spite of its failures. Three conditions
  ///         must have held for a time that is proportional to the replica's failure share: this
  ///         node has sent the replica no calls, has seen no call to it fail and has received no
  ///         health reports on it. Also no call of this node may be in flight at the replica.
  [[nodiscard]] static bool is_due_for_trial(const replica_state& state, base::time_point now);
  /// @return whether a replica may get calls at all: it does not drain, no other process answers at
  ///         its address, and its zone is not evacuated.
  [[nodiscard]] bool accepts_work(const replica_state& state) const;
  /// @return the service of a replica if the replica is cold and the service bounds the requests to
  ///         cold replicas; null otherwise.
  [[nodiscard]] const model::service* service_if_cold(const replica_state& state,
                                                      base::time_point now) const;
  /// @return the quota of each caller of a cold replica of the service.
  [[nodiscard]] cold_call_quota cold_call_quota_of(const model::service& service) const;
  /// @return whether a replica is warm, or is cold and this node is one of its callers and has a
  ///         token for a request.
  [[nodiscard]] bool cold_limit_permits(const replica_state& state, base::time_point now) const;
  static void mark_cold(replica_state& state, base::duration cold_for, base::time_point now);
  /// @return whether a replica's service is configured, or the table already holds the replica with
  ///         the same service: requests in progress may still need the replica. Always true before
  ///         the first configuration.
  [[nodiscard]] bool has_known_service(const model::replica& record) const;
  /// Applies a record that is published for the first time or has changed.
  void apply_record(const std::shared_ptr<const model::replica>& record, base::time_point now);
  /// Removes a replica that is no longer published or whose service is not configured.
  void remove(const base::replica_id& id, base::time_point now);
  /// Resets everything observed of the earlier incarnation except its calls in flight.
  void begin_incarnation(const base::replica_id& id, replica_state& state, base::time_point now);
  replica_state* mutable_find(const base::replica_id& id);
  /// Pauses a replica because a connection failed or a call that began at `began_at` makes no
  /// progress, unless a pause that began later shows the same fault.
  void pause_silent(replica_state& state, base::time_point began_at, base::time_point now) const;
  /// Records that a replica rejected a call for want of room.
  void note_rejected(const base::replica_id& id, base::time_point now);
  /// @return a failure share computed from reports, after its decay until now.
  static double decayed_share(double reported, const replica_state& state, base::time_point now);
  /// Recomputes the load that is added for the backoffs that a replica requested from other nodes.
  void update_reported_backoffs(replica_state& state, base::time_point now) const;
  /// Recomputes from health reports how much more often calls to a replica fail than calls to the
  /// other replicas of its service.
  void update_reported_failures(replica_state& state, base::time_point now);
  /// @return whether one more replica of the service may be ejected.
  [[nodiscard]] bool can_eject(const std::string& service, base::time_point now) const;

  base::zone_id own_zone_;
  std::set<base::zone_id> unreachable_zones_;
  std::set<base::zone_id> evacuated_zones_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  rate_limits::limit_exchange* limits_ = nullptr;
  self_reports::self_report_exchange* self_reports_ = nullptr;
  std::vector<backoff_change> backoff_changes_;
  std::uint64_t backoffs_ = 0;
  /// Time at which the last of all requested backoffs ends.
  base::time_point latest_backoff_end_;
  /// Mutable because queries fill its cache.
  mutable cold_callers cold_callers_;
  serving_settings settings_;
  base::random_source* random_;
  state_map replicas_;
  replica_index index_;
  version_history versions_;
  std::uint64_t records_compared_ = 0;
  replica_incarnations incarnations_;
  std::vector<replica_restart> restarts_;
  std::vector<removed_replica> removed_;
  std::map<base::replica_id, std::string> replicas_of_unknown_services_;
  replica_evidence evidence_;
  /// Replicas on which other nodes sent health reports, by service.
  std::unordered_map<std::string, std::set<base::replica_id>> reported_replicas_;
  std::set<base::replica_id> changed_health_;
  std::uint64_t ejections_ = 0;
};

} // namespace spurrack::serving
