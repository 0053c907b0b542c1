/// State of a dispatcher: its requests, what it knows of replicas and other nodes, and the
/// exchanges with them. Decides nothing; `dispatcher` does.
#pragma once

#include "base/random.h"
#include "catalog/catalog.h"
#include "dispatch/active_request.h"
#include "dispatch/admission_estimate.h"
#include "dispatch/call_end.h"
#include "dispatch/configuration_knowledge.h"
#include "dispatch/end_evidence.h"
#include "dispatch/event_stream.h"
#include "dispatch/framing_habits.h"
#include "dispatch/relay_exchange.h"
#include "dispatch/replica_report_exchange.h"
#include "dispatch/retry_budget.h"
#include "dispatch/retry_budget_exchange.h"
#include "dispatch/run_times.h"
#include "dispatch/silence_probes.h"
#include "dispatch/stop_plan.h"
#include "engines/engine_chooser.h"
#include "engines/engine_directory.h"
#include "flow/byte_budget.h"
#include "quarantine/crash_detector.h"
#include "quarantine/crash_registry.h"
#include "quarantine/crash_report_exchange.h"
#include "quarantine/suspect.h"
#include "quarantine/trial_exchange.h"
#include "rate_limits/limit_exchange.h"
#include "replicas/distance.h"
#include "replicas/least_loaded_chooser.h"
#include "replicas/list_coverage.h"
#include "replicas/path_monitor.h"
#include "replicas/replica_table.h"
#include "serving/counters.h"
#include "serving/decision_recorder.h"
#include "serving/events.h"
#include "serving/settings.h"
#include "stage_work/drain_rate.h"
#include "stage_work/stage_exchange.h"
#include "stage_work/stage_graph.h"
#include "streams/inherited_versions.h"
#include "streams/origin_exchange.h"
#include "streams/stream_ages.h"
#include "streams/version_evidence.h"
#include "streams/version_proof.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::serving {

/// Members of `dispatcher` with the queries and settings that need no decision. Not thread-safe.
class dispatcher_state {
 public:
  dispatcher_state(const dispatcher_state&) = delete;
  dispatcher_state& operator=(const dispatcher_state&) = delete;

  /// Sets how current the configuration of this node is, for the requests that arrive from now on.
  void set_configuration_knowledge(const configuration_knowledge& knowledge) {
    configuration_knowledge_ = knowledge;
  }
  /// Records that at `confirmed_at` the store had no later list of replicas than this node.
  void confirm_replica_list(base::time_point confirmed_at) { list_coverage_.confirm(confirmed_at); }
  /// Records that this node knows by a call of its own, which was sent at `verified_at` or later,
  /// that the store had no later list of replicas.
  void verify_replica_list(base::time_point verified_at) { list_coverage_.verify(verified_at); }
  /// @return time at or after which the list of replicas must be verified (`verify_replica_list`)
  ///         for requests; std::nullopt if it was, or if no request needs it.
  [[nodiscard]] std::optional<base::time_point> list_verification_wanted() const {
    const bool is_done = !list_wanted_at_ || list_coverage_.verified_at() >= list_wanted_at_;
    return is_done ? std::nullopt : list_wanted_at_;
  }
  /// Sets the byte budget of this process, which limits the bytes of incomplete stream events that
  /// are buffered. By default they are not limited.
  void set_byte_budget(std::shared_ptr<flow::byte_budget> budget) {
    byte_budget_ = std::move(budget);
  }
  /// Replaces the zones that this node cannot reach. Their replicas are called only if no other
  /// replica is available.
  void set_unreachable_zones(std::set<base::zone_id> zones) {
    replicas_.set_unreachable(std::move(zones));
  }

  /// @return whether this node cannot reach any replica while other nodes can.
  [[nodiscard]] bool is_partitioned() const { return paths_.state() == path_state::partitioned; }
  /// @return whether requests of this node's clients are active, or this node has calls for pieces
  ///         under way. The pieces may belong to requests of any node.
  [[nodiscard]] bool is_busy() const { return !active_.empty() || stages_.has_calls_under_way(); }

