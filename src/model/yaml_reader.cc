#include "model/yaml_reader.h"

#include "model/errc.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace spurrack::model {
namespace {

int line_of(const YAML::Node& node) {
  const auto mark = node.Mark();
  return mark.is_null() ? 0 : mark.line + 1;
}

std::string join(std::initializer_list<std::string_view> values) {
  std::string joined;
  for (const auto value : values) {
    joined += joined.empty() ? "" : ", ";
    joined += value;
  }
  return joined;
}

} // namespace

std::string describe(const document_fault& fault) {
  std::ostringstream text;
  if (fault.line > 0) {
    text << "line " << fault.line << ": ";
  }
  if (!fault.field.empty()) {
    text << fault.field << ": ";
  }
  text << fault.code.message();
  if (!fault.allowed.empty()) {
    text << " (allowed: " << fault.allowed << ")";
  }
  return text.str();
}

std::optional<YAML::Node> parse_yaml(const std::string& text, std::vector<document_fault>& faults) {
  try {
    auto node = YAML::Load(text);
    if (node.IsMap()) {
      return node;
    }
    faults.push_back({errc::wrong_type, line_of(node), "", "a mapping"});
  } catch (const YAML::Exception& error) {
    const int line = error.mark.is_null() ? 0 : error.mark.line + 1;
    faults.push_back({errc::malformed_document, line, "", error.msg});
  }
  return std::nullopt;
}

mapping_reader::mapping_reader(const YAML::Node& node, std::string path,
                               std::vector<document_fault>& faults)
    : node_(node), path_(std::move(path)), faults_(&faults) {
  std::set<std::string> seen;
  for (const auto& entry : node_) {
    if (!entry.first.IsScalar() || !seen.insert(entry.first.Scalar()).second) {
      faults_->push_back({errc::malformed_document, line_of(entry.first), path_, "unique names"});
    }
  }
}

std::string mapping_reader::path_of(const std::string& name) const {
  return path_.empty() ? name : path_ + "." + name;
}

void mapping_reader::add_fault(std::error_code code, const std::string& name,
                               const std::string& allowed) {
  const auto child = std::as_const(node_)[name];
  const int line = child.IsDefined() ? line_of(child) : line_of(node_);
  faults_->push_back({code, line, path_of(name), allowed});
}

YAML::Node mapping_reader::find(const std::string& name) {
  names_read_.insert(name);
  return std::as_const(node_)[name];
}

std::string mapping_reader::required_text(const std::string& name, const std::string& allowed) {
  const auto child = find(name);
  if (!child.IsDefined()) {
    add_fault(errc::missing_field, name, allowed);
    return {};
  }
  if (!child.IsScalar() || child.Scalar().empty()) {
    add_fault(errc::wrong_type, name, allowed);
    return {};
  }
  return child.Scalar();
}

std::optional<std::string> mapping_reader::optional_text(const std::string& name) {
  if (!find(name).IsDefined()) {
    return std::nullopt;
  }
  return required_text(name);
}

std::size_t mapping_reader::choice(const std::string& name,
                                   std::initializer_list<std::string_view> values,
                                   std::optional<std::size_t> fallback) {
  const auto child = find(name);
  if (!child.IsDefined() && fallback) {
    return *fallback;
  }
  const auto text = required_text(name, join(values));
  const auto found = std::find(values.begin(), values.end(), text);
  if (found == values.end()) {
    if (!text.empty()) {
      add_fault(errc::unknown_value, name, join(values));
    }
    return fallback.value_or(0);
  }
  return static_cast<std::size_t>(found - values.begin());
}

std::int64_t mapping_reader::integer(const std::string& name, std::int64_t low, std::int64_t high,
                                     std::optional<std::int64_t> fallback) {
  const auto allowed = std::to_string(low) + " to " + std::to_string(high);
  const auto child = find(name);
  if (!child.IsDefined()) {
    if (!fallback) {
      add_fault(errc::missing_field, name, allowed);
    }
    return fallback.value_or(low);
  }
  std::int64_t value = 0;
  if (!child.IsScalar() || !YAML::convert<std::int64_t>::decode(child, value)) {
    add_fault(errc::wrong_type, name, allowed);
    return fallback.value_or(low);
  }
  if (value < low || value > high) {
    add_fault(errc::out_of_range, name, allowed);
    return fallback.value_or(low);
  }
  return value;
}

