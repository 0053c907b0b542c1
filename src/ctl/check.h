/// Offline validation of files: records to be published, and settings of spurrackd.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace spurrack::ctl {

/// Exit codes of spurrackctl. `problem_found` means that a file or a published entry is invalid,
/// that a node is not ready, or that the logs hold no event of the given request.
enum class exit_code { success = 0, problem_found = 1, bad_usage = 2, unreachable = 3 };

enum class output_format { text, json };

/// Validates files. The folder of a file (`templates/`, `tenants/` or `machines/`) determines the
/// kind of record; a file in any other folder is validated as settings of spurrackd. The name of a
/// record must be the file name without its extension.
/// @return `problem_found` if a file is invalid, `bad_usage` if there are no files or a file cannot
///         be read.
exit_code check_files(const std::vector<std::string>& files, output_format format,
                      std::ostream& out);

} // namespace spurrack::ctl
