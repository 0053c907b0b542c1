/// Checks the invariants of a simulated fleet. Each violation names the invariant, the nodes or
/// callers concerned and the observed values.
#pragma once

#include "simulation/fleet_simulation.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace spurrack::simulation {

struct violation {
  std::string invariant;
  std::string detail;
  /// Id of the request that the violation concerns; empty if the violation names no request.
  base::request_id request;
};

/// Checks one simulated fleet. Call `check_step` every few tens of milliseconds of virtual time and
/// `check_final_state` at the end. Not thread-safe.
class invariant_checker {
 public:
  /// Time, after the first node learned that a back end drains, in which nodes may still send calls
  /// to the back end.
  static constexpr base::duration drain_grace_period = std::chrono::milliseconds(2500);
  /// Maximum time from the deadline of a request to its answer: the time for one wakeup of the node
  /// by its driver.
  static constexpr base::duration answer_slack = std::chrono::milliseconds(50);

  /// Maximum time after the expiry of a call at which the call may still reach a back end: one
  /// network delay.
  static constexpr base::duration send_slack = std::chrono::milliseconds(20);

  explicit invariant_checker(fleet_simulation& fleet) : fleet_(&fleet) {}

  /// Computes, from the input of a caller's request, the outputs that the answer must contain, and
  /// records the outputs. Requests with the same idempotency key have the same input.
  /// @param key_or_ticket idempotency key or ticket under which the request may be executed at most
  ///        once; empty if the request has none.
  void add_expectation(base::caller_id caller, const model::pipeline_template& pipeline,
                       const std::string& key_or_ticket);
  /// Records that a back end was published as draining, or as live again.
  void note_backend_published(const std::string& name, bool is_draining);

  /// Checks the invariants that must hold at any time.
  void check_step();
  /// Checks answers, executions and convergence. All faults must have ended, and the fleet must
  /// have had time to converge.
  void check_final_state();

  [[nodiscard]] const std::vector<violation>& violations() const { return violations_; }

 private:
  struct expectation {
    /// Expected outputs in the answer, by name of the stage that computes the output.
    std::map<std::string, std::string> outputs;
    /// Expected text of the stream that a streaming caller receives.
    std::string generated;
    std::string key_or_ticket;
  };
  struct drain_observation {
    /// Time at which the first node recorded the back end as draining.
    std::optional<base::time_point> first_known_at;
    std::uint64_t generation = 0;
  };

  void report_violation(const std::string& invariant, const std::string& detail,
                        const base::request_id& request = {});
  void check_configuration();
  void observe_draining();
  void check_calls_to_draining();
  void check_answers();
  /// Checks that no request that was answered with `not_run` was executed.
  void check_not_run_answers();
  /// Checks that non-repeatable calls ran at most once, and not after their deadline, and that each
  /// completed answer comes from a call that ran.
  void check_effects();
  void check_convergence();
  /// Sets `disturbed_at_` to the current time for each node that is now partitioned, frozen, not
  /// running or not ready.
  void note_disturbances();
  [[nodiscard]] bool was_disturbed_since(const std::string& node, base::time_point since) const;

  fleet_simulation* fleet_;
  std::map<base::caller_id, expectation> expectations_;
  std::map<std::string, drain_observation> draining_;
  /// Last time at which each node was partitioned, frozen, not running or not ready, by name of the
  /// node.
  std::map<std::string, base::time_point> disturbed_at_;
  /// Revision of each pipeline template in the catalog of a node at the last check, by name of the
  /// node and key of the template. The revisions of a node are cleared when a check finds a new
  /// incarnation of the node.
  std::map<std::string, std::map<std::string, base::revision>> seen_revisions_;
  std::map<std::string, base::incarnation> seen_incarnations_;
  /// Number of executions that `check_calls_to_draining` has checked.
  std::size_t checked_executions_ = 0;
  std::vector<violation> violations_;
};

} // namespace spurrack::simulation
