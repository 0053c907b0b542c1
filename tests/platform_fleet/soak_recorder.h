/// Records what the clients and the emulated services of the fault soak observe, and which
/// invariants are violated. A request is identified by its X-Request-Id.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace spurrack::platform_tests {

using soak_clock = std::chrono::steady_clock;

/// Records of one run of the soak. Thread-safe.
class soak_recorder {
 public:
  /// Records that a replica started to run a request.
  void note_run(const std::string& request, const std::string& replica) {
    const std::lock_guard lock(mutex_);
    runs_[request].push_back(replica);
    forwarded_.insert(request);
  }
  /// Records that a request, or a piece of a request, reached a replica.
  void note_forwarded(const std::string& request) {
    const std::lock_guard lock(mutex_);
    forwarded_.insert(request);
  }
  /// Records that a living replica broke off its answer to a request, or left its end open.
  void note_broken_off(const std::string& request) {
    const std::lock_guard lock(mutex_);
    broken_off_.insert(request);
  }
  /// Records that a replica answered a request without framing.
  void note_unframed(const std::string& request) {
    const std::lock_guard lock(mutex_);
    unframed_.insert(request);
  }
  /// Records that the process of a replica ends now.
  void note_replica_end(const std::string& replica) {
    const std::lock_guard lock(mutex_);
    replica_ends_[replica] = soak_clock::now();
  }
  /// Records that a request was refused: its answer states that the request has not run and will
  /// not run.
  void note_not_run(const std::string& request) {
    const std::lock_guard lock(mutex_);
    not_run_.insert(request);
  }
  /// Records that a client sends a request that may run at most once.
  void note_single_run(const std::string& request) {
    const std::lock_guard lock(mutex_);
    single_run_requests_.insert(request);
  }
  /// @param rule name of the violated invariant, in capitals.
  void note_violation(const std::string& rule, const std::string& detail) {
    const std::lock_guard lock(mutex_);
    violations_.push_back(rule + ": " + detail);
  }
  /// Counts an answer to a request.
  /// @param kind kind of the request, such as `safe`.
  /// @param status HTTP status; `cut` if the answer was incomplete.
  void count_answer(const std::string& kind, const std::string& status) {
    count(answer_prefix + kind + " " + status);
  }
  /// @return whether a label of `counts` was made by `count_answer`.
  static bool is_answer_count(const std::string& label) { return label.starts_with(answer_prefix); }
  /// Counts one more event, such as an injected fault. `label` names the kind of event in the
  /// output of the soak.
  void count(const std::string& label) {
    const std::lock_guard lock(mutex_);
    ++counts_[label];
  }

  [[nodiscard]] bool was_forwarded(const std::string& request) const {
    const std::lock_guard lock(mutex_);
    return forwarded_.contains(request);
  }
  /// @return whether a living replica broke off its answer to a request, or left its end open.
  [[nodiscard]] bool was_broken_off(const std::string& request) const {
    const std::lock_guard lock(mutex_);
    return broken_off_.contains(request);
  }
  /// @return whether a replica answered a request without framing.
  [[nodiscard]] bool was_unframed(const std::string& request) const {
    const std::lock_guard lock(mutex_);
    return unframed_.contains(request);
  }
  /// @return whether one of the replicas that started to run a request has ended since `time`.
  [[nodiscard]] bool has_any_replica_ended_since(const std::string& request,
                                                 soak_clock::time_point time) const {
    const std::lock_guard lock(mutex_);
    const auto runs = runs_.find(request);
    return runs != runs_.end() &&
           std::any_of(runs->second.begin(), runs->second.end(), [&](const auto& replica) {
             const auto ended = replica_ends_.find(replica);
             return ended != replica_ends_.end() && ended->second >= time;
           });
  }
  /// @return id of the replica that was the last to start to run a request; empty if none did.
  [[nodiscard]] std::string latest_replica_of(const std::string& request) const {
    const std::lock_guard lock(mutex_);
    const auto runs = runs_.find(request);
    return runs == runs_.end() ? "" : runs->second.back();
  }
  /// @return whether the replica that was the last to start to run a request has ended since
  /// `time`.
  [[nodiscard]] bool has_replica_ended_since(const std::string& request,
                                             soak_clock::time_point time) const {
    const auto replica = latest_replica_of(request);
    const std::lock_guard lock(mutex_);
    const auto ended = replica_ends_.find(replica);
    return ended != replica_ends_.end() && ended->second >= time;
  }
  /// @return numbers of counted events and answers, by label.
  [[nodiscard]] std::map<std::string, std::size_t> counts() const {
    const std::lock_guard lock(mutex_);
    return counts_;
  }
  /// @return the recorded violations, and one violation for each request that may run at most once
  ///         (see `note_single_run`) but ran several times, or ran although it was refused.
  ///         Complete only after all clients have stopped.
  [[nodiscard]] std::vector<std::string> violations() const {
    const std::lock_guard lock(mutex_);
    auto all_violations = violations_;
    for (const auto& request : single_run_requests_) {
      const auto runs = runs_.find(request);
      if (runs == runs_.end()) {
        continue;
      }
      if (runs->second.size() > 1) {
        all_violations.push_back("TWICE: " + request + " ran " +
                                 std::to_string(runs->second.size()) + " times");
      }
      if (not_run_.contains(request)) {
        all_violations.push_back("REFUSED: " + request + " was answered as not run and ran at " +
                                 runs->second.front());
      }
    }
    return all_violations;
  }

 private:
  inline static const std::string answer_prefix = "answer ";

  mutable std::mutex mutex_;
  /// Ids of the replicas that ran each request, by request id.
  std::map<std::string, std::vector<std::string>> runs_;
  /// Time of the latest end of each replica, by replica id.
  std::map<std::string, soak_clock::time_point> replica_ends_;
  std::set<std::string> forwarded_;
  std::set<std::string> broken_off_;
  std::set<std::string> unframed_;
  std::set<std::string> not_run_;
  std::set<std::string> single_run_requests_;
  std::vector<std::string> violations_;
  std::map<std::string, std::size_t> counts_;
};

} // namespace spurrack::platform_tests
