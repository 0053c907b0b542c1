/// Simulated back end with slots, a short queue, random service times and injected faults. The back
/// end reports every execution of a call, so that at-most-once execution can be verified.
#pragma once

#include "base/random.h"
#include "execution/stage_call.h"
#include "simulation/event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace spurrack::simulation {

/// Capacity and timing of a back end.
struct backend_profile {
  std::string name;
  std::string zone;
  std::string pool;
  /// Number of slots: calls that can run at the same time.
  std::uint32_t concurrency = 8;
  /// Maximum number of running and queued calls together; the back end refuses further calls.
  std::uint32_t max_calls = 16;
  /// Mean time of a call, without the time for generated tokens.
  base::duration service_time = std::chrono::milliseconds(5);
  base::duration time_per_token{};
  /// Fraction of the call time that is exponentially distributed, from 0 to 1. The other part is
  /// constant.
  double variation = 0.5;
  /// Whether the first token of a generating call is sent as soon as the prompt is processed;
  /// otherwise all tokens are sent at the end of the call.
  bool has_early_first_token = false;
};

/// Faults that are injected into a back end.
struct backend_faults {
  /// Probability that an answer carries the identity of another request and a wrong output.
  double misdirected_answer_probability = 0;
  /// Probability that the answer to a call breaks off after half of the tokens.
  double truncated_answer_probability = 0;
  /// Factor by which call times are multiplied.
  double slowdown = 1;
  /// Whether the back end refuses all calls because it drains.
  bool is_draining = false;
  /// Whether the back end never answers the calls that it starts.
  bool is_hanging = false;
};

/// Result of a call, with the generated tokens.
struct backend_reply {
  execution::call_result result;
  /// Generated tokens, in order; empty for calls that do not generate.
  std::vector<execution::call_token> tokens;
};

/// Executes, queues or refuses calls as the profile and the faults say. Not thread-safe.
class emulated_backend {
 public:
  using reply_handler = std::function<void(backend_reply)>;
  using token_handler = std::function<void(const execution::call_token&)>;
  /// Function that is called when the execution of a call begins.
  using execution_observer =
      std::function<void(const emulated_backend&, const execution::stage_call&)>;

  emulated_backend(backend_profile profile, event_queue& events, base::random_source& random,
                   execution_observer observer);

  /// Executes, queues or refuses a call.
  /// @param reply called when the call ends; never called if the back end crashes or hangs, or if
  ///        the call is cancelled.
  /// @param first_token called with the first token, before `reply`, if the profile has an early
  ///        first token and the call does not resume an earlier attempt.
  void receive(const execution::stage_call& call, reply_handler reply, token_handler first_token);
  /// Cancels a call whose caller closed the connection: drops a queued call, frees the slot of a
  /// running call.
  void cancel(const execution::call_identity& identity);
  /// Crashes the back end; all its calls are lost.
  void crash();
  /// Starts a crashed back end again. The back end has no calls then.
  void restart();

  [[nodiscard]] bool is_alive() const { return is_alive_; }
  [[nodiscard]] const backend_profile& profile() const { return profile_; }
  backend_faults& faults() { return faults_; }
  /// @return sum of the times for which the slots were busy.
  [[nodiscard]] base::duration busy_time() const { return busy_time_; }
  [[nodiscard]] std::uint64_t executions() const { return executions_; }

 private:
  /// Running or queued call.
  struct accepted_call {
    execution::stage_call call;
    reply_handler reply;
    token_handler first_token;
    base::time_point started_at;
  };

  void start_call(accepted_call accepted);
  void finish(std::uint64_t slot_id);
  /// Schedules the first token of a generating call if the profile has an early first token.
  void schedule_first_token(std::uint64_t slot_id, base::duration call_time);
  void start_queued_calls();
  base::duration sample_call_time(const execution::stage_call& call);
  backend_reply make_reply(const accepted_call& accepted);

  backend_profile profile_;
  event_queue* events_;
  base::random_source* random_;
  execution_observer observer_;
  backend_faults faults_;
  bool is_alive_ = true;
  std::uint64_t next_slot_id_ = 1;
  /// Running calls by slot id. Each call has its own slot id.
  std::map<std::uint64_t, accepted_call> running_;
  std::deque<accepted_call> queued_;
  base::duration busy_time_{};
  std::uint64_t executions_ = 0;
};

/// @return output that a correct back end returns for an input: `kind(input)`, followed by one word
///         for each token after the first if the kind is `generate`.
std::string expected_output(model::stage_kind kind, const std::string& input,
                            std::uint32_t max_tokens);

} // namespace spurrack::simulation
