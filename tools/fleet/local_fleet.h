/// A fleet of real processes on this machine: platform, back ends, nodes, and a fault proxy before
/// every node's peer listener and every back end.
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

/// One node to start.
struct node_description {
  std::string name;
  std::string zone;
};

/// One back end to start.
struct backend_description {
  std::string name;
  std::string zone;
  std::string pool;
  int concurrency = 8;
  int service_microseconds = 1'000;
  int token_microseconds = 500;
  int max_in_flight = 64;
};

struct fleet_description {
  std::vector<node_description> nodes;
  std::vector<backend_description> backends;
  /// Key and YAML value of each record published at the start.
  std::map<std::string, std::string> records;
  /// Life of idempotency keys; witnesses grant only after it.
  int key_lifetime_ms = 1'000;
  int list_window_ms = 3'600'000;
  /// Further lines of every node's settings.
  std::string extra_settings;
  bool uses_proxy = true;
};

/// Where a running node listens.
struct node_addresses {
  std::string callers;
  std::string operators;
  std::string peers;
  std::string peers_advertised;
};

/// Owns all processes. Waits are on events, bounded by `wait_timeout`.
class local_fleet {
 public:
  static constexpr std::chrono::seconds wait_timeout{30};

  /// Starts the stand-ins and publishes; nodes are started by `start_node` or `start_all_nodes`.
  /// @param binaries folder with the programs.
  local_fleet(std::filesystem::path binaries, fleet_description description);
  ~local_fleet();

  void start_all_nodes();
  void start_node(const std::string& name);
  /// Further settings lines for nodes started from now on.
  void set_extra_settings(const std::string& lines) { description_.extra_settings = lines; }
  /// Waits until a node takes requests.
  void wait_until_ready(const std::string& name);
  /// Waits until all nodes may witness keys.
  void wait_until_all_may_witness();
  /// Waits for a condition. @return whether it came in time.
  static bool wait_until(const std::function<bool()>& condition);

  [[nodiscard]] child_process& node(const std::string& name) { return *nodes_.at(name); }
  [[nodiscard]] child_process& backend(const std::string& name) { return *backends_.at(name); }
  void remove_node(const std::string& name) { nodes_.erase(name); }
  [[nodiscard]] const node_addresses& addresses(const std::string& name) const {
    return node_addresses_.at(name);
  }
  [[nodiscard]] std::string backend_address(const std::string& name) const {
    return backend_addresses_.at(name);
  }
  [[nodiscard]] const std::string& platform_address() const { return platform_address_; }

  /// Publishes records; an absent value deletes.
  void publish(const std::map<std::string, std::optional<std::string>>& records) const;
  /// Publishes a back end's machine record with a state and generation.
  void publish_backend(const std::string& name, const std::string& state, int generation) const;
  void set_platform_mode(const std::string& mode) const;
  /// Sets a fault of links of the proxy: node or back-end names.
  void set_link_fault(const std::vector<std::string>& links,
                      const boost::json::object& fault) const;
  void set_backend_fault(const std::string& name, const std::string& fault,
                         std::optional<int> times = std::nullopt) const;
  /// @return a document of a node's operator listener, such as `/v1/status`.
  [[nodiscard]] boost::json::object get_document(const std::string& node,
                                                 const std::string& path) const;
  /// @return calls that a back end ran, for all requests together.
  [[nodiscard]] std::int64_t executions(const std::string& backend) const;
  [[nodiscard]] std::int64_t executions_in_pool(const std::string& pool) const;
  [[nodiscard]] const fleet_description& description() const { return description_; }
  [[nodiscard]] const std::filesystem::path& folder() const { return folder_; }

  /// @return a ticket issued by a node; empty where it gives none.
  [[nodiscard]] std::string request_ticket(const std::string& node, const std::string& token) const;
  /// Sends a pipeline request.
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
