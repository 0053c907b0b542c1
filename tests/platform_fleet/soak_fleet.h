/// Real daemons, fault proxies and the stand-ins of the platform, for the fault soak.
#pragma once

#include "soak_replica.h"
#include "soak_store.h"

#include "fleet/child_process.h"

#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace spurrack::platform_tests {

/// Entries of replicas stand under it in the store.
inline const std::string replica_key_prefix = "servers/";

/// Every service has a replica outside this zone, also while one drains.
inline const std::string evacuated_zone = "west";

/// One daemon. Its process is replaced and signalled by `soak_fleet` alone.
struct soak_node {
  std::string name;
  std::string zone;
  std::string client_address;
  std::string readiness_address;
  std::string peer_address;
  std::string advertised_peer_address;
  /// A planned stop is under way.
  std::atomic<bool> is_stopping = false;
  std::atomic<soak_clock::time_point> started_at{soak_clock::time_point{}};
  /// Guards `process`.
  std::mutex process_mutex;
  std::unique_ptr<fleet::child_process> process;
};

/// Promises with a time bound, and that no request is lost, hold where nothing but planned work has
/// struck for this long before a request.
constexpr std::chrono::milliseconds settle_time{4'000};

struct soak_fleet_options {
  std::size_t nodes = 4;
  /// Each zone is a region of its own, and some requests are held to that of the zone `east`.
  bool two_regions = false;
  /// Folder of another build's `spurrackd`: every second start of a daemon is one of that build, so
  /// that each is replaced by the other in turn; empty: one build only.
  std::filesystem::path other_build;
  /// Folder of logs that stay after the run; empty: a temporary one that goes.
  std::filesystem::path logs;
};

/// How a process ended.
struct soak_exit {
  int code = 0;
  bool was_in_time = true;
};

/// Thread-safe as far as clients and planned stops need it: processes may be signalled, started and
/// awaited, addresses and `last_fault_at` read at any time.
class soak_fleet {
 public:
  /// @param binaries where the programs are.
  soak_fleet(const std::filesystem::path& binaries, const soak_fleet_options& options,
             soak_recorder& recorder);
  ~soak_fleet();
  soak_fleet(const soak_fleet&) = delete;
  soak_fleet& operator=(const soak_fleet&) = delete;

  void start_node(soak_node& node);
  void signal(soak_node& node, int number);
  /// Waits for the end of a process, and kills it where it does not end in time.
  soak_exit wait_for_exit(soak_node& node, std::chrono::milliseconds timeout);
  [[nodiscard]] bool is_running(soak_node& node);
  /// @return resident bytes of all daemons.
  [[nodiscard]] std::size_t resident_bytes();
  [[nodiscard]] bool wait_until_all_ready(std::chrono::milliseconds timeout);
  /// Publishes a configuration; `with_extra_key` says whether the key `extra` holds.
  void publish_configuration(bool with_extra_key);
  void publish(soak_replica& replica);
  void unpublish(const soak_replica& replica);
  /// Asks that nothing be sent to the replicas of a zone, or takes that back.
  void set_evacuated(const std::string& zone, bool evacuated);
  /// Sets a fault of a node's peer link or a replica's link; no flag heals it.
  void set_link_fault(const std::string& name, const std::string& fault,
                      int delay_milliseconds = 0) const;
  /// SIGHUP with settings that hold or do not; those that hold stand in the file afterwards.
  void reload(soak_node& node, bool valid);
  [[nodiscard]] bool has_two_regions() const { return two_regions_; }
  [[nodiscard]] bool mixes_builds() const { return !other_build_.empty(); }

  std::vector<std::unique_ptr<soak_node>> nodes;
  std::vector<std::unique_ptr<soak_replica>> replicas;
  soak_store store;
  /// When anything but planned work struck last.
  std::atomic<soak_clock::time_point> last_fault_at{soak_clock::time_point{}};

 private:
  struct proxied_link {
    std::string name;
    std::string listen;
    std::string target;
  };

  void add_replica(const std::string& service, std::size_t number);
  void write_settings(const soak_node& node, bool valid) const;
  void start_proxies();
  void start_proxy(const std::vector<proxied_link>& links);
  /// @return the route of requests that are held to a region, after a comma; empty without regions.
  [[nodiscard]] std::string confined_route() const;
  [[nodiscard]] std::string settings_path(const soak_node& node) const;

  std::filesystem::path binaries_;
  std::filesystem::path other_build_;
  std::atomic<std::size_t> start_count_ = 0;
  std::filesystem::path folder_;
  bool should_keep_logs_;
  bool two_regions_;
  std::vector<std::unique_ptr<fleet::child_process>> proxies_;
  /// Address of the proxy of each link.
  std::map<std::string, std::string> proxy_of_link_;
  replica_incarnations incarnations_;
  soak_recorder* recorder_;
  std::uint64_t version_ = 0;
};

} // namespace spurrack::platform_tests
