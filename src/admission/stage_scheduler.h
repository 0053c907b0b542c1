/// Admission and dispatch of stage calls at one node: predicts whether a request can meet its
/// deadline, queues waiting requests, and chooses the back end of the next call.
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

/// Settings that operators choose.
struct scheduling_settings {
  routing::policy_kind policy = routing::policy_kind::adaptive;
  /// Whether requests that are expected to miss their deadline are refused at once.
  bool refuse_expected_late = true;
};

struct refusal {
  /// Reason for the refusal. True: a pool that the request needs has no back end, or only draining
  /// ones. False: the request is expected to miss its deadline.
  bool no_backend = false;
  /// Recommended delay before the caller sends the request again.
  base::duration retry_after{};
};

/// Request whose call may be started now, and the back end chosen for it.
struct dispatch_choice {
  base::request_id request;
  base::backend_id backend;
};

/// Schedules the stage calls of one node. Not thread-safe.
class stage_scheduler {
 public:
  /// @param backends must outlive this object.
  /// @param random must outlive this object.
  stage_scheduler(scheduling_settings settings, routing::backend_table& backends,
                  base::random_source& random);

  /// Checks whether a new request can be admitted. The caller of this function must report an
  /// admitted request with `add_admitted`, and each completed stage of the request with
  /// `note_stage_completed`.
  /// @return std::nullopt if the request can be admitted.
  [[nodiscard]] std::optional<refusal> check_admission(const model::pipeline_plan& plan,
                                                       base::time_point deadline,
                                                       base::time_point now) const;
  /// Adds all stages of an admitted request's plan to the admitted work of their pools.
  void add_admitted(const model::pipeline_plan& plan);
  /// Subtracts `from_stage` and all later stages of a plan from the admitted work of their pools.
  void remove_admitted(const model::pipeline_plan& plan, std::size_t from_stage);
  /// Subtracts one completed stage from the admitted work of its pool.
  void note_stage_completed(const model::pipeline_plan& plan, std::size_t stage);

  /// Adds a request to the queue of the pool that serves `stage`.
  /// @param affinity stable hash of the prompt prefix; 0 if the call has no preferred back end.
  void enqueue(const model::pipeline_plan& plan, std::size_t stage, const base::request_id& request,
               base::time_point deadline, std::uint64_t affinity);
  /// Removes a request from the queue of the pool that serves `stage`.
  void remove(const model::pipeline_plan& plan, std::size_t stage, const base::request_id& request,
              base::time_point deadline);
  /// Dequeues the next request, of any pool, whose call can be started now.
  /// @return the request and its back end; std::nullopt if no call can be started.
  std::optional<dispatch_choice> take_next(base::time_point now);
  /// @return earliest time at which a backoff or ejection ends, among the back ends that do not
  ///         drain in the pools for which requests wait; std::nullopt if none of these back ends is
  ///         backing off or ejected.
  [[nodiscard]] std::optional<base::time_point> next_wakeup(base::time_point now) const;

  /// Records the service time of a completed call.
  void add_service_time(const model::pipeline_plan& plan, std::size_t stage,
                        base::duration service_time);
  /// @return expected service time of the stages from `from_stage` on, without queueing.
  [[nodiscard]] base::duration expected_service_time(const model::pipeline_plan& plan,
                                                     std::size_t from_stage) const;
  /// @return time without progress after which a repeatable call is cancelled and retried;
  ///         std::nullopt if too few service times of the stage were recorded.
  [[nodiscard]] std::optional<base::duration> stall_timeout(const model::pipeline_plan& plan,
                                                            std::size_t stage) const;
  retry_budget& retry_budget_of(const base::pool_id& pool) { return pools_[pool].retries; }
  /// @return number of waiting requests in all pools.
  [[nodiscard]] std::size_t waiting_requests() const;
  [[nodiscard]] const scheduling_settings& settings() const { return settings_; }

 private:
  struct pool_state {
    stage_queue queue;
    retry_budget retries;
    std::map<base::request_id, std::uint64_t> affinities;
    /// Number of stages that admitted requests have yet to complete in this pool, by tenant.
    std::map<base::tenant_id, std::uint32_t> admitted_stages;
    routing::latency_estimator service_time;
    std::unique_ptr<routing::balancing_policy> policy;
  };
  /// Key of the service time estimates. Tenants that use the same model share one estimate.
  struct stage_key {
    base::template_id pipeline;
    std::string stage;
    std::string model;
    auto operator<=>(const stage_key&) const = default;
  };

  pool_state& pool(const base::pool_id& name);
  static queue_entry make_entry(const model::pipeline_plan& plan, const base::request_id& request,
                                base::time_point deadline);
  /// @return estimated number of admitted stages that a pool serves before a stage of this plan.
  [[nodiscard]] double admitted_stages_ahead(const pool_state& state,
                                             const model::pipeline_plan& plan) const;
  /// @return expected time that a new request of this plan waits in the pool for free slots.
  [[nodiscard]] base::duration expected_wait(const base::pool_id& name,
                                             const model::pipeline_plan& plan,
                                             base::time_point now) const;
  static stage_key key_of(const model::pipeline_plan& plan, std::size_t stage);
  static void decrement_admitted_stages(pool_state& state, const base::tenant_id& tenant);

  scheduling_settings settings_;
  routing::backend_table* backends_;
  base::random_source* random_;
  std::map<base::pool_id, pool_state> pools_;
  std::map<stage_key, routing::latency_estimator> stage_times_;
};

} // namespace spurrack::admission
