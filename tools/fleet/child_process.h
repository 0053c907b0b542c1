/// Processes started by tests and the demo; each is ended by its id when its object goes.
#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace spurrack::fleet {

/// Where a child's standard output goes.
enum class output { inherited, to_log };

/// One child process. Its standard error goes to a file.
class child_process {
 public:
  /// @throws std::system_error where it cannot be started.
  child_process(const std::filesystem::path& program, const std::vector<std::string>& arguments,
                const std::filesystem::path& log, output stdout_target = output::inherited);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void signal(int signal_number) const;
  /// Waits for the end. @return the exit code; 128 + signal where a signal ended it.
  int wait();
  [[nodiscard]] bool is_running();
  [[nodiscard]] int id() const { return id_; }
  /// @return resident memory in bytes.
  [[nodiscard]] std::size_t resident_bytes() const;
  /// @return processor seconds used so far.
  [[nodiscard]] double processor_seconds() const;

 private:
  int id_ = -1;
  bool has_exited_ = false;
  int exit_code_ = 0;
};

/// @return a TCP port on 127.0.0.1 that was free a moment ago, below the range the kernel hands
/// out.
unsigned find_free_port();
/// @return `127.0.0.1:PORT` of a free port.
std::string find_free_address();

} // namespace spurrack::fleet
