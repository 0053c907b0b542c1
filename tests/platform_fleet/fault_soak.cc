/// Fault soak: a randomized test of real daemons under load. The soak injects faults from outside
/// the daemons; several faults can be in effect at the same time. The soak checks what clients and
/// replicas observe against the invariants, and exits with code 1 if an invariant was violated. The
/// seed determines the faults; the scheduling of processes and threads differs from run to run.
#include "machine_limits.h"
#include "soak_run.h"

#include "logging/guarded_main.h"
#include "logging/usual_options.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace spurrack;
using namespace spurrack::platform_tests;
using std::chrono::milliseconds;

/// Returns options with as many daemons as the machine can run, one client per daemon, and more
/// time for nodes to become ready (`ready_timeout`).
soak_options with_max_nodes(soak_options options) {
  options.fleet.nodes = max_daemons();
  options.clients_per_node = 1;
  options.ready_timeout = milliseconds(60'000);
  return options;
}

/// Sets the number of software versions, whether they are rolled, whether replicas are silent
/// beside planned work, and whether a node is out of step as another version joins, which follow
/// from the seed.
soak_options with_choices_of(soak_options options, std::uint64_t seed) {
  constexpr std::uint64_t seeds_per_roll = 3;
  if (options.fleet.software_versions == 0) {
    options.fleet.software_versions = seed % 2 == 1 ? 1 : 2 + seed / 2 % 2;
  }
  options.should_roll_software = seed % seeds_per_roll == 0;
  // Both even and odd seeds have silences, since they differ in the number of software versions.
  options.has_silences = seed / 2 % 2 == 1;
  // Nodes remember earlier versions, so that a single version is known only without silences,
  // beside which the software changes.
  constexpr std::uint64_t seeds_per_node_out_of_step = 4;
  options.has_node_out_of_step = seed % seeds_per_node_out_of_step == 1;
  return options;
}

soak_options parse_options(const cxxopts::ParseResult& arguments) {
  soak_options parsed;
  parsed.fleet.nodes = arguments["nodes"].as<std::size_t>();
  parsed.fault_duration =
      milliseconds(static_cast<int>(arguments["fault-seconds"].as<double>() * 1000));
  parsed.phases = arguments["rounds"].as<std::size_t>();
  parsed.fleet.software_versions = arguments["software-versions"].as<std::size_t>();
  parsed.fleet.two_regions = arguments.count("two-regions") > 0;
  parsed.fleet.other_build = arguments["other-build"].as<std::string>();
  parsed.clients_per_node = arguments["clients-per-node"].as<std::size_t>();
  parsed.rolling_restarts = arguments["rolling-restarts"].as<std::size_t>();
  return arguments.count("most-nodes") > 0 ? with_max_nodes(parsed) : parsed;
}

/// @return the options of the program, without the usual ones.
cxxopts::Options soak_program_options() {
  cxxopts::Options options("platform_fault_soak",
                           "Real daemons with an emulated platform, under random faults.");
  options.add_options()("first-seed", "first seed",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "number of seeds to run", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "nodes", "daemons", cxxopts::value<std::size_t>()->default_value("4"))(
      "rounds", "phases of faults in each run", cxxopts::value<std::size_t>()->default_value("1"))(
      "clients-per-node", "clients per daemon, each with one connection",
      cxxopts::value<std::size_t>()->default_value("6"))(
      "rolling-restarts", "rolling restarts of all nodes after each phase of faults",
      cxxopts::value<std::size_t>()->default_value("1"))(
      "software-versions",
      "software versions of the service `model`; 0: one for odd seeds, two or three for even ones",
      cxxopts::value<std::size_t>()->default_value("0"))(
      "logs", "folder that keeps the logs of each seed",
      cxxopts::value<std::string>()->default_value(""))(
      "other-build", "folder of another build's spurrackd, used for every second start of a daemon",
      cxxopts::value<std::string>()->default_value(""))(
      "passed-over",
      "violations with this text are printed but not counted, may be repeated; see KNOWN-RED.txt",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "most-nodes", "as many daemons as this machine can run, with one client each")(
      "two-regions", "each zone is a region, and some requests are confined to one region")(
      "fault-seconds", "length of a phase of faults", cxxopts::value<double>()->default_value("6"));
  return options;
}

int run(int argc, char** argv) {
  auto options = soak_program_options();
  logging::add_usual_options(options);
  const auto arguments = options.parse(argc, argv);
  if (logging::handle_usual_options(options, arguments)) {
    return 0;
  }
  auto parsed = parse_options(arguments);
  const auto logs = arguments["logs"].as<std::string>();
  const auto first_seed = arguments["first-seed"].as<std::uint64_t>();
  constexpr std::size_t bytes_per_megabyte = 1'000'000;
  const auto ignored_texts = arguments["passed-over"].as<std::vector<std::string>>();
  const auto is_counted = [&](const std::string& violation) {
    return std::none_of(ignored_texts.begin(), ignored_texts.end(), [&](const auto& text) {
      return !text.empty() && violation.find(text) != std::string::npos;
    });
  };
  std::size_t failed_seeds = 0;
  for (auto seed = first_seed; seed < first_seed + arguments["seeds"].as<std::uint64_t>(); ++seed) {
    if (!logs.empty()) {
      parsed.fleet.logs = std::filesystem::path(logs) / ("seed-" + std::to_string(seed));
    }
    const auto seed_options = with_choices_of(parsed, seed);
    soak_run soak(SPURRACK_BINARIES, seed_options, seed);
    const auto violations = soak.run();
    std::cout << "seed " << seed << ": " << violations.size() << " violations; "
              << parsed.fleet.nodes << " daemons with "
              << soak.resident_bytes() / bytes_per_megabyte << " MB;"
              << (seed_options.has_silences ? " with silences beside planned work;" : "")
              << (seed_options.has_node_out_of_step ? " with a node out of step;" : "");
    for (const auto& [label, count] : soak.counts()) {
      std::cout << " " << label << " " << count << ",";
    }
    std::cout << std::endl;
    constexpr std::size_t max_shown_violations = 20;
    for (std::size_t index = 0; index < std::min(max_shown_violations, violations.size());
         ++index) {
      std::cout << "  " << violations[index] << std::endl;
    }
    failed_seeds += std::any_of(violations.begin(), violations.end(), is_counted) ? 1 : 0;
  }
  std::cout << failed_seeds << " seeds with violations" << std::endl;
  return failed_seeds == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
  constexpr int exit_exception = 2;
  return logging::guarded_main(run, argc, argv, exit_exception);
}
