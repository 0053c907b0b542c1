/// Randomized soak: real daemons under load while faults strike from outside, in series and
/// overlapping; what clients and replicas see is checked against the promises. Exit code 1 where
/// one was broken. A seed decides the faults; the scheduling of the machine does not repeat.
#include "machine_limits.h"
#include "soak_run.h"

#include "logging/guarded_main.h"
#include "logging/usual_options.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>

namespace {

using namespace spurrack;
using namespace spurrack::platform_tests;
using std::chrono::milliseconds;

/// With as many nodes as the machine bears, the clients are few and starting takes longer.
soak_options as_many_nodes_as_possible(soak_options options) {
  options.fleet.nodes = most_daemons();
  options.clients_per_node = 1;
  options.ready_patience = milliseconds(60'000);
  return options;
}

soak_options wanted_options(const cxxopts::ParseResult& given) {
  soak_options wanted;
  wanted.fleet.nodes = given["nodes"].as<std::size_t>();
  wanted.fault_time = milliseconds(static_cast<int>(given["fault-seconds"].as<double>() * 1000));
  wanted.rounds = given["rounds"].as<std::size_t>();
  wanted.fleet.two_regions = given.count("two-regions") > 0;
  wanted.fleet.other_build = given["other-build"].as<std::string>();
  wanted.clients_per_node = given["clients-per-node"].as<std::size_t>();
  wanted.rolling_restarts = given["rolling-restarts"].as<std::size_t>();
  return given.count("most-nodes") > 0 ? as_many_nodes_as_possible(wanted) : wanted;
}

int run(int argc, char** argv) {
  cxxopts::Options options("platform_fault_soak",
                           "Real daemons before stand-ins of the platform, under random faults.");
  options.add_options()("first-seed", "first seed",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "seeds to play", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "nodes", "daemons", cxxopts::value<std::size_t>()->default_value("4"))(
      "rounds", "phases of faults in each run", cxxopts::value<std::size_t>()->default_value("1"))(
      "clients-per-node", "clients, each with one connection",
      cxxopts::value<std::size_t>()->default_value("6"))(
      "rolling-restarts", "planned restarts of all nodes in each run",
      cxxopts::value<std::size_t>()->default_value("1"))(
      "logs", "folder in which the logs of each seed stay",
      cxxopts::value<std::string>()->default_value(""))(
      "other-build", "folder of another build's spurrackd, which takes every second start",
      cxxopts::value<std::string>()->default_value(""))(
      "passed-over", "violations with this text are shown and not counted; see KNOWN-RED.txt",
      cxxopts::value<std::string>()->default_value(""))(
      "most-nodes", "as many daemons as this machine bears, with one client each")(
      "two-regions", "each zone is a region, and some requests are held to one")(
      "fault-seconds", "length of a phase of faults", cxxopts::value<double>()->default_value("6"));
  logging::add_usual_options(options);
  const auto given = options.parse(argc, argv);
  if (logging::handle_usual_options(options, given)) {
    return 0;
  }
  auto wanted = wanted_options(given);
  const auto logs = given["logs"].as<std::string>();
  const auto first = given["first-seed"].as<std::uint64_t>();
  constexpr std::size_t bytes_of_a_megabyte = 1'000'000;
  const auto passed_over = given["passed-over"].as<std::string>();
  const auto is_counted = [&](const std::string& violation) {
    return passed_over.empty() || violation.find(passed_over) == std::string::npos;
  };
  std::size_t broken = 0;
  for (auto seed = first; seed < first + given["seeds"].as<std::uint64_t>(); ++seed) {
    if (!logs.empty()) {
      wanted.fleet.logs = std::filesystem::path(logs) / ("seed-" + std::to_string(seed));
    }
    soak_run played(SPURRACK_BINARIES, wanted, seed);
    const auto violations = played.play();
    std::cout << "seed " << seed << ": " << violations.size() << " violations; "
              << wanted.fleet.nodes << " daemons with "
              << played.resident_bytes() / bytes_of_a_megabyte << " MB;";
    for (const auto& [what, count] : played.counts()) {
      std::cout << " " << what << " " << count << ",";
    }
    std::cout << std::endl;
    constexpr std::size_t most_shown = 20;
    for (std::size_t shown = 0; shown < std::min(most_shown, violations.size()); ++shown) {
      std::cout << "  " << violations[shown] << std::endl;
    }
    broken += std::any_of(violations.begin(), violations.end(), is_counted) ? 1 : 0;
  }
  std::cout << broken << " seeds with violations" << std::endl;
  return broken == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
  constexpr int exit_exception = 2;
  return logging::guarded_main(run, argc, argv, exit_exception);
}
