/// Replicas of the fault soak on loopback. They misbehave on request, crash and restart under the
/// same id, and check the requests that they receive.
#pragma once

#include "scripted_server.h"
#include "soak_recorder.h"

#include <boost/json.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace spurrack::platform_tests {

/// Behaviour of a replica.
enum class replica_mode : std::uint8_t {
  normal,
  failing,        ///< Answers every second plain request with 500.
  shedding,       ///< Rejects every request without running it.
  losing_answers, ///< Runs requests, but may reset the connection or break off the stream.
  corrupting,     ///< Appends surplus bytes to answers or breaks answers off.
  slow            ///< Works longer on each request.
};

/// Current incarnation of each replica. Results are lost with the incarnation that produced them.
/// Thread-safe.
class replica_incarnations {
 public:
  struct incarnation {
    std::uint64_t number = 1;
    /// Time of the last crash or restart.
    soak_clock::time_point changed_at{};
  };

  /// Begins the next incarnation: the replica at the address crashed or restarted.
  void advance(const std::string& address);
  /// @return current incarnation of the replica at an address.
  [[nodiscard]] incarnation current(const std::string& address) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, incarnation> incarnations_;
};

/// Replica with its server. Thread-safe.
class soak_replica {
 public:
  /// @param published_address address at which callers reach the replica. Handles of results
  ///        contain it.
  soak_replica(std::string id, std::string service, std::string zone, std::string published_address,
               replica_incarnations& incarnations, soak_recorder& recorder);

  void set_mode(replica_mode mode) { mode_ = mode; }
  /// Announces a limit in the answers: requests per second of all callers together; 0: no limit.
  void set_limit(unsigned per_second) { limit_ = per_second; }
  /// Sets whether answers announce that the replica drains.
  void set_drain_announced(bool is_announced) { is_drain_announced_ = is_announced; }
  /// Rejects all requests and requests this backoff of the callers; 0: accepts requests.
  void set_backoff(std::chrono::milliseconds backoff) { backoff_ = backoff; }
  /// Sets whether the next store entry has the state `draining`.
  void set_draining(bool draining) { is_draining_ = draining; }
  /// Crashes at once: running requests and all results are lost.
  void crash();
  /// Starts again after `crash` under the same id, without earlier state.
  void restart();

  /// @return whether the crashing request crashed the replica since the last call of this function.
  bool take_crashed_by_request() { return crashed_by_request_.exchange(false); }

  [[nodiscard]] std::string listen_address() const { return server_->address(); }
  [[nodiscard]] const std::string& published_address() const { return published_address_; }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const std::string& service() const { return service_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  /// @return next store entry of the replica, with the next sequence number.
  [[nodiscard]] std::string next_record();
  /// @return arrival times of the requests since the last call of this function, without requests
  ///         that expected another replica.
  std::vector<soak_clock::time_point> take_arrivals();
  /// @return arrival time of the last request, including requests that expected another replica.
  [[nodiscard]] soak_clock::time_point last_arrival_at() const { return last_arrival_at_; }

 private:
  scripted_answer answer(const http_request& request);
  scripted_answer run(const http_request& request);
  /// @return header lines with the limit and the drain announcement; empty if there are none.
  [[nodiscard]] std::string self_report_headers() const;
  /// @return answer that the request was not executed, with the requested backoff.
  [[nodiscard]] scripted_answer rejection(const std::string& id) const;
  /// Runs the pieces of a call and returns their handles.
  scripted_answer run_pieces(const http_request& request);
  boost::json::object run_piece(const boost::json::object& item, std::uint64_t call);
  scripted_answer stream(const http_request& request, const std::string& id);
  /// Checks the path, the body, the headers and the inputs of a request.
  void check(const http_request& request, const std::string& id);
  /// Records a violation if a confined request, or a piece of it, runs outside its region.
  void check_region(const std::string& id);
  /// Checks that the inputs are the results of all pieces of a stage of the request.
  void check_inputs(const std::vector<std::string>& inputs, const std::string& id,
                    std::size_t stage);
  /// Records a violation for each result that was lost long ago.
  /// @return whether all results still exist.
  bool has_all_results(const std::vector<std::string>& inputs, const std::string& id);

  std::string id_;
  std::string service_;
  std::string zone_;
  std::string published_address_;
  replica_incarnations* incarnations_;
  soak_recorder* recorder_;
  std::atomic<replica_mode> mode_ = replica_mode::normal;
  std::atomic<unsigned> limit_ = 0;
  std::atomic<bool> is_drain_announced_ = false;
  std::atomic<std::chrono::milliseconds> backoff_ = std::chrono::milliseconds(0);
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
