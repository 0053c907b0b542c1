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

int decode(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_base + WTERMSIG(status);
}

/// Counts through the ports over all processes of this machine, by a locked file: a node that is
/// started again must find its ports free, also while another test chooses some.
unsigned next_port_index() {
  const auto path = std::filesystem::temp_directory_path() / "spurrack-next-port";
  constexpr int mode = 0666;
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, mode);
  if (file < 0 || ::flock(file, LOCK_EX) != 0) {
    throw std::system_error(errno, std::generic_category(), path.string());
  }
  unsigned index = 0;
  if (::pread(file, &index, sizeof(index), 0) != sizeof(index)) {
    index = 0;
  }
  const unsigned next = (index + 1) % port_count;
  const bool written = ::pwrite(file, &next, sizeof(next), 0) == sizeof(next);
  ::close(file);
  if (!written) {
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
  const bool bound =
      ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  ::close(descriptor);
  return bound;
}

} // namespace

child_process::child_process(const std::filesystem::path& program,
                             const std::vector<std::string>& arguments,
                             const std::filesystem::path& log, output where) {
  std::vector<std::string> words{program.string()};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (auto& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);
  constexpr int log_mode = 0644;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, log_mode);
  if (where == output::to_log) {
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  }
  const int error = posix_spawn(&id_, program.c_str(), &actions, nullptr, pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), program.string());
  }
}

child_process::~child_process() {
  if (!ended_) {
    ::kill(id_, SIGKILL);
    wait();
  }
}

void child_process::signal(int number) const {
  if (!ended_) {
    ::kill(id_, number);
  }
}

int child_process::wait() {
  if (!ended_) {
    int status = 0;
    while (::waitpid(id_, &status, 0) < 0 && errno == EINTR) {
    }
    ended_ = true;
    exit_code_ = decode(status);
  }
  return exit_code_;
}

bool child_process::is_running() {
  if (ended_) {
    return false;
  }
  int status = 0;
  if (::waitpid(id_, &status, WNOHANG) == id_) {
    ended_ = true;
    exit_code_ = decode(status);
  }
  return !ended_;
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
