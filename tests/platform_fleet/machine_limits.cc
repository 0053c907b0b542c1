#include "machine_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace spurrack::platform_tests {
namespace {

constexpr std::size_t most_daemons_ever = 150;
constexpr std::size_t most_bytes = 16'000'000'000;
/// Of one daemon under the load of a soak, with what its callers and replicas take in this process;
/// measured were 27 MB of a daemon beside 149 others.
constexpr std::size_t bytes_of_a_daemon = 100'000'000;
/// Of this process for one daemon: its client and its connections to replicas and store; measured
/// were 11 descriptors and 8 threads.
constexpr std::size_t descriptors_of_a_daemon = 60;
constexpr std::size_t threads_of_a_daemon = 60;

std::size_t limit_of(__rlimit_resource_t resource) {
  rlimit limit{};
  return ::getrlimit(resource, &limit) == 0 ? limit.rlim_cur : 0;
}

std::size_t bytes_to_use() {
  const auto pages = static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES));
  const auto page = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  return std::min(pages * page / 2, most_bytes);
}

} // namespace

std::size_t most_daemons() {
  return std::min({most_daemons_ever, bytes_to_use() / bytes_of_a_daemon,
                   limit_of(RLIMIT_NOFILE) / descriptors_of_a_daemon,
                   limit_of(RLIMIT_NPROC) / threads_of_a_daemon});
}

} // namespace spurrack::platform_tests
