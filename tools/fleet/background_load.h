/// Callers that send requests over and over from threads of their own while a test disturbs the
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

/// What became of the requests so far.
struct load_totals {
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, std::uint64_t> error_codes;
  /// Completed answers that are not the right one for their request.
  std::uint64_t wrong_answers = 0;
  /// Connections that ended after the request was sent, without an answer.
  std::uint64_t broken_connections = 0;
  /// Input of the last cut request and the error of its connection.
  std::string last_connection_error;
  std::uint64_t answered = 0;

  [[nodiscard]] std::uint64_t count(const std::string& outcome) const {
    const auto found = outcomes.find(outcome);
    return found == outcomes.end() ? 0 : found->second;
  }
};

/// Sends `client-answer` requests with inputs of their own and checks each answer.
class background_load {
 public:
  /// @param nodes where to send, in turn; a refused connection goes to the next one.
  background_load(const local_fleet& fleet, std::vector<std::string> nodes, unsigned threads);
  ~background_load();
  background_load(const background_load&) = delete;
  background_load& operator=(const background_load&) = delete;

  /// Stops sending and waits for the last answers.
  load_totals stop();
  [[nodiscard]] load_totals totals() const;
  /// Waits until that many more requests were completed.
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

/// @return what `client-answer` must give for an input.
std::string expected_client_answer(const std::string& input);

} // namespace spurrack::fleet
