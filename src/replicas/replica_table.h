/// Replicas as this node sees them: published, and what calls have shown since.
///
/// Kept: one `replica_state` for each replica of a configured service, found by id; `replica_index`
/// finds them by service and by address. What a change costs: a replica that is published, changes
/// or is gone, about what one replica costs whatever the fleet (`apply_record`); a new
/// configuration, a look at every replica (`update` of all). What a choice costs: a look at each
/// replica of its service, without a copy of its identifier or a search by it.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "model/serving_records.h"
#include "rate_limits/limit_exchange.h"
#include "replica_statements/statement_exchange.h"
#include "replicas/cold_limit.h"
#include "replicas/replica_evidence.h"
#include "replicas/replica_incarnations.h"
#include "replicas/replica_index.h"
#include "replicas/replica_state.h"
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

struct replica_demand;

/// A replica asked this node for a pause, or for a longer one.
struct backoff_change {
  base::replica_id replica;
  /// From now on.
  base::duration span{};
};

/// Whether a request that is held to some regions can be served there.
enum class replica_presence : std::uint8_t {
  none,         ///< No replica of the service is published there.
  accepts_none, ///< Those that are take no work now: they drain, have left or are evacuated.
  accepts_work, ///< Some replica may be given work, if not at this moment.
};

using published_replicas = std::map<base::replica_id, std::shared_ptr<const model::replica>>;

/// Not thread-safe.
class replica_table {
 public:
  /// @param random must outlive the table.
  replica_table(const base::node_id& self, base::zone_id own_zone, const serving_settings& settings,
                base::random_source& random);

  /// Takes over the published replicas; what was seen of those that stay in the same life is kept.
  /// Those of services that are not configured are passed over.
  void update(const published_replicas& published, base::time_point now);
  /// The same where only some differ from what was taken over last, and the configuration does not.
  void update(const published_replicas& published, const std::vector<base::replica_id>& changed,
              base::time_point now);
  /// @return the service that each published replica names which was passed over for it.
  [[nodiscard]] const std::map<base::replica_id, std::string>&
  replicas_of_unknown_services() const {
    return replicas_of_unknown_services_;
  }
  /// @return replicas that started again under their id, as updates have shown since the last call.
  [[nodiscard]] std::vector<replica_restart> take_restarts() {
    return std::exchange(restarts_, {});
  }
  /// @return whether a call that began then is at a life of the replica that is over.
  [[nodiscard]] bool is_at_earlier_incarnation(const base::replica_id& id,
                                               base::time_point began) const;
  void set_configuration(std::shared_ptr<const model::serving_configuration> configuration);
  /// Has replicas get no more than they name; without it none is limited.
  /// @param limits must outlive the table.
  void set_limits(rate_limits::limit_exchange& limits) { limits_ = &limits; }
  /// Has all nodes know what replicas say of themselves; without it this is not told.
  /// @param statements must outlive the table.
  void set_self_reports(replica_statements::statement_exchange& statements) {
    self_reports_ = &statements;
  }
  /// Nodes that are alive, this one among them, by zone.
  void set_nodes(std::map<base::zone_id, std::vector<base::node_id>> by_zone) {
    cold_callers_.set_nodes(std::move(by_zone));
  }
  /// Zones whose replicas are sent nothing. Those of zones that are given back may have turned cold
  /// shortly before, which is heard later: they are taken for cold for a while.
  void set_evacuated(const std::set<base::zone_id>& zones, base::time_point now);
  [[nodiscard]] bool is_evacuated(const base::zone_id& zone) const {
    return evacuated_.contains(zone);
  }

  /// Zones that cannot be reached now: their replicas are chosen only where there are no others.
  void set_unreachable(std::set<base::zone_id> zones) { unreachable_ = std::move(zones); }
  [[nodiscard]] bool is_reachable(const base::zone_id& zone) const {
    return !unreachable_.contains(zone);
  }

