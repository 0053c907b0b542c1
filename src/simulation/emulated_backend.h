/// A back end in virtual time: slots, a short queue, a distribution of service times, and faults.
/// It counts every execution, which makes it the judge of at-most-once.
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

/// How a back end works.
struct backend_profile {
  std::string name;
  std::string zone;
  std::string pool;
  std::uint32_t concurrency = 8;
  /// Calls at the back end, waiting ones included, beyond which it refuses.
  std::uint32_t max_calls = 16;
  /// Mean time of a call, without tokens.
  base::duration service_time = std::chrono::milliseconds(5);
  base::duration time_per_token{};
  /// Part of the service time that varies (exponentially), 0 to 1.
  double variation = 0.5;
  /// Whether the first token of a generating call is sent as soon as the prompt is read; otherwise
  /// all tokens are sent at the end.
  bool early_first_token = false;
};

/// How answers are spoiled, each with its own probability.
struct backend_faults {
  double crossed = 0;
  double truncated = 0;
  /// Time is multiplied by this.
  double slowdown = 1;
  bool leaving = false;
  /// Accepts calls and never answers.
  bool is_hanging = false;
};

/// What the back end reports of one call.
struct backend_reply {
  execution::call_result result;
  /// Tokens generated, in order; empty for calls that do not generate.
  std::vector<execution::call_token> tokens;
};

/// Not thread-safe.
class emulated_backend {
 public:
  using reply_handler = std::function<void(backend_reply)>;
  using token_handler = std::function<void(const execution::call_token&)>;
  /// Called at each execution, before it is known how it ends.
  using execution_observer =
      std::function<void(const emulated_backend&, const execution::stage_call&)>;

  emulated_backend(backend_profile profile, event_queue& events, base::random_source& random,
                   execution_observer observer);

  /// A call arrives. `reply` is called when it ends, unless the back end dies or hangs.
  /// `first_token` is called before it, where the profile says so.
  void receive(const execution::stage_call& call, reply_handler reply, token_handler first_token);
  /// The caller closed the connection: a waiting call is dropped, a running one frees its slot.
  void cancel(const execution::call_identity& identity);
  /// Dies: all calls are lost.
  void crash();
  void restart();

  [[nodiscard]] bool alive() const { return alive_; }
  [[nodiscard]] const backend_profile& profile() const { return profile_; }
  backend_faults& faults() { return faults_; }
  /// @return time in which slots were busy, all slots together.
  [[nodiscard]] base::duration busy_time() const { return busy_time_; }
  [[nodiscard]] std::uint64_t executions() const { return executions_; }

 private:
  struct held_call {
    execution::stage_call call;
    reply_handler reply;
    token_handler first_token;
    base::time_point started;
  };

  void start(held_call held);
  void finish(std::uint64_t slot);
  void schedule_first_token(std::uint64_t slot, base::duration takes);
  void start_waiting();
  base::duration sample(const execution::stage_call& call);
  backend_reply make_reply(const held_call& held);

  backend_profile profile_;
  event_queue* events_;
  base::random_source* random_;
  execution_observer observer_;
  backend_faults faults_;
  bool alive_ = true;
  std::uint64_t next_slot_ = 1;
  std::map<std::uint64_t, held_call> running_;
  std::deque<held_call> waiting_;
  base::duration busy_time_{};
  std::uint64_t executions_ = 0;
};

/// @return the output that a correct back end gives: `kind(input)` and, for generation, further
/// words.
std::string expected_output(model::stage_kind kind, const std::string& input,
                            std::uint32_t max_tokens);

} // namespace spurrack::simulation