  [[nodiscard]] std::size_t active_requests() const { return active_.size(); }
  [[nodiscard]] const serving_counters& counts() const { return counters_; }
  [[nodiscard]] const replica_table& replicas() const { return replicas_; }
  [[nodiscard]] const stage_exchange& stages() const { return stages_; }
  /// @return number of engines whose accounting node is this node. The accounting node of an engine
  ///         adds up the tokens of the prompts that the nodes report to have sent to the engine.
  [[nodiscard]] std::size_t engine_accounts() const {
    return engine_directory_.accounted_engines();
  }
  [[nodiscard]] const engine_directory_counts& engine_counts() const {
    return engine_directory_.counts();
  }
  [[nodiscard]] const replica_report_counts& replica_reports() const {
    return replica_reports_.counts();
  }
  [[nodiscard]] const budget_exchange_counts& budget_exchange() const {
    return budget_exchange_.counts();
  }
  [[nodiscard]] const self_reports::self_report_exchange& replica_self_reports() const {
    return self_reports_;
  }
  [[nodiscard]] const streams::origin_exchange& stream_origins() const { return origins_; }
  [[nodiscard]] const rate_limits::limit_exchange& limits() const { return limits_; }
  [[nodiscard]] const quarantine::crash_registry& crashes() const { return crash_registry_; }
  [[nodiscard]] const quarantine::trial_counts& trials() const { return trials_.counts(); }
  [[nodiscard]] const quarantine::crash_report_counts& crash_reports() const {
    return crash_reports_.counts();
  }

 protected:
  /// @param random must outlive this object.
  dispatcher_state(const fleet_peer& self, const serving_settings& settings,
                   base::random_source& random, base::incarnation incarnation,
                   decision_recorder record);
  ~dispatcher_state() = default;

  /// @return zone, incarnation and process of a replica; std::nullopt if it is not published.
  [[nodiscard]] std::optional<self_reports::published_replica>
  find_published(const base::replica_id& id) const;
  /// @return time at which the list of replicas was last known to be complete; a time before the
  ///         start of this process if it never was.
  [[nodiscard]] base::time_point replica_list_confirmed_at() const {
    return list_coverage_.confirmed_at().value_or(base::time_point{});
  }
  /// @return what this node knows of the software versions of a service, and since when.
  [[nodiscard]] streams::version_evidence version_evidence_of(const std::string& service,
                                                              base::time_point now) const;

  struct residency_refusal {
    std::string reason;
    /// Whether it may help to send the request again later: the permitted regions have replicas,
    /// but these accept no work now.
    bool is_temporary = false;
  };

  /// @return whether a request is bound to a version of which no replica accepts work.
  [[nodiscard]] bool has_version_left(const active_request& request) const;
  /// @return text for the log: replicas of the version that serve, are full and are leaving.
  [[nodiscard]] std::string version_text(const active_request& request, base::time_point now) const;
  /// @return reason for which a request cannot be served in its permitted regions; std::nullopt if
  ///         it can be served.
  [[nodiscard]] std::optional<residency_refusal>
  residency_refusal_of(const active_request& request) const;
  /// @return time at which the call of a request began or delivered its latest event.
  [[nodiscard]] static base::time_point last_progress_of(const active_request& request);
  /// @return whether the replica is not known to have sent anything since the call's last progress.
  [[nodiscard]] bool is_replica_unresponsive(const active_request& request) const;
  /// @return whether replicas of the version that a request is bound to are leaving: the next ones
  ///         may leave before a successor takes the request.
  [[nodiscard]] bool is_version_leaving(const active_request& request, base::time_point now) const;
  /// @return text for the log: since when the replica of a request is silent, who heard it last,
  ///         and what it is published as.
  [[nodiscard]] std::string silence_text(const active_request& request, base::time_point now) const;
  active_request* find_by_call(base::call_id call);
  /// @return whether a request lacks results of its stages that were computed too often already.
  [[nodiscard]] static bool cannot_recompute(const active_request& request);

