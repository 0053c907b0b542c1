/// Offline check of published records and settings.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace spurrack::ctl {

/// What the tool exits with.
enum class exit_code { success = 0, problem_found = 1, bad_usage = 2, unreachable = 3 };

enum class output_format { text, json };

/// Checks files. What a file holds is told from the folder it lies in (`templates/`, `tenants/`,
/// `machines/`); a file elsewhere is taken for settings of spurrackd. The name of a record must be
/// the file's name without its ending.
exit_code check_files(const std::vector<std::string>& files, output_format format,
                      std::ostream& out);

} // namespace spurrack::ctl
