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

} // namespace spurrack::ctl