  /// @return replicas that may be given a request now; where all that could serve it rest after
  ///         failures, those.
  [[nodiscard]] std::vector<const replica_state*> candidates_for(const replica_demand& demand,
                                                                 base::time_point now) const;
  /// @return calls under way at a replica, as far as this node knows, in parts of its slots.
  [[nodiscard]] static double load_of(const replica_state& state, base::time_point now);
  /// @return what a replica's failures count beside its load, in parts of its slots.
  [[nodiscard]] static double failure_load(const replica_state& state, base::time_point now);
  /// The same from what it reported within a span before now.
  [[nodiscard]] static double load_reported_within(const replica_state& state, base::duration span,
                                                   base::time_point now);
  /// @return whether a request that is held to some regions may use a replica.
  [[nodiscard]] bool permits(const model::residency& allowed, const replica_state& state) const {
    return !allowed.is_restricted() ||
           allowed.permits(settings_.regions.region_of(state.record->zone));
  }
  [[nodiscard]] replica_presence presence_of(const std::string& service,
                                             const model::residency& allowed) const;
  /// @return the zone of some replica of a service that takes work where a request may run.
  [[nodiscard]] std::optional<base::zone_id>
  any_accepting_zone(const std::string& service, const model::residency& allowed) const;
  /// Replicas of a service that take calls, own zone first; `may_send_to` says which may be called
  /// now.
  [[nodiscard]] std::vector<const replica_state*> accepting_calls(const std::string& service,
                                                                  base::time_point now) const;

  /// @return whether a replica takes work and calls to it are expected to arrive. One that names a
  ///         limit may have to wait for the next.
  [[nodiscard]] bool is_available(const replica_state& state, base::time_point now) const;
  /// @return whether a replica may be sent something now, as what it says of itself goes. Each send
  ///         asks this and is told by `call_started`.
  [[nodiscard]] bool may_send_to(const replica_state& state, base::time_point now) const;
  /// @return whether the limit that a replica names leaves room for one more request now.
  [[nodiscard]] bool has_permit(const replica_state& state, base::time_point now) const {
    return limits_ == nullptr || limits_->may_send(state.record->id, now);
  }
  /// @return the requests a second that a replica takes from all nodes; nothing where it names no
  ///         limit.
  [[nodiscard]] std::optional<double> limit_of(const replica_state& state) const;
  /// @return what a replica takes of calls that last so long, in parts of what it took if it named
  ///         no limit and ran one after another.
  [[nodiscard]] double limited_capacity_fraction(const replica_state& state,
                                                 base::duration call_time) const;
  /// @return available replicas that could serve a request but for their limit.
  [[nodiscard]] std::vector<const replica_state*>
  candidates_without_permit(const replica_demand& demand, base::time_point now) const;
  /// @return whether a replica takes calls but for the pause that it asked for, or the slow start
  ///         after it.
  [[nodiscard]] bool is_blocked_only_by_backoff(const replica_state& state,
                                                base::time_point now) const;
  /// @return whether some replica asked for a pause that lasts, or calls to it begin again slowly.
  [[nodiscard]] bool has_backoffs(base::time_point now) const {
    return now < latest_backoff_end_ + slow_start_duration;
  }
  /// @return the time until some replica that could serve a request, but asked for a pause, may be
  ///         sent one; zero where calls to it begin again slowly, nothing where there is none.
  [[nodiscard]] std::optional<base::duration> time_until_backoff_ends(const replica_demand& demand,
                                                                      base::time_point now) const;
  /// Calls wait for a limited replica that no other may be sent now.
  void note_waiting(const base::replica_id& id, std::uint32_t count, base::time_point now);
  /// @return null where the replica is not known any more.
  [[nodiscard]] const replica_state* find(const base::replica_id& id) const;
  /// @return null where no known replica has the address.
  [[nodiscard]] const replica_state* find_at(const base::network_address& address) const;

