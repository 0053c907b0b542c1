/// Reports over the operator listeners of a fleet.
#pragma once

#include "ctl/check.h"

#include <ostream>
#include <string>
#include <vector>

namespace spurrack::ctl {

/// Fetches the documents of a command from all nodes and prints them.
/// @param nodes operator listeners, `IP:port`.
/// @return `unreachable` where some node did not answer; what the others say is printed all the
/// same.
exit_code report(const std::string& command, const std::vector<std::string>& arguments,
                 const std::vector<std::string>& nodes, output_format format, std::ostream& out,
                 std::ostream& errors);

/// Asks nodes to let a request go that is held back; one that accepts tells all others.
/// @param digest 32 hexadecimal digits, as `quarantine` and the logs show them.
exit_code release(const std::string& digest, const std::vector<std::string>& nodes,
                  std::ostream& out, std::ostream& errors);

} // namespace spurrack::ctl
