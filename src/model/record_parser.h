/// Parsers of published records. Validation looks at one record alone and at nothing else, so that
/// every node comes to the same verdict in whatever order records arrive.
#pragma once

#include "model/records.h"
#include "model/yaml_reader.h"

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace spurrack::model {

/// A valid record of any kind.
using record = std::variant<std::shared_ptr<const pipeline_template>, std::shared_ptr<const tenant>,
                            std::shared_ptr<const machine>>;

/// Verdict on one published value.
struct parse_result {
  /// Set where there are no faults.
  std::optional<record> value;
  std::vector<document_fault> faults;
};

inline constexpr std::string_view template_prefix = "templates/";
inline constexpr std::string_view tenant_prefix = "tenants/";
inline constexpr std::string_view machine_prefix = "machines/";
/// Largest published value accepted, in bytes.
inline constexpr std::size_t max_value_bytes = 1'000'000;

/// @param key full key, such as `templates/client-answer`; its prefix decides the kind.
/// @param text YAML (or JSON, which is YAML).
parse_result parse_record(const std::string& key, const std::string& text);

} // namespace spurrack::model
