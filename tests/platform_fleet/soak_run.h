/// One run of the fault soak (fault_soak.cc) with one seed: injects faults, checks the fleet
/// without faults, and does planned maintenance, all under load.
#pragma once

#include "broken_answers.h"
#include "foreign_entries.h"
#include "random_faults.h"
#include "soak_client.h"

#include "base/random.h"

#include <list>

namespace spurrack::platform_tests {

struct soak_options {
  soak_fleet_options fleet;
  /// Time for which faults are injected in each phase.
  std::chrono::milliseconds fault_duration{6'000};
  /// Number of phases. Each phase consists of faults, checks without faults, and planned
  /// maintenance.
  std::size_t phases = 1;
  std::size_t clients_per_node = 6;
  /// Maximum time until all nodes are ready after the start, after faults and after a rolling
  /// restart.
  std::chrono::milliseconds ready_timeout{10'000};
  /// Whether the software of the replicas of the service `model` changes during the faults, one
  /// replica after the other.
  bool should_roll_software = false;
  /// Whether each phase ends with replicas that are silent beside planned work (`silence_phase`).
  bool has_silences = false;
  /// Whether each phase ends with a node that is out of step while the software changes
  /// (`out_of_step_phase`).
  bool has_node_out_of_step = false;
  /// Number of rolling restarts of all nodes in each phase.
  std::size_t rolling_restarts = 1;
};

/// Run of the fault soak, with its fleet and its clients. Not thread-safe.
class soak_run {
 public:
  soak_run(const std::filesystem::path& binaries, const soak_options& options, std::uint64_t seed);

  /// Runs all phases. Must be called only once.
  /// @return violations, each as the name of the violated invariant and a detail.
  std::vector<std::string> run();
  /// @return counts of answers, faults and observations by label.
  [[nodiscard]] std::map<std::string, std::size_t> counts() const { return recorder_.counts(); }
  /// @return resident memory of all daemons in bytes at the end of the load.
  [[nodiscard]] std::size_t resident_bytes() const { return resident_bytes_; }

 private:
  void start_clients();
  void stop_clients();
  /// Ends all faults. Waits until all nodes are ready and `settle_time` has passed since the last
  /// fault. Then checks that the replica that was restarted last receives requests.
  void recover();
  /// Checks how the fleet reacts to four changes while there are no faults: a replica drains, the
  /// store entry of another replica cannot be parsed, a zone is evacuated, and an API key is
  /// removed. At the same time, puts the foreign entries into the store. Then reverts the four
  /// changes, and checks that both replicas receive requests again and that the API key is accepted
  /// again.
  void check_without_faults();
  /// Checks that a replica that announces a request rate limit does not receive too many requests,
  /// and receives requests again after it has withdrawn the limit.
  void check_rate_limited_replica();
  /// Checks that nodes obey a replica that requests a backoff and a replica that announces a drain,
  /// and that both replicas receive requests again afterwards.
  void check_self_reporting_replicas();
  /// Takes a snapshot of the store, makes two changes (removes an API key and lets a replica
  /// drain), and rolls the store back to the snapshot. Checks that both changes stay in effect
  /// after the rollback, and that nodes apply entries that are written after the rollback.
  void check_store_rollback();
  /// Runs the rolling restarts and checks that all nodes become ready again.
  void check_planned_maintenance();
  /// Runs the phase of broken answers. Then checks that requests are served again.
  void check_broken_answers();
  /// Runs the silences beside planned work. Then checks that all nodes become ready again, and that
  /// requests are served again.
  void check_silences();
  /// Puts a node out of step while the software of the replicas changes. Then checks that all nodes
  /// become ready again, and that requests are served again.
  void check_node_out_of_step();
  /// Takes all keys, or the only tenant, out of the configuration and checks that nobody is served;
  /// then checks that the keys are allowed again once they are back.
  void check_revocation_of_all_keys();
  /// Stops all nodes gracefully and checks that they exit in time.
  void check_final_stops();
  /// Sends a request with an API key to every node and checks the status of each answer.
  void check_api_key(const std::string& key, unsigned expected);
  /// Checks that at least 90% of the requests since the time of `counts_before` were answered with
  /// 200.
  /// @param counts_before counts of the recorder at the start of the observed time.
  void check_success_rate(const std::map<std::string, std::size_t>& counts_before);
  /// Checks that a replica received no request after `quiet_since`.
  /// @param rule name of the invariant that such a request violates.
  /// @param reason why the replica must not receive requests; part of the text of the violation.
  void check_no_request_since(const soak_replica& replica, soak_clock::time_point quiet_since,
                              const std::string& rule, const std::string& reason);
  /// Checks that a replica that is usable again receives a request within `first_request_timeout`.
  void check_used_again(const soak_replica& replica);
  soak_replica& random_replica_of(const std::string& service, base::random_source& random);

  soak_options options_;
  std::uint64_t seed_;
  base::seeded_random random_;
  soak_recorder recorder_;
  broken_answer_source broken_answers_;
  soak_fleet fleet_;
  foreign_entries foreign_entries_;
  random_faults faults_;
  std::atomic<bool> should_stop_clients_ = false;
  std::list<soak_client> clients_;
  std::vector<std::thread> client_threads_;
  /// Number of requests that `check_api_key` has sent; makes the ids of these requests unique.
  std::size_t probe_count_ = 0;
  std::size_t resident_bytes_ = 0;
};

} // namespace spurrack::platform_tests
