/// Admission and dispatch of stage calls at one node: predicts whether a request can finish in
/// time, keeps the queues, and chooses the back end of the take_next call.
#pragma once

#include "admission/retry_budget.h"
#include "admission/stage_queue.h"
#include "base/random.h"
#include "model/records.h"
#include "routing/backend_table.h"
#include "routing/balancing_policy.h"
#include "routing/latency_estimator.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

namespace spurrack::admission {

/// What operators set.
struct scheduling_settings {
  routing::policy_kind policy = routing::policy_kind::adaptive;
  /// Whether requests that cannot finish in time are refused at once.
  bool predict = true;
};

/// Why a request is not admitted and when to come back.
struct refusal {
  bool no_backend = false;
  base::duration retry_after{};
};

/// A call that may be made now.
struct dispatch_choice {
  base::request_id request;
  base::backend_id backend;
};

/// Not thread-safe.
class stage_scheduler {
 public:
  /// @param backends and random must outlive this object.
  stage_scheduler(scheduling_settings settings, routing::backend_table& backends,
                  base::random_source& random);

  /// Judges a new request. An admitted one must be reported with `commit` and, stage by stage,
  /// `note_stage_completed`.
  [[nodiscard]] std::optional<refusal> check_admission(const model::pipeline_plan& plan,
                                                       base::time_point deadline,
                                                       base::time_point now) const;
  /// Counts the work of a plan from a stage on as admitted, or takes it back.
  void add_admitted(const model::pipeline_plan& plan);
  void remove_admitted(const model::pipeline_plan& plan, std::size_t from_stage);
  void note_stage_completed(const model::pipeline_plan& plan, std::size_t stage);

  void enqueue(const model::pipeline_plan& plan, std::size_t stage, const base::request_id& request,
               base::time_point deadline, std::uint64_t affinity);
  void remove(const model::pipeline_plan& plan, std::size_t stage, const base::request_id& request,
              base::time_point deadline);
  /// @return the take_next call that can be made in any pool; the request leaves its queue.
  std::optional<dispatch_choice> take_next(base::time_point now);
  /// @return when a paused back end may free a waiting request; nothing where none waits for that.
  [[nodiscard]] std::optional<base::time_point> next_wakeup(base::time_point now) const;

  /// Adds a measured service time.
  void add_service_time(const model::pipeline_plan& plan, std::size_t stage,
                        base::duration service_time);
  /// @return expected time of the stages from `from_stage` on, without waiting.
  [[nodiscard]] base::duration expected_service_time(const model::pipeline_plan& plan,
                                                     std::size_t from_stage) const;
  /// @return how long a repeatable call may go without progress before it is given up and made
  ///         elsewhere; nothing while too little is known of the stage.
  [[nodiscard]] std::optional<base::duration> stall_timeout(const model::pipeline_plan& plan,
                                                            std::size_t stage) const;
  retry_budget& retry_budget_of(const base::pool_id& pool) { return pools_[pool].retries; }
  [[nodiscard]] std::size_t waiting() const;
  [[nodiscard]] const scheduling_settings& settings() const { return settings_; }

 private:
  struct pool_state {
    stage_queue queue;
    retry_budget retries;
    std::map<base::request_id, std::uint64_t> affinities;
    /// Admitted requests that still have to finish a stage in this pool, by tenant.
    std::map<base::tenant_id, std::uint32_t> admitted;
    routing::latency_estimator service_time;
    std::unique_ptr<routing::balancing_policy> policy;
  };
  /// What decides how long a stage takes; tenants with the same model share one estimate.
  struct stage_key {
    base::template_id pipeline;
    std::string stage;
    std::string model;
    auto operator<=>(const stage_key&) const = default;
  };

  pool_state& pool(const base::pool_id& name);
  static queue_entry make_entry(const model::pipeline_plan& plan, const base::request_id& request,
                                base::time_point deadline);
  [[nodiscard]] double admitted_ahead(const pool_state& state,
                                      const model::pipeline_plan& plan) const;
  [[nodiscard]] base::duration expected_wait(const base::pool_id& name,
                                             const model::pipeline_plan& plan,
                                             base::time_point now) const;
  static stage_key key_of(const model::pipeline_plan& plan, std::size_t stage);
  static void decrease_admitted(pool_state& state, const base::tenant_id& tenant);

  scheduling_settings settings_;
  routing::backend_table* backends_;
  base::random_source* random_;
  std::map<base::pool_id, pool_state> pools_;
  std::map<stage_key, routing::latency_estimator> stage_times_;
};

} // namespace spurrack::admission
