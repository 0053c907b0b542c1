/// Structured logs: one JSON object per line on standard output, written through glog.
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

/// Initializes glog and sets the node and the zone of all log lines.
/// @param program name of the program.
/// @param node added to every line together with `zone`, unless empty.
void start(const char* program, const std::string& node, const std::string& zone);

/// Writes one line with the time, severity, node, zone, message and the given fields. Drops the
/// line if standard output is not writable.
void write(severity level, std::string_view message, const std::vector<field>& fields = {});

} // namespace spurrack::logging