double mapping_reader::number(const std::string& name, double low, double high,
                              std::optional<double> fallback) {
  const auto allowed = std::to_string(low) + " to " + std::to_string(high);
  const auto child = find(name);
  if (!child.IsDefined()) {
    if (!fallback) {
      add_fault(errc::missing_field, name, allowed);
    }
    return fallback.value_or(low);
  }
  double value = 0;
  if (!child.IsScalar() || !YAML::convert<double>::decode(child, value)) {
    add_fault(errc::wrong_type, name, allowed);
    return fallback.value_or(low);
  }
  if (!(value >= low && value <= high)) {
    add_fault(errc::out_of_range, name, allowed);
    return fallback.value_or(low);
  }
  return value;
}

bool mapping_reader::boolean(const std::string& name, bool fallback) {
  const auto child = find(name);
  if (!child.IsDefined()) {
    return fallback;
  }
  bool value = fallback;
  if (!child.IsScalar() || !YAML::convert<bool>::decode(child, value)) {
    add_fault(errc::wrong_type, name, "true, false");
  }
  return value;
}

base::duration mapping_reader::milliseconds(const std::string& name, std::int64_t low,
                                            std::int64_t high,
                                            std::optional<std::int64_t> fallback) {
  return std::chrono::milliseconds(integer(name, low, high, fallback));
}

std::vector<std::string> mapping_reader::text_list(const std::string& name) {
  const auto child = find(name);
  std::vector<std::string> values;
  if (!child.IsDefined() || child.IsNull()) {
    return values;
  }
  if (!child.IsSequence()) {
    add_fault(errc::wrong_type, name, "a list of texts");
    return values;
  }
  for (const auto& element : child) {
    if (!element.IsScalar()) {
      add_fault(errc::wrong_type, name, "a list of texts");
      return values;
    }
    values.push_back(element.Scalar());
  }
  return values;
}

std::vector<mapping_reader> mapping_reader::sequence(const std::string& name, bool required) {
  std::vector<mapping_reader> readers;
  const auto child = find(name);
  if (!child.IsDefined()) {
    if (required) {
      add_fault(errc::missing_field, name, "a list of mappings");
    }
    return readers;
  }
  if (!child.IsSequence()) {
    add_fault(errc::wrong_type, name, "a list of mappings");
    return readers;
  }
  std::size_t index = 0;
  for (const auto& element : child) {
    const auto path = path_of(name) + "[" + std::to_string(index++) + "]";
    if (!element.IsMap()) {
      faults_->push_back({errc::wrong_type, line_of(element), path, "a mapping"});
      continue;
    }
    readers.emplace_back(element, path, *faults_);
  }
  return readers;
}

std::optional<mapping_reader> mapping_reader::mapping(const std::string& name, bool required) {
  const auto child = find(name);
  if (!child.IsDefined()) {
    if (required) {
      add_fault(errc::missing_field, name, "a mapping");
    }
    return std::nullopt;
  }
  if (child.IsNull()) {
    return mapping_reader(YAML::Node(YAML::NodeType::Map), path_of(name), *faults_);
  }
  if (!child.IsMap()) {
    add_fault(errc::wrong_type, name, "a mapping");
    return std::nullopt;
  }
  return mapping_reader(child, path_of(name), *faults_);
}

std::vector<std::string> mapping_reader::entry_names() {
  std::vector<std::string> names;
  for (const auto& entry : node_) {
    if (entry.first.IsScalar()) {
      names.push_back(entry.first.Scalar());
      names_read_.insert(entry.first.Scalar());
    }
  }
  return names;
}

void mapping_reader::finish() {
  std::string known;
  for (const auto& name : names_read_) {
    known += known.empty() ? name : ", " + name;
  }
  for (const auto& entry : node_) {
    if (entry.first.IsScalar() && !names_read_.contains(entry.first.Scalar())) {
      faults_->push_back(
          {errc::unknown_field, line_of(entry.first), path_of(entry.first.Scalar()), known});
    }
  }
}

} // namespace spurrack::model
