/// Settings of one spurrackd, read from a YAML file and checked before anything starts.
/// docs/operators/settings.md describes every field.
#pragma once

#include "model/yaml_reader.h"
#include "node/node.h"

#include <optional>
#include <string>
#include <vector>

namespace spurrack::settings {

/// CURVE key pair shared by the nodes of a fleet, in Z85 text.
struct curve_keys {
  std::string public_key;
  std::string secret_key;
};

/// Bounds of the callers' HTTP listener.
struct caller_limits {
  std::size_t max_body_bytes = 1'000'000;
  std::size_t max_header_bytes = 8'192;
  /// Longest time a caller may take to send one request.
  base::duration receive_timeout = std::chrono::seconds(10);
  /// Longest time a connection may be idle between requests.
  base::duration idle_timeout = std::chrono::seconds(60);
  std::size_t max_connections = 4'096;
};

/// Addresses of the serving path, as `IP:port`.
struct serving_endpoints {
  /// Where clients send requests.
  std::string listen;
  /// Where the balancer asks whether this node takes new requests.
  std::string readiness_listen;
  /// The platform's metadata store.
  std::string store;
};

struct daemon_settings {
  node::node_settings node;
  /// Where this node listens for peers; what peers are told is `node.self.address`.
  std::string peer_listen;
  /// Empty where the node serves published routes alone.
  std::string caller_listen;
  std::string operator_listen;
  std::string configuration_service;
  std::string machine_list_service;
  /// Set where the node serves published routes; then `node.serving` is set too.
  std::optional<serving_endpoints> serving;
  std::optional<curve_keys> curve;
  caller_limits callers;
};

/// What came of reading a settings file.
struct settings_result {
  std::optional<daemon_settings> value;
  std::vector<model::document_fault> faults;
};

/// @param text content of the file. The process start is left at 0.
settings_result parse_settings(const std::string& text);

} // namespace spurrack::settings
