/// Fleet of real processes on this machine: an emulated platform, emulated back ends, nodes, and a
/// fault proxy in front of the peer listener of each node and in front of each back end.
///
/// The platform publishes records for the nodes: pipeline templates, tenants, and the list of
/// machines, with one record for each node and each back end. A back end runs the calls of stages
/// that name its pool; an engine is a back end that generates tokens.
///
/// A request with a ticket or an idempotency key may be sent several times; its calls that must not
/// be repeated still run at most once. A ticket is the permission of a node to run one request
/// once. A request with a key runs only if a majority of the key's witnesses grant it the key. The
/// witnesses of a key are nodes chosen from the published list of nodes; each grants the key to the
/// first request that asks.
#pragma once

#include "child_process.h"
#include "http_client.h"

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace spurrack::fleet {

/// Node to start.
struct node_description {
  std::string name;
  std::string zone;
};

/// Emulated back end to start.
struct backend_description {
  std::string name;
  std::string zone;
  std::string pool;
  int concurrency = 8;
  /// Duration of a call in microseconds, without the time to generate tokens.
  int service_microseconds = 1'000;
  /// Time to generate one token, in microseconds.
  int token_microseconds = 500;
  /// Maximum number of calls in flight at the back end; the back end refuses further calls.
  int max_in_flight = 64;
};

struct fleet_description {
  std::vector<node_description> nodes;
  std::vector<backend_description> backends;
  /// Key and YAML value of each record that is published at the start of the fleet.
  std::map<std::string, std::string> records;
  /// Lifetime of an idempotency key. A restarted witness has lost its records of granted keys, so
  /// it grants no keys until it has been up for this time.
  int key_lifetime_ms = 1'000;
  /// Time after a change of the published list of nodes during which both a majority of the
  /// witnesses from the new list and a majority of the witnesses from the old list must grant a
  /// key.
  int list_window_ms = 3'600'000;
  /// YAML lines that are appended to the settings file of each node.
  std::string extra_settings;
  /// Whether connections to peer listeners and to back ends pass through the fault proxy.
  bool uses_proxy = true;
};

/// Addresses (`IP:port`) of a node's listeners.
struct node_addresses {
  std::string callers;
  std::string operators;
  std::string peers;
  /// Address to which peers connect: a listener of the fault proxy, or `peers` if the fleet has no
  /// proxy.
  std::string peers_advertised;
};

/// Starts and owns the processes of the fleet. Functions that wait for a condition throw
/// std::runtime_error if it does not hold within `wait_timeout`, except `wait_until`, which returns
/// false.
class local_fleet {
 public:
  static constexpr std::chrono::seconds wait_timeout{30};

  /// Starts the emulated platform, the back ends and the fault proxy, and publishes the records.
  /// Nodes are started by `start_node` or `start_all_nodes`.
  /// @param binaries folder that contains the programs.
  local_fleet(std::filesystem::path binaries, fleet_description description);
  ~local_fleet();

  /// Starts all nodes and waits until all nodes are ready.
  void start_all_nodes();
  /// Starts a node, or restarts a stopped node. Does not wait until the node is ready.
  void start_node(const std::string& name);
  /// Sets the YAML lines for the settings files of nodes that are started after this call.
  void set_extra_settings(const std::string& lines) { description_.extra_settings = lines; }
  /// Waits until a node is ready to accept requests.
  void wait_until_ready(const std::string& name);
  /// Waits until all nodes may grant idempotency keys as witnesses, that is until each has been up
  /// for `key_lifetime_ms`.
  void wait_until_all_may_witness();
  /// Polls a condition until the condition holds or `wait_timeout` has passed.
  /// @return whether the condition holds.
  static bool wait_until(const std::function<bool()>& condition);

  [[nodiscard]] child_process& node(const std::string& name) { return *nodes_.at(name); }
  [[nodiscard]] child_process& backend(const std::string& name) { return *backends_.at(name); }
  /// Kills the process of a node and destroys its `child_process`.
  void remove_node(const std::string& name) { nodes_.erase(name); }
  [[nodiscard]] const node_addresses& addresses(const std::string& name) const {
    return node_addresses_.at(name);
  }
  [[nodiscard]] std::string backend_address(const std::string& name) const {
    return backend_addresses_.at(name);
  }
  [[nodiscard]] const std::string& platform_address() const { return platform_address_; }

  /// Publishes records, given by key, at the emulated platform. The value std::nullopt deletes a
  /// record.
  void publish(const std::map<std::string, std::optional<std::string>>& records) const;
  /// Publishes the machine record of a back end again.
  /// @param state `live` or `leaving`.
  /// @param generation number that the platform increases each time the back end returns after it
  ///        left.
  void publish_backend(const std::string& name, const std::string& state, int generation) const;
  /// Sets how the emulated platform answers nodes.
  /// @param mode `up` (normally), `down` (resets the connection), `slow` (after a delay) or `stale`
  ///        (without new entries).
  void set_platform_mode(const std::string& mode) const;
  /// Sets the faults of links of the fault proxy.
  /// @param links names of the nodes or back ends to which the links lead.
  /// @param fault fields of the JSON body of the proxy's `/admin/fault`, such as `cut`. An absent
  ///        field clears the fault of this name.
  void set_link_fault(const std::vector<std::string>& links,
                      const boost::json::object& fault) const;
  /// Sets the fault that a back end injects into its calls.
  /// @param fault name of the fault, as listed in standins/backend_stand_in.cc.
  /// @param times number of calls to which the fault applies; std::nullopt for all further calls.
  void set_backend_fault(const std::string& name, const std::string& fault,
                         std::optional<int> times = std::nullopt) const;
  /// @return JSON document that the operator listener of a node serves at a path such as
  ///         `/v1/status`; an empty object on failure.
  [[nodiscard]] boost::json::object get_document(const std::string& node,
                                                 const std::string& path) const;
  /// @return number of calls that a back end has executed.
  [[nodiscard]] std::int64_t executions(const std::string& backend) const;
  [[nodiscard]] std::int64_t executions_in_pool(const std::string& pool) const;
  [[nodiscard]] const fleet_description& description() const { return description_; }
  /// Folder with the settings and logs of the processes. The destructor deletes the folder.
  [[nodiscard]] const std::filesystem::path& folder() const { return folder_; }

  /// Requests a ticket from a node.
  /// @param token access token of a tenant.
  /// @return the ticket; empty if the answer of the node contains none.
  [[nodiscard]] std::string request_ticket(const std::string& node, const std::string& token) const;
  /// Sends a pipeline request to the caller listener of a node and waits for the answer.
  [[nodiscard]] http_answer
  send_request(const std::string& node, const std::string& pipeline, const std::string& token,
               const boost::json::object& body,
               const std::map<std::string, std::string>& headers = {}) const;

 private:
  void start_platform();
  void start_backends();
  void start_proxy();
  [[nodiscard]] std::string make_settings_text(const node_description& node) const;
  [[nodiscard]] std::string make_machine_record(const backend_description& backend,
                                                const std::string& state, int generation) const;
  [[nodiscard]] const backend_description& find_backend(const std::string& name) const;

  std::filesystem::path binaries_;
  fleet_description description_;
  std::filesystem::path folder_;
  std::string platform_address_;
  std::string proxy_address_;
  std::map<std::string, node_addresses> node_addresses_;
  std::map<std::string, std::string> backend_addresses_;
  std::map<std::string, std::string> backend_advertised_;
  std::unique_ptr<child_process> platform_;
  std::unique_ptr<child_process> proxy_;
  std::map<std::string, std::unique_ptr<child_process>> backends_;
  std::map<std::string, std::unique_ptr<child_process>> nodes_;
};

} // namespace spurrack::fleet
