/// Real daemons, fault proxies and the stand-ins of the platform, for the fault soak.
#pragma once

#include "soak_world.h"

#include "fleet/child_process.h"

#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace spurrack::platform_tests {

/// One daemon. Disturbances are noted, so that checks know when the promises with a time bound
/// hold.
struct soak_node {
  std::string name;
  std::string zone;
  std::string clients;
  std::string readiness;
  std::string peers;
  std::string peers_advertised;
  std::unique_ptr<fleet::child_process> process;
  /// The process was disturbed last: killed, frozen, stopped or cut off.
  std::atomic<soak_clock::time_point> disturbed_at{soak_clock::time_point{}};
};

/// Thread-safe as far as clients need it: addresses and `disturbed_at` may be read at any time.
class soak_fleet {
 public:
  /// @param two_regions each zone is a region of its own, and some requests are held to that of the
  ///        zone `east`.
  soak_fleet(const std::filesystem::path& binaries, std::size_t nodes, bool two_regions,
             soak_ledger& ledger);
  ~soak_fleet();
  soak_fleet(const soak_fleet&) = delete;
  soak_fleet& operator=(const soak_fleet&) = delete;

  void start_node(soak_node& node);
  [[nodiscard]] bool wait_all_ready(std::chrono::milliseconds patience);
  /// Publishes a configuration; `with_extra_key` says whether the key `extra` holds.
  void publish_configuration(bool with_extra_key);
  void publish(const soak_replica& replica);
  /// Asks that nothing be sent to the replicas of a zone, or takes that back.
  void set_evacuated(const std::string& zone, bool evacuated);
  /// Sets a fault of a node's peer link or a replica's link; no flag heals it.
  void set_link(const std::string& name, const std::string& flag, int delay_milliseconds = 0) const;
  void write_settings(const soak_node& node, bool valid) const;
  [[nodiscard]] bool has_two_regions() const { return two_regions_; }

  std::vector<std::unique_ptr<soak_node>> nodes;
  std::vector<std::unique_ptr<soak_replica>> replicas;
  soak_store store;
  /// When anything at all was disturbed last.
  std::atomic<soak_clock::time_point> disturbed_at{soak_clock::time_point{}};

 private:
  void add_replica(const std::string& service, std::size_t number);
  void start_proxy(const std::filesystem::path& binaries);
  /// @return the route of requests that are held to a region, after a comma; empty without regions.
  [[nodiscard]] std::string held_route() const;
  [[nodiscard]] std::string settings_path(const soak_node& node) const;

  std::filesystem::path binaries_;
  std::filesystem::path folder_;
  std::string proxy_address_;
  bool two_regions_;
  std::unique_ptr<fleet::child_process> proxy_;
  soak_ledger* ledger_;
  std::uint64_t version_ = 0;
};

} // namespace spurrack::platform_tests
