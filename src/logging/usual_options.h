/// What every program of the project understands beside its own options: `--help` and `--version`.
#pragma once

#include <cxxopts.hpp>

#include <cstdio>
#include <string>

namespace spurrack::logging {

/// Adds `--help` and `--version`.
inline void add_usual_options(cxxopts::Options& options) {
  options.add_options()("help", "print this help")("version", "print the version");
}

/// Prints what `--help` or `--version` ask for.
/// @param exit_codes what the exit codes mean, for the help; empty where 0 is success and any other
///        a failure.
/// @return whether one of them was given: the program has nothing else to do and succeeded.
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
