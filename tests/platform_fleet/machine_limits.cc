#include "machine_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace spurrack::platform_tests {
namespace {

constexpr std::size_t daemon_limit = 150;
constexpr std::size_t memory_limit_bytes = 16'000'000'000;
/// Memory that is planned for one daemon of a soak, including the memory that the soak's own
/// process uses for the daemon's clients and replicas. In a soak with 149 other daemons, a daemon
/// used 27 MB.
constexpr std::size_t bytes_per_daemon = 100'000'000;
/// Descriptors and threads that are planned for one daemon in the soak's own process: for the
/// daemon's client, and for the connections of the daemon to replicas and store. The soak's process
/// needed 11 descriptors and 8 threads for each daemon.
constexpr std::size_t descriptors_per_daemon = 60;
constexpr std::size_t threads_per_daemon = 60;

std::size_t resource_limit(__rlimit_resource_t resource) {
  rlimit limit{};
  return ::getrlimit(resource, &limit) == 0 ? limit.rlim_cur : 0;
}

std::size_t available_bytes() {
  const auto page_count = static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES));
  const auto page_size = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  return std::min(page_count * page_size / 2, memory_limit_bytes);
}

} // namespace

std::size_t max_daemons() {
  return std::min({daemon_limit, available_bytes() / bytes_per_daemon,
                   resource_limit(RLIMIT_NOFILE) / descriptors_per_daemon,
                   resource_limit(RLIMIT_NPROC) / threads_per_daemon});
}

} // namespace spurrack::platform_tests
