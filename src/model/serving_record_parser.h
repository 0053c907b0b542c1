/// Parsers of the published records of the serving path. A record is refused as a whole if any part
/// of it is invalid.
#pragma once

#include "model/serving_records.h"

#include <memory>
#include <string>
#include <variant>

namespace spurrack::model {

/// Key of the configuration in the catalog.
inline constexpr std::string_view configuration_key = "serving/configuration";
/// Prefix of the keys of replicas; the id of the replica follows.
inline constexpr std::string_view replica_prefix = "replicas/";
/// Prefix of the keys of evacuations; the name of the zone follows.
inline constexpr std::string_view evacuation_prefix = "evacuations/";

/// Reason for which a published record is refused, as text for operators.
struct refusal_reason {
  std::string text;
};

using configuration_result =
    std::variant<std::shared_ptr<const serving_configuration>, refusal_reason>;
using replica_result = std::variant<std::shared_ptr<const replica>, refusal_reason>;

using evacuation_result = std::variant<evacuation, refusal_reason>;

/// Shortens a very long software version. Versions of equal text stay equal, others stay different;
/// a shortened version is not shortened further.
std::string shorten_version(const std::string& version);

/// Parses and validates a configuration.
/// @param bytes a serialized `wire::published_configuration`.
configuration_result parse_configuration(const std::string& bytes);

/// Parses and validates the record of a replica.
/// @param bytes a serialized `wire::published_replica`.
replica_result parse_replica(const std::string& bytes);

/// Parses and validates an evacuation.
/// @param bytes a serialized `wire::published_evacuation`.
evacuation_result parse_evacuation(const std::string& bytes);

} // namespace spurrack::model
