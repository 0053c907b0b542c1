/// Example templates, tenants and back ends of the two users, for the demo, tests and measurements.
#pragma once

#include "local_fleet.h"

namespace spurrack::fleet {

/// Tokens of the example tenants.
inline constexpr const char* agents_token = "agents-secret";
inline constexpr const char* members_token = "members-secret";

/// @return a fleet with the given zones, nodes a zone and two back ends of each pool a zone.
fleet_description example_fleet(const std::vector<std::string>& zones, int nodes_per_zone);

} // namespace spurrack::fleet
