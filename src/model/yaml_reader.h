/// Validating reader of YAML mappings, for published records and the daemon's settings. Each fault
/// names the line, the field and the allowed values.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace spurrack::model {

struct document_fault {
  std::error_code code;
  /// Line of the fault, from 1; 0 if the line is not known.
  int line = 0;
  /// Dotted path of the field; empty if the fault concerns the whole document.
  std::string field;
  /// Allowed values, as text for operators.
  std::string allowed;
};

/// @return a fault as one line: `line 3: stages[1].pool: required field is missing (allowed: …)`.
std::string describe(const document_fault& fault);

/// @return the parsed document; std::nullopt, with a fault added, if the text is not a well-formed
///         YAML mapping.
std::optional<YAML::Node> parse_yaml(const std::string& text, std::vector<document_fault>& faults);

/// Reader of one mapping. Adds faults instead of throwing exceptions. If a `fallback` is
/// std::nullopt, the field is required.
class mapping_reader {
 public:
  /// @param path dotted path of the mapping in the document; empty for the document itself.
  /// @param faults receives the faults; must outlive the reader.
  mapping_reader(const YAML::Node& node, std::string path, std::vector<document_fault>& faults);

  /// Reads a text that must be present and not empty.
  std::string required_text(const std::string& name, const std::string& allowed = "non-empty text");
  /// Reads a text that must not be empty if it is present.
  std::optional<std::string> optional_text(const std::string& name);
  /// Reads a text that must be one of `values`.
  /// @return the index in `values`; `fallback`, or 0 without a fallback, if the text is absent or
  ///         invalid.
  std::size_t choice(const std::string& name, std::initializer_list<std::string_view> values,
                     std::optional<std::size_t> fallback);
  /// Reads an integer within [low, high].
  /// @return the value; `fallback`, or `low` without a fallback, if the value is absent or invalid.
  std::int64_t integer(const std::string& name, std::int64_t low, std::int64_t high,
                       std::optional<std::int64_t> fallback);
  /// Reads a number within [low, high].
  /// @return the value; `fallback`, or `low` without a fallback, if the value is absent or invalid.
  double number(const std::string& name, double low, double high, std::optional<double> fallback);
  /// @return the value; `fallback` if the value is absent or invalid.
  bool boolean(const std::string& name, bool fallback);
  /// Reads an integer number of milliseconds like `integer`.
  base::duration milliseconds(const std::string& name, std::int64_t low, std::int64_t high,
                              std::optional<std::int64_t> fallback);
  /// Reads a list of texts; empty if the field is absent.
  std::vector<std::string> text_list(const std::string& name);
  /// Returns readers of the mappings in a sequence.
  std::vector<mapping_reader> sequence(const std::string& name, bool required);
  /// Returns a reader of a nested mapping; std::nullopt if the mapping is absent or invalid.
  std::optional<mapping_reader> mapping(const std::string& name, bool required);
  /// Returns the names of all fields of this mapping and counts all fields as read.
  std::vector<std::string> entry_names();

  /// Adds a fault of a field of this mapping.
  void add_fault(std::error_code code, const std::string& name, const std::string& allowed);
  /// Adds a fault for each field that was not read. Call after all known fields have been read.
  void finish();

 private:
  /// Counts a field as read.
  /// @return the field; an undefined YAML node if the field is absent.
  YAML::Node find(const std::string& name);
  [[nodiscard]] std::string path_of(const std::string& name) const;

  YAML::Node node_;
  std::string path_;
  std::vector<document_fault>* faults_;
  /// Names of the fields that have been read.
  std::set<std::string> names_read_;
};

} // namespace spurrack::model
