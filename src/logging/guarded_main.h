/// Wrapper of the main function of a program that catches all standard exceptions.
#pragma once

#include <cstdio>
#include <exception>

namespace spurrack::logging {

/// Runs a program. The message of an exception is written to standard error.
/// @param run the program.
/// @param exit_on_exception exit code if an exception ends the program.
/// @return the exit code of the process.
inline int guarded_main(int (*run)(int, char**), int argc, char** argv,
                        int exit_on_exception) noexcept {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fputs(error.what(), stderr);
    std::fputs("\n", stderr);
  }
  return exit_on_exception;
}

} // namespace spurrack::logging
