/// Builds validated records of the serving path from their published form. A record is refused as a
/// whole where any part of it does not hold.
#pragma once

#include "model/serving_records.h"

#include <memory>
#include <string>
#include <variant>

namespace spurrack::model {

/// Key of the configuration and prefix of the keys of replicas in the catalog.
inline constexpr std::string_view configuration_key = "serving/configuration";
inline constexpr std::string_view replica_prefix = "replicas/";
/// Prefix of the keys of evacuations; the zone follows.
inline constexpr std::string_view evacuation_prefix = "evacuations/";

/// Why a published record is refused, for people.
struct refusal_reason {
  std::string text;
};

using configuration_result =
    std::variant<std::shared_ptr<const serving_configuration>, refusal_reason>;
using replica_result = std::variant<std::shared_ptr<const replica>, refusal_reason>;

using evacuation_result = std::variant<evacuation, refusal_reason>;

/// @param bytes a serialized `wire::published_configuration`.
configuration_result parse_configuration(const std::string& bytes);

/// @param bytes a serialized `wire::published_replica`.
replica_result parse_replica(const std::string& bytes);

/// @param bytes a serialized `wire::published_evacuation`.
evacuation_result parse_evacuation(const std::string& bytes);

} // namespace spurrack::model
