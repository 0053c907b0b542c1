/// One run of the fault soak with one seed: faults, then calm, then planned work, all under load.
#pragma once

#include "foreign_entries.h"
#include "random_faults.h"
#include "soak_client.h"

#include "base/random.h"

#include <list>

namespace spurrack::platform_tests {

struct soak_options {
  soak_fleet_options fleet;
  std::chrono::milliseconds fault_duration{6'000};
  std::size_t phases = 1;
  std::size_t clients_per_node = 6;
  std::chrono::milliseconds ready_timeout{10'000};
  /// Rolling restarts of all nodes in each round.
  std::size_t rolling_restarts = 1;
};

class soak_run {
 public:
  soak_run(const std::filesystem::path& binaries, const soak_options& options, std::uint64_t seed);

  /// @return what was broken.
  std::vector<std::string> run();
  [[nodiscard]] std::map<std::string, std::size_t> counts() const { return recorder_.counts(); }
  /// @return resident bytes of all daemons as the load ended.
  [[nodiscard]] std::size_t resident_bytes() const { return resident_bytes_; }

 private:
  void start_clients();
  void stop_clients();
  /// Ends the faults and waits until the promises with a time bound hold.
  void recover();
  /// While nothing unplanned strikes: a replica drains, the entry of one cannot be read, a zone is
  /// evacuated, a key goes and comes back.
  void check_without_faults();
  /// A replica names how many requests a second it takes, and none afterwards.
  void check_rate_limited_replica();
  /// Replicas say in their answers that they leave, or want nothing for a while.
  void check_self_reporting_replicas();
  /// The store comes back from a copy taken before a key was taken away and a replica began to
  /// drain; both stay as they were, and what is written again counts.
  void check_store_rollback();
  void check_planned_work();
  void check_final_stops();
  void check_key(const std::string& key, unsigned expected);
  void check_success_rate(const std::map<std::string, std::size_t>& counts_before);
  void check_no_request_since(const soak_replica& replica, soak_clock::time_point quiet_since,
                              const std::string& rule, const std::string& why);
  /// A replica that is good again gets work.
  void check_used_again(const soak_replica& replica);
  soak_replica& random_replica_of(const std::string& service, base::random_source& random);

  soak_options options_;
  std::uint64_t seed_;
  base::seeded_random random_;
  soak_recorder recorder_;
  soak_fleet fleet_;
  foreign_entries foreign_entries_;
  random_faults faults_;
  std::atomic<bool> should_stop_clients_ = false;
  std::list<soak_client> clients_;
  std::vector<std::thread> client_threads_;
  std::size_t probes_ = 0;
  std::size_t resident_bytes_ = 0;
};

} // namespace spurrack::platform_tests
