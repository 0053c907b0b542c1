/// Structured logs: one JSON object a line on standard output, written through glog.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace spurrack::logging {

/// Name and value of one field of a log line.
struct field {
  std::string_view name;
  std::string value;
};

enum class severity { info, warning, error };

/// Starts glog with a sink that writes JSON lines.
/// @param program name of the program; node and zone are put on every line (may be empty).
void start(const char* program, const std::string& node, const std::string& zone);

/// Writes one line: time, severity, node, zone, message and the given fields.
void write(severity level, std::string_view message, const std::vector<field>& fields = {});

} // namespace spurrack::logging
