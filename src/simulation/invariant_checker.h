/// Checks what must always hold on a simulated fleet. A violation is a sentence that names who and
/// what.
#pragma once

#include "simulation/fleet_simulation.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace spurrack::simulation {

/// A promise that was broken.
struct violation {
  std::string invariant;
  std::string detail;
  base::request_id request;
};

/// Watches one simulation. Call `step` every few tens of milliseconds of virtual time and `finish`
/// at the end. Not thread-safe.
class invariant_checker {
 public:
  /// A leaving back end gets no new work after this time from the first node's knowledge.
  static constexpr base::duration leave_limit = std::chrono::milliseconds(2500);
  /// How late an answer may be behind its deadline: one wake-up of the driver.
  static constexpr base::duration answer_slack = std::chrono::milliseconds(50);

  /// How late a call may reach a back end behind its expiry: one network delay.
  static constexpr base::duration send_slack = std::chrono::milliseconds(20);

  explicit invariant_checker(fleet_simulation& fleet) : fleet_(&fleet) {}

  /// Names the expected outputs of a request by its input; requests with the same key share one.
  /// @param effect key or ticket under which the request may run at most once; empty for none.
  void expect(base::caller_id caller, const model::pipeline_template& pipeline,
              const std::string& effect);
  /// A back end was published as leaving, or as live again.
  void backend_published(const std::string& name, bool leaving);

  void step();
  /// @param converged_within the fleet is whole since at least this time.
  void finish();

  [[nodiscard]] const std::vector<violation>& violations() const { return violations_; }

 private:
  struct expectation {
    std::map<std::string, std::string> outputs;
    std::string generated;
    std::string effect;
  };
  struct leave_watch {
    std::optional<base::time_point> first_known;
    std::uint64_t generation = 0;
  };

  void report(const std::string& invariant, const std::string& detail,
              const base::request_id& request = {});
  void check_configuration();
  void check_leaving();
  void check_executions_of_leaving();
  void check_answers();
  void check_truth();
  void check_effects();
  void check_convergence();
  void note_disturbances();
  [[nodiscard]] bool was_disturbed_since(const std::string& node, base::time_point since) const;

  fleet_simulation* fleet_;
  std::map<base::caller_id, expectation> expectations_;
  std::map<std::string, leave_watch> leaving_;
  /// Last time a node was cut off, paused or not running.
  std::map<std::string, base::time_point> disturbed_at_;
  /// Highest accepted revision seen, by node life and key.
  std::map<std::string, std::map<std::string, base::revision>> seen_revisions_;
  std::map<std::string, base::incarnation> seen_lives_;
  std::size_t checked_executions_ = 0;
  std::vector<violation> violations_;
};

} // namespace spurrack::simulation
