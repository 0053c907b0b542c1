/// Options that all programs of the project have: `--help` and `--version`.
#pragma once

#include <cxxopts.hpp>

#include <cstdio>
#include <string>

namespace spurrack::logging {

/// Adds `--help` and `--version`.
inline void add_usual_options(cxxopts::Options& options) {
  options.add_options()("help", "print this help")("version", "print the version");
}

/// Prints the help or the version if `--help` or `--version` was given.
/// @param exit_codes meaning of the exit codes, for the help; empty if 0 is success and all other
///        codes are failures.
/// @return whether either option was given: the program should then exit with success.
inline bool handle_usual_options(const cxxopts::Options& options, const cxxopts::ParseResult& given,
                                 const std::string& exit_codes = {}) {
  std::string text;
  if (given.count("help") > 0) {
    text = options.help() + (exit_codes.empty() ? "" : "\nExit codes: " + exit_codes + "\n");
  } else if (given.count("version") > 0) {
    text = options.program() + " " SPURRACK_VERSION "\n";
  }
  std::fputs(text.c_str(), stdout);
  return !text.empty();
}

} // namespace spurrack::logging
