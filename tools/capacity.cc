/// Simulates a fleet that serves no requests, in one process and in virtual time, and measures the
/// cost of the control plane per node: processor time, memory, and messages between nodes. Each
/// execution of the program measures one fleet, so that no memory of another fleet is counted.
#include "logging/guarded_main.h"
#include "logging/usual_options.h"
#include "simulation/fleet_simulation.h"

#include <cxxopts.hpp>
#include <sys/resource.h>
#include <unistd.h>

#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace {

using namespace spurrack;
using std::chrono::seconds;

/// @return processor time that this process has used so far, in seconds.
double processor_seconds() {
  timespec cpu_time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpu_time);
  constexpr double nano = 1e-9;
  return static_cast<double>(cpu_time.tv_sec) + static_cast<double>(cpu_time.tv_nsec) * nano;
}

/// @return resident memory of this process in MB.
double resident_megabytes() {
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  constexpr double megabyte = 1024.0 * 1024.0;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / megabyte;
}

/// Size of the fleet. Only the nodes of the zone `z0` are simulated. The nodes of other zones and
/// all replicas are only entries of the published list of machines.
struct fleet_size {
  /// Number of simulated nodes.
  int nodes = 8;
  /// Number of zones besides `z0`, and total number of listed nodes in these other zones.
  int other_zones = 0;
  int other_nodes = 0;
  int replicas = 0;
  int tenants = 5;
  /// Number of configuration changes that are published one after another. The report shows their
  /// mean cost.
  int changes = 20;
};

simulation::simulation_settings make_settings(const fleet_size& size) {
  simulation::simulation_settings settings;
  for (int index = 0; index < size.nodes; ++index) {
    settings.nodes.push_back({"node-" + std::to_string(index), "z0"});
  }
  for (int index = 0; index < size.tenants; ++index) {
    std::ostringstream record;
    record << "{name: t" << index << ", token_sha256: '" << std::setw(64) << std::setfill('0')
           << index
           << "', weight: 2, templates: {p0: {priority: 6}, p1: {}, p2: {}, p3: {}, p4: {}, p5: "
              "{}}}";
    settings.records["tenants/t" + std::to_string(index)] = record.str();
  }
  for (int index = 0; index < 6; ++index) {
    const auto name = "p" + std::to_string(index);
    settings.records["templates/" + name] =
        "{name: " + name +
        ", deadline_ms: 3000, stages: [{name: encode, kind: encode, pool: encoders}, {name: "
        "retrieve, kind: retrieve, pool: retrievers}, {name: rerank, kind: rerank, pool: "
        "rerankers}, {name: generate, kind: generate, pool: engines, max_tokens: 200}]}";
  }
  for (int index = 0; index < size.other_nodes; ++index) {
    const auto name = "far-" + std::to_string(index);
    settings.records["machines/" + name] = "{name: " + name + ", role: node, zone: z" +
                                           std::to_string(1 + index % size.other_zones) +
                                           ", address: '10.0.0.1:7000'}";
  }
  for (int index = 0; index < size.replicas; ++index) {
    const auto name = "replica-" + std::to_string(index);
    settings.records["machines/" + name] = "{name: " + name + ", role: backend, zone: z" +
                                           std::to_string(index % (size.other_zones + 1)) +
                                           ", address: '10.1.0.1:8000', pool: engines"
                                           ", concurrency: 8}";
  }
  settings.node.event_log_capacity = 4096;
  return settings;
}

/// @return whether all simulated nodes have applied the revision `revision` of the record `key`.
bool all_nodes_have(const simulation::fleet_simulation& fleet, const std::string& key,
                    base::revision revision) {
  for (const auto& name : fleet.node_names()) {
    if (fleet.node(name).published_catalog().revision_of(key) != revision) {
      return false;
    }
  }
  return true;
}

