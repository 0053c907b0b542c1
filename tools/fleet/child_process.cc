#include "child_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <sstream>
#include <system_error>

namespace spurrack::fleet {
namespace {

constexpr unsigned first_port = 20'000;
constexpr unsigned port_count = 12'000;
constexpr int signal_exit_base = 128;

int exit_code_of(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_base + WTERMSIG(status);
}

/// Returns the offset from `first_port` of the next port to try. All processes of this machine
/// share one counter in a locked file. The counter passes through all ports before it repeats one:
/// a test that restarts a node must find the node's ports free, even if other tests choose ports in
/// the meantime.
unsigned next_port_index() {
  const auto path = std::filesystem::temp_directory_path() / "spurrack-next-port";
  constexpr int file_mode = 0666;
  const int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
  if (descriptor < 0 || ::flock(descriptor, LOCK_EX) != 0) {
    throw std::system_error(errno, std::generic_category(), path.string());
  }
  unsigned index = 0;
  if (::pread(descriptor, &index, sizeof(index), 0) != sizeof(index)) {
    index = 0;
  }
  const unsigned next_index = (index + 1) % port_count;
  const bool is_written =
      ::pwrite(descriptor, &next_index, sizeof(next_index), 0) == sizeof(next_index);
  ::close(descriptor);
  if (!is_written) {
    throw std::system_error(errno, std::generic_category(), path.string());
  }
  return index;
}

bool can_bind(unsigned port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  const bool is_bound =
      ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  ::close(descriptor);
  return is_bound;
}

} // namespace

child_process::child_process(const std::filesystem::path& program,
                             const std::vector<std::string>& arguments,
                             const std::filesystem::path& log, output stdout_target) {
  std::vector<std::string> argument_values{program.string()};
  argument_values.insert(argument_values.end(), arguments.begin(), arguments.end());
  std::vector<char*> argument_pointers;
  argument_pointers.reserve(argument_values.size() + 1);
  for (auto& word : argument_values) {
    argument_pointers.push_back(word.data());
  }
  argument_pointers.push_back(nullptr);
  constexpr int log_mode = 0644;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, log_mode);
  if (stdout_target == output::to_log) {
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  }
  const int error =
      posix_spawn(&id_, program.c_str(), &actions, nullptr, argument_pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), program.string());
  }
}

child_process::~child_process() {
  if (!has_exited_) {
    ::kill(id_, SIGKILL);
    wait();
  }
}

void child_process::signal(int signal_number) const {
  if (!has_exited_) {
    ::kill(id_, signal_number);
  }
}

int child_process::wait() {
  if (!has_exited_) {
    int status = 0;
    while (::waitpid(id_, &status, 0) < 0 && errno == EINTR) {
    }
    has_exited_ = true;
    exit_code_ = exit_code_of(status);
  }
  return exit_code_;
}

bool child_process::is_running() {
  if (has_exited_) {
    return false;
  }
  int status = 0;
  if (::waitpid(id_, &status, WNOHANG) == id_) {
    has_exited_ = true;
    exit_code_ = exit_code_of(status);
  }
  return !has_exited_;
}

std::size_t child_process::resident_bytes() const {
  std::ifstream file("/proc/" + std::to_string(id_) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

double child_process::processor_seconds() const {
  std::ifstream file("/proc/" + std::to_string(id_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  constexpr int fields_before_user_time = 11;
  std::string skipped;
  for (int index = 0; index < fields_before_user_time; ++index) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

unsigned find_free_port() {
  while (true) {
    const unsigned port = first_port + next_port_index() % port_count;
    if (can_bind(port)) {
      return port;
    }
  }
}

std::string find_free_address() {
  return "127.0.0.1:" + std::to_string(find_free_port());
}

} // namespace spurrack::fleet
