/// Replicas of the fault soak on loopback. They misbehave on request, end and start again under the
/// id that they had, and check what they are asked.
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

/// How a replica behaves.
enum class replica_mode : std::uint8_t {
  normal,
  failing,
  shedding,
  losing_answers,
  corrupting,
  slow
};

/// Which start of each replica runs: results die with the start that made them. Thread-safe.
class replica_incarnations {
 public:
  struct incarnation {
    std::uint64_t number = 1;
    soak_clock::time_point changed_at{};
  };

  /// A replica ended or started again.
  void advance(const std::string& address);
  /// @return the start that runs now at an address.
  [[nodiscard]] incarnation current(const std::string& address) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, incarnation> incarnations_;
};

/// One replica with its server. Thread-safe.
class soak_replica {
 public:
  /// @param published_address under which callers reach it, and which handles of results name.
  soak_replica(std::string id, std::string service, std::string zone, std::string published_address,
               replica_incarnations& incarnations, soak_recorder& recorder);

  void set_mode(replica_mode mode) { mode_ = mode; }
  /// Names in its answers the requests a second that it takes from all callers; 0: names none.
  void set_limit(unsigned per_second) { limit_ = per_second; }
  /// Says in its answers that it leaves.
  void set_drain_announced(bool leaving) { is_drain_announced_ = leaving; }
  /// Turns all requests away and asks for this pause; 0: takes them.
  void set_backoff(std::chrono::milliseconds pause) { backoff_ = pause; }
  void set_draining(bool draining) { is_draining_ = draining; }
  /// Ends at once, with all that runs and all results.
  void crash();
  /// Runs again under its id after `crash`; it knows nothing of before.
  void restart();

  /// @return whether it ended under the request that ends replicas since the last call.
  bool take_crashed_by_request() { return crashed_by_request_.exchange(false); }

  [[nodiscard]] std::string listen_address() const { return server_->address(); }
  [[nodiscard]] const std::string& published_address() const { return published_address_; }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const std::string& service() const { return service_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  /// @return its next entry in the store.
  [[nodiscard]] std::string next_record();
  /// @return requests that arrived since the last call and were meant for it.
  std::vector<soak_clock::time_point> take_arrivals();
  /// @return when the last request arrived.
  [[nodiscard]] soak_clock::time_point last_arrival_at() const { return last_arrival_at_; }

 private:
  scripted_answer answer(const http_request& request);
  scripted_answer run(const http_request& request);
  /// @return header lines with what it says of itself; empty where it says nothing.
  [[nodiscard]] std::string self_report_headers() const;
  /// @return an answer that says it has not run the request and asks for the pause.
  [[nodiscard]] scripted_answer rejection(const std::string& id) const;
  scripted_answer run_pieces(const http_request& request);
  boost::json::object run_piece(const boost::json::object& item, std::uint64_t call);
  scripted_answer stream(const http_request& request, const std::string& id);
  void check(const http_request& request, const std::string& id);
  /// A request, or a piece of one, is worked on here.
  void check_region(const std::string& id);
  void check_inputs(const std::vector<std::string>& inputs, const std::string& id,
                    std::size_t stage);
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
  std::atomic<std::uint64_t> calls_ = 0;
  std::atomic<soak_clock::time_point> last_arrival_at_{soak_clock::time_point{}};
  std::unique_ptr<scripted_server> server_;
};

} // namespace spurrack::platform_tests
