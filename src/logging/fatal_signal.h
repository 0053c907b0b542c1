/// Log line of a process that a signal ends, for example after an access to invalid memory.
#pragma once

#include <string>

namespace spurrack::logging {

/// Installs handlers that write a line with the signal and the accessed address to standard output,
/// in the format of `logging::write`, and then let the signal end the process as it would without
/// them. The handlers allocate nothing. Call once, before other threads start.
void log_fatal_signals(const std::string& node, const std::string& zone);

} // namespace spurrack::logging