  void call_started(const base::replica_id& id, base::time_point now);
  /// The head of an answer says something of its replica. What an earlier life said is passed over.
  void note_self_report(const statement_heard& heard, base::time_point now);
  /// @return whether a process of a replica said that it leaves, to this node or another.
  [[nodiscard]] bool has_announced_drain(const replica_state& state) const;
  /// @return pauses that were asked for since the last call.
  [[nodiscard]] std::vector<backoff_change> take_backoff_changes() {
    return std::exchange(backoff_changes_, {});
  }
  /// @return how often a replica asked for a pause, or for a longer one.
  [[nodiscard]] std::uint64_t backoffs() const { return backoffs_; }
  /// A replica says that it stays cold for this time.
  void note_cold(const base::replica_id& id, base::duration cold_for, base::time_point now);
  void call_ended(const base::replica_id& id);
  void note_load(const base::replica_id& id, const replica_load& load, base::time_point now);
  void note_success(const base::replica_id& id, base::time_point now);
  /// A sign of life, whatever it says.
  void note_activity(const base::replica_id& id, base::time_point now);
  /// A call shows no progress and nothing was heard of the replica since it began.
  void note_unresponsive(const base::replica_id& id, base::time_point now);
  /// @return whether this node, or another that reported it, heard anything of a replica after
  ///         `when`.
  [[nodiscard]] bool was_active_after(const base::replica_id& id, base::time_point when) const;

  /// Takes in what another node says of a replica. Where two nodes found it lost and nothing was
  /// heard of it since, it rests, unless too many of its service rest already for that reason.
  void record_report(const base::replica_id& id, const base::node_id& witness,
                     const replica_health_report& said, base::time_point now);
  /// @return whether two nodes, this one counted, found a replica silent or unreachable and none
  ///         has reported a sign of life since.
  [[nodiscard]] bool is_declared_down(const base::replica_id& id, base::time_point now) const;
  /// @return how likely calls fail, 0 to 1, from own calls, or from reports of others where that is
  ///         clearly more than at the other replicas of the service; 0 once it is due for a trial.
  [[nodiscard]] static double failure_share_of(const replica_state& state, base::time_point now);
  /// @return what this node's calls show of a replica; nothing where they show nothing of late.
  [[nodiscard]] static std::optional<replica_health_report>
  own_health_report(const replica_state& state, base::time_point now);
  /// @return replicas of which this node's calls have shown something new since the last call.
  [[nodiscard]] std::set<base::replica_id> take_changed() { return std::exchange(changed_, {}); }
  [[nodiscard]] bool has_changed() const { return !changed_.empty(); }
  /// @return how often replicas were paused on the reports of others.
  [[nodiscard]] std::uint64_t ejections() const { return ejections_; }
  /// A call took `took` where the published capacity lets expect `usual`.
  void note_call_time(const base::replica_id& id, base::duration took, base::duration usual,
                      base::time_point now);
  /// @return how many times as long as published a call is expected to take, at least 1; comes back
  ///         to 1 while the replica is given nothing, so that it is tried again.
  [[nodiscard]] static double slowdown_of(const replica_state& state, base::time_point now);
  void note_failure(const base::replica_id& id, base::time_point now);
  /// A call to it made no progress: it may be dark, which its connections do not show. It rests
  /// like one that could not be reached, so that the next prompt of the same kind is not lost on it
  /// too.
  void note_stalled(const base::replica_id& id, base::time_point now);
  void note_unreachable(const base::replica_id& id, base::time_point now);
  void note_full(const base::replica_id& id, base::time_point now);
  /// A replica that works on pieces refused a call although this node knows of no call at it:
  /// another node calls it too. It is tried again when a call of `usual` length may have ended, at
  /// a random moment, so that several callers do not meet again.
  void note_occupied(const base::replica_id& id, base::duration usual, base::time_point now);
  void note_replaced(const base::replica_id& id);

  using state_map = std::unordered_map<base::replica_id, replica_state>;
  [[nodiscard]] const state_map& all() const { return replicas_; }
  /// @return the replicas of a service, by id.
  [[nodiscard]] const replica_index::state_list& of_service(const std::string& service) const {
    return index_.of_service(service);
  }
  /// @return published records that updates have compared with what was known, since the start.
  [[nodiscard]] std::uint64_t records_compared() const { return records_compared_; }