  fleet_peer self_;
  serving_settings settings_;
  decision_recorder record_;
  base::random_source* random_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  base::time_point configuration_applied_at_;
  configuration_knowledge configuration_knowledge_;
  list_coverage list_coverage_;
  /// Latest time at which a request arrived that needs a list of replicas verified since.
  std::optional<base::time_point> list_wanted_at_;
  std::uint64_t applied_changes_ = 0;
  /// Time for which this process stood last, and the time at which it went on.
  base::duration latest_stand_{};
  base::time_point latest_stand_ended_at_;
  base::call_id next_call_ = 1;
  distance distance_from_self_;
  self_reports::self_report_exchange self_reports_;
  rate_limits::limit_exchange limits_;
  replica_table replicas_;
  least_loaded_chooser plain_chooser_;
  engine_directory engine_directory_;
  engine_chooser engine_chooser_;
  retry_budget retry_budget_;
  retry_budget_exchange budget_exchange_;
  replica_report_exchange replica_reports_;
  path_monitor paths_;
  silence_probes silence_probes_;
  /// Replicas that are probed because they are silent, with the times at which that is judged.
  std::unordered_map<base::replica_id, base::time_point> silence_checks_;
  /// Time before which the silence of replicas is not judged, because this process has just stood.
  base::time_point silence_judged_from_;
  relay_exchange relays_;
  streams::origin_exchange origins_;
  streams::stream_ages stream_ages_;
  streams::inherited_versions inherited_versions_;
  /// Questions to other nodes about the versions of services.
  struct version_questions {
    /// Time since which this node knows the list of replicas without a gap. A question about an
    /// earlier span is dropped with its answers.
    base::time_point unbroken_since;
    base::time_point next_round_at;
    /// Time from the next round of questions to the one after it.
    base::duration interval{};
    /// Services of the questions without an answer, by the made-up stream of the question.
    std::map<streams::stream_key, std::string> service_by_question;
  };
  version_questions version_questions_;
  /// Clients whose request waits for the origin of a stream.
  std::map<streams::stream_key, std::vector<base::caller_id>> awaiting_origin_;
  /// Wait of a request until the list of replicas is verified.
  struct list_wait {
    streams::origin_finding finding;
    base::time_point ends_at;
  };
  std::map<base::caller_id, list_wait> awaiting_list_;
  /// Time at or after which the list had to be verified for the last request that waited in vain.
  std::optional<base::time_point> failed_list_wait_;
  /// Services of whose open streams the witnesses know.
  std::set<std::string> shared_services_;
  base::time_point next_share_check_at_;
  /// State of `paths_` that the other parts of the dispatcher were last told.
  path_state applied_path_state_ = path_state::working;
  quarantine::crash_detector crash_detector_;
  quarantine::crash_registry crash_registry_;
  quarantine::crash_report_exchange crash_reports_;
  quarantine::trial_exchange trials_;
  /// Clients whose request waits for a trial, by suspect.
  std::map<quarantine::suspect_digest, std::set<base::caller_id>> awaiting_trial_;
  base::time_point next_trial_request_at_;
  base::time_point next_crash_expiry_at_;
  /// Replica that last accepted a probe.
  struct accepted_probe {
    base::replica_id replica;
    base::time_point at;
  };
  accepted_probe latest_connection_;
  /// Replicas that are being probed to find out whether this node is partitioned.
  std::set<base::replica_id> path_probes_under_way_;
  /// Replicas that were probed for this since the first of the present refusals.
  std::vector<base::replica_id> path_probed_;
  base::time_point next_path_check_at_;
  base::time_point next_overrun_check_at_;
  /// Requests under which an exit was suspected since the last `advance`.
  std::vector<quarantine::suspect_digest> newly_suspected_;
  /// Suspects whose quarantine begins with the next `advance`.
  std::vector<quarantine::suspect_digest> newly_quarantined_;
  stage_exchange stages_;
  admission_estimate admission_estimate_;
  run_times run_times_;
  framing_habits framing_habits_;
  stop_plan stop_plan_;
  std::unordered_map<base::caller_id, active_request> active_;
  std::unordered_map<base::call_id, base::caller_id> clients_by_call_;
  /// By replica, the clients whose request has a call there.
  std::unordered_map<base::replica_id, std::set<base::caller_id>> clients_by_replica_;
  /// By replica, the clients whose answer from it ended with its connection and is not settled.
  std::unordered_map<base::replica_id, std::set<base::caller_id>> unsettled_ends_;
  std::unordered_map<piece_ticket, base::caller_id> clients_by_ticket_;
  /// For each replica of an unconfigured service: the name of the service in the last
  /// `entry_rejected` event about the replica.
  std::map<base::replica_id, std::string> reported_unknown_services_;
  /// Clients whose request waits for a budget transfer, in the order in which they began to wait.
  std::vector<base::caller_id> clients_awaiting_budget_;
  /// By service: requests that wait for slots, and rate at which they get slots.
  std::map<std::string, admission_queue> admission_queues_;
  std::map<std::string, drain_rate> drain_rates_;
  base::time_point next_queue_check_at_;
  /// Whether `process_admission_queue` is running. It sends the queued requests in their order, so
  /// they are not compared with the other queued requests again.
  bool is_processing_queue_ = false;
  /// Total of received permits when the admission queues were last checked for new permits.
  std::uint64_t counted_permits_ = 0;
  /// Deadlines of all active requests, the earliest first.
  std::set<std::pair<base::time_point, base::caller_id>> deadlines_;
  /// Scheduled checks of requests, the earliest first.
  std::set<std::pair<base::time_point, base::caller_id>> due_checks_;
  serving_counters counters_;
  std::shared_ptr<flow::byte_budget> byte_budget_;
  command_list commands_;
};

} // namespace spurrack::serving
