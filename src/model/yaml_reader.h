/// Checked reading of YAML mappings: every field is named, typed and bounded, and an error says
/// where it is and what is allowed. Used for published records and for the settings of the daemon.
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

/// One fault of a document.
struct document_fault {
  std::error_code code;
  /// 1-based line; 0 where it is not known.
  int line = 0;
  /// Dotted path of the field.
  std::string field;
  /// What would be allowed, for people.
  std::string allowed;
};

/// @return the fault as one line: `line 3: stages[1].pool: required field is missing (allowed: …)`.
std::string describe(const document_fault& fault);

/// Parses text into a document.
/// @return nothing, with a fault added, where it is not well-formed YAML.
std::optional<YAML::Node> parse_yaml(const std::string& text, std::vector<document_fault>& faults);

/// Reader of one mapping. Fields that were never asked for are reported by `finish`.
class mapping_reader {
 public:
  /// @param faults where faults are added; must outlive the reader.
  mapping_reader(const YAML::Node& node, std::string path, std::vector<document_fault>& faults);

  /// Text that must be there and not be empty.
  std::string required_text(const std::string& name, const std::string& allowed = "non-empty text");
  std::optional<std::string> optional_text(const std::string& name);
  /// Text out of a fixed set. @return the index in `values`, or `fallback` where absent or wrong.
  std::size_t choice(const std::string& name, std::initializer_list<std::string_view> values,
                     std::optional<std::size_t> fallback);
  /// Whole number within [low, high]; required where there is no fallback.
  std::int64_t integer(const std::string& name, std::int64_t low, std::int64_t high,
                       std::optional<std::int64_t> fallback);
  /// Number within [low, high]; required where there is no fallback.
  double number(const std::string& name, double low, double high, std::optional<double> fallback);
  bool boolean(const std::string& name, bool fallback);
  /// Milliseconds within [low, high].
  base::duration milliseconds(const std::string& name, std::int64_t low, std::int64_t high,
                              std::optional<std::int64_t> fallback);
  std::vector<std::string> text_list(const std::string& name);
  /// Children of a sequence or the entries of a mapping, for nested readers.
  std::vector<mapping_reader> sequence(const std::string& name, bool required);
  std::optional<mapping_reader> mapping(const std::string& name, bool required);
  /// Names of the entries of this mapping; marks them all as known.
  std::vector<std::string> entry_names();

  /// Adds a fault at a field of this mapping.
  void add_fault(std::error_code code, const std::string& name, const std::string& allowed);
  /// Reports fields that are not known.
  void finish();

 private:
  YAML::Node find(const std::string& name);
  [[nodiscard]] std::string path_of(const std::string& name) const;

  YAML::Node node_;
  std::string path_;
  std::vector<document_fault>* faults_;
  std::set<std::string> known_;
};

} // namespace spurrack::model