 private:
  /// A replica is published in another process than before: what the one before asked for is over.
  static void update_process(replica_state& state);
  void forget_self_reports(const base::replica_id& id);
  void note_backoff(replica_state& state, const statement_heard& heard, base::time_point now);
  /// @return whether a request has not tried a replica yet and is permitted there.
  [[nodiscard]] bool could_serve(const replica_demand& demand, const replica_state& state) const;
  [[nodiscard]] std::vector<const replica_state*>
  usable(const replica_demand& demand, base::time_point now, bool ignore_pauses) const;
  /// Leaves out limited replicas that a request had better not count on: in other zones than its
  /// results, and all where it is sent later, unless all candidates are limited.
  void exclude_limited(std::vector<const replica_state*>& candidates,
                       const replica_demand& demand) const;
  /// @return a candidate whose limit nobody has heard of for a while; null where there is none.
  [[nodiscard]] const replica_state*
  find_stale_limit(const std::vector<const replica_state*>& candidates,
                   const replica_demand& demand, base::time_point now) const;
  /// @return whether a replica takes calls that are expected to arrive, whatever its limit.
  [[nodiscard]] bool accepts_calls(const replica_state& state, base::time_point now) const;
  /// @return the share of calls that failed, from own calls and from reports of others.
  [[nodiscard]] static double known_failure_share(const replica_state& state, base::time_point now);
  /// @return whether a replica is tried again whatever calls to it have shown.
  [[nodiscard]] static bool is_due_for_trial(const replica_state& state, base::time_point now);
  /// @return whether a replica may be given anything at all.
  [[nodiscard]] bool accepts_work(const replica_state& state) const;
  /// @return the service that bounds what a replica gets while it is cold; null where the replica
  ///         is warm or its service has no such bound.
  [[nodiscard]] const model::service* cold_service_of(const replica_state& state,
                                                      base::time_point now) const;
  /// @return the share of each caller of a cold replica of the service.
  [[nodiscard]] cold_call_quota cold_call_quota_of(const model::service& service) const;
  /// @return whether a replica is warm, or cold and this node may send it a request now.
  [[nodiscard]] bool cold_limit_permits(const replica_state& state, base::time_point now) const;
  static void mark_cold(replica_state& state, base::duration cold_for, base::time_point now);
  /// @return whether a replica's service is configured, or was when the replica was taken over:
  ///         requests under way may still need it. All are before there is a configuration.
  [[nodiscard]] bool has_known_service(const model::replica& record) const;
  /// A replica is published, for the first time or otherwise than before.
  void apply_record(const std::shared_ptr<const model::replica>& record, base::time_point now);
  /// A replica is published no longer, or its service is not configured.
  void remove(const base::replica_id& id, base::time_point now);
  /// Forgets all that was seen of an earlier life, except the calls that are not ended yet.
  void begin_incarnation(const base::replica_id& id, replica_state& state, base::time_point now);
  replica_state* mutable_find(const base::replica_id& id);
  /// @return what is left by now of a share that was reported.
  static double decayed_share(double told, const replica_state& state, base::time_point now);
  /// Learns from reports how many other nodes a replica asked for a pause.
  void update_reported_backoffs(replica_state& state, base::time_point now) const;
  /// Learns from reports how much more a replica fails than the others of its service.
  void update_reported_failures(replica_state& state, base::time_point now);
  /// @return whether one more replica of the service may be paused on the reports of others.
  [[nodiscard]] bool can_eject(const std::string& service, base::time_point now) const;

  base::zone_id own_zone_;
  std::set<base::zone_id> unreachable_;
  std::set<base::zone_id> evacuated_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  rate_limits::limit_exchange* limits_ = nullptr;
  replica_statements::statement_exchange* self_reports_ = nullptr;
  std::vector<backoff_change> backoff_changes_;
  std::uint64_t backoffs_ = 0;
  /// When the latest of all pauses that were asked for ends.
  base::time_point latest_backoff_end_;
  /// Finds answers on demand and keeps them.
  mutable cold_callers cold_callers_;
  serving_settings settings_;
  base::random_source* random_;
  state_map replicas_;
  replica_index index_;
  std::uint64_t records_compared_ = 0;
  replica_incarnations incarnations_;
  std::vector<replica_restart> restarts_;
  std::map<base::replica_id, std::string> replicas_of_unknown_services_;
  replica_evidence evidence_;
  /// Replicas of each service of which failures were reported.
  std::unordered_map<std::string, std::set<base::replica_id>> failing_replicas_;
  std::set<base::replica_id> changed_;
  std::uint64_t ejections_ = 0;
};

} // namespace spurrack::serving