/// Measures the cost of the start of the fleet, of idle operation and of configuration changes, and
/// prints the results as one table row.
void measure(const fleet_size& size) {
  simulation::fleet_simulation fleet(make_settings(size));
  const auto memory_before_mb = resident_megabytes();
  const auto cpu_before_start = processor_seconds();
  fleet.start_all_nodes();
  const bool ready = fleet.run_until([&] { return fleet.all_ready(); }, seconds(60));
  fleet.run_for(seconds(10));
  const auto start_cpu_seconds = processor_seconds() - cpu_before_start;

  const auto totals_before_idle = fleet.control_totals();
  const auto cpu_before_idle = processor_seconds();
  constexpr double idle_seconds = 30;
  fleet.run_for(base::from_seconds(idle_seconds));
  const auto idle_cpu_used = processor_seconds() - cpu_before_idle;
  const auto idle_bytes_sent = fleet.control_totals().bytes_sent - totals_before_idle.bytes_sent;
  const auto idle_messages_sent =
      fleet.control_totals().messages_sent - totals_before_idle.messages_sent;

  double slowest_change = 0;
  const auto bytes_before_changes = fleet.control_totals().bytes_sent;
  const auto cpu_before_changes = processor_seconds();
  const auto changes_started_at = fleet.now();
  for (int change = 0; change < size.changes; ++change) {
    const auto revision = fleet.platform().publish(
        "tenants/t0", "{name: t0, token_sha256: '" + std::string(64, 'f') +
                          "', weight: " + std::to_string(change + 1) + ", templates: {p0: {}}}");
    const auto published_at = fleet.now();
    fleet.run_until([&] { return all_nodes_have(fleet, "tenants/t0", revision); }, seconds(30));
    slowest_change = std::max(slowest_change, base::to_seconds(fleet.now() - published_at));
  }
  const double changes_duration = base::to_seconds(fleet.now() - changes_started_at);
  const auto node_count = static_cast<double>(size.nodes);
  const double idle_bytes_per_second =
      static_cast<double>(idle_bytes_sent) / idle_seconds / node_count;
  const double change_bytes =
      static_cast<double>(fleet.control_totals().bytes_sent - bytes_before_changes) / node_count -
      idle_bytes_per_second * changes_duration;
  const double idle_cpu_rate = idle_cpu_used / idle_seconds / node_count;
  const double change_cpu =
      (processor_seconds() - cpu_before_changes) / node_count - idle_cpu_rate * changes_duration;
  std::cout << std::fixed << "| " << size.nodes << " | " << size.other_nodes << " | "
            << size.replicas << " | " << size.tenants << " | " << (ready ? "yes" : "NO") << " | "
            << std::setprecision(1)
            << static_cast<double>(idle_messages_sent) / idle_seconds / node_count << " | "
            << std::setprecision(0) << idle_bytes_per_second << " | " << std::setprecision(3)
            << idle_cpu_rate * 100 << " | " << std::setprecision(2)
            << (resident_megabytes() - memory_before_mb) / node_count << " | "
            << std::setprecision(0) << change_bytes / size.changes << " | " << std::setprecision(2)
            << change_cpu / size.changes * 1000 << " | " << std::setprecision(2) << slowest_change
            << " | " << std::setprecision(2) << start_cpu_seconds / node_count << " |\n"
            << std::flush;
}

int run_program(int argc, char** argv) {
  cxxopts::Options options("capacity", "Control-plane cost of simulated nodes without requests.");
  fleet_size size;
  options.add_options()("nodes", "simulated nodes of one zone", cxxopts::value<int>(size.nodes))(
      "other-zones", "further zones", cxxopts::value<int>(size.other_zones))(
      "other-nodes", "listed nodes of the further zones", cxxopts::value<int>(size.other_nodes))(
      "replicas", "listed back ends", cxxopts::value<int>(size.replicas))(
      "tenants", "tenants", cxxopts::value<int>(size.tenants))("header", "print the table header");
  spurrack::logging::add_usual_options(options);
  const auto arguments = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(options, arguments)) {
    return 0;
  }
  if (arguments.count("header") > 0) {
    std::cout
        << "| nodes | far nodes | replicas | tenants | ready | messages/s a node | bytes/s a "
           "node | % of a core | MB a node | bytes a change | ms CPU a change | slowest "
           "change s | s CPU to start |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    return 0;
  }
  measure(size);
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  return spurrack::logging::guarded_main(run_program, argc, argv, 2);
}
