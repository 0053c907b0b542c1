/// Fleet of the fault soak: real daemons, the emulated platform (store and replicas), and fault
/// proxies in front of the peer listener of each daemon and in front of each replica.
#pragma once

#include "soak_configuration.h"
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

/// Zone that the soak evacuates. Every service has a usable replica in the other zone, even while
/// one replica drains.
inline const std::string evacuated_zone = "west";

/// One node of the fleet, which runs as a daemon process. Only `soak_fleet` replaces and signals
/// the process.
struct soak_node {
  std::string name;
  std::string zone;
  std::string client_address;
  std::string readiness_address;
  std::string peer_address;
  /// Address of the fault proxy in front of the peer listener, at which other nodes reach the node.
  std::string advertised_peer_address;
  /// Address of the fault proxy in front of the store, at which the node reaches the store.
  std::string store_address;
  /// Whether the node is cut off or stopped, or was shortly before (`out_of_step_phase`).
  std::atomic<bool> is_out_of_step = false;
  /// Whether the node has received SIGTERM and has not been started again since.
  std::atomic<bool> is_stopping = false;
  std::atomic<soak_clock::time_point> started_at{soak_clock::time_point{}};
  /// Time of the latest SIGTERM.
  std::atomic<soak_clock::time_point> stop_began_at{soak_clock::time_point{}};
  /// Guards `process`.
  std::mutex process_mutex;
  std::unique_ptr<fleet::child_process> process;
};

/// @return name of the software version with a number, counted from 1.
std::string software_version(std::size_t number);

