/// Library that a test preloads into a daemon (LD_PRELOAD) to cut it off from some addresses, while
/// other processes reach them. While the file that the environment variable
/// SPURRACK_REFUSED_PORTS names lists a port, connections to it are refused.
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

bool is_refused(const sockaddr* address) {
  const char* const path = std::getenv("SPURRACK_REFUSED_PORTS");
  if (path == nullptr || address->sa_family != AF_INET) {
    return false;
  }
  const auto port = ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port);
  std::ifstream ports(path);
  unsigned refused = 0;
  while (ports >> refused) {
    if (refused == port) {
      return true;
    }
  }
  return false;
}

} // namespace

/// Replaces the function of the C library.
extern "C" int connect(int socket, const sockaddr* address, socklen_t length) {
  if (is_refused(address)) {
    errno = ECONNREFUSED;
    return -1;
  }
  return static_cast<int>(::syscall(SYS_connect, socket, address, length));
}
