/// Real daemons of which some are out of step: cut off from other nodes and from the store by fault
/// proxies, or stopped, while replicas of a second software version are published.
#pragma once

#include "soak_store.h"
#include "supervised_replica.h"

#include "fleet/child_process.h"

#include <array>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace spurrack::platform_tests {

using test_clock = std::chrono::steady_clock;

/// Time that clients allow a stream, and timeout of the routes.
inline constexpr std::chrono::milliseconds stream_timeout{3'500};

/// Node of the fleet. The atomic members may be read on any thread.
struct stepping_node {
  std::string name;
  std::string zone;
  std::string client_address;
  std::string readiness_address;
  std::string peer_address;
  /// Addresses of the fault proxy before the peer listener and before the store.
  std::string advertised_peer_address;
  std::string store_address;
  std::unique_ptr<fleet::child_process> process;
  /// Whether the node is cut off, stands, or did shortly before.
  std::atomic<bool> is_out_of_step = false;
  /// Time at which the process last went on after a stop.
  std::atomic<test_clock::time_point> stand_ended_at{test_clock::time_point{}};
  /// Time at which the process was last killed.
  std::atomic<test_clock::time_point> killed_at{test_clock::time_point{}};
};

/// Service with replicas of `v1`, which gets replicas of `v2` later.
struct stepping_service {
  std::string name;
  /// Whether replicas of `v2` have been published, or are about to be.
  std::atomic<bool> has_second_version = false;
  std::vector<std::unique_ptr<supervised_replica>> replicas;
};

/// Fault of the connections that lead through a fault proxy, by the name in its requests.
enum class link_fault : std::uint8_t { none, cut, black_hole, held };

/// Three daemons in two zones, the store, replicas and a fault proxy. The first two nodes are in
/// one zone. Unless noted otherwise, not thread-safe.
class out_of_step_fleet {
 public:
  static constexpr std::size_t node_count = 3;

  /// Starts all and waits until the nodes are ready.
  /// @param folder folder for settings and logs; created, not deleted.
  /// @param services number of services `s0`, `s1`, …, each with two replicas of `v1`.
  /// @param options of all replicas; service and zone are set by the fleet.
  /// @throws std::runtime_error if a process does not start or a node does not become ready.
  out_of_step_fleet(std::filesystem::path folder, std::size_t services, std::uint64_t seed,
                    supervised_replica_options options);
  ~out_of_step_fleet();
  out_of_step_fleet(const out_of_step_fleet&) = delete;
  out_of_step_fleet& operator=(const out_of_step_fleet&) = delete;

  /// Publishes two replicas of `v2`.
  void add_second_version(stepping_service& service);
  /// Sets the fault of the connections from other nodes to a node. The node hears no other node
  /// while they are cut or held back, but is heard.
  void set_peer_fault(const stepping_node& node, link_fault fault) const;
  /// Sets the fault of the connections from a node to the store.
  void set_store_fault(const stepping_node& node, link_fault fault) const;
  /// Delays what a node receives from other nodes and what passes between it and the store.
  void set_delay(const stepping_node& node, std::chrono::milliseconds delay) const;
  void stop(stepping_node& node) const;
  /// Lets a stopped process go on.
  void go_on(stepping_node& node) const;
  void kill(stepping_node& node) const;
  void start(stepping_node& node) const;

  std::array<stepping_node, node_count> nodes;
  std::vector<std::unique_ptr<stepping_service>> services;

 private:
  void add_replica(stepping_service& service, const std::string& version, const std::string& zone);
  void start_proxy();
  void set_fault(const std::string& link, link_fault fault,
                 std::chrono::milliseconds delay = {}) const;
  void write_settings(const stepping_node& node) const;
  [[nodiscard]] std::string path_of(const stepping_node& node, const std::string& suffix) const;

  std::filesystem::path folder_;
  std::uint64_t seed_;
  supervised_replica_options options_;
  soak_store store_;
  std::string proxy_address_ = fleet::find_free_address();
  std::unique_ptr<fleet::child_process> proxy_;
};

} // namespace spurrack::platform_tests
