/// Emulated replicas of the fault soak on loopback. A replica can misbehave, crash, and restart
/// under the same id, and checks the requests that it receives. Its callers are the nodes.
///
/// A stage of a request consists of pieces. The result of a piece stays at the replica that ran the
/// piece; the caller receives a handle, a text that identifies the result. Later stages receive
/// handles as their inputs.
#pragma once

#include "broken_answers.h"
#include "scripted_server.h"
#include "soak_recorder.h"

#include <boost/json.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace spurrack::platform_tests {

/// Behaviour of a replica.
enum class replica_mode : std::uint8_t {
  normal,
  failing,        ///< Answers every other `safe` or `unsafe` request with 500.
  shedding,       ///< Rejects every request without running it.
  losing_answers, ///< Runs requests, but resets some connections and truncates some streams.
  corrupting,     ///< Appends surplus bytes to answers or truncates answers.
  slow            ///< Takes longer to run each request.
};

/// Current incarnation of each replica. A new incarnation begins when a replica crashes, and
/// another one when the replica restarts. When an incarnation ends, the results that it produced
/// are lost. Thread-safe.
class replica_incarnations {
 public:
  struct incarnation {
    std::uint64_t number = 1;
    /// Time of the last crash or restart.
    soak_clock::time_point changed_at{};
  };

  /// Begins the next incarnation because the replica at an address crashed or restarted.
  void advance(const std::string& address);
  [[nodiscard]] incarnation current(const std::string& address) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, incarnation> incarnations_;
};

/// Emulated replica with its HTTP server. Thread-safe.
class soak_replica {
 public:
  /// @param version software version.
  /// @param published_address address of the fault proxy in front of the replica, at which callers
  ///        reach the replica; part of the handles of its results.
  soak_replica(std::string id, std::string service, std::string zone, std::string version,
               std::string published_address, replica_incarnations& incarnations,
               soak_recorder& recorder);

  void set_mode(replica_mode mode) { mode_ = mode; }
  /// Sets the number of requests per second that all callers together may send to the replica, as
  /// its answers announce; 0 if they announce no limit.
  void set_limit(unsigned per_second) { limit_ = per_second; }
  /// Sets whether the answers of the replica announce that the replica drains.
  void set_drain_announced(bool is_announced) { is_drain_announced_ = is_announced; }
  /// Makes the replica reject all requests and ask the callers for a backoff of this duration; 0
  /// makes the replica accept requests.
  void set_backoff(std::chrono::milliseconds backoff) { backoff_ = backoff; }
  /// Sets what determines which answers break off. The source must outlive the replica.
  void set_broken_answer_source(broken_answer_source& source) { broken_answers_ = &source; }
  /// Sets whether the next store entry has the state `draining`.
  void set_draining(bool draining) { is_draining_ = draining; }
  /// Makes the replica silent, as a stopped process is, or lets it go on where it was. A crash ends
  /// a silence.
  void set_silent(bool is_silent) { server_->set_silent(is_silent); }
  /// Crashes the replica at once: its running requests and its results are lost.
  void crash();
  /// Starts the replica again after `crash`, under the same id and without its earlier state.
  void restart();
  /// Starts the replica again after `crash`, with other software and under another store id.
  void restart_with(const std::string& version);

  /// @return whether the crashing request (`soak_request::crashing_path`) has crashed the replica
  ///         since the last call of this function.
  bool take_crashed_by_request() { return crashed_by_request_.exchange(false); }

  [[nodiscard]] std::string listen_address() const { return server_->address(); }
  [[nodiscard]] const std::string& published_address() const { return published_address_; }
  /// @return name of the replica, which it keeps for the whole run.
  [[nodiscard]] const std::string& id() const { return id_; }
  /// @return id under which the store lists the replica now.
  [[nodiscard]] std::string store_id() const;
  [[nodiscard]] std::string version() const;
  [[nodiscard]] const std::string& service() const { return service_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  /// @return next store entry of the replica, with the next sequence number.
  [[nodiscard]] std::string next_record();
  /// @return arrival times of the requests that were received since the last call of this function,
  ///         without requests meant for another replica (X-Expect-Replica).
  std::vector<soak_clock::time_point> take_arrivals();
  /// @return arrival time of the last received request, also if it was meant for another replica.
  [[nodiscard]] soak_clock::time_point last_arrival_at() const { return last_arrival_at_; }

 private:
  scripted_answer answer(const http_request& request);
  scripted_answer run(const http_request& request);
  /// @return header lines that announce the limit and the drain; empty if the replica announces
  ///         neither.
  [[nodiscard]] std::string self_report_headers() const;
  /// @return answer that states that the request was not executed, and asks for a backoff if one is
  ///         set.
  [[nodiscard]] scripted_answer rejection(const std::string& id) const;
  /// @return how an answer breaks off, recorded for each of its requests; std::nullopt if it does
  ///         not.
  std::optional<broken_answer> draw_broken_answer(const std::vector<std::string>& requests);
  /// Runs the pieces of a call and answers with the handles of the results.
  scripted_answer run_pieces(const http_request& request);
  boost::json::object run_piece(const boost::json::object& item, std::uint64_t call);
  /// @param run name of the run.
  scripted_answer stream(const http_request& request, const std::string& id,
                         const std::string& run);
  /// Checks the path, the body, the headers and the inputs of a request.
  void check_request(const http_request& request, const std::string& id);
  /// Records a violation if a request is confined to a region and this replica is in another
  /// region.
  void check_region(const std::string& id);
  /// Records a violation unless the inputs are the handles of the results of a stage of a request:
  /// one result for each piece of the stage, in the order of the pieces.
  /// @param stage stage that produced the inputs.
  void check_inputs(const std::vector<std::string>& inputs, const std::string& id,
                    std::size_t stage);
  /// Checks whether the results that a request takes as inputs still exist. A lost result is
  /// recorded as a violation if the last crash or restart of its replica was longer than
  /// `stale_result_timeout` ago, because callers must know of the crash by then.
  /// @param inputs handles of results.
  /// @return whether all results still exist.
  bool has_all_results(const std::vector<std::string>& inputs, const std::string& id);

  std::string id_;
  std::string service_;
  std::string zone_;
  /// Guards `version_` and `store_id_`.
  mutable std::mutex software_mutex_;
  std::string version_;
  std::string store_id_;
  std::string published_address_;
  replica_incarnations* incarnations_;
  soak_recorder* recorder_;
  std::atomic<replica_mode> mode_ = replica_mode::normal;
  std::atomic<unsigned> limit_ = 0;
  std::atomic<bool> is_drain_announced_ = false;
  std::atomic<std::chrono::milliseconds> backoff_ = std::chrono::milliseconds(0);
  std::atomic<broken_answer_source*> broken_answers_ = nullptr;
  std::mutex arrivals_mutex_;
  std::vector<soak_clock::time_point> arrivals_;
  std::atomic<bool> is_draining_ = false;
  std::atomic<bool> crashed_by_request_ = false;
  std::atomic<std::int64_t> started_at_milliseconds_;
  std::atomic<std::uint64_t> sequence_ = 0;
  std::atomic<std::uint64_t> call_count_ = 0;
  std::atomic<soak_clock::time_point> last_arrival_at_{soak_clock::time_point{}};
  std::unique_ptr<scripted_server> server_;
};

} // namespace spurrack::platform_tests
