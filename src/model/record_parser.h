/// Parsers of published records. Each record is validated without any other record, so that the
/// result is the same on every node and does not depend on the order in which records arrive.
#pragma once

#include "model/records.h"
#include "model/yaml_reader.h"

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace spurrack::model {

/// Valid record of any kind.
using record = std::variant<std::shared_ptr<const pipeline_template>, std::shared_ptr<const tenant>,
                            std::shared_ptr<const machine>>;

/// Result of parsing one published value.
struct parse_result {
  /// The parsed record; std::nullopt if the value has faults.
  std::optional<record> value;
  std::vector<document_fault> faults;
};

/// Prefixes of the keys, one for each kind of record. In a key, the name of the record follows the
/// prefix.
inline constexpr std::string_view template_prefix = "templates/";
inline constexpr std::string_view tenant_prefix = "tenants/";
inline constexpr std::string_view machine_prefix = "machines/";
/// Maximum size of a published value in bytes.
inline constexpr std::size_t max_value_bytes = 1'000'000;

/// Parses and validates a published value.
/// @param key full key, such as `templates/client-answer`; its prefix determines the kind.
/// @param text YAML, or JSON, which is a subset of YAML.
parse_result parse_record(const std::string& key, const std::string& text);

} // namespace spurrack::model
