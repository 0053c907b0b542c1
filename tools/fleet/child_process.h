/// Child processes of tests and of the demo.
#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace spurrack::fleet {

/// Destination of a child's standard output: the parent's standard output, or the child's log file.
enum class output { inherited, to_log };

/// Child process whose standard error is appended to a log file. Not thread-safe.
class child_process {
 public:
  /// @throws std::system_error if the process cannot be started.
  child_process(const std::filesystem::path& program, const std::vector<std::string>& arguments,
                const std::filesystem::path& log, output stdout_target = output::inherited);
  /// Kills the child process if it has not exited, and reaps it.
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Sends a signal to the child process. Does nothing if the process has been reaped.
  void signal(int signal_number) const;
  /// Waits for the process to exit.
  /// @return the exit code; 128 + signal number if a signal terminated the process.
  int wait();
  [[nodiscard]] bool is_running();
  [[nodiscard]] int id() const { return id_; }
  /// @return resident memory of the process in bytes.
  [[nodiscard]] std::size_t resident_bytes() const;
  /// @return processor time that the process has used so far, in seconds.
  [[nodiscard]] double processor_seconds() const;

 private:
  int id_ = -1;
  bool has_exited_ = false;
  int exit_code_ = 0;
};

/// Finds a free TCP port on 127.0.0.1, below the range from which the kernel assigns ports. The
/// port is not reserved: another process may bind it.
unsigned find_free_port();
/// @return `127.0.0.1:PORT`, where PORT is a port that `find_free_port` found.
std::string find_free_address();

} // namespace spurrack::fleet
