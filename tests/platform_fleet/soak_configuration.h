/// Configurations that the fault soak publishes to its nodes.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace spurrack::platform_tests {

/// Region of the zone `east`, which is the only region of the requests that are confined to one.
inline const std::string east_region = "north";

/// Which tenants and keys a configuration contains.
enum class held_keys : std::uint8_t {
  by_tenant, ///< The tenant holds the keys of the clients.
  none,      ///< The tenant holds no key.
  no_tenant, ///< The list of tenants is empty.
};

/// Contents of a configuration beside the routes of the clients.
struct configuration_contents {
  held_keys keys = held_keys::by_tenant;
  /// Whether the configuration contains the API key `extra`.
  bool has_extra_key = true;
  /// Whether there is a route for requests that are confined to the region `east_region`.
  bool has_confined_route = false;
  /// Number of routes that no client uses.
  std::size_t unused_routes = 0;
  /// Maximum time for which nodes hold a request of any route; 0 if the routes state none.
  std::chrono::milliseconds route_timeout{0};
};

/// @return JSON of the configuration with a version.
std::string configuration_text(std::uint64_t version, const configuration_contents& contents);

} // namespace spurrack::platform_tests
