/// Reports on a fleet, fetched from the operator listeners of its nodes.
#pragma once

#include "ctl/check.h"

#include <ostream>
#include <string>
#include <vector>

namespace spurrack::ctl {

/// Fetches the document for a command from each node and prints the documents. If a node does not
/// answer, the documents of the other nodes are printed nevertheless.
/// @param arguments the request id if the command is `explain`; not used by any other command.
/// @param nodes operator listeners, `IP:port`.
/// @return `unreachable` if any node did not answer; `problem_found` if `status` shows a node that
///         is not ready or has rejected entries; `bad_usage` if the command is unknown.
exit_code report(const std::string& command, const std::vector<std::string>& arguments,
                 const std::vector<std::string>& nodes, output_format format, std::ostream& out,
                 std::ostream& errors);

/// Asks nodes to release a quarantined request. A node that accepts the release informs all other
/// nodes.
/// @param digest digest of the request: 32 hexadecimal digits, as shown by the command `quarantine`
///        and in the logs.
/// @return `unreachable` if no node accepted the release.
exit_code release(const std::string& digest, const std::vector<std::string>& nodes,
                  std::ostream& out, std::ostream& errors);

} // namespace spurrack::ctl
