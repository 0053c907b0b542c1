/// Example pipeline templates, tenants and back ends for the demo, tests and measurements. They
/// model the two users of the project, a remittance house and a cold-chain association.
#pragma once

#include "local_fleet.h"

namespace spurrack::fleet {

/// Access tokens of the example tenants `agents` (of the remittance house) and `members` (of the
/// cold-chain association).
inline constexpr const char* agents_token = "agents-secret";
inline constexpr const char* members_token = "members-secret";

/// @return description of a fleet. Each zone has `nodes_per_zone` nodes, one payout service, and
///         two back ends of each of the pools that run stages: encoders, retrievers, rerankers and
///         engines. An engine is a back end that generates tokens.
fleet_description example_fleet(const std::vector<std::string>& zones, int nodes_per_zone);

} // namespace spurrack::fleet
