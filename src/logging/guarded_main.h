/// The outermost frame of a program: no exception leaves it.
#pragma once

#include <cstdio>
#include <exception>

namespace spurrack::logging {

/// Runs a program. An exception is written to standard error.
/// @param run the program; @param exit_on_exception its exit code where an exception ends it.
/// @return the exit code.
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
