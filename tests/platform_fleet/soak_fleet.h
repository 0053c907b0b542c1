/// Fleet of the fault soak: real daemons, fault proxies on the links between them, and the emulated
/// platform (store and replicas).
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

/// Prefix of the store keys of replicas.
inline const std::string replica_key_prefix = "servers/";

/// Zone that the soak evacuates. Every service has a usable replica in the other zone, even if one
/// replica drains.
inline const std::string evacuated_zone = "west";

/// One daemon of the fleet. Only `soak_fleet` replaces and signals the process of the daemon.
struct soak_node {
  std::string name;
  std::string zone;
  std::string client_address;
  std::string readiness_address;
  std::string peer_address;
  std::string advertised_peer_address;
  /// Whether the process has received SIGTERM and the node was not started again.
  std::atomic<bool> is_stopping = false;
  std::atomic<soak_clock::time_point> started_at{soak_clock::time_point{}};
  /// Guards `process`.
  std::mutex process_mutex;
  std::unique_ptr<fleet::child_process> process;
};

/// Time after the last fault from which on the invariants with a time limit must hold and no
/// request that is sent may be lost. Planned maintenance is not a fault.
constexpr std::chrono::milliseconds settle_time{4'000};

struct soak_fleet_options {
  /// Number of daemons.
  std::size_t nodes = 4;
  /// Each zone is a separate region, and some requests are confined to the region of the zone
  /// `east`.
  bool two_regions = false;
  /// Folder of another build's `spurrackd`. Every second start of a daemon uses that build, so that
  /// daemons of both builds replace each other. Empty: one build only.
  std::filesystem::path other_build;
  /// Folder of logs that are kept after the run. Empty: a temporary folder that is removed.
  std::filesystem::path logs;
};

/// Exit of a process.
struct soak_exit {
  /// Exit code; 128 + signal if a signal ended the process.
  int code = 0;
  /// Whether the process exited before the timeout and was not killed.
  bool was_in_time = true;
};

/// Fleet of daemons with its proxies, store and replicas. Any thread may signal processes, start
/// them and wait for them, and read addresses and `last_fault_at`. The store and the replicas are
/// thread-safe. All other functions must be called by one thread.
class soak_fleet {
 public:
  /// Starts proxies and daemons and publishes the configuration and the replicas.
  /// @param binaries folder of the programs.
  soak_fleet(const std::filesystem::path& binaries, const soak_fleet_options& options,
             soak_recorder& recorder);
  ~soak_fleet();
  soak_fleet(const soak_fleet&) = delete;
  soak_fleet& operator=(const soak_fleet&) = delete;

  /// Starts a process for a node.
  void start_node(soak_node& node);
  /// Sends a signal to the process of a node.
  void signal(soak_node& node, int number);
  /// Waits for the exit of the process of a node, and kills the process if it does not exit in
  /// time.
  soak_exit wait_for_exit(soak_node& node, std::chrono::milliseconds timeout);
  [[nodiscard]] bool is_running(soak_node& node);
  /// @return resident memory of all daemons in bytes.
  [[nodiscard]] std::size_t resident_bytes();
  /// Waits until all nodes are ready. @return whether they were ready in time.
  [[nodiscard]] bool wait_until_all_ready(std::chrono::milliseconds timeout);
  /// Publishes the next version of the configuration.
  /// @param with_extra_key whether the API key `extra` is valid.
  void publish_configuration(bool with_extra_key);
  /// Writes the store entry of a replica.
  void publish(soak_replica& replica);
  /// Deletes the store entry of a replica.
  void unpublish(const soak_replica& replica);
  /// Writes or deletes the store entry that evacuates a zone. Nodes send no requests to replicas of
  /// an evacuated zone.
  void set_evacuated(const std::string& zone, bool evacuated);
  /// Sets the fault and the delay of the peer link of a node or of the link to a replica. Ends the
  /// fault of the link if `fault` is empty and the delay is 0.
  /// @param name name of the node or id of the replica.
  /// @param fault `cut`: no connection can be opened and open connections are reset; `black_hole`:
  ///        connections stay open but bytes are held back; empty: no fault.
  void set_link_fault(const std::string& name, const std::string& fault,
                      int delay_milliseconds = 0) const;
  /// Writes valid or invalid settings, sends SIGHUP to the node, and writes valid settings again.
  void reload(soak_node& node, bool valid);
  [[nodiscard]] bool has_two_regions() const { return two_regions_; }
  [[nodiscard]] bool mixes_builds() const { return !other_build_.empty(); }

  std::vector<std::unique_ptr<soak_node>> nodes;
  std::vector<std::unique_ptr<soak_replica>> replicas;
  soak_store store;
  /// Time of the last fault. Planned maintenance does not count.
  std::atomic<soak_clock::time_point> last_fault_at{soak_clock::time_point{}};

 private:
  /// Link through a fault proxy.
  struct proxied_link {
    /// Name of the node or id of the replica at the end of the link.
    std::string name;
    /// Address at which the proxy listens.
    std::string listen;
    /// Address to which the proxy forwards connections.
    std::string target;
  };

  void add_replica(const std::string& service, std::size_t number);
  void write_settings(const soak_node& node, bool valid) const;
  void start_proxies();
  void start_proxy(const std::vector<proxied_link>& links);
  /// @return JSON of the route of requests that are confined to a region, with a leading comma;
  ///         empty unless the fleet has two regions.
  [[nodiscard]] std::string confined_route() const;
  [[nodiscard]] std::string settings_path(const soak_node& node) const;

  std::filesystem::path binaries_;
  std::filesystem::path other_build_;
  std::atomic<std::size_t> start_count_ = 0;
  std::filesystem::path folder_;
  bool should_keep_logs_;
  bool two_regions_;
  std::vector<std::unique_ptr<fleet::child_process>> proxies_;
  /// Admin address of the proxy of each link, by the name of the link.
  std::map<std::string, std::string> proxy_of_link_;
  replica_incarnations incarnations_;
  soak_recorder* recorder_;
  /// Version of the published configuration.
  std::uint64_t version_ = 0;
};

} // namespace spurrack::platform_tests
