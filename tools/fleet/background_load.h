/// Load generator that sends requests from background threads while a test injects faults into the
/// fleet.
#pragma once

#include "local_fleet.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace spurrack::fleet {

/// Counts of the requests that a `background_load` sent, by result.
struct load_totals {
  /// Number of answers by `outcome` field.
  std::map<std::string, std::uint64_t> outcomes;
  /// Number of answers with an outcome other than `completed`, by `code` field.
  std::map<std::string, std::uint64_t> error_codes;
  /// Number of answers with the outcome `completed` whose output does not match the request.
  std::uint64_t wrong_answers = 0;
  /// Number of requests without an answer because their connection failed or timed out. Refused
  /// connections are not counted.
  std::uint64_t broken_connections = 0;
  /// Input of the last request counted in `broken_connections`, and the error of its connection.
  std::string last_connection_error;
  /// Number of all answers.
  std::uint64_t answered = 0;

  [[nodiscard]] std::uint64_t count(const std::string& outcome) const {
    const auto found = outcomes.find(outcome);
    return found == outcomes.end() ? 0 : found->second;
  }
};

/// Sends requests for the pipeline `client-answer` with distinct inputs, and checks each answer.
/// Sending starts at construction and ends with `stop` or destruction. Public members are
/// thread-safe, except `stop`.
class background_load {
 public:
  /// @param nodes names of the nodes to which each thread sends in turn. If a node refuses a
  ///        connection, the request is neither counted nor sent again.
  /// @param threads number of concurrent callers.
  background_load(const local_fleet& fleet, std::vector<std::string> nodes, unsigned threads);
  ~background_load();
  background_load(const background_load&) = delete;
  background_load& operator=(const background_load&) = delete;

  /// Stops sending requests and waits for the pending answers.
  /// @return counts of all requests.
  load_totals stop();
  [[nodiscard]] load_totals totals() const;
  /// Waits until `additional` further requests have completed.
  /// @return whether they completed within `local_fleet::wait_timeout`.
  bool wait_for_completed(std::uint64_t additional) const;

 private:
  void send_requests(unsigned index);
  void record_answer(const std::string& input, const http_answer& answer);

  const local_fleet* fleet_;
  std::vector<std::string> nodes_;
  std::atomic<bool> is_stopping_{false};
  mutable std::mutex mutex_;
  load_totals totals_;
  std::vector<std::thread> threads_;
};

/// @return output that the stage `generate` of the pipeline `client-answer` must have for a request
///         with this input.
std::string expected_client_answer(const std::string& input);

} // namespace spurrack::fleet