/// Time that the nodes have to react to a fault or a change. Requests that are sent later than this
/// after the last fault must receive complete answers.
constexpr std::chrono::milliseconds settle_time{4'000};

/// Time from SIGTERM to the time at which a node ends whatever it still does.
constexpr std::chrono::seconds stop_grace{8};

struct soak_fleet_options {
  std::size_t nodes = 4;
  /// Whether each zone is a separate region. If so, some requests are confined to the region of the
  /// zone `east`.
  bool two_regions = false;
  /// Number of software versions of the replicas of the service `model`. If there are several, the
  /// service has twice as many replicas.
  std::size_t software_versions = 1;
  /// Folder that contains the `spurrackd` of another build, for a fleet with nodes of both builds.
  /// The starts of all nodes are counted together, and every second start uses the other build.
  /// Empty if only one build is used.
  std::filesystem::path other_build;
  /// Folder for the logs, which stays after the run. If empty, the logs go to a temporary folder
  /// that is deleted after the run.
  std::filesystem::path logs;
};

/// Exit of a process.
struct soak_exit {
  /// Exit code; 128 + signal number if a signal ended the process.
  int code = 0;
  /// Whether the process exited before the timeout and was not killed.
  bool was_in_time = true;
};

/// Nodes of the fleet with their proxies, the store and the replicas. Any thread may start nodes,
/// signal their processes, wait for the exit of their processes, and read addresses and
/// `last_fault_at`. The store and the replicas are thread-safe. All other functions must be called
/// by one thread.
class soak_fleet {
 public:
  /// Starts the proxies and the nodes, and publishes the configuration and the replicas.
  /// @param binaries folder of the programs.
  soak_fleet(const std::filesystem::path& binaries, const soak_fleet_options& options,
             soak_recorder& recorder);
  ~soak_fleet();
  soak_fleet(const soak_fleet&) = delete;
  soak_fleet& operator=(const soak_fleet&) = delete;

  void start_node(soak_node& node);
  void signal(soak_node& node, int signal_number);
  /// Waits until the process of a node exits. Kills the process if it still runs after `timeout`.
  soak_exit wait_for_exit(soak_node& node, std::chrono::milliseconds timeout);
  [[nodiscard]] bool is_running(soak_node& node);
  /// @return resident memory of the processes of all nodes, in bytes.
  [[nodiscard]] std::size_t resident_bytes();
  /// @return false if the timeout passed before all nodes were ready.
  [[nodiscard]] bool wait_until_all_ready(std::chrono::milliseconds timeout);
  /// Publishes the next version of the configuration. It contains a route for confined requests if
  /// the fleet has two regions.
  void publish_configuration(configuration_contents contents);
  /// As above, with the routes of the clients only.
  /// @param with_extra_key whether the configuration contains the API key `extra`.
  void publish_configuration(bool with_extra_key) {
    publish_configuration(configuration_contents{.has_extra_key = with_extra_key});
  }
  /// Writes the store entry of a replica.
  void publish(soak_replica& replica);
  /// Deletes the store entry of a replica.
  void unpublish(const soak_replica& replica);
  /// Writes or deletes the store entry that evacuates a zone. Nodes send no requests to replicas of
  /// an evacuated zone.
  void set_evacuated(const std::string& zone, bool evacuated);
  /// @return name of the link from a node to the store.
  static std::string store_link_of(const soak_node& node) { return "store-" + node.name; }
  /// Sets the fault and the delay of the connections that lead through a fault proxy to one node
  /// (from other nodes), from one node to the store, or to one replica. Ends the fault if `fault`
  /// is empty and the delay is 0.
  /// @param name name of the node, link to the store (`store_link_of`), or id of the replica.
  /// @param fault `cut`: open connections are reset, and no connection can be opened; `black_hole`:
  ///        connections stay open, but bytes are held back; `held`: neither a byte nor an end of a
  ///        connection passes, and new connections hang; empty: no fault.
  void set_link_fault(const std::string& name, const std::string& fault,
                      int delay_milliseconds = 0) const;
  /// Writes valid or invalid settings, sends SIGHUP to the node, and writes valid settings again.
  void reload(soak_node& node, bool valid);
  [[nodiscard]] bool has_two_regions() const { return two_regions_; }
  [[nodiscard]] bool mixes_builds() const { return !other_build_.empty(); }

  std::vector<std::unique_ptr<soak_node>> nodes;
  std::vector<std::unique_ptr<soak_replica>> replicas;
  soak_store store;
  /// Time of the last fault. Planned maintenance is not a fault.
  std::atomic<soak_clock::time_point> last_fault_at{soak_clock::time_point{}};
  /// Latest time at which a supervisor restarted a replica at once (`broken_answer_phase`). Such a
  /// restart is not a fault.
  std::atomic<soak_clock::time_point> last_restart_at_once{soak_clock::time_point{}};
  /// Whether silences and planned work are in effect, but no faults (`silence_phase`).
  std::atomic<bool> has_silences = false;
  /// Whether clients with the mode `resuming` break their streams off (`out_of_step_phase`).
  std::atomic<bool> should_break_streams = false;
  /// Latest time at which a replica was silent. A silence is not a fault.
  std::atomic<soak_clock::time_point> last_silence_at{soak_clock::time_point{}};
  /// Time of the latest planned change while `has_silences` was set.
  std::atomic<soak_clock::time_point> last_change_at{soak_clock::time_point{}};

 private:
  /// Connections that a fault proxy forwards to one node, one replica or the store.
  struct proxied_link {
    /// Name of the node, link to the store, or id of the replica.
    std::string name;
    /// Address at which the proxy listens.
    std::string listen;
    /// Address to which the proxy forwards connections.
    std::string target;
  };

  void add_replica(const std::string& service, std::size_t number, const std::string& version);
  void write_settings(const soak_node& node, bool valid) const;
  void start_proxies();
  void start_proxy(const std::vector<proxied_link>& links);
  [[nodiscard]] std::string settings_path(const soak_node& node) const;

  std::filesystem::path binaries_;
  std::filesystem::path other_build_;
  std::atomic<std::size_t> start_count_ = 0;
  std::filesystem::path folder_;
  bool should_keep_logs_;
  bool two_regions_;
  std::vector<std::unique_ptr<fleet::child_process>> proxies_;
  /// Admin address of the fault proxy of each link, by name of the link.
  std::map<std::string, std::string> proxy_address_of_link_;
  replica_incarnations incarnations_;
  soak_recorder* recorder_;
  /// Version of the published configuration.
  std::uint64_t version_ = 0;
};

} // namespace spurrack::platform_tests
