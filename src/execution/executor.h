/// The life of requests at one node: stage after stage, retries, streaming, deadlines, answers.
#pragma once

#include "admission/stage_scheduler.h"
#include "base/event_log.h"
#include "base/safety_switches.h"
#include "execution/commands.h"
#include "execution/counters.h"
#include "model/outcome.h"
#include "routing/backend_table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace spurrack::execution {

/// A request that was judged and, where it may run at most once, has its permission.
struct admitted_request {
  base::request_id id;
  std::shared_ptr<const model::pipeline_plan> plan;
  std::string input;
  base::time_point deadline;
  caller_ref caller;
  bool stream = false;
};

/// Called at each event for the time line.
using event_recorder = std::function<void(base::event_kind, const base::request_id&,
                                          const std::string& subject, const std::string& detail)>;
/// Called once for each request that ends, before its callers are answered.
using completion_observer = std::function<void(const answer&)>;

/// Not thread-safe. Commands gather in `commands` until they are taken.
class executor {
 public:
  /// @param backends and scheduler must outlive this object.
  executor(routing::backend_table& backends, admission::stage_scheduler& scheduler,
           event_recorder record, completion_observer completed, base::safety_switches switches);

  /// Starts a request. The first dispatch happens at the next `pump`.
  void start(admitted_request request, base::time_point now);
  /// Adds another caller who waits for the same request.
  /// @return whether the request is still running.
  bool attach(const base::request_id& id, const caller_ref& caller);

  void on_result(const call_result& result, base::time_point now);
  void on_token(const call_token& token, base::time_point now);
  /// A caller went away; its request is given up unless others wait or an effect is under way.
  void on_caller_gone(base::caller_id caller, base::time_point now);

  /// Gives up what is past its deadline.
  void expire(base::time_point now);
  /// Gives up repeatable calls that make no progress, and makes them again elsewhere. Call about
  /// every 100 ms.
  void expire_stalled_calls(base::time_point now);
  /// Dispatches what can be dispatched.
  void pump(base::time_point now);
  /// While on hold nothing is dispatched (after a pause, until the node is up to date again).
  void set_hold(bool hold) { hold_ = hold; }

  [[nodiscard]] std::optional<base::time_point> next_deadline() const;
  [[nodiscard]] std::size_t active() const { return active_.size(); }
  [[nodiscard]] const counters& counts() const { return counters_; }
  /// Counts a request that was refused before it became active.
  void count_refusal(const pipeline_key& key, const answer& refusal);
  [[nodiscard]] command_list take_commands();

 private:
  struct call_in_flight {
    base::call_id id = 0;
    base::backend_id backend;
    base::time_point started;
    /// Dispatch or last token.
    base::time_point last_progress;
  };
  struct active_request {
    admitted_request request;
    std::vector<caller_ref> callers;
    model::call_tracker ledger;
    std::size_t stage = 0;
    std::string stage_input;
    std::string generated;
    std::uint32_t tokens_received = 0;
    std::uint32_t next_attempt = 1;
    std::uint32_t failures = 0;
    std::optional<call_in_flight> call;
    std::vector<stage_output> outputs;
    std::vector<stage_cost> costs;

    [[nodiscard]] const model::stage& current() const { return request.plan->stages[stage]; }
  };

  void dispatch(active_request& active, const base::backend_id& backend, base::time_point now);
  stage_call make_call(const active_request& active, const routing::backend& target) const;
  void enqueue(active_request& active);
  void complete_stage(active_request& active, const call_result& result, base::time_point now);
  void abandon_call(active_request& active, base::time_point now);
  [[nodiscard]] bool is_stalled(const active_request& active, base::time_point now) const;
  void handle_failure(active_request& active, const call_result& result,
                      const base::backend_id& backend, base::time_point now);
  void note_backend_failure(const call_result& result, const base::backend_id& backend,
                            base::time_point now);
  void retry_or_give_up(active_request& active, call_status status, base::time_point now);
  void cancel_call_in_flight(active_request& active, base::time_point now);
  void give_up(active_request& active, reason why, base::time_point now);
  void finish(active_request& active, model::outcome outcome, reason why, base::time_point now);
  void count(const active_request& active, const answer& content);
  /// @return whether a result is whole and belongs to the call in flight.
  [[nodiscard]] bool is_right_answer(const active_request& active, const call_result& result) const;
  active_request* find_by_call(base::call_id call);

  routing::backend_table* backends_;
  admission::stage_scheduler* scheduler_;
  event_recorder record_;
  completion_observer completed_;
  base::safety_switches switches_;
  std::unordered_map<base::request_id, active_request> active_;
  std::unordered_map<base::call_id, base::request_id> calls_;
  std::set<std::pair<base::time_point, base::request_id>> deadlines_;
  std::map<base::caller_id, base::request_id> local_callers_;
  base::call_id next_call_ = 1;
  bool hold_ = false;
  counters counters_;
  command_list commands_;
};

} // namespace spurrack::execution
