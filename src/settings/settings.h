/// Settings of one spurrackd, parsed from a YAML file and validated before the process starts any
/// work. docs/operators/settings.md describes every field.
#pragma once

#include "model/yaml_reader.h"
#include "node/node.h"

#include <optional>
#include <string>
#include <vector>

namespace spurrack::settings {

/// CURVE key pair that all nodes of a fleet share, encoded as Z85.
struct curve_keys {
  std::string public_key;
  std::string secret_key;
};

/// Limits of the HTTP listener for callers, the users of spurrack's own pipelines interface.
struct caller_limits {
  std::size_t max_body_bytes = 1'000'000;
  std::size_t max_header_bytes = 8'192;
  /// Maximum time that a caller may take to send a request, from its first byte.
  base::duration receive_timeout = std::chrono::seconds(10);
  /// Maximum time that a connection may be idle between requests.
  base::duration idle_timeout = std::chrono::seconds(60);
  std::size_t max_connections = 4'096;
};

/// Addresses of the serving path, as `IP:port`.
struct serving_endpoints {
  /// Listener for the requests of clients of published routes.
  std::string listen;
  /// Listener for the readiness check of the load balancer: whether this node accepts new requests.
  std::string readiness_listen;
  /// The platform's metadata store.
  std::string store;
};

/// Settings of one process. Addresses are `IP:port`.
struct daemon_settings {
  node::node_settings node;
  /// Address on which this node listens for peers. The address that is announced to the peers is
  /// `node.self.address`, which may differ.
  std::string peer_listen;
  /// Listener for callers; empty if the node serves published routes instead of callers.
  std::string caller_listen;
  std::string operator_listen;
  /// The two services of the platform; empty if the node serves published routes, since it then
  /// reads the store at `serving_endpoints::store` instead.
  std::string configuration_service;
  std::string machine_list_service;
  /// Set if the node serves published routes; `node.serving` is then set as well.
  std::optional<serving_endpoints> serving;
  std::optional<curve_keys> curve;
  caller_limits callers;
};

struct settings_result {
  /// std::nullopt if the settings have any faults.
  std::optional<daemon_settings> value;
  std::vector<model::document_fault> faults;
};

/// Parses and validates settings. Does not set `node.self.process_start`, which stays 0.
/// @param text content of the settings file.
settings_result parse_settings(const std::string& text);

} // namespace spurrack::settings
