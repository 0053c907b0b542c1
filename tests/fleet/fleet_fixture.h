/// Helpers that the tests with real processes share.
#pragma once

#include "fleet/background_load.h"
#include "fleet/example_records.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace spurrack::fleet {

/// @return folder of the programs under test, which the build defines as a macro.
inline std::filesystem::path binaries() {
  return SPURRACK_BINARIES;
}

/// @return value of the string field `name` of a JSON object; an empty string if the field is
///         absent or not a string.
inline std::string string_field(const boost::json::object& body, const char* name) {
  const auto* value = body.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

/// @return description of a fleet of one zone with two nodes and a single back end of each pool, so
///         that every request uses the back end in which a test injects a fault.
inline fleet_description small_fleet() {
  auto fleet = example_fleet({"north"}, 2);
  std::erase_if(fleet.backends, [](const auto& backend) { return backend.name.ends_with("2"); });
  return fleet;
}

inline const std::vector<std::string>& north_nodes() {
  static const std::vector<std::string> names{"entry-north1", "entry-north2"};
  return names;
}

/// Sends a payout request with an idempotency key to a node.
/// @return JSON body of the answer.
inline boost::json::object pay(const local_fleet& fleet, const std::string& node,
                               const std::string& key, int deadline_ms = 3'000) {
  return fleet
      .send_request(node, "transfer-confirmation", agents_token,
                    {{"input", "giro " + key}, {"deadline_ms", deadline_ms}},
                    {{"Idempotency-Key", key}})
      .json();
}

} // namespace spurrack::fleet
